//! Choice of an instance, and the load that a fleet of hosts causes by it.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, FeedPosition, InstanceId, ServiceName};
use waxwingusher_upstreams::placement::exclusions;
use waxwingusher_upstreams::{
    Evidence, LoadSharing, Observation, PermitReason, Placement, PlacementError, PlacementRequest,
    RateLimit, RateLimitChange, Roster, RosterEntry, RosterState, place,
};

const SLOTS: u32 = 4;

fn entry(id: &str, domain: &str, cold_for: Duration) -> RosterEntry {
    RosterEntry {
        id: InstanceId::new(id),
        incarnation: 1,
        service: ServiceName::new("svc"),
        addr: "127.0.0.1:80".parse().expect("an address"),
        failure_domain: FailureDomain::new(domain),
        software: Arc::from("v1"),
        slots: SLOTS,
        state: RosterState::Ready,
        cold_for,
    }
}

struct TestHost {
    roster: Roster,
    evidence: Evidence,
    rng: fastrand::Rng,
    now: Instant,
    priority: u32,
    attempts_left: u32,
    load_sharing: LoadSharing,
    refused_share: f64,
}

impl TestHost {
    fn new(entries: Vec<RosterEntry>) -> Self {
        let now = Instant::now();
        let mut roster = Roster::default();
        roster.replace(now, entries, FeedPosition::new(0, 1));
        Self {
            roster,
            evidence: Evidence::default(),
            rng: fastrand::Rng::with_seed(7),
            now,
            priority: 0,
            attempts_left: 2,
            load_sharing: LoadSharing::for_hosts(1),
            refused_share: 0.0,
        }
    }

    fn place(
        &mut self,
        is_idempotent: bool,
        attempted: &[InstanceId],
    ) -> Result<Placement, PlacementError> {
        let request = PlacementRequest {
            refused_share: self.refused_share,
            service: &ServiceName::new("svc"),
            is_idempotent,
            attempts_left: self.attempts_left,
            attempted,
            failure_domain: &FailureDomain::new("north"),
            allowed_domains: None,
            priority: self.priority,
            usual_time: Duration::from_millis(200),
            latency_target: Duration::from_millis(400),
            room: None,
            load_sharing: self.load_sharing,
        };
        place(
            self.now,
            &self.roster,
            &self.evidence,
            &request,
            &mut self.rng,
        )
    }

    fn record(&mut self, id: &str, observation: Observation) {
        let id = InstanceId::new(id);
        self.evidence.record_start(self.now, &id);
        self.evidence.record_end(self.now, &id, observation);
    }

    fn chosen(&mut self, is_idempotent: bool) -> String {
        let placement = self
            .place(is_idempotent, &[])
            .expect("an instance is available");
        placement.instance.entry.id.to_string()
    }
}

const SUCCESS: Observation = Observation::Success { slowness: 1.0 };

/// Instances become unhealthy for seconds while their health checks pass, so requests
/// that cannot be retried need recent successes.
#[test]
fn retryable_requests_explore_and_others_follow_recent_successes() {
    let local = |id| entry(id, "north", Duration::ZERO);
    let mut host = TestHost::new(vec![local("known"), local("unknown")]);
    host.record("known", SUCCESS);
    assert_eq!(host.chosen(false), "known");
    assert_eq!(host.chosen(true), "unknown");
}

#[test]
fn a_suspect_gets_only_a_retryable_request_and_only_after_its_pause() {
    let local = |id| entry(id, "north", Duration::ZERO);
    let mut host = TestHost::new(vec![local("healthy"), local("unhealthy")]);
    host.record("healthy", SUCCESS);
    host.record("unhealthy", Observation::Failure);
    assert_eq!(host.chosen(true), "healthy");
    assert_eq!(host.chosen(false), "healthy");
    host.now += Duration::from_secs(1);
    host.record("healthy", SUCCESS);
    assert_eq!(host.chosen(true), "unhealthy");
    assert_eq!(host.chosen(false), "healthy");
}

