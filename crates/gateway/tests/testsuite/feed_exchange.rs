//! What hosts send each other about the feed, message by message.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_config::routing::RoutingDocument;
use waxwingusher_core::{FailureDomain, FeedPosition, InstanceId, KeyDigest};
use waxwingusher_gateway::feed_exchange::{FeedContext, FeedExchange, FeedOutgoing};
use waxwingusher_gateway::feed_replica::{Applied, DocumentError, FeedReplica};
use waxwingusher_gateway::ports::{Change, Changes, EvacuationChange, Listing};
use waxwingusher_membership::seeded::collector::Candidate;
use waxwingusher_membership::seeded::fanout::{FeedDomain, FeedView};
use waxwingusher_membership::seeded::{Delivery, FeedChanges, FeedRequest, PeerMessage};
use waxwingusher_upstreams::{Roster, RosterChange};

use crate::harness::document;

/// A gap is to be noticed within this time.
const NOTICED_WITHIN: Duration = Duration::from_millis(350);
const STEP: Duration = Duration::from_millis(5);

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn candidate(number: u16) -> Candidate {
    Candidate {
        addr: addr(number),
        capacity: 1,
    }
}

fn view(own: u16, local: impl IntoIterator<Item = u16>) -> FeedView {
    let local = local.into_iter().map(candidate).collect();
    FeedView::new(candidate(own), FeedDomain::new(local), Vec::new())
}

fn configuration(version: u64) -> RoutingDocument {
    let mut configuration = document();
    configuration.version = version;
    configuration.workspaces[0].keys = vec![KeyDigest::of_key(&version.to_be_bytes())];
    configuration
}

fn removal(number: u64) -> Change {
    let id = InstanceId::new(&format!("i-{number}"));
    Change::Roster(RosterChange::Removed(id))
}

/// A host, the fleet as it knows it, and what it has put in force.
struct Host {
    view: FeedView,
    replica: FeedReplica,
    exchange: FeedExchange,
    roster: Roster,
    rng: fastrand::Rng,
    versions: Vec<u64>,
    removed: Vec<InstanceId>,
    evacuations: Vec<FailureDomain>,
}

impl Host {
    /// Creates a host that has listed everything at revision 1.
    fn new(now: Instant, view: FeedView) -> Self {
        let mut host = Self {
            rng: fastrand::Rng::with_seed(u64::from(view.own.addr.port())),
            view,
            replica: FeedReplica::default(),
            exchange: FeedExchange::default(),
            roster: Roster::default(),
            versions: Vec::new(),
            removed: Vec::new(),
            evacuations: Vec::new(),
        };
        let listing = Listing {
            routing: Some(Ok(configuration(1))),
            roster: Vec::new(),
            evacuated: BTreeSet::new(),
            position: FeedPosition::new(0, 1),
        };
        let applied = host.replica.on_listing(now, listing, &mut host.roster);
        host.put_in_force(applied);
        host
    }

    fn put_in_force(&mut self, applied: Applied) {
        let readable = applied.configurations.into_iter().flatten();
        self.versions
            .extend(readable.map(|document| document.version));
        self.removed
            .extend(applied.instances.into_iter().map(|(id, _)| id));
        self.evacuations.extend(applied.evacuations);
    }

