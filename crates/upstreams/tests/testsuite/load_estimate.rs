//! Choice of instances while load is shared over many hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, FeedPosition, InstanceId, ServiceName};
use waxwingusher_upstreams::load_estimate::{Candidate, CandidateGroup};
use waxwingusher_upstreams::{
    Evidence, InstanceReport, LoadSharing, Observation, PlacementRequest, Roster, RosterEntry,
    RosterState, place,
};

const SLOTS: u32 = 4;
const USUAL_TIME: Duration = Duration::from_millis(200);
const SUCCESS: Observation = Observation::Success { slowness: 1.0 };
/// Draws for the estimate of a share; it is exact to about 0.02.
const DRAWS: usize = 2_000;

fn candidate(in_flight: u32) -> Candidate {
    Candidate {
        base_cost: 0.0,
        slots: SLOTS,
        in_flight,
    }
}

/// Returns the share of draws of each candidate.
fn shares(candidates: &[Candidate], unseen_requests: f64) -> Vec<f64> {
    let mut group = CandidateGroup::default();
    for candidate in candidates {
        group.push(*candidate);
    }
    let mut rng = fastrand::Rng::with_seed(3);
    let mut counts = vec![0.0; candidates.len()];
    for _ in 0..DRAWS {
        let draw = group.draw(unseen_requests, &mut rng).expect("a candidate");
        counts[draw.index] += 1.0 / DRAWS as f64;
    }
    counts
}

/// A host that sees all requests needs no spread.
#[test]
fn without_unseen_requests_the_least_loaded_instance_is_drawn() {
    let shares = shares(&[candidate(2), candidate(0), candidate(2)], 0.0);
    assert!(shares[1] > 0.95, "{shares:?}");
}

/// Guards against hosts that all choose the instance that was idle in the last report.
#[test]
fn unseen_requests_are_spread_in_proportion_to_the_room_below_their_level() {
    let shares = shares(&[candidate(0), candidate(2), candidate(3)], 5.0);
    // The level at which six more fit: 11 requests over three instances.
    for (share, room) in shares.iter().zip([11.0 / 3.0, 5.0 / 3.0, 2.0 / 3.0]) {
        assert!((share - room / 6.0).abs() < 0.05, "{shares:?}");
    }
}

#[test]
fn an_instance_with_more_slots_is_drawn_more_often() {
    let large = Candidate {
        slots: 3 * SLOTS,
        ..candidate(0)
    };
    let shares = shares(&[candidate(0), large], 7.0);
    assert!((shares[1] - 0.75).abs() < 0.05, "{shares:?}");
}

#[test]
fn a_group_without_instances_has_no_draw() {
    let group = CandidateGroup::default();
    let mut rng = fastrand::Rng::with_seed(3);
    assert_eq!(group.draw(3.0, &mut rng), None);
    assert_eq!(group.least_cost(), None);
}

#[test]
fn the_age_of_local_reports_grows_with_the_number_of_hosts() {
    let age = |hosts| LoadSharing::for_hosts(hosts).local_report_age;
    assert_eq!(age(0), Duration::from_millis(4));
    assert_eq!(age(1), Duration::from_millis(4));
    assert_eq!(age(33), Duration::from_millis(16));
}

struct TestHost {
    now: Instant,
    roster: Roster,
    evidence: Evidence,
    rng: fastrand::Rng,
    is_idempotent: bool,
    local_hosts: usize,
    latency_target: Duration,
}

impl TestHost {
    /// Creates a host in `north` with instances that are given by name and domain.
    fn new(instances: &[(&str, &str)]) -> Self {
        let now = Instant::now();
        let entries = instances.iter().map(|(id, domain)| RosterEntry {
            id: InstanceId::new(id),
            incarnation: 1,
            service: ServiceName::new("svc"),
            addr: "127.0.0.1:80".parse().expect("an address"),
            failure_domain: FailureDomain::new(domain),
            software: Arc::from("v1"),
            slots: SLOTS,
            state: RosterState::Ready,
            cold_for: Duration::ZERO,
        });
        let mut roster = Roster::default();
        roster.replace(now, entries.collect(), FeedPosition::new(0, 1));
        Self {
            now,
            roster,
            evidence: Evidence::default(),
            rng: fastrand::Rng::with_seed(7),
            is_idempotent: false,
            local_hosts: 8,
            latency_target: Duration::from_millis(400),
        }
    }

