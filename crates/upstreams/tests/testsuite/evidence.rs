//! Health estimates of instances from own outcomes and peer reports.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_core::InstanceId;
use waxwingusher_upstreams::evidence::SUSPECT_PAUSE;
use waxwingusher_upstreams::{Evidence, InstanceReport, Observation};

const SUCCESS: Observation = Observation::Success { slowness: 1.0 };
const STEP: Duration = Duration::from_millis(100);

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn report(in_flight: u8, successes: u8, failures: u8) -> InstanceReport {
    InstanceReport {
        in_flight,
        successes,
        failures,
        slowness_16ths: 16,
        success_age: (successes > 0).then_some(Duration::ZERO),
        failure_age: (failures > 0).then_some(Duration::ZERO),
    }
}

fn record(evidence: &mut Evidence, now: Instant, id: &InstanceId, observation: Observation) {
    evidence.record_start(now, id);
    evidence.record_end(now, id, observation);
}

#[test]
fn a_failure_of_an_unknown_instance_makes_a_suspect() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    record(&mut evidence, now, &id, Observation::Failure);
    let health = evidence.health(now, &id);
    assert!(health.is_suspect && health.is_paused);
    assert!(health.risk > 0.8, "{health:?}");
}

/// Some requests fail on every instance, so a single failure is not enough.
#[test]
fn two_failures_after_successes_make_a_suspect_but_one_does_not() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    for _ in 0..4 {
        record(&mut evidence, now, &id, SUCCESS);
    }
    record(&mut evidence, now, &id, Observation::Failure);
    assert!(!evidence.health(now, &id).is_suspect);
    record(&mut evidence, now, &id, Observation::Failure);
    assert!(evidence.health(now, &id).is_suspect);
}

/// Unhealthy instances complete some requests; a single success made the fleet treat
/// them as healthy again.
#[test]
fn one_success_does_not_clear_an_instance_after_repeated_failures() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    for _ in 0..3 {
        record(&mut evidence, now, &id, Observation::Failure);
    }
    record(&mut evidence, now, &id, SUCCESS);
    assert!(evidence.health(now, &id).is_suspect);
    for _ in 0..3 {
        record(&mut evidence, now, &id, SUCCESS);
    }
    assert!(!evidence.health(now, &id).is_suspect);
}

#[test]
fn a_suspect_is_paused_after_each_failure() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    record(&mut evidence, now, &id, Observation::Failure);
    assert!(evidence.health(now, &id).is_paused);
    let later = now + SUSPECT_PAUSE;
    assert!(!evidence.health(later, &id).is_paused);
    record(&mut evidence, later, &id, Observation::Failure);
    assert!(evidence.health(later + STEP, &id).is_paused);
}

#[test]
fn risks_decay_over_time() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    let other = InstanceId::new("b");
    for _ in 0..3 {
        record(&mut evidence, now, &id, SUCCESS);
        record(&mut evidence, now, &other, Observation::Failure);
    }
    let later = now + Duration::from_secs(5);
    let (healthy, unhealthy) = (evidence.health(now, &id), evidence.health(now, &other));
    let (later_healthy, later_unhealthy) =
        (evidence.health(later, &id), evidence.health(later, &other));
    assert!(healthy.risk < later_healthy.risk && later_healthy.risk < later_unhealthy.risk);
    assert!(later_unhealthy.risk < unhealthy.risk);
}

#[test]
fn outcomes_in_peer_reports_count_like_own_ones() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_peer_report(now, peer(1), &id, report(0, 0, 1));
    evidence.record_peer_report(now, peer(2), &id, report(0, 0, 1));
    assert!(evidence.health(now, &id).is_suspect);
    evidence.record_peer_report(now, peer(1), &id, report(0, 3, 1));
    evidence.record_peer_report(now, peer(3), &id, report(0, 1, 0));
    assert!(!evidence.health(now, &id).is_suspect);
}

#[test]
fn a_repeated_report_adds_no_outcome() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_peer_report(now, peer(1), &id, report(0, 0, 1));
    let once = evidence.health(now, &id).risk;
    evidence.record_peer_report(now, peer(1), &id, report(0, 0, 1));
    let twice = evidence.health(now, &id).risk;
    assert!((once - twice).abs() < 1e-9, "{once} {twice}");
}

#[test]
fn counts_of_a_restarted_peer_count_as_its_first_report() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_peer_report(now, peer(1), &id, report(0, 200, 0));
    evidence.forget_peer(peer(1));
    evidence.record_peer_report(now, peer(1), &id, report(0, 0, 1));
    let health = evidence.health(now, &id);
    let mut single = Evidence::default();
    single.record_peer_report(now, peer(1), &id, report(0, 1, 0));
    single.record_peer_report(now, peer(2), &id, report(0, 0, 1));
    assert!((health.risk - single.health(now, &id).risk).abs() < 1e-9);
}

