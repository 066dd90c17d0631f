//! Which instances count as cold.

use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, FeedPosition, InstanceId, ServiceName};
use waxwingusher_upstreams::{
    ColdCause, ColdPolicy, Evidence, Observation, PermitReason, RateLimit, RateLimitChange, Roster,
    RosterChange, RosterEntry, RosterState,
};

const POLICY_DURATION: Duration = Duration::from_secs(3);

fn policy() -> ColdPolicy {
    ColdPolicy {
        duration: POLICY_DURATION,
        rate: RateLimit::from_per_s(3.3),
    }
}

fn entry(incarnation: u64, cold_for: Duration) -> RosterEntry {
    RosterEntry {
        id: InstanceId::new("a"),
        incarnation,
        service: ServiceName::new("svc"),
        addr: "127.0.0.1:80".parse().expect("an address"),
        failure_domain: FailureDomain::new("north"),
        software: Arc::from("v1"),
        slots: 4,
        state: RosterState::Ready,
        cold_for,
    }
}

/// A roster, and how its only instance is judged.
struct TestRoster {
    roster: Roster,
    evidence: Evidence,
    now: Instant,
    revision: u64,
}

impl TestRoster {
    fn listing(entries: Vec<RosterEntry>) -> Self {
        let now = Instant::now();
        let mut roster = Roster::default();
        roster.mark_feed_restored(now);
        roster.replace(now, entries, FeedPosition::new(0, 1));
        Self {
            roster,
            evidence: Evidence::default(),
            // Removals are trusted from here on.
            now: now + Duration::from_secs(60),
            revision: 1,
        }
    }

    fn apply(&mut self, change: RosterChange) {
        self.revision += 1;
        let position = FeedPosition::new(0, self.revision);
        self.roster.apply(self.now, change, position);
    }

    fn put(&mut self, entry: RosterEntry) {
        self.apply(RosterChange::Put(entry));
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    /// Returns why the instance counts as cold, and for how long.
    fn cold(&self) -> Option<(ColdCause, Duration)> {
        let id = InstanceId::new("a");
        let listed = self.roster.get(&id).expect("it is listed");
        let opened_at = self.evidence.path_opened_at(&id);
        let evacuations = self.roster.evacuations();
        let limit = policy().limit(self.now, listed, evacuations, opened_at)?;
        assert_eq!(limit.rate, policy().rate);
        Some((limit.cause, limit.warm_at - self.now))
    }
}

#[test]
fn an_instance_in_the_first_list_is_as_cold_as_its_entry_states() {
    let fleet = TestRoster::listing(vec![entry(1, Duration::ZERO)]);
    assert_eq!(fleet.cold(), None);
    let mut fleet = TestRoster::listing(Vec::new());
    fleet.put(entry(1, Duration::from_secs(9)));
    assert_eq!(
        fleet.cold(),
        Some((ColdCause::Entry, Duration::from_secs(9)))
    );
    fleet.pass(Duration::from_secs(9));
    assert_eq!(fleet.cold(), None);
}

/// Guards against full load for an instance whose entry does not yet state that it is cold.
#[test]
fn an_instance_that_joins_or_restarts_is_cold_whatever_its_entry_states() {
    let mut fleet = TestRoster::listing(Vec::new());
    fleet.put(entry(1, Duration::ZERO));
    assert_eq!(fleet.cold(), Some((ColdCause::Joined, POLICY_DURATION)));
    fleet.pass(Duration::from_secs(1));
    fleet.put(entry(1, Duration::ZERO));
    let left = Duration::from_secs(2);
    assert_eq!(fleet.cold(), Some((ColdCause::Joined, left)));
    fleet.pass(left);
    assert_eq!(fleet.cold(), None);
    fleet.put(entry(2, Duration::ZERO));
    assert_eq!(fleet.cold(), Some((ColdCause::Joined, POLICY_DURATION)));
}

/// Guards against a pause in which all instances count as cold after an outage of the
/// store, in which their entries lapsed.
#[test]
fn an_instance_whose_entry_lapsed_and_returns_has_not_joined() {
    let mut fleet = TestRoster::listing(vec![entry(1, Duration::ZERO)]);
    fleet.apply(RosterChange::Removed(InstanceId::new("a")));
    fleet.pass(Duration::from_secs(1));
    fleet.put(entry(1, Duration::ZERO));
    assert_eq!(fleet.cold(), None);
}

/// Guards against an entry from a restored backup that is older than the known one.
#[test]
fn an_older_entry_makes_no_instance_less_cold() {
    let mut fleet = TestRoster::listing(vec![entry(1, Duration::ZERO)]);
    fleet.put(entry(1, Duration::from_secs(5)));
    fleet.pass(Duration::from_secs(1));
    fleet.roster.replace(
        fleet.now,
        vec![entry(1, Duration::ZERO)],
        FeedPosition::new(1, 1),
    );
    let left = Duration::from_secs(4);
    assert_eq!(fleet.cold(), Some((ColdCause::Entry, left)));
}

#[test]
fn instances_are_cold_after_the_evacuation_of_their_domain() {
    let mut fleet = TestRoster::listing(vec![entry(1, Duration::ZERO)]);
    let north = FailureDomain::new("north");
    fleet.roster.evacuations_mut().order(north.clone());
    fleet.pass(Duration::from_secs(30));
    fleet.roster.evacuations_mut().take_back(fleet.now, &north);
    let whole = Some((ColdCause::EvacuationEnded, POLICY_DURATION));
    assert_eq!(fleet.cold(), whole);
    fleet.pass(Duration::from_secs(1));
    fleet.put(entry(1, Duration::from_secs(1)));
    let left = Duration::from_secs(2);
    assert_eq!(fleet.cold(), Some((ColdCause::EvacuationEnded, left)));
    fleet.pass(left);
    assert_eq!(fleet.cold(), None);
}

#[test]
fn an_instance_that_accepts_connections_again_is_cold() {
    let mut fleet = TestRoster::listing(vec![entry(1, Duration::ZERO)]);
    let id = InstanceId::new("a");
    fleet.evidence.record_open_path(fleet.now, &id);
    assert_eq!(fleet.cold(), None, "its path was not blocked");
    fleet.evidence.record_start(fleet.now, &id);
    fleet
        .evidence
        .record_end(fleet.now, &id, Observation::Unreachable);
    fleet.pass(Duration::from_secs(5));
    fleet.evidence.record_open_path(fleet.now, &id);
    let whole = Some((ColdCause::PathReopened, POLICY_DURATION));
    assert_eq!(fleet.cold(), whole);
    fleet.pass(Duration::from_secs(1));
    fleet.evidence.record_open_path(fleet.now, &id);
    assert_eq!(
        fleet.cold().map(|(_, left)| left),
        Some(POLICY_DURATION - Duration::from_secs(1))
    );
}

/// Guards against a host that asks for permits without end: a cold instance often had no
/// requests yet, and its answers name no limit.
#[test]
fn a_denied_permit_counts_for_an_instance_without_requests_or_limit() {
    const TIME: Duration = Duration::from_millis(300);
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_permit_denied(now, &id, TIME, PermitReason::Cold);
    assert_eq!(evidence.health(now, &id).no_permit_for, Some(TIME));
    evidence.record_rate_limit(&id, RateLimitChange::Lifted);
    let health = evidence.health(now, &id);
    assert_eq!(health.no_permit_for, Some(TIME));
    assert_eq!(health.no_permit_reason, PermitReason::Cold);
}