    fn record(&mut self, id: &str, observation: Observation) {
        let id = InstanceId::new(id);
        self.evidence.record_start(self.now, &id);
        self.evidence.record_end(self.now, &id, observation);
    }

    /// Starts requests that do not end.
    fn load(&mut self, id: &str, requests: u32) {
        for _ in 0..requests {
            self.evidence.record_start(self.now, &InstanceId::new(id));
        }
    }

    fn chosen(&mut self) -> String {
        let request = PlacementRequest {
            refused_share: 0.0,
            allowed_domains: None,
            room: None,
            service: &ServiceName::new("svc"),
            is_idempotent: self.is_idempotent,
            attempts_left: 2,
            attempted: &[],
            failure_domain: &FailureDomain::new("north"),
            priority: 0,
            usual_time: USUAL_TIME,
            latency_target: self.latency_target,
            load_sharing: LoadSharing::for_hosts(self.local_hosts),
        };
        let (now, rng) = (self.now, &mut self.rng);
        let placement = place(now, &self.roster, &self.evidence, &request, rng);
        let placement = placement.expect("an instance is available");
        placement.instance.entry.id.to_string()
    }

    /// Returns the share of choices of an instance.
    fn share(&mut self, id: &str) -> f64 {
        let chosen = (0..DRAWS).filter(|_| self.chosen() == id).count();
        chosen as f64 / DRAWS as f64
    }
}

/// Guards against traffic between domains that spares callers nothing: two in five
/// requests left a domain for a free slot, though they had time for its queue (further
/// scale-2).
#[test]
fn requests_leave_the_domain_only_when_its_queue_takes_too_long_for_them() {
    // The usual time is 200 ms, and an instance has four slots, so the first place in its
    // queue takes a quarter of a round.
    let cases = [
        ("no time to spare", 200, 0),
        ("a quarter of a round does not fit", 300, 0),
        ("one place fits", 400, 1),
        ("two places fit", 550, 2),
        ("no more than three places fit", 2_000, 3),
    ];
    for (situation, latency_target_ms, places) in cases {
        let mut host = TestHost::new(&[("a", "north"), ("b", "north"), ("c", "south")]);
        host.latency_target = Duration::from_millis(latency_target_ms);
        for id in ["a", "b", "c"] {
            host.record(id, SUCCESS);
        }
        host.load("a", 3 * SLOTS);
        host.load("b", SLOTS - 1);
        let remote = host.share("c");
        assert!(remote < 0.2, "others may take the last slot: {remote}");
        assert_eq!(remote > 0.0, places == 0, "{situation}: {remote}");
        host.local_hosts = 1;
        for _ in 0..=places {
            assert!(host.share("b") > 0.99, "{situation}: there is room in b");
            host.load("b", 1);
        }
        assert!(host.share("c") > 0.99, "{situation}: the queue is too long");
        host.load("c", SLOTS + places);
        assert!(host.share("c") < 0.01, "{situation}: so is the remote one");
    }
}

/// Requests moved back and forth between domains that were all nearly full, since reports
/// of 400 ms showed slots that others had taken (trial at 32 hosts and load 0.95).
#[test]
fn few_requests_leave_a_busy_domain_for_one_that_is_nearly_full() {
    let remote: Vec<String> = (0..10).map(|number| format!("r-{number}")).collect();
    let mut instances: Vec<(&str, &str)> = remote.iter().map(|id| (id.as_str(), "south")).collect();
    instances.push(("local", "north"));
    let mut host = TestHost::new(&instances);
    // No time is left for a queue.
    host.latency_target = USUAL_TIME;
    for (id, _) in &instances {
        host.record(id, SUCCESS);
        host.load(id, SLOTS);
    }
    let id = InstanceId::new("r-0");
    host.evidence.record_end(host.now, &id, SUCCESS);
    let share = host.share("local");
    assert!(share > 0.7, "one of 40 remote slots is free: {share}");
    for id in &remote[1..] {
        let id = InstanceId::new(id);
        host.evidence.record_end(host.now, &id, SUCCESS);
    }
    assert!(host.share("local") < 0.05, "a quarter of them is free");
}

