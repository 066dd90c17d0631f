//! Hosts that follow others, driven step by step.

use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_bench::config::sample::{domain, host_id, host_list};
use waxwingusher_config::publication::HOSTS_KEY;
use waxwingusher_core::{Clock, HostId, ManualClock};
use waxwingusher_membership::distribution::{AgentAction, ConfigAgent, DistributionSettings};
use waxwingusher_protocol::{ConfigMessage, ConfigSummary, ConfigUpdate};

const HOSTS: usize = 4;
const TICK: Duration = Duration::from_millis(50);

/// The part of a reported time that a fast clock may have added.
const DRIFT: f64 = 0.01;

struct Host {
    agent: ConfigAgent,
    clock: ManualClock,
}

impl Host {
    /// Creates a host that has read the list.
    fn new(i: usize) -> Self {
        let clock = ManualClock::new();
        let shared: Arc<dyn Clock> = Arc::new(clock.clone());
        let settings = DistributionSettings::default();
        let mut agent = ConfigAgent::new(host_id(i), domain(0), shared, 3, settings);
        let value: Arc<[u8]> = serde_json::to_vec(&host_list(HOSTS, 1, 4))
            .expect("it is JSON")
            .into();
        let tickets: Vec<_> = agent
            .tick()
            .into_iter()
            .filter_map(|action| match action {
                AgentAction::ReadService(read) if &*read.key == HOSTS_KEY => Some(read.ticket),
                _ => None,
            })
            .collect();
        agent.on_service_value(tickets[0], 1, &value);
        Self { agent, clock }
    }

    /// Ticks for a span and returns the messages that are sent.
    fn run(&mut self, span: Duration) -> Vec<(HostId, ConfigMessage)> {
        let end = self.clock.now() + span;
        let mut sent = Vec::new();
        while self.clock.now() < end {
            self.clock.advance(TICK);
            sent.extend(messages(self.agent.tick()));
        }
        sent
    }

    /// Runs until the host follows another one.
    fn follow(&mut self) -> Option<(HostId, u32)> {
        for _ in 0..200 {
            let sent = self.run(TICK).into_iter();
            let follow = sent.filter_map(|(to, message)| match message {
                ConfigMessage::Follow { nonce, .. } => Some((to, nonce)),
                _ => None,
            });
            if let Some(follow) = follow.last() {
                return Some(follow);
            }
        }
        None
    }

    fn receive(&mut self, from: &HostId, message: &ConfigMessage) -> Vec<(HostId, ConfigMessage)> {
        messages(self.agent.on_message(from, 1, message))
    }

    /// Returns the instant as of which the last answer of a peer is certain.
    fn answered_at(&self, host: &HostId) -> Option<Instant> {
        let answers = self.agent.list_freshness().answers;
        let answer = answers.into_iter().find(|answer| answer.host == *host);
        answer.map(|answer| answer.asked_at)
    }
}

fn messages(actions: Vec<AgentAction>) -> Vec<(HostId, ConfigMessage)> {
    let sent = actions.into_iter().filter_map(|action| match action {
        AgentAction::Send(outgoing) => Some((outgoing.to, outgoing.message)),
        _ => None,
    });
    sent.collect()
}

/// Returns a host that is not a reader, with the host that it follows.
fn follower() -> (Host, HostId, u32) {
    let mut hosts = (0..HOSTS).map(Host::new);
    let found =
        hosts.find_map(|mut host| host.follow().map(|(parent, nonce)| (host, parent, nonce)));
    let (host, parent, nonce) = found.expect("two of four hosts are no readers");
    (host, parent, nonce)
}

fn update(nonce: u32, after: Duration, summary: &ConfigSummary) -> ConfigMessage {
    ConfigMessage::Update(ConfigUpdate::new(nonce, after, summary))
}