/// One in ten retryable requests failed finally at a known suspect, as even their last
/// attempt was used for a trial.
#[test]
fn the_last_attempt_of_a_retryable_request_follows_recent_successes() {
    let local = |id| entry(id, "north", Duration::ZERO);
    let mut host = TestHost::new(vec![local("healthy"), local("unhealthy"), local("unknown")]);
    host.record("unhealthy", Observation::Failure);
    host.record("unhealthy", Observation::Failure);
    host.now += Duration::from_secs(1);
    host.record("healthy", SUCCESS);
    let first = host.chosen(true);
    assert_ne!(first, "healthy", "the first attempt explores");
    host.attempts_left = 1;
    for _ in 0..20 {
        assert_eq!(host.chosen(true), "healthy");
    }
}

/// With half of the instances unhealthy and the others full, every second request was
/// sent to a known suspect.
#[test]
fn a_request_waits_for_a_busy_instance_instead_of_failing_at_a_suspect() {
    let local = |id| entry(id, "north", Duration::ZERO);
    let mut host = TestHost::new(vec![local("healthy"), local("unhealthy")]);
    host.record("healthy", SUCCESS);
    host.record("unhealthy", Observation::Failure);
    host.record("unhealthy", Observation::Failure);
    for _ in 0..2 * SLOTS {
        host.evidence
            .record_start(host.now, &InstanceId::new("healthy"));
    }
    assert_eq!(host.place(false, &[]).err(), Some(PlacementError::AllBusy));
    assert_eq!(host.place(true, &[]).err(), Some(PlacementError::AllBusy));
    host.now += Duration::from_millis(1_600);
    assert_eq!(host.place(false, &[]).err(), Some(PlacementError::AllBusy));
    assert_eq!(
        host.chosen(true),
        "unhealthy",
        "a retryable request tries a suspect"
    );
    for _ in 0..SLOTS {
        host.evidence
            .record_start(host.now, &InstanceId::new("unhealthy"));
    }
    host.now += Duration::from_secs(2);
    assert_eq!(host.place(true, &[]).err(), Some(PlacementError::AllBusy));
}

#[test]
fn a_service_whose_instances_are_all_suspects_still_gets_requests() {
    let local = |id| entry(id, "north", Duration::ZERO);
    let mut host = TestHost::new(vec![local("a"), local("b")]);
    host.record("a", Observation::Failure);
    host.record("b", Observation::Failure);
    host.chosen(false);
    host.chosen(true);
}

#[test]
fn the_local_failure_domain_is_preferred_while_it_has_room() {
    let mut host = TestHost::new(vec![
        entry("local", "north", Duration::ZERO),
        entry("remote", "south", Duration::ZERO),
    ]);
    host.record("local", SUCCESS);
    host.record("remote", SUCCESS);
    assert_eq!(host.chosen(false), "local");
    // By their latency target requests can bear one place in a queue.
    for _ in 0..=SLOTS {
        assert_eq!(host.chosen(false), "local");
        host.evidence
            .record_start(host.now, &InstanceId::new("local"));
    }
    assert_eq!(host.chosen(false), "remote");
}

#[test]
fn warm_and_fast_instances_are_preferred() {
    let warm = entry("warm", "north", Duration::ZERO);
    let mut host = TestHost::new(vec![
        warm.clone(),
        entry("cold", "north", Duration::from_secs(3)),
    ]);
    host.record("warm", SUCCESS);
    host.record("cold", SUCCESS);
    assert_eq!(host.chosen(false), "warm");
    let mut host = TestHost::new(vec![warm, entry("slow", "north", Duration::ZERO)]);
    host.record("warm", SUCCESS);
    host.record("slow", Observation::Success { slowness: 9.0 });
    assert_eq!(host.chosen(false), "warm");
}

