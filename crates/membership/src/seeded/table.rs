//! The peers that a host knows.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::seeded::collector::Candidate;
use crate::seeded::fanout::{FeedDomain, FeedView};
use crate::seeded::message::{Departure, Member, PeerMessage, Profile};

/// The interval at which a host compares its table with a random peer.
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which a host without reachable peers asks its seeds, and at which hosts
/// ask seeds that have shut down.
const SEED_QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// How many hosts of a fleet ask a seed that has shut down, on average, in each interval. It
/// learns of all others from the first one.
const SEED_QUERIES_PER_INTERVAL: f64 = 8.0;
/// How long a peer counts as reachable after its last message; four heartbeats.
/// Admissions of peers are counted for as long
/// (`limits::peer_counts::SILENT_AFTER`).
const REACHABLE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// The assumed fleet size of a host that has received no message of a peer since
/// it started; the users' smallest fleet. Such a host must grant only its own part
/// of what the fleet grants together.
const ASSUMED_HOSTS: usize = 32;
/// How long a departure is remembered. Parts of a fleet that were partitioned for
/// an hour may still list the member.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(2 * 60 * 60);
/// Departures in one message, so that it fits into one datagram.
const MAX_DEPARTURES_PER_MESSAGE: usize = 64;

/// The version of the messages that this build understands.
const PROTOCOL: u8 = 3;
/// The version from which on a host understands batches.
const BATCH_PROTOCOL: u8 = 1;
/// The version from which on a host issues permits.
const PERMIT_PROTOCOL: u8 = 2;
/// The version from which on a host exchanges changes of the feed as
/// [`FeedChanges`](crate::seeded::FeedChanges).
const FEED_PROTOCOL: u8 = 3;
/// The capacity of a host whose profile has not arrived.
const MIN_CAPACITY: u16 = 1;
/// Peers without a profile that are asked for it in one tick.
const MAX_PROFILE_QUERIES: usize = 8;

/// A message and its destination.
pub type Outgoing = (SocketAddr, PeerMessage);

/// What the table knew of the host that a report comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStatus {
    /// The peer, and with it its failure domain, was not known.
    Unknown,
    /// The peer was known with another process.
    Restarted,
    /// The peer was known with this process.
    Known,
}

#[derive(Debug, Clone)]
struct Peer {
    member: Member,
    received_at: Option<Instant>,
    /// The capacity of a peer that understands batches; `None` for one of an earlier
    /// build, or if its profile has not arrived yet.
    capacity: Option<u16>,
    /// Whether the peer's profile states that it does not issue permits. A peer without
    /// a profile counts as an issuer, so that all hosts agree on the issuers.
    lacks_permits: bool,
    /// The version of the messages that the peer understands; `None` until its profile
    /// has arrived.
    protocol: Option<u8>,
}

/// The peers that a host knows.
#[derive(Debug)]
pub struct PeerTable {
    local_member: Member,
    local_capacity: u16,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Processes that have shut down as planned, and when that was learned.
    departed: BTreeMap<SocketAddr, (u64, Instant)>,
    next_seed_query_at: Option<Instant>,
    next_comparison_at: Option<Instant>,
    rng: fastrand::Rng,
}

impl PeerTable {
    /// Creates a table that knows only its seeds.
    #[must_use]
    pub fn new(
        local_member: Member,
        local_capacity: u16,
        seeds: Vec<SocketAddr>,
        rng: fastrand::Rng,
    ) -> Self {
        Self {
            local_member,
            local_capacity,
            seeds,
            peers: BTreeMap::new(),
            departed: BTreeMap::new(),
            next_seed_query_at: None,
            next_comparison_at: None,
            rng,
        }
    }