#[test]
fn an_overdue_request_counts_against_its_instance() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_start(now, &id);
    evidence.record_overdue(now, &id);
    assert!(evidence.health(now, &id).is_suspect);
    assert_eq!(evidence.health(now, &id).in_flight, 1);
}

#[test]
fn requests_in_flight_of_peers_count_until_their_reports_are_too_old() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_start(now, &id);
    evidence.record_peer_report(now, peer(1), &id, report(3, 0, 0));
    evidence.record_peer_report(now, peer(2), &id, report(2, 0, 0));
    assert_eq!(evidence.health(now, &id).in_flight, 6);
    evidence.record_peer_report(now, peer(1), &id, report(0, 0, 0));
    assert_eq!(evidence.health(now, &id).in_flight, 3);
    let later = now + Duration::from_secs(10);
    assert_eq!(evidence.health(later, &id).in_flight, 1);
}

#[test]
fn a_blocked_path_is_paused_and_does_not_count_against_the_instance() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_start(now, &id);
    evidence.record_end(now, &id, Observation::Unreachable);
    let health = evidence.health(now, &id);
    assert!(health.is_paused && !health.is_suspect);
    assert_eq!(evidence.own_report(now, &id), InstanceReport::default());
    assert_eq!(evidence.blocked_paths().collect::<Vec<_>>(), [&id]);
    evidence.record_open_path(now, &id);
    assert!(!evidence.health(now, &id).is_paused);
}

#[test]
fn a_new_incarnation_starts_without_earlier_outcomes() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_start(now, &id);
    evidence.record_start(now, &id);
    evidence.record_end(now, &id, Observation::Failure);
    evidence.reset(&id);
    let health = evidence.health(now, &id);
    assert!(!health.is_suspect);
    assert_eq!(health.in_flight, 1, "the other request is still in flight");
}

#[test]
fn hosts_learn_from_peers_which_instances_are_slow() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    for count in 1..8 {
        let slow = InstanceReport {
            slowness_16ths: 96,
            ..report(0, count, 0)
        };
        evidence.record_peer_report(now, peer(1), &id, slow);
    }
    assert!(evidence.health(now, &id).slowness > 4.0);
}

/// One request in a hundred takes several times the usual time. An instance that ran
/// one got no request any more, and so no sample that would have shown that it is as
/// fast as the others (further-grown trouble-1).
#[test]
fn a_single_slow_answer_is_forgotten_after_some_seconds() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    record(
        &mut evidence,
        now,
        &id,
        Observation::Success { slowness: 7.5 },
    );
    assert!(evidence.health(now, &id).slowness > 2.5);
    let later = now + Duration::from_secs(8);
    assert!(evidence.health(later, &id).slowness < 1.2);
}

/// The load was summed over all hosts that had ever used the instance.
#[test]
fn reports_of_idle_peers_are_dropped_and_their_next_ones_still_count() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_peer_report(now, peer(1), &id, report(1, 4, 0));
    let later = now + Duration::from_secs(60);
    evidence.expire_reports(later);
    assert_eq!(evidence.health(later, &id).in_flight, 0);
    evidence.record_peer_report(later, peer(1), &id, report(0, 4, 1));
    evidence.record_peer_report(later, peer(1), &id, report(0, 4, 2));
    assert!(evidence.health(later, &id).is_suspect);
}

/// The logs of an incident did not show which instances no host had tried for seconds,
/// as an attempt was dated by its outcome only.
#[test]
fn attempts_of_all_hosts_are_dated_from_their_start() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    let attempt_age =
        |evidence: &Evidence, steps: u32| evidence.health(now + steps * STEP, &id).attempt_age;
    assert_eq!(attempt_age(&evidence, 0), None);
    evidence.record_start(now, &id);
    evidence.record_end(now + 2 * STEP, &id, SUCCESS);
    assert_eq!(attempt_age(&evidence, 3), Some(3 * STEP));
    let reports = [
        (4, report(2, 0, 0)),
        (5, report(1, 1, 0)),
        (6, report(1, 2, 0)),
    ];
    for (steps, report) in reports {
        evidence.record_peer_report(now + steps * STEP, peer(1), &id, report);
    }
    // The second report only tells of an end, the third one of an end and a start.
    assert_eq!(attempt_age(&evidence, 6), Some(Duration::ZERO));
    evidence.record_peer_report(now + 7 * STEP, peer(1), &id, report(0, 3, 0));
    assert_eq!(attempt_age(&evidence, 7), Some(STEP));
}