/// Requests of several priorities exceed the slots, at hosts that do not see each
/// other's waiting requests.
#[test]
fn urgent_requests_use_queue_slots_that_others_leave_free() {
    let mut host = TestHost::new(vec![entry("only", "north", Duration::ZERO)]);
    host.record("only", SUCCESS);
    for _ in 0..SLOTS + 2 {
        host.evidence
            .record_start(host.now, &InstanceId::new("only"));
    }
    assert!(host.place(false, &[]).is_ok());
    host.priority = 2;
    assert_eq!(host.place(false, &[]).err(), Some(PlacementError::AllBusy));
}

#[test]
fn busy_instances_and_no_instance_are_different_errors() {
    let mut host = TestHost::new(vec![entry("only", "north", Duration::ZERO)]);
    let only = InstanceId::new("only");
    assert_eq!(
        host.place(true, std::slice::from_ref(&only)).err(),
        Some(PlacementError::NoInstance)
    );
    for _ in 0..2 * SLOTS {
        host.evidence.record_start(host.now, &only);
    }
    assert_eq!(host.place(true, &[]).err(), Some(PlacementError::AllBusy));
}

/// A burst arrives at hosts that learn of each other's load only with the next
/// heartbeat. Hosts of one failure domain see each other's starts; those of another
/// are seen with a delay of several requests.
#[test]
fn hosts_with_outdated_loads_of_each_other_spread_a_burst() {
    const HOSTS: usize = 8;
    const INSTANCES: usize = 12;
    const REQUESTS: usize = 36;
    let ids: Vec<String> = (0..INSTANCES).map(|number| format!("i-{number}")).collect();
    let entries = || {
        ids.iter()
            .map(|id| entry(id, "north", Duration::ZERO))
            .collect()
    };
    let mut hosts: Vec<TestHost> = (0..HOSTS).map(|_| TestHost::new(entries())).collect();
    for (seed, host) in hosts.iter_mut().enumerate() {
        host.rng = fastrand::Rng::with_seed(seed as u64);
        host.load_sharing = LoadSharing::for_hosts(HOSTS);
        for id in &ids {
            host.record(id, SUCCESS);
        }
    }
    let mut load: HashMap<String, u8> = HashMap::new();
    for number in 0..REQUESTS {
        let host = &mut hosts[number % HOSTS];
        let id = host.chosen(false);
        host.evidence.record_start(host.now, &InstanceId::new(&id));
        *load.entry(id).or_default() += 1;
        if number % HOSTS == HOSTS - 1 {
            exchange(&mut hosts, &ids);
        }
    }
    let most = load.values().max().copied().unwrap_or(0);
    // Three per instance are even; a host may be one round behind seven others.
    assert!(u32::from(most) <= SLOTS + 2, "{load:?}");
    assert!(load.len() >= INSTANCES - 2, "{load:?}");
}

/// At light load all requests went to suspects and to the instances that had just
/// succeeded, and three of six healthy ones got no request for 2 s. An instance counts
/// as healthy from 2 s after its last failure on.
#[test]
fn seven_in_ten_healthy_instances_get_requests_in_two_seconds_at_light_load() {
    check_share_of_healthy_instances_in_use(
        |number| number % 3 == 0,
        false,
        LoadSharing::for_hosts(1),
    );
}

/// Requests of a service without retryable ones crowded on the instances that had just
/// succeeded: 41 of 65 healthy ones, most of which had succeeded when they were last
/// used, got no request for 2 s while those in use had queues (further-grown trouble-1).
#[test]
fn healthy_instances_stay_in_use_by_requests_that_cannot_be_retried() {
    check_share_of_healthy_instances_in_use(|_| false, true, LoadSharing::for_hosts(1));
}

