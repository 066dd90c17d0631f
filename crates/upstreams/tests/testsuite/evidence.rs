//! What hosts know of instances together.

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

fn word(in_flight: u8, successes: u8, failures: u8) -> InstanceReport {
    InstanceReport {
        in_flight,
        successes,
        failures,
        slowness_16ths: 16,
        success_age: (successes > 0).then_some(Duration::ZERO),
        failure_age: (failures > 0).then_some(Duration::ZERO),
    }
}

fn see(evidence: &mut Evidence, now: Instant, id: &InstanceId, seen: Observation) {
    evidence.record_start(id);
    evidence.record_end(now, id, seen);
}

#[test]
fn a_failure_of_an_unknown_instance_makes_a_suspect() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    see(&mut evidence, now, &id, Observation::Failure);
    let health = evidence.health(now, &id);
    assert!(health.is_suspect && health.is_paused);
    assert!(health.risk > 0.8, "{health:?}");
}

/// Some requests fail wherever they run.
#[test]
fn one_failure_among_successes_makes_no_suspect_but_two_do() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    for _ in 0..4 {
        see(&mut evidence, now, &id, SUCCESS);
    }
    see(&mut evidence, now, &id, Observation::Failure);
    assert!(!evidence.health(now, &id).is_suspect);
    see(&mut evidence, now, &id, Observation::Failure);
    assert!(evidence.health(now, &id).is_suspect);
}

/// Massgate scale-2: sick instances answer some requests well, and one success
/// made the fleet believe in them again.
#[test]
fn one_success_does_not_clear_an_instance_that_failed_again_and_again() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    for _ in 0..3 {
        see(&mut evidence, now, &id, Observation::Failure);
    }
    see(&mut evidence, now, &id, SUCCESS);
    assert!(evidence.health(now, &id).is_suspect);
    for _ in 0..3 {
        see(&mut evidence, now, &id, SUCCESS);
    }
    assert!(!evidence.health(now, &id).is_suspect);
}

#[test]
fn a_suspect_is_left_alone_for_a_while_after_each_failure() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    see(&mut evidence, now, &id, Observation::Failure);
    assert!(evidence.health(now, &id).is_paused);
    let later = now + SUSPECT_PAUSE;
    assert!(!evidence.health(later, &id).is_paused);
    see(&mut evidence, later, &id, Observation::Failure);
    assert!(evidence.health(later + STEP, &id).is_paused);
}

#[test]
fn every_word_fades() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    let other = InstanceId::new("b");
    for _ in 0..3 {
        see(&mut evidence, now, &id, SUCCESS);
        see(&mut evidence, now, &other, Observation::Failure);
    }
    let later = now + Duration::from_secs(5);
    let (well, sick) = (evidence.health(now, &id), evidence.health(now, &other));
    let (then_well, then_sick) = (evidence.health(later, &id), evidence.health(later, &other));
    assert!(well.risk < then_well.risk && then_well.risk < then_sick.risk);
    assert!(then_sick.risk < sick.risk);
}

#[test]
fn words_of_peers_count_like_the_own() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_peer_report(now, peer(1), &id, word(0, 0, 1));
    evidence.record_peer_report(now, peer(2), &id, word(0, 0, 1));
    assert!(evidence.health(now, &id).is_suspect);
    evidence.record_peer_report(now, peer(1), &id, word(0, 3, 1));
    evidence.record_peer_report(now, peer(3), &id, word(0, 1, 0));
    assert!(!evidence.health(now, &id).is_suspect);
}

#[test]
fn a_word_that_is_repeated_says_nothing_new() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_peer_report(now, peer(1), &id, word(0, 0, 1));
    let once = evidence.health(now, &id).risk;
    evidence.record_peer_report(now, peer(1), &id, word(0, 0, 1));
    let twice = evidence.health(now, &id).risk;
    assert!((once - twice).abs() < 1e-9, "{once} {twice}");
}

#[test]
fn counts_of_a_peer_that_started_anew_are_its_first_words() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_peer_report(now, peer(1), &id, word(0, 200, 0));
    evidence.forget_peer(peer(1));
    evidence.record_peer_report(now, peer(1), &id, word(0, 0, 1));
    let health = evidence.health(now, &id);
    let mut single = Evidence::default();
    single.record_peer_report(now, peer(1), &id, word(0, 1, 0));
    single.record_peer_report(now, peer(2), &id, word(0, 0, 1));
    assert!((health.risk - single.health(now, &id).risk).abs() < 1e-9);
}

#[test]
fn a_request_that_takes_suspiciously_long_counts_against_its_instance() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_start(&id);
    evidence.record_overdue(now, &id);
    assert!(evidence.health(now, &id).is_suspect);
    assert_eq!(evidence.health(now, &id).in_flight, 1);
}

#[test]
fn what_peers_have_under_way_counts_until_they_fall_silent() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_start(&id);
    evidence.record_peer_report(now, peer(1), &id, word(3, 0, 0));
    evidence.record_peer_report(now, peer(2), &id, word(2, 0, 0));
    assert_eq!(evidence.health(now, &id).in_flight, 6);
    evidence.record_peer_report(now, peer(1), &id, word(0, 0, 0));
    assert_eq!(evidence.health(now, &id).in_flight, 3);
    let later = now + Duration::from_secs(10);
    assert_eq!(evidence.health(later, &id).in_flight, 1);
}

#[test]
fn a_path_that_fails_is_left_alone_and_is_no_word_on_the_instance() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_start(&id);
    evidence.record_end(now, &id, Observation::Unreachable);
    let health = evidence.health(now, &id);
    assert!(health.is_paused && !health.is_suspect);
    assert_eq!(evidence.own_report(now, &id), InstanceReport::default());
    assert_eq!(evidence.blocked_paths().collect::<Vec<_>>(), [&id]);
    evidence.record_open_path(&id);
    assert!(!evidence.health(now, &id).is_paused);
}

#[test]
fn a_new_incarnation_starts_without_a_past() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    evidence.record_start(&id);
    evidence.record_start(&id);
    evidence.record_end(now, &id, Observation::Failure);
    evidence.reset(&id);
    let health = evidence.health(now, &id);
    assert!(!health.is_suspect);
    assert_eq!(health.in_flight, 1, "the other request is still under way");
}

#[test]
fn hosts_learn_from_peers_which_instances_are_slow() {
    let (mut evidence, id, now) = (Evidence::default(), InstanceId::new("a"), Instant::now());
    for count in 1..8 {
        let slow = InstanceReport {
            slowness_16ths: 96,
            ..word(0, count, 0)
        };
        evidence.record_peer_report(now, peer(1), &id, slow);
    }
    assert!(evidence.health(now, &id).slowness > 4.0);
}