    /// Returns the entry of this host.
    #[must_use]
    pub fn local_member(&self) -> &Member {
        &self.local_member
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Returns the messages that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        if self.next_seed_query_at.is_none_or(|at| now >= at) {
            self.next_seed_query_at = Some(now + SEED_QUERY_INTERVAL);
            let seeds = self.seeds_to_ask(now);
            out.extend(seeds.into_iter().map(|seed| (seed, self.hello())));
        }
        if self.next_comparison_at.is_none_or(|at| now >= at) {
            let interval = ANTI_ENTROPY_INTERVAL.mul_f64(0.5 + self.rng.f64());
            self.next_comparison_at = Some(now + interval);
            let known: Vec<SocketAddr> = self.peers.keys().copied().collect();
            if let Some(peer) = self.rng.choice(&known) {
                out.push((*peer, self.hello()));
            }
        }
        out.extend(self.profile_queries());
        out
    }

    /// Returns queries to some neighbours whose profiles are missing.
    fn profile_queries(&mut self) -> Vec<Outgoing> {
        let mut missing: Vec<SocketAddr> = self.single_report_neighbours().collect();
        self.rng.shuffle(&mut missing);
        // The protocol of remote peers decides which of them relay changes.
        let domain = &self.local_member.failure_domain;
        let remote = self.peers.values();
        let remote =
            remote.filter(|peer| peer.protocol.is_none() && peer.member.failure_domain != *domain);
        let mut remote: Vec<SocketAddr> = remote.map(|peer| peer.member.addr).collect();
        self.rng.shuffle(&mut remote);
        missing.extend(remote);
        missing.truncate(MAX_PROFILE_QUERIES);
        let query = |peer| (peer, self.profile(true));
        missing.into_iter().map(query).collect()
    }

    fn profile(&self, is_reply_requested: bool) -> PeerMessage {
        PeerMessage::Profile(Profile {
            addr: self.local_member.addr,
            incarnation: self.local_member.incarnation,
            protocol: PROTOCOL,
            capacity: self.local_capacity,
            is_reply_requested,
        })
    }

    /// Records a peer's profile, and returns this host's if it is requested.
    pub fn on_profile(&mut self, profile: Profile) -> Vec<Outgoing> {
        if let Some(peer) = self.peers.get_mut(&profile.addr)
            && peer.member.incarnation == profile.incarnation
        {
            peer.protocol = Some(profile.protocol);
            if profile.protocol >= BATCH_PROTOCOL {
                peer.capacity = Some(profile.capacity);
                peer.lacks_permits = profile.protocol < PERMIT_PROTOCOL;
            }
        }
        if profile.is_reply_requested {
            vec![(profile.addr, self.profile(false))]
        } else {
            Vec::new()
        }
    }

    /// Returns the hosts of the local failure domain that may collect reports, this
    /// one included.
    #[must_use]
    pub fn collector_candidates(&self, now: Instant) -> Vec<Candidate> {
        let neighbours = self.neighbours().filter(|peer| peer.is_reachable(now));
        let neighbours = neighbours.filter_map(|peer| {
            let addr = peer.member.addr;
            peer.capacity.map(|capacity| Candidate { addr, capacity })
        });
        let own = Candidate {
            addr: self.local_member.addr,
            capacity: self.local_capacity,
        };
        neighbours.chain([own]).collect()
    }

    /// Returns the peers of the local failure domain that understand batches.
    pub fn batch_neighbours(&self) -> impl Iterator<Item = SocketAddr> {
        let modern = self.neighbours().filter(|peer| peer.capacity.is_some());
        modern.map(|peer| peer.member.addr)
    }

    /// Returns the peers of the local failure domain that get single reports only.
    pub fn single_report_neighbours(&self) -> impl Iterator<Item = SocketAddr> {
        let others = self.neighbours().filter(|peer| peer.capacity.is_none());
        others.map(|peer| peer.member.addr)
    }

    /// Reports whether a peer understands batches.
    #[must_use]
    pub fn understands_batches(&self, addr: SocketAddr) -> bool {
        self.peers
            .get(&addr)
            .is_some_and(|peer| peer.capacity.is_some())
    }