/// Guards against instances without requests while load is shared: half of them are in a
/// failure domain without hosts.
#[test]
fn healthy_instances_stay_in_use_at_light_load_while_load_is_shared() {
    let sharing = LoadSharing::for_hosts(8);
    check_share_of_healthy_instances_in_use(|number| number % 3 == 0, false, sharing);
    check_share_of_healthy_instances_in_use(|_| false, true, sharing);
}

/// Checks that seven in ten healthy instances get requests in each span of two seconds.
fn check_share_of_healthy_instances_in_use(
    is_idempotent: impl Fn(usize) -> bool,
    all_have_succeeded: bool,
    load_sharing: LoadSharing,
) {
    const HOSTS: usize = 8;
    const STEP: Duration = Duration::from_millis(40);
    const SPAN: Duration = Duration::from_secs(2);
    let ids: Vec<String> = (0..14).map(|number| format!("i-{number}")).collect();
    let domain = |number: usize| {
        if number.is_multiple_of(2) {
            "north"
        } else {
            "south"
        }
    };
    let entries = || {
        let ids = ids.iter().enumerate();
        ids.map(|(number, id)| entry(id, domain(number), Duration::ZERO))
            .collect()
    };
    let mut hosts: Vec<TestHost> = (0..HOSTS).map(|_| TestHost::new(entries())).collect();
    for host in &mut hosts {
        host.load_sharing = load_sharing;
    }
    let unhealthy = ["i-1", "i-4", "i-7", "i-8", "i-11"];
    if all_have_succeeded {
        for id in ids.iter().cycle().take(2 * ids.len()) {
            hosts[0].record(id, SUCCESS);
        }
        exchange(&mut hosts, &ids);
    }
    let mut requests: Vec<(Instant, String, bool)> = Vec::new();
    let start = hosts[0].now;
    for number in 0..500 {
        let host = &mut hosts[number % HOSTS];
        let id = host.chosen(is_idempotent(number));
        let is_unhealthy = unhealthy.contains(&id.as_str());
        host.record(
            &id,
            if is_unhealthy {
                Observation::Failure
            } else {
                SUCCESS
            },
        );
        requests.push((host.now, id, is_unhealthy));
        exchange(&mut hosts, &ids);
        for host in &mut hosts {
            host.now += STEP;
        }
        let (now, begin) = (hosts[0].now, hosts[0].now - SPAN);
        if begin < start + 2 * SPAN {
            continue;
        }
        let has = |id: &String, from: Instant, until: Instant, only_failures: bool| {
            let mut requests_in_time = requests
                .iter()
                .filter(|(at, _, _)| *at >= from && *at < until);
            requests_in_time.any(|(_, other, failed)| other == id && (*failed || !only_failures))
        };
        let healthy: Vec<&String> = ids
            .iter()
            .filter(|id| !has(id, begin - SPAN, begin, true))
            .filter(|id| !all_have_succeeded || !unhealthy.contains(&id.as_str()))
            .collect();
        let served = healthy
            .iter()
            .filter(|id| has(id, begin, now, false))
            .count();
        assert!(served * 10 >= healthy.len() * 7, "{served} of {healthy:?}");
    }
}

/// Guards against recovered instances without requests while a workspace far above its rate
/// is refused: 15 of 28 got none for 2 s, as a service without retryable requests tried no
/// suspect again (further-grown trouble-3). While nearly all requests are served, a trial
/// costs callers more than it gives.
#[test]
fn idle_instances_get_trials_while_many_requests_are_refused() {
    const HOSTS: usize = 8;
    let ids: Vec<String> = (0..10).map(|number| format!("i-{number}")).collect();
    for (refused_share, needs_trials) in [(0.2, true), (0.05, false)] {
        let entries = || ids.iter().map(|id| entry(id, "north", Duration::ZERO));
        let mut hosts: Vec<TestHost> = (0..HOSTS)
            .map(|_| TestHost::new(entries().collect()))
            .collect();
        for id in &ids {
            hosts[0].record(id, SUCCESS);
        }
        for id in ids.iter().take(6).cycle().take(18) {
            hosts[0].record(id, Observation::Failure);
        }
        exchange(&mut hosts, &ids);
        let mut used: HashSet<String> = HashSet::new();
        for number in 0..75 {
            for host in &mut hosts {
                host.now += Duration::from_millis(40);
                host.refused_share = refused_share;
            }
            let host = &mut hosts[number % HOSTS];
            let id = host.chosen(false);
            host.record(&id, SUCCESS);
            exchange(&mut hosts, &ids);
            used.insert(id);
        }
        let count = used.len();
        assert_eq!(count >= 7, needs_trials, "{refused_share}: {used:?}");
    }
}