/// Guards against hosts of all domains that explore the same instance.
#[test]
fn a_remote_instance_is_explored_only_if_its_own_domain_does_not() {
    for is_idempotent in [false, true] {
        let mut host = TestHost::new(&[("local", "north"), ("remote", "south")]);
        host.is_idempotent = is_idempotent;
        host.record("remote", SUCCESS);
        host.now += Duration::from_millis(1_300);
        host.record("local", SUCCESS);
        assert_eq!(host.share("remote"), 0.0, "its domain may still explore it");
        host.now += Duration::from_millis(500);
        host.record("local", SUCCESS);
        assert!(host.share("remote") > 0.9);
    }
}

/// Guards against an instance that starts in a domain without hosts and gets no trial.
#[test]
fn a_remote_instance_that_was_never_tried_gets_a_trial() {
    let mut host = TestHost::new(&[("local", "north"), ("remote", "south")]);
    host.is_idempotent = true;
    host.record("local", SUCCESS);
    assert!(host.share("remote") > 0.9);
}

/// Until the first reports arrive, all hosts of a domain see that the instance was not
/// explored.
#[test]
fn an_instance_is_explored_by_few_of_the_requests_that_arrive_before_the_next_report() {
    let ids: Vec<String> = (0..40).map(|number| format!("busy-{number}")).collect();
    let mut instances: Vec<(&str, &str)> = ids.iter().map(|id| (id.as_str(), "south")).collect();
    instances.push(("new", "south"));
    instances.push(("local", "north"));
    let mut host = TestHost::new(&instances);
    host.is_idempotent = true;
    host.record("local", SUCCESS);
    for id in &ids {
        host.record(id, SUCCESS);
        host.load(id, SLOTS);
    }
    // 160 requests that take 200 ms each: 320 arrive in 400 ms, the age of reports.
    let share = host.share("new");
    assert!(share > 0.0 && share < 0.02, "{share}");
}

/// Random answer times must not make an instance look slow, and real slowness must count.
#[test]
fn slow_instances_get_less_and_a_single_slow_answer_changes_little() {
    let mut host = TestHost::new(&[("usual", "north"), ("slow", "north")]);
    for _ in 0..40 {
        host.record("usual", SUCCESS);
        host.record("slow", Observation::Success { slowness: 2.5 });
    }
    assert!(host.share("usual") > 0.9);
    let mut host = TestHost::new(&[("usual", "north"), ("once", "north")]);
    host.record("usual", SUCCESS);
    host.record("once", Observation::Success { slowness: 2.0 });
    host.load("usual", 1);
    assert!(host.share("once") > 0.8);
}

/// Reports that no longer arrive must not keep load on a host's own instances apart.
#[test]
fn a_host_alone_uses_all_its_instances_evenly() {
    let mut host = TestHost::new(&[("a", "north"), ("b", "north")]);
    host.local_hosts = 1;
    let peer = SocketAddr::from(([10, 0, 0, 2], 7_000));
    for id in ["a", "b"] {
        host.record(id, SUCCESS);
    }
    let busy = InstanceReport {
        in_flight: 4,
        ..InstanceReport::default()
    };
    let a = InstanceId::new("a");
    host.evidence.record_peer_report(host.now, peer, &a, busy);
    assert!(host.share("b") > 0.99);
    host.now += Duration::from_secs(4);
    for id in ["a", "b"] {
        host.record(id, SUCCESS);
    }
    let share = host.share("a");
    assert!((share - 0.5).abs() < 0.05, "{share}");
}