#[test]
fn an_update_is_evidence_for_no_later_than_it_was_sent() {
    let (mut host, parent, nonce) = follower();
    let asked_at = host.clock.now();
    let summary = ConfigSummary::default();
    host.receive(&parent, &ConfigMessage::Answer { nonce, summary });
    assert_eq!(host.answered_at(&parent), Some(asked_at));
    host.run(Duration::from_secs(3));
    let after = Duration::from_secs(2);
    host.receive(&parent, &update(nonce, after, &summary));
    let since = host.answered_at(&parent).expect("it has sent an update") - asked_at;
    assert!(since <= after.mul_f64(1.0 - DRIFT) && since > after / 2);
    let wrong_clock = Duration::from_secs(3_600);
    host.receive(&parent, &update(nonce, wrong_clock, &summary));
    assert_eq!(host.answered_at(&parent), Some(host.clock.now()));
}

#[test]
fn updates_to_other_requests_or_of_other_stamps_are_no_evidence() {
    let (mut host, parent, nonce) = follower();
    let asked_at = host.clock.now();
    let summary = ConfigSummary::default();
    host.receive(&parent, &ConfigMessage::Answer { nonce, summary });
    host.run(Duration::from_secs(2));
    let after = Duration::from_secs(2);
    host.receive(&parent, &update(nonce ^ 1, after, &summary));
    let mut other = summary;
    other.hosts.version = 9;
    other.seen_hosts_version = 9;
    host.receive(&parent, &update(nonce, after, &other));
    assert_eq!(host.answered_at(&parent), Some(asked_at));
    assert_eq!(host.agent.list_freshness().seen_version, 9);
    let again = host.follow();
    assert_eq!(
        again.map(|(host, _)| host),
        Some(parent),
        "it renews its request"
    );
    assert!(host.clock.now() - asked_at < Duration::from_secs(3));
}

#[test]
fn a_host_that_cannot_be_followed_is_polled() {
    let (mut host, parent, _) = follower();
    let others: Vec<_> = (0..HOSTS).map(host_id).collect();
    let summary = ConfigSummary::default();
    let mut is_polled = false;
    for _ in 0..100 {
        for (to, message) in host.run(Duration::from_millis(100)) {
            // The release of all hosts supports polls only.
            let ConfigMessage::Poll { nonce, .. } = message else {
                continue;
            };
            assert!(others.contains(&to));
            is_polled |= to == parent;
            host.receive(&to, &ConfigMessage::Answer { nonce, summary });
        }
    }
    assert!(is_polled);
    let age = host.clock.now() - host.answered_at(&parent).expect("it has answered");
    assert!(age < Duration::from_secs(5), "{age:?}");
}

#[test]
fn followers_get_updates_for_a_time_and_new_versions_at_once() {
    let mut host = Host::new(0);
    host.run(Duration::from_secs(10));
    let (follower, nonce, summary) = (host_id(1), 5, ConfigSummary::default());
    let sent = host.receive(&follower, &ConfigMessage::Follow { nonce, summary });
    assert!(matches!(&sent[..], [(to, ConfigMessage::Answer { nonce: 5, .. })] if *to == follower));
    let asked_at = host.clock.now();
    let mut updates = 0;
    for _ in 0..2_400 {
        for (to, message) in host.run(TICK) {
            let ConfigMessage::Update(update) = message else {
                continue;
            };
            let since_ms = (host.clock.now() - asked_at).as_millis();
            assert!(to == follower && update.nonce == nonce);
            assert!(u128::from(update.after_ms) <= since_ms);
            assert!(since_ms <= 45_000, "it has not asked again");
            updates += 1;
        }
    }
    assert!((8..25).contains(&updates), "{updates} updates");
    host.receive(&follower, &ConfigMessage::Follow { nonce, summary });
    let newer: Arc<[u8]> = serde_json::to_vec(&host_list(HOSTS, 1, 5))
        .expect("it is JSON")
        .into();
    let mut sent = Vec::new();
    // The backoff after unanswered calls to the service is up to 30 s.
    for _ in 0..700 {
        host.clock.advance(TICK);
        for action in host.agent.tick() {
            let AgentAction::ReadService(read) = action else {
                continue;
            };
            if &*read.key == HOSTS_KEY {
                sent.extend(messages(host.agent.on_service_value(
                    read.ticket,
                    2,
                    &newer,
                )));
            }
        }
    }
    let answer = sent.into_iter().find_map(|(to, message)| match message {
        ConfigMessage::Answer { nonce: 5, summary } if to == follower => Some(summary),
        _ => None,
    });
    assert_eq!(answer.map(|summary| summary.hosts.version), Some(5));
}