/// Until the first answer of an instance came, all hosts sent it their requests, up to
/// 13 in a second, and others got none (incident inc1).
#[test]
fn requests_do_not_pile_up_at_an_instance_while_its_answers_are_pending() {
    let ids: Vec<String> = (0..4).map(|number| format!("i-{number}")).collect();
    let entries = ids.iter().map(|id| entry(id, "north", Duration::ZERO));
    let mut host = TestHost::new(entries.collect());
    for id in &ids {
        host.record(id, SUCCESS);
        host.now += Duration::from_millis(300);
    }
    let mut chosen: Vec<String> = Vec::new();
    for _ in &ids {
        let id = host.chosen(true);
        host.evidence.record_start(host.now, &InstanceId::new(&id));
        host.now += Duration::from_millis(20);
        chosen.push(id);
    }
    chosen.sort_unstable();
    assert_eq!(chosen, ids);
}

/// An instance answered 503 with a time during which it wants no requests.
#[test]
fn an_instance_that_backs_off_gets_no_request_until_its_time_is_over() {
    const TIME: Duration = Duration::from_secs(3);
    let local = |id| entry(id, "north", Duration::ZERO);
    let mut host = TestHost::new(vec![local("a"), local("b")]);
    host.record("a", SUCCESS);
    let (a, b) = (InstanceId::new("a"), InstanceId::new("b"));
    host.evidence.record_back_off(host.now, &a, TIME);
    for _ in 0..20 {
        assert_eq!(host.chosen(false), "b");
    }
    let later = TIME + Duration::from_secs(1);
    host.evidence.record_back_off(host.now, &b, later);
    assert_eq!(
        host.place(true, &[]).err(),
        Some(PlacementError::AllBackOff { retry_after: TIME })
    );
    let request = PlacementRequest {
        refused_share: 0.0,
        service: &ServiceName::new("svc"),
        is_idempotent: true,
        attempts_left: 1,
        attempted: &[],
        failure_domain: &FailureDomain::new("north"),
        allowed_domains: None,
        priority: 0,
        usual_time: Duration::from_millis(200),
        latency_target: Duration::from_millis(400),
        room: None,
        load_sharing: LoadSharing::for_hosts(1),
    };
    let counts = exclusions(host.now, &host.roster, &host.evidence, &request);
    assert_eq!(counts.back_off, 2);
    host.now += TIME;
    assert_eq!(host.chosen(false), "a");
}

/// Delivers every host's reports to all others.
fn exchange(hosts: &mut [TestHost], ids: &[String]) {
    for sender in 0..hosts.len() {
        let addr = SocketAddr::from(([10, 0, 0, 1], u16::try_from(sender).unwrap_or(0)));
        for id in ids {
            let id = InstanceId::new(id);
            let report = hosts[sender].evidence.own_report(hosts[sender].now, &id);
            for (number, receiver) in hosts.iter_mut().enumerate() {
                if number != sender {
                    receiver
                        .evidence
                        .record_peer_report(receiver.now, addr, &id, report);
                }
            }
        }
    }
}

