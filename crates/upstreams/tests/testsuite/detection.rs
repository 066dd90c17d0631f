//! Detection of faulty instances from real outcomes.

use std::time::Duration;

use waxwingusher_config::Detection;
use waxwingusher_core::InstanceId;
use waxwingusher_standins::LinkFaults;
use waxwingusher_upstreams::UpstreamResult;

use crate::fleet::{Fleet, STEP, domain, service, snapshot, success};

const HOSTS: usize = 36;
const RATE_PER_S: f64 = 50.0;
const FAULTY_REQUEST_INTERVAL: Duration = Duration::from_millis(200);
const WARM_UP: Duration = Duration::from_secs(45);

fn fleet(detection: Detection, seed: u64) -> Fleet {
    let snapshot = snapshot(1, service(10, detection));
    let mut fleet = Fleet::new(HOSTS, seed, LinkFaults::default(), &snapshot);
    for _ in 0..WARM_UP.as_millis() / STEP.as_millis() {
        fleet.send_requests(RATE_PER_S, |_, _, _| success());
        fleet.step();
    }
    fleet
}

fn faulty() -> InstanceId {
    InstanceId::new("instance-03")
}

/// Runs until all hosts have ejected the faulty instance, which gets exactly 5
/// requests per second from random hosts, and returns the time.
fn time_to_eject(fleet: &mut Fleet, limit: Duration) -> Option<Duration> {
    let others: Vec<_> = (0..10)
        .map(|index| InstanceId::new(&format!("instance-{index:02}")))
        .filter(|id| *id != faulty())
        .collect();
    let every = FAULTY_REQUEST_INTERVAL.as_millis() / STEP.as_millis();
    let mut step = 0;
    while STEP * step < limit {
        if u128::from(step).is_multiple_of(every) {
            let host = fleet.rng.usize(..HOSTS);
            let workspace = fleet.rng.usize(..8);
            fleet.request_excluding(host, workspace, &others, |_, _| UpstreamResult::ErrorStatus);
        }
        for _ in 0..fleet.arrivals(RATE_PER_S - 5.0) {
            let host = fleet.rng.usize(..HOSTS);
            let workspace = fleet.rng.usize(..8);
            fleet.request_excluding(host, workspace, &[faulty()], |_, _| success());
        }
        fleet.step();
        step += 1;
        if fleet.hosts_that_ejected(&faulty()) == HOSTS {
            return Some(STEP * step);
        }
    }
    None
}

#[test]
fn failing_instance_is_ejected_at_every_host_in_time() {
    for seed in 0..10 {
        for (detection, limit) in [(Detection::Fast, 2), (Detection::Careful, 5)] {
            let mut fleet = fleet(detection, seed);
            let limit = Duration::from_secs(limit);
            let elapsed = time_to_eject(&mut fleet, limit);
            assert!(elapsed.is_some(), "seed {seed}, {detection:?}");
        }
    }
}

#[test]
fn path_fault_from_one_failure_domain_ejects_nothing() {
    for cut in 0..4 {
        let mut fleet = fleet(Detection::Fast, 7);
        let mut timeouts = 0;
        for _ in 0..1_500 {
            fleet.send_requests(RATE_PER_S, |host, choice, _| {
                if choice.instance == faulty() && domain(host) == domain(cut) {
                    timeouts += 1;
                    UpstreamResult::Timeout
                } else {
                    success()
                }
            });
            fleet.step();
            assert_eq!(fleet.ejected_anywhere().len(), 0);
        }
        assert!(
            cut != 3 || timeouts > 10,
            "no request from the cut-off domain"
        );
    }
}

#[test]
fn instance_that_times_out_for_every_host_is_ejected() {
    let mut fleet = fleet(Detection::Fast, 7);
    for _ in 0..250 {
        fleet.send_requests(RATE_PER_S, |_, choice, _| {
            if choice.instance == faulty() {
                UpstreamResult::Timeout
            } else {
                success()
            }
        });
        fleet.step();
    }
    assert_eq!(fleet.hosts_that_ejected(&faulty()), HOSTS);
}

#[test]
fn failures_of_one_workspace_eject_nothing() {
    let mut fleet = fleet(Detection::Fast, 8);
    for _ in 0..1_500 {
        let host = fleet.rng.usize(..HOSTS);
        if fleet.rng.f64() < 0.2 {
            fleet.request(host, 99, |_, _| UpstreamResult::ErrorStatus);
        }
        fleet.send_requests(RATE_PER_S, |_, _, _| success());
        fleet.step();
        assert_eq!(fleet.ejected_anywhere().len(), 0);
    }
}

#[test]
fn whole_pool_failing_ejects_nothing() {
    let mut fleet = fleet(Detection::Fast, 9);
    for _ in 0..1_000 {
        fleet.send_requests(RATE_PER_S, |_, _, rng| {
            if rng.f64() < 0.8 {
                UpstreamResult::ErrorStatus
            } else {
                success()
            }
        });
        fleet.step();
        assert_eq!(fleet.ejected_anywhere().len(), 0);
    }
}

#[test]
fn whole_pool_slow_ejects_nothing() {
    let mut fleet = fleet(Detection::Fast, 10);
    for _ in 0..1_000 {
        fleet.send_requests(RATE_PER_S, |_, _, rng| UpstreamResult::Success {
            latency: Duration::from_millis(200).mul_f64(0.5 + rng.f64()),
            load: None,
        });
        fleet.step();
        assert_eq!(fleet.ejected_anywhere().len(), 0);
    }
}

#[test]
fn slow_instance_is_ejected() {
    let mut fleet = fleet(Detection::Fast, 11);
    for _ in 0..500 {
        fleet.send_requests(RATE_PER_S, |_, choice, _| UpstreamResult::Success {
            latency: Duration::from_millis(if choice.instance == faulty() { 200 } else { 20 }),
            load: None,
        });
        fleet.step();
    }
    assert_eq!(fleet.hosts_that_ejected(&faulty()), HOSTS);
}