    fn with<T>(
        &mut self,
        now: Instant,
        step: impl FnOnce(&mut FeedExchange, &mut FeedContext<'_>) -> T,
    ) -> T {
        let mut cx = FeedContext {
            now,
            view: &self.view,
            replica: &mut self.replica,
            roster: &mut self.roster,
            rng: &mut self.rng,
        };
        step(&mut self.exchange, &mut cx)
    }

    /// Reads changes from the store as a reader.
    fn read(&mut self, now: Instant, changes: Vec<Change>) {
        let since = self.replica.position();
        let items: Vec<(u64, Change)> = (since.revision + 1..).zip(changes).collect();
        let until = FeedPosition::new(0, since.revision + items.len() as u64);
        let changes = Changes {
            items,
            position: until,
        };
        let applied = self
            .replica
            .on_changes(now, since, changes, &mut self.roster)
            .expect("the era stays");
        self.put_in_force(applied);
        self.replica.record_read(now);
        self.exchange.schedule_update(now, 0);
    }

    fn receive(&mut self, now: Instant, from: SocketAddr, message: &PeerMessage) {
        let applied = self.with(now, |feed, cx| match message {
            PeerMessage::FeedChanges(update) => feed.on_changes(cx, from, update),
            PeerMessage::DocumentChunk(chunk) => feed.on_chunk(cx, from, chunk.clone()),
            PeerMessage::FeedRequest(request) => {
                feed.on_request(cx, from, request);
                Applied::default()
            }
            PeerMessage::DocumentRequest(request) => {
                feed.on_document_request(cx, from, request.clone());
                Applied::default()
            }
            other => panic!("{other:?} is not sent"),
        });
        self.put_in_force(applied);
    }

    fn take_outgoing(&mut self) -> Vec<FeedOutgoing> {
        std::iter::from_fn(|| self.exchange.take_outgoing()).collect()
    }

    /// Returns what the host sends when its timers run.
    fn run_timers(&mut self, now: Instant) -> Vec<FeedOutgoing> {
        self.with(now, FeedExchange::run_timers);
        self.take_outgoing()
    }

    /// Returns the changes that the host sends when its timers run, apart from positions.
    fn changes(&mut self, now: Instant) -> Vec<FeedChanges> {
        let outgoing = self.run_timers(now).into_iter();
        let changes = outgoing.filter_map(|outgoing| match outgoing.message {
            PeerMessage::FeedChanges(update) => Some(update),
            _ => None,
        });
        changes
            .filter(|update| !update.changes.is_empty())
            .collect()
    }
}

/// Runs hosts until nothing is on its way, losing what `is_lost` selects, and returns how
/// many messages arrived.
fn run(
    hosts: &mut BTreeMap<SocketAddr, Host>,
    now: &mut Instant,
    time: Duration,
    mut is_lost: impl FnMut(SocketAddr, &PeerMessage) -> bool,
) -> usize {
    let end = *now + time;
    let mut arrived = 0;
    let mut queue: VecDeque<(SocketAddr, SocketAddr, PeerMessage)> = VecDeque::new();
    while *now < end {
        *now += STEP;
        for (from, host) in hosts.iter_mut() {
            host.with(*now, FeedExchange::run_timers);
            for outgoing in host.take_outgoing() {
                for to in outgoing.targets {
                    queue.push_back((*from, to, outgoing.message.clone()));
                }
            }
        }
        for (from, to, message) in std::mem::take(&mut queue) {
            if is_lost(to, &message) {
                continue;
            }
            arrived += 1;
            hosts
                .get_mut(&to)
                .expect("a host")
                .receive(*now, from, &message);
        }
    }
    arrived
}

fn fleet(now: Instant, count: u16) -> BTreeMap<SocketAddr, Host> {
    let hosts = (0..count).map(|number| (addr(number), Host::new(now, view(number, 0..count))));
    hosts.collect()
}

fn reader(hosts: &mut BTreeMap<SocketAddr, Host>) -> &mut Host {
    hosts.get_mut(&addr(0)).expect("the reader")
}

/// All kinds of changes arrive at all hosts, in order, of which a configuration is derived
/// from its predecessor.
#[test]
fn changes_of_a_reader_are_in_force_at_all_hosts() {
    let mut now = Instant::now();
    for count in [3, 60] {
        let mut hosts = fleet(now, count);
        let evacuation = Change::Evacuation(EvacuationChange {
            failure_domain: FailureDomain::new("north"),
            is_ordered: true,
        });
        let changes = vec![
            removal(1),
            Change::Routing(Ok(configuration(2))),
            evacuation,
            Change::Routing(Err("unreadable".to_owned())),
            Change::Routing(Ok(configuration(3))),
        ];
        reader(&mut hosts).read(now, changes);
        let mut documents = 0;
        run(
            &mut hosts,
            &mut now,
            Duration::from_millis(100),
            |_, message| {
                documents += usize::from(matches!(message, PeerMessage::DocumentChunk(_)));
                false
            },
        );
        assert_eq!(documents, 0, "the configurations are derived");
        for (addr, host) in &hosts {
            assert_eq!(host.versions, [1, 2, 3], "{addr}");
            assert_eq!(host.removed, [InstanceId::new("i-1")], "{addr}");
            assert_eq!(host.evacuations, [FailureDomain::new("north")], "{addr}");
            let document = host.replica.document().expect("a configuration");
            assert_eq!(*document.document(), configuration(3));
        }
    }
}

/// The changes of 2 s were sent every 400 ms, which filled the links of large domains.
#[test]
fn a_reader_sends_changes_once_and_then_its_position() {
    let mut now = Instant::now();
    let mut host = Host::new(now, view(0, 0..3));
    host.read(now, vec![removal(1)]);
    assert_eq!(host.changes(now).len(), 1);
    let mut positions = 0;
    for step in 0..100 {
        now += Duration::from_millis(20);
        host.replica.record_read(now);
        if step % 20 == 0 {
            host.with(now, FeedExchange::heartbeat);
        }
        for outgoing in host.run_timers(now) {
            let PeerMessage::FeedChanges(update) = outgoing.message else {
                panic!("another message");
            };
            assert!(update.changes.is_empty(), "the changes are repeated");
            assert_eq!(update.until, FeedPosition::new(0, 2));
            positions += 1;
        }
    }
    // One 150 ms after the changes, and five heartbeats.
    assert_eq!(positions, 6);
}

/// The only message with a change is lost. The host notices it by the reader's position,
/// and a peer sends the change.
#[test]
fn a_lost_change_is_noticed_and_comes_from_a_peer() {
    let mut now = Instant::now();
    let mut hosts = fleet(now, 5);
    reader(&mut hosts).read(now, vec![removal(1), Change::Routing(Ok(configuration(2)))]);
    let late = addr(3);
    let is_lost_update = |to: SocketAddr, message: &PeerMessage| {
        let PeerMessage::FeedChanges(update) = message else {
            return false;
        };
        to == late && update.delivery != Delivery::Reply && !update.changes.is_empty()
    };
    let mut requests = 0;
    run(
        &mut hosts,
        &mut now,
        NOTICED_WITHIN + 2 * STEP,
        |to, message| {
            requests += usize::from(matches!(message, PeerMessage::FeedRequest(_)));
            is_lost_update(to, message)
        },
    );
    assert_eq!(requests, 1);
    assert_eq!(hosts[&late].versions, [1, 2]);
    assert_eq!(hosts[&late].removed, [InstanceId::new("i-1")]);
}

/// All hosts of a domain depended on one relay. Before a host notices that something is
/// missing, the other tree has brought it.
#[test]
fn a_dead_root_keeps_no_change_from_the_others() {
    for tree in [0, 1] {
        let mut now = Instant::now();
        let mut hosts = fleet(now, 60);
        let dead = hosts[&addr(0)].view.local.root(tree).expect("a root");
        let reader = hosts.keys().find(|host| {
            let local = &hosts[*host].view.local;
            (0..2).all(|tree| local.root(tree) != Some(**host))
        });
        let reader = *reader.expect("a host that is no root");
        let host = hosts.get_mut(&reader).expect("a host");
        host.read(now, vec![removal(1)]);
        let time = Duration::from_millis(40);
        run(&mut hosts, &mut now, time, |to, _| to == dead);
        for (addr, host) in &hosts {
            let is_removed = host.removed == [InstanceId::new("i-1")];
            assert_eq!(is_removed, *addr != dead, "{addr}, root of tree {tree}");
        }
    }
}

/// One answer to a host that has missed much would fill the link of its sender. The host
/// asks for the rest without the delays that follow requests in vain.
#[test]
fn a_host_that_has_missed_much_gets_it_in_several_answers() {
    const MAX_PARTS: usize = 16;
    let mut now = Instant::now();
    let mut hosts = fleet(now, 2);
    let mut rng = fastrand::Rng::with_seed(3);
    let random = |rng: &mut fastrand::Rng| -> String {
        std::iter::repeat_with(|| rng.alphanumeric())
            .take(100)
            .collect()
    };
    let changes: Vec<Change> = (0..600)
        .map(|_| Change::Roster(RosterChange::Removed(InstanceId::new(&random(&mut rng)))))
        .collect();
    reader(&mut hosts).read(now, changes);
    let request = FeedRequest {
        position: FeedPosition::new(0, 1),
    };
    let ahead = &hosts[&addr(0)];
    let reply = ahead
        .replica
        .reply_to(now, addr(0), &request, &ahead.roster);
    assert_eq!(reply.len(), MAX_PARTS);
    run(
        &mut hosts,
        &mut now,
        Duration::from_millis(700),
        |_, message| {
            let PeerMessage::FeedChanges(update) = message else {
                return false;
            };
            update.delivery != Delivery::Reply && !update.changes.is_empty()
        },
    );
    assert_eq!(hosts[&addr(1)].removed.len(), 600);
}

/// Messages of one update may overtake each other.
#[test]
fn changes_that_arrive_before_their_predecessors_are_kept() {
    let mut now = Instant::now();
    let mut reader = Host::new(now, view(0, 0..3));
    let mut updates = Vec::new();
    for number in 1..=5 {
        reader.read(now, vec![removal(number)]);
        updates.extend(reader.changes(now));
        now += Duration::from_millis(1);
    }
    assert_eq!(updates.len(), 5);
    let mut host = Host::new(now, view(1, 0..3));
    for update in updates.iter().rev() {
        assert!(host.removed.is_empty());
        host.receive(now, addr(0), &PeerMessage::FeedChanges(update.clone()));
    }
    let expected: Vec<InstanceId> = (1..=5)
        .map(|number| InstanceId::new(&format!("i-{number}")))
        .collect();
    assert_eq!(host.removed, expected);
}

/// Updates that never fit must not take the host's memory.
#[test]
fn updates_that_wait_for_their_predecessors_are_bounded() {
    let now = Instant::now();
    let mut host = Host::new(now, view(1, 0..3));
    let update = |number: u64| FeedChanges {
        reader: addr(0),
        sequence: 0,
        delivery: Delivery::Direct,
        since: FeedPosition::new(0, 100 + number),
        until: FeedPosition::new(0, 101 + number),
        is_gapless: true,
        changes: vec![9; 40_000],
    };
    for number in 0..1_000 {
        let update = PeerMessage::FeedChanges(update(number));
        host.receive(now, addr(0), &update);
    }
    let size = format!("{:?}", host.replica).len();
    // Each byte of a kept message takes three in this text.
    assert!(size < 600_000, "{size} characters");
    assert_eq!(host.replica.position(), FeedPosition::new(0, 1));
}

/// While hosts know different peers, a message must not circulate.
#[test]
fn a_message_is_forwarded_once() {
    let now = Instant::now();
    let mut host = Host::new(now, view(0, 0..100));
    let mut forwarded = 0;
    let mut update = FeedChanges {
        reader: addr(500),
        sequence: 7,
        delivery: Delivery::Tree(0),
        since: FeedPosition::new(0, 1),
        until: FeedPosition::new(0, 1),
        is_gapless: true,
        changes: Vec::new(),
    };
    let root = host.view.local.root(0).expect("a root");
    host.view = view(root.port(), 0..100);
    for sequence in [7, 7, 8, 7] {
        update.sequence = sequence;
        let message = PeerMessage::FeedChanges(update.clone());
        host.receive(now, addr(500), &message);
        forwarded += host.take_outgoing().len();
    }
    assert_eq!(forwarded, 2);
}

/// A host that has another base, such as one that missed a configuration long ago, asks for
/// the whole, and applies what follows it.
#[test]
fn a_host_without_the_base_gets_the_configuration_in_chunks() {
    let mut now = Instant::now();
    let mut hosts = fleet(now, 4);
    let late = addr(2);
    let other = Listing {
        routing: None,
        roster: Vec::new(),
        evacuated: BTreeSet::new(),
        position: FeedPosition::new(0, 1),
    };
    let host = hosts.get_mut(&late).expect("a host");
    host.replica = FeedReplica::default();
    host.replica.on_listing(now, other, &mut host.roster);
    host.versions.clear();
    let changes = vec![Change::Routing(Ok(configuration(2))), removal(1)];
    reader(&mut hosts).read(now, changes);
    run(&mut hosts, &mut now, Duration::from_millis(400), |_, _| {
        false
    });
    assert_eq!(hosts[&late].versions, [2]);
    assert_eq!(hosts[&late].removed, [InstanceId::new("i-1")]);
    assert_eq!(hosts[&late].replica.position(), FeedPosition::new(0, 3));
}

/// A configuration of the announced version with other content.
#[test]
fn a_configuration_that_differs_from_the_announced_one_is_dropped() {
    let now = Instant::now();
    let mut reader = Host::new(now, view(0, 0..3));
    reader.read(now, vec![Change::Routing(Ok(configuration(2)))]);
    let update = reader.changes(now).remove(0);
    let mut host = Host::new(now, view(1, 0..3));
    host.replica = FeedReplica::default();
    let listing = Listing {
        routing: None,
        roster: Vec::new(),
        evacuated: BTreeSet::new(),
        position: FeedPosition::new(0, 1),
    };
    host.replica.on_listing(now, listing, &mut host.roster);
    host.receive(now, addr(0), &PeerMessage::FeedChanges(update));
    assert_eq!(host.replica.wanted_version(), Some(2));
    let mut wrong = configuration(2);
    wrong.workspaces[0].burst = 77.0;
    let result = host.replica.on_document(now, wrong, &mut host.roster);
    assert!(
        matches!(result, Err(DocumentError::WrongDigest { version: 2 })),
        "{result:?}"
    );
    let result = host
        .replica
        .on_document(now, configuration(2), &mut host.roster);
    host.put_in_force(result.expect("the announced content"));
    assert_eq!(host.replica.wanted_version(), None);
    assert_eq!(host.replica.position(), FeedPosition::new(0, 2));
}

/// A reader that took removals from a peer which had lost the store could no longer tell
/// departures from entries that have lapsed.
#[test]
fn a_reader_that_follows_the_store_asks_no_peer() {
    let mut now = Instant::now();
    let mut host = Host::new(now, view(0, 0..3));
    for _ in 0..100 {
        now += Duration::from_millis(10);
        host.replica.record_read(now);
        let ahead = FeedPosition::new(0, 9);
        host.with(now, |feed, cx| feed.record_position(cx, addr(1), ahead));
        assert!(host.run_timers(now).is_empty());
    }
    host.replica.on_failure(&mut host.roster);
    now += Duration::from_millis(10);
    let ahead = FeedPosition::new(0, 9);
    host.with(now, |feed, cx| feed.record_position(cx, addr(1), ahead));
    now += Duration::from_millis(100);
    let outgoing = host.run_timers(now);
    assert_eq!(outgoing.len(), 1);
    assert_eq!(outgoing[0].targets, [addr(1)], "the peer that is ahead");
    assert!(matches!(outgoing[0].message, PeerMessage::FeedRequest(_)));
}

/// The position of a host of an earlier build shows that changes are missing, but the
/// host does not keep this one from reading.
#[test]
fn a_position_of_an_earlier_build_does_not_count_as_an_update() {
    let now = Instant::now();
    let mut host = Host::new(now, view(0, 0..3));
    let ahead = FeedPosition::new(0, 9);
    host.with(now, |feed, cx| feed.record_former_position(cx, ahead));
    assert!(host.replica.is_behind_peers());
    assert!(!host.replica.is_fed(now));
}

/// A host that is further behind than any log must not be told that nothing happened.
#[test]
fn a_peer_without_the_missing_changes_states_its_position() {
    let now = Instant::now();
    let mut host = Host::new(now, view(0, 0..3));
    let request = |revision| FeedRequest {
        position: FeedPosition::new(0, revision),
    };
    let reply = host
        .replica
        .reply_to(now, addr(0), &request(1), &host.roster);
    assert!(reply.is_empty(), "the other host is as far");
    let reply = host
        .replica
        .reply_to(now, addr(0), &request(0), &host.roster);
    assert_eq!(reply.len(), 1);
    assert_eq!(reply[0].since, FeedPosition::new(0, 1));
    host.read(now, vec![removal(1), removal(2)]);
    let reply = host
        .replica
        .reply_to(now, addr(0), &request(2), &host.roster);
    assert_eq!(
        (reply[0].since, reply[0].until),
        (FeedPosition::new(0, 2), FeedPosition::new(0, 3))
    );
}