/// Guards against a suspect that gets a request although a healthy instance takes it soon.
#[test]
fn a_request_is_refused_while_the_next_permit_of_a_healthy_instance_is_near() {
    const TIME: Duration = Duration::from_millis(150);
    let local = |id| entry(id, "north", Duration::ZERO);
    let mut host = TestHost::new(vec![local("limited"), local("failing")]);
    host.record("limited", SUCCESS);
    for _ in 0..3 {
        host.record("failing", Observation::Failure);
    }
    let limited = InstanceId::new("limited");
    let limit = RateLimitChange::Named(RateLimit::from_milli_per_s(2_000));
    host.evidence.record_rate_limit(&limited, limit);
    assert_eq!(host.chosen(false), "limited");
    host.evidence
        .record_permit_denied(host.now, &limited, TIME, PermitReason::RateLimit);
    assert_eq!(
        host.place(false, &[]).err(),
        Some(PlacementError::AllBackOff { retry_after: TIME })
    );
    host.evidence
        .record_rate_limit(&limited, RateLimitChange::Lifted);
    assert_eq!(host.chosen(false), "limited");
}

/// Guards against requests that leave their failure domain though a local slot is free: a
/// third of them did, as a slot was taken, some answers had been slow, or the hosts of the
/// other domain were late to report their attempts (further quiet-1).
#[test]
fn requests_leave_their_domain_only_for_room_or_a_much_lower_risk() {
    let slow = Observation::Success { slowness: 2.0 };
    let busy = |host: &mut TestHost| {
        let local = InstanceId::new("local");
        (1..SLOTS).for_each(|_| host.evidence.record_start(host.now, &local));
    };
    type Change<'a> = &'a dyn Fn(&mut TestHost);
    let cases: [(&str, Change<'_>, &str); 6] = [
        ("all but one local slot are taken", &busy, "local"),
        (
            "some local answers were slow",
            &|host| (0..3).for_each(|_| host.record("local", slow)),
            "local",
        ),
        (
            "one local request in many failed",
            &|host| {
                (0..8).for_each(|_| host.record("local", SUCCESS));
                host.record("local", Observation::Failure);
            },
            "local",
        ),
        (
            "no attempt at the remote instance was reported for 700 ms",
            &|host| {
                host.now += Duration::from_millis(700);
                host.record("local", SUCCESS);
            },
            "local",
        ),
        (
            "no host has tried the remote instance for 2 s",
            &|host| {
                host.now += Duration::from_secs(2);
                host.record("local", SUCCESS);
            },
            "remote",
        ),
        (
            "the local instance fails",
            &|host| (0..2).for_each(|_| host.record("local", Observation::Failure)),
            "remote",
        ),
    ];
    for (situation, change, expected) in cases {
        let mut host = TestHost::new(vec![
            entry("local", "north", Duration::ZERO),
            entry("remote", "south", Duration::ZERO),
        ]);
        host.record("local", SUCCESS);
        host.record("remote", SUCCESS);
        change(&mut host);
        assert_eq!(host.chosen(true), expected, "{situation}");
    }
}

/// Guards against instances that recovered and stay idle, as a failure of a request that
/// cannot be repeated outweighs the value of a trial: 11 of 34 sound ones got nothing for
/// 2 s (further-grown trouble-3).
#[test]
fn an_idle_instance_gets_a_trial_as_soon_as_it_is_no_suspect() {
    let mut host = TestHost::new(vec![
        entry("used", "north", Duration::ZERO),
        entry("recovered", "north", Duration::ZERO),
    ]);
    let recovered = InstanceId::new("recovered");
    (0..2).for_each(|_| host.record("recovered", Observation::Failure));
    while host.evidence.health(host.now, &recovered).is_suspect {
        host.now += Duration::from_millis(50);
    }
    host.record("used", SUCCESS);
    let is_tried = (0..20).any(|_| host.chosen(false) == "recovered");
    assert!(is_tried, "{:?}", host.evidence.health(host.now, &recovered));
}
