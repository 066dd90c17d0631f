//! One agent, driven step by step.

use std::sync::Arc;
use std::time::Duration;

use waxwingusher_bench::config::sample::{Size, domain, host_id, host_list, snapshot};
use waxwingusher_config::publication::{HOSTS_KEY, publish_hosts};
use waxwingusher_config::{Manifest, Publication, publish};
use waxwingusher_core::{Clock, ContentDigest, HostId, ManualClock};
use waxwingusher_membership::distribution::{AgentAction, ConfigAgent, DistributionSettings};
use waxwingusher_protocol::{ConfigMessage, ConfigSummary, Stamp};

struct Harness {
    agent: ConfigAgent,
    clock: ManualClock,
    config: Publication,
    hosts: Publication,
    hosts_ticket: u64,
}

impl Harness {
    /// Creates an agent that has read the host list with two peers, and no
    /// configuration.
    fn new() -> Self {
        let clock = ManualClock::new();
        let shared: Arc<dyn Clock> = Arc::new(clock.clone());
        let settings = DistributionSettings::default();
        let mut agent = ConfigAgent::new(host_id(0), domain(0), shared, 5, settings);
        let list = host_list(3, 1, 4);
        let value: Arc<[u8]> = serde_json::to_vec(&list).expect("it is JSON").into();
        let hosts_ticket = ticket_of(&agent.tick(), HOSTS_KEY);
        agent.on_service_value(hosts_ticket, 1, &value);
        Self {
            agent,
            clock,
            config: publish(&snapshot(Size::SMALL, 9, 5)).expect("it is good"),
            hosts: publish_hosts(&list).expect("it is good"),
            hosts_ticket,
        }
    }

    /// Ticks until the survey of the fresh host is over.
    fn pass_survey(&mut self) {
        for _ in 0..40 {
            self.clock.advance(Duration::from_millis(100));
            self.agent.tick();
        }
    }

    fn summary(&self) -> ConfigSummary {
        let stamp = |publication: &Publication| Stamp {
            version: Manifest::parse(&publication.manifest)
                .expect("good")
                .version,
            digest: ContentDigest::of(&publication.manifest),
        };
        ConfigSummary {
            config: stamp(&self.config),
            hosts: stamp(&self.hosts),
            seen_hosts_version: 4,
            service_age_ms: None,
            hosts_age_ms: None,
        }
    }

    fn announce(&mut self, from: &HostId) -> Vec<AgentAction> {
        let summary = self.summary();
        let message = ConfigMessage::Announce { summary };
        self.agent.on_message(from, 1, &message)
    }

    fn blob(&self, digest: &ContentDigest) -> Arc<[u8]> {
        if ContentDigest::of(&self.config.manifest) == *digest {
            return self.config.manifest.clone();
        }
        let packs = self.config.packs.iter();
        let pack = packs.clone().find(|pack| pack.digest == *digest);
        pack.expect("only packs of the version are asked for")
            .bytes
            .clone()
    }
}

fn ticket_of(actions: &[AgentAction], wanted: &str) -> u64 {
    let mut reads = actions.iter().rev().filter_map(|action| match action {
        AgentAction::ReadService(read) if &*read.key == wanted => Some(read.ticket),
        _ => None,
    });
    reads.next().expect("the value is read")
}

fn fetches(actions: &[AgentAction]) -> Vec<(HostId, ContentDigest)> {
    let fetches = actions.iter().filter_map(|action| match action {
        AgentAction::FetchFromPeer { host, digest } => Some((host.clone(), *digest)),
        _ => None,
    });
    fetches.collect()
}

fn refusals(actions: &[AgentAction]) -> usize {
    let refusals = actions
        .iter()
        .filter(|a| matches!(a, AgentAction::Refuse(_)));
    refusals.count()
}

#[test]
fn an_altered_pack_of_one_peer_is_refused_and_the_next_peer_is_asked() {
    let mut test = Harness::new();
    let (bad, good) = (host_id(1), host_id(2));
    let mut wanted = fetches(&test.announce(&bad));
    wanted.extend(fetches(&test.announce(&good)));
    let mut refused = 0;
    while let Some((host, digest)) = wanted.pop() {
        let bytes = match host == bad {
            true => Arc::from(&b"altered"[..]),
            false => test.blob(&digest),
        };
        let actions = test.agent.on_pack(&host, digest, &bytes);
        refused += refusals(&actions);
        wanted.extend(fetches(&actions));
    }
    test.pass_survey();
    assert_eq!(refused, 1);
    assert_eq!(
        test.agent.current().map(|snapshot| snapshot.version),
        Some(9)
    );
}

#[test]
fn a_late_answer_is_no_evidence() {
    let mut test = Harness::new();
    let nonce_of = |actions: &[AgentAction]| {
        let mut polls = actions.iter().rev().filter_map(|action| match action {
            AgentAction::Send(outgoing) if outgoing.to == host_id(1) => match &outgoing.message {
                ConfigMessage::Poll { nonce, .. } => Some(*nonce),
                _ => None,
            },
            _ => None,
        });
        polls.next().expect("the peer is polled")
    };
    let first = nonce_of(&test.agent.tick());
    test.clock.advance(Duration::from_millis(600));
    let second = nonce_of(&test.agent.tick());
    let asked_at = test.clock.now();
    let summary = test.summary();
    let mut answer = |nonce| {
        let message = ConfigMessage::Answer { nonce, summary };
        test.agent.on_message(&host_id(1), 1, &message);
        test.agent.list_freshness().answers
    };
    assert!(answer(first).is_empty());
    assert_eq!(answer(second)[0].asked_at, asked_at);
}

#[test]
fn an_answer_to_a_superseded_call_is_ignored() {
    let mut test = Harness::new();
    let newer = host_list(3, 1, 5);
    let value: Arc<[u8]> = serde_json::to_vec(&newer).expect("it is JSON").into();
    let before = test.agent.counters();
    let actions = test.agent.on_service_value(test.hosts_ticket, 2, &value);
    assert!(actions.is_empty());
    assert_eq!(test.agent.counters(), before);
    assert_eq!(test.agent.known_hosts().map(|list| list.version), Some(4));
}

#[test]
fn a_host_answers_each_poll_and_updates_hosts_that_are_behind() {
    let mut test = Harness::new();
    test.pass_survey();
    let behind = ConfigSummary::default();
    let answers = |actions: &[AgentAction]| {
        let sent = actions.iter().filter_map(|action| match action {
            AgentAction::Send(outgoing) => Some(outgoing.message.clone()),
            _ => None,
        });
        sent.filter(|m| matches!(m, ConfigMessage::Answer { .. }))
            .count()
    };
    let poll = ConfigMessage::Poll {
        nonce: 8,
        summary: behind,
    };
    assert_eq!(answers(&test.agent.on_message(&host_id(1), 1, &poll)), 1);
    let late = ConfigMessage::Announce { summary: behind };
    let sent = answers(&test.agent.on_message(&host_id(1), 1, &late));
    let has_list = test.agent.hosts().is_some();
    assert_eq!(sent, usize::from(has_list));
    assert!(has_list);
}