    fn neighbours(&self) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(|peer| peer.member.failure_domain == self.local_member.failure_domain)
    }

    /// Returns the seeds that are due to be asked: all of them if no peer is reachable, else
    /// those that are no known peers, unless enough other hosts ask them.
    fn seeds_to_ask(&mut self, now: Instant) -> Vec<SocketAddr> {
        if self.reachable_peers(now).next().is_none() {
            let seeds = self.seeds.iter().copied();
            return seeds
                .filter(|seed| *seed != self.local_member.addr)
                .collect();
        }
        let hosts = self.known_hosts() as f64;
        if self.rng.f64() * hosts >= SEED_QUERIES_PER_INTERVAL {
            return Vec::new();
        }
        self.unknown_seeds()
    }

    /// Returns the seeds that are not known peers. One that shut down as planned
    /// may have restarted, and may know no host but itself.
    fn unknown_seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter().copied();
        seeds
            .filter(|seed| *seed != self.local_member.addr && !self.peers.contains_key(seed))
            .collect()
    }

    /// Handles a hello.
    pub fn on_hello(
        &mut self,
        now: Instant,
        member: Member,
        table_digest: Option<u64>,
    ) -> Vec<Outgoing> {
        let addr = member.addr;
        self.learn(member, Some(now));
        match table_digest {
            Some(digest) if digest != self.digest() => {
                let mut out = vec![(addr, PeerMessage::Members(self.members()))];
                out.extend(self.recent_departures(now).map(|message| (addr, message)));
                out
            }
            _ => Vec::new(),
        }
    }

    /// Returns the departure notices that this host sends at a planned shutdown.
    #[must_use]
    pub fn departure_notices(&self) -> Vec<Outgoing> {
        let departure = Departure {
            addr: self.local_member.addr,
            incarnation: self.local_member.incarnation,
        };
        let peers = self.peers.keys();
        peers
            .map(|peer| (*peer, PeerMessage::Departed(vec![departure])))
            .collect()
    }

    /// Handles departure notices, and returns the peers that they remove.
    pub fn on_departed(&mut self, now: Instant, departed: &[Departure]) -> Vec<SocketAddr> {
        let mut removed = Vec::new();
        for departure in departed {
            let known = self.peers.get(&departure.addr);
            if known.is_some_and(|peer| peer.member.incarnation != departure.incarnation) {
                continue;
            }
            self.departed
                .insert(departure.addr, (departure.incarnation, now));
            if self.peers.remove(&departure.addr).is_some() {
                removed.push(departure.addr);
            }
        }
        removed
    }

    /// Handles a peer's member list, the sender first, and returns a hello for
    /// each new member.
    pub fn on_members(&mut self, now: Instant, members: Vec<Member>) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for (position, member) in members.into_iter().enumerate() {
            let received_at = (position == 0).then_some(now);
            let addr = member.addr;
            if self.learn(member, received_at) {
                let sender = self.local_member.clone();
                let hello = PeerMessage::Hello {
                    sender,
                    table_digest: None,
                };
                out.push((addr, hello));
                out.push((addr, self.profile(true)));
            }
        }
        out
    }

    /// Records that a peer's report arrived, directly or forwarded.
    pub fn on_report(&mut self, now: Instant, origin: SocketAddr, incarnation: u64) -> PeerStatus {
        let Some(peer) = self.peers.get_mut(&origin) else {
            return PeerStatus::Unknown;
        };
        peer.received_at = Some(now);
        if peer.member.incarnation == incarnation {
            return PeerStatus::Known;
        }
        peer.member.incarnation = incarnation;
        peer.forget_profile();
        PeerStatus::Restarted
    }

    /// Does not count a pause of this process as silence of its peers: their
    /// messages wait to be read.
    pub fn exclude_pause(&mut self, now: Instant, pause: Duration) {
        for peer in self.peers.values_mut() {
            // A message received since the pause is not moved into the future.
            peer.received_at = peer.received_at.map(|at| (at + pause).min(now));
        }
    }

    /// Returns the hello that asks for the receiver's member list.
    #[must_use]
    pub fn hello(&self) -> PeerMessage {
        PeerMessage::Hello {
            sender: self.local_member.clone(),
            table_digest: Some(self.digest()),
        }
    }

    /// Returns the peers whose messages arrived recently.
    pub fn reachable_peers(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let peers = self.peers.values();
        peers
            .filter(move |peer| peer.is_reachable(now))
            .map(|peer| &peer.member)
    }

    /// Reports whether a host is a known peer.
    #[must_use]
    pub fn knows(&self, addr: SocketAddr) -> bool {
        self.peers.contains_key(&addr)
    }

    /// Reports whether a known peer has an IP address.
    #[must_use]
    pub fn has_peer_at(&self, ip: IpAddr) -> bool {
        self.peers.keys().any(|addr| addr.ip() == ip)
    }

    /// Returns the reachable peers that issue permits.
    pub fn reachable_issuers(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let peers = self.peers.values();
        peers
            .filter(move |peer| !peer.lacks_permits && peer.is_reachable(now))
            .map(|peer| peer.member.addr)
    }

    /// Returns the reachable peers that read the feed for hosts of this build.
    pub fn reachable_feed_peers(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let peers = self.peers.values();
        peers
            .filter(move |peer| peer.exchanges_feed() && peer.is_reachable(now))
            .map(|peer| peer.member.addr)
    }

    /// Returns the peers of the local failure domain that are known to belong to an
    /// earlier build, which understands only
    /// [`FeedUpdate`](crate::seeded::FeedUpdate).
    pub fn former_feed_neighbours(&self) -> impl Iterator<Item = SocketAddr> {
        let former = self.neighbours().filter(|peer| !peer.exchanges_feed());
        former.map(|peer| peer.member.addr)
    }

    /// Reports whether a host exchanges changes of the feed with this build.
    #[must_use]
    pub fn exchanges_feed(&self, addr: SocketAddr) -> bool {
        self.peers.get(&addr).is_none_or(Peer::exchanges_feed)
    }

    /// Returns the hosts of this build among which changes are distributed. Silent ones
    /// have the capacity 0: they may receive messages although none of theirs arrive.
    #[must_use]
    pub fn feed_view(&self, now: Instant) -> FeedView {
        let own_domain = self.local_member.failure_domain.as_str();
        let mut domains: BTreeMap<&str, Vec<Candidate>> = BTreeMap::new();
        let own = Candidate {
            addr: self.local_member.addr,
            capacity: self.local_capacity.max(MIN_CAPACITY),
        };
        domains.insert(own_domain, vec![own]);
        for peer in self.peers.values().filter(|peer| peer.exchanges_feed()) {
            let members = domains.entry(peer.member.failure_domain.as_str());
            members.or_default().push(peer.feed_candidate(now));
        }
        let local = domains.remove(own_domain).unwrap_or_default();
        let remote = domains.into_values().map(FeedDomain::new).collect();
        FeedView::new(own, FeedDomain::new(local), remote)
    }

    /// Returns the number of hosts that were ever known and have not shut down as
    /// planned, this one included. A host that has seeds and knows no peer yet
    /// may be cut off from a fleet; it assumes one of the usual size.
    #[must_use]
    pub fn known_hosts(&self) -> usize {
        let has_seeds = self
            .seeds
            .iter()
            .any(|seed| *seed != self.local_member.addr);
        if self.peers.is_empty() && self.departed.is_empty() && has_seeds {
            return ASSUMED_HOSTS;
        }
        self.peers.len() + 1
    }

    /// Returns all peers of the local failure domain, silent ones included: they
    /// may receive messages although none of theirs arrive.
    pub fn local_peers(&self) -> impl Iterator<Item = SocketAddr> {
        self.neighbours().map(|peer| peer.member.addr)
    }

    /// Reports whether a peer is known to be in the local failure domain.
    #[must_use]
    pub fn is_local_peer(&self, addr: SocketAddr) -> bool {
        self.peers
            .get(&addr)
            .is_some_and(|peer| peer.member.failure_domain == self.local_member.failure_domain)
    }

    /// Returns a random peer of each remote failure domain, a reachable one if
    /// there is one.
    pub fn relays(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut domains: BTreeMap<&str, (Vec<SocketAddr>, Vec<SocketAddr>)> = BTreeMap::new();
        for peer in self.peers.values() {
            if peer.member.failure_domain == self.local_member.failure_domain {
                continue;
            }
            let (reachable, silent) = domains
                .entry(peer.member.failure_domain.as_str())
                .or_default();
            let group = if peer.is_reachable(now) {
                reachable
            } else {
                silent
            };
            group.push(peer.member.addr);
        }
        let mut relays = Vec::new();
        for (reachable, silent) in domains.into_values() {
            let group = if reachable.is_empty() {
                silent
            } else {
                reachable
            };
            relays.extend(self.rng.choice(group));
        }
        relays
    }

    /// Returns the latest departures as a message, if there are any.
    fn recent_departures(&mut self, now: Instant) -> Option<PeerMessage> {
        self.departed
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < DEPARTURE_RETENTION);
        let mut latest: Vec<_> = self.departed.iter().collect();
        latest.sort_by_key(|(_, (_, at))| std::cmp::Reverse(*at));
        let departures = latest.into_iter().take(MAX_DEPARTURES_PER_MESSAGE);
        let departures: Vec<Departure> = departures
            .map(|(addr, (incarnation, _))| Departure {
                addr: *addr,
                incarnation: *incarnation,
            })
            .collect();
        (!departures.is_empty()).then_some(PeerMessage::Departed(departures))
    }

    fn members(&self) -> Vec<Member> {
        let peers = self.peers.values().map(|peer| peer.member.clone());
        std::iter::once(self.local_member.clone())
            .chain(peers)
            .collect()
    }

    /// Returns a digest of the addresses, including that of this host.
    fn digest(&self) -> u64 {
        let addrs = self.peers.keys().chain([&self.local_member.addr]);
        addrs.fold(0, |digest, addr| {
            digest ^ xxh3_64(addr.to_string().as_bytes())
        })
    }

    /// Adds or updates a member, and reports whether it is new.
    fn learn(&mut self, member: Member, received_at: Option<Instant>) -> bool {
        if member.addr == self.local_member.addr {
            return false;
        }
        let departed = self.departed.get(&member.addr);
        if departed.is_some_and(|(incarnation, _)| *incarnation == member.incarnation) {
            return false;
        }
        let Some(peer) = self.peers.get_mut(&member.addr) else {
            self.departed.remove(&member.addr);
            self.peers.insert(
                member.addr,
                Peer {
                    member,
                    received_at,
                    capacity: None,
                    lacks_permits: false,
                    protocol: None,
                },
            );
            return true;
        };
        // Entries from third parties may be older than the peer's own messages.
        if received_at.is_some() {
            if peer.member.incarnation != member.incarnation {
                peer.forget_profile();
            }
            peer.member = member;
            peer.received_at = received_at;
        }
        false
    }
}

impl Peer {
    /// Forgets what an earlier process of the peer has told about itself.
    fn forget_profile(&mut self) {
        self.capacity = None;
        self.lacks_permits = false;
        self.protocol = None;
    }

    /// Reports whether the peer exchanges changes of the feed with this build. One
    /// without a profile counts as a host of this build.
    fn exchanges_feed(&self) -> bool {
        self.protocol
            .is_none_or(|protocol| protocol >= FEED_PROTOCOL)
    }

    /// Returns the peer as a host that may forward changes; a silent one forwards none.
    fn feed_candidate(&self, now: Instant) -> Candidate {
        let capacity = if self.is_reachable(now) {
            self.capacity.unwrap_or(MIN_CAPACITY)
        } else {
            0
        };
        Candidate {
            addr: self.member.addr,
            capacity,
        }
    }

    fn is_reachable(&self, now: Instant) -> bool {
        let received_at = self.received_at;
        received_at.is_some_and(|at| now.saturating_duration_since(at) < REACHABLE_TIMEOUT)
    }
}
