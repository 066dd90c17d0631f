//! Detection of sick instances from real outcomes.

use std::time::Duration;

use waxwingusher_config::Detection;
use waxwingusher_core::InstanceId;
use waxwingusher_standins::LinkFaults;
use waxwingusher_upstreams::UpstreamResult;

use crate::fleet::{Fleet, STEP, domain, service, snapshot, success};

const HOSTS: usize = 36;
const RATE_PER_S: f64 = 50.0;
const WARM_UP: Duration = Duration::from_secs(15);

fn fleet(detection: Detection, seed: u64) -> Fleet {
    let snapshot = snapshot(1, service(10, detection));
    let mut fleet = Fleet::new(HOSTS, seed, LinkFaults::default(), &snapshot);
    for _ in 0..WARM_UP.as_millis() / STEP.as_millis() {
        fleet.traffic(RATE_PER_S, |_, _, _| success());
        fleet.step();
    }
    fleet
}

fn sick() -> InstanceId {
    InstanceId::new("instance-03")
}

/// Runs until all hosts have ejected the sick instance.
fn time_to_eject(fleet: &mut Fleet, failing: f64, limit: Duration) -> Option<Duration> {
    let mut elapsed = Duration::ZERO;
    while elapsed < limit {
        fleet.traffic(RATE_PER_S, |_, choice, rng| {
            if choice.instance == sick() && rng.f64() < failing {
                UpstreamResult::ErrorStatus
            } else {
                success()
            }
        });
        fleet.step();
        elapsed += STEP;
        if fleet.hosts_without(&sick()) == HOSTS {
            return Some(elapsed);
        }
    }
    None
}

#[test]
fn all_failing_instance_leaves_every_host_in_time() {
    for seed in 0..5 {
        let mut fast = fleet(Detection::Fast, seed);
        let limit = Duration::from_secs(2);
        assert!(
            time_to_eject(&mut fast, 1.0, limit).is_some(),
            "seed {seed}"
        );
        let mut careful = fleet(Detection::Careful, seed);
        let limit = Duration::from_secs(5);
        assert!(
            time_to_eject(&mut careful, 1.0, limit).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn path_cut_from_any_one_domain_ejects_nothing() {
    for cut in 0..4 {
        let mut fleet = fleet(Detection::Fast, 7);
        let mut timeouts = 0;
        for _ in 0..1_500 {
            fleet.traffic(RATE_PER_S, |host, choice, _| {
                if choice.instance == sick() && domain(host) == domain(cut) {
                    timeouts += 1;
                    UpstreamResult::Timeout
                } else {
                    success()
                }
            });
            fleet.step();
            assert_eq!(fleet.ejected_anywhere().len(), 0);
        }
        assert!(cut != 3 || timeouts > 10, "the cut domain never tried");
    }
}

#[test]
fn instance_that_times_out_for_all_is_ejected() {
    let mut fleet = fleet(Detection::Fast, 7);
    for _ in 0..250 {
        fleet.traffic(RATE_PER_S, |_, choice, _| {
            if choice.instance == sick() {
                UpstreamResult::Timeout
            } else {
                success()
            }
        });
        fleet.step();
    }
    assert_eq!(fleet.hosts_without(&sick()), HOSTS);
}

#[test]
fn failures_of_one_workspace_eject_nothing() {
    let mut fleet = fleet(Detection::Fast, 8);
    for _ in 0..1_500 {
        let host = fleet.rng.usize(..HOSTS);
        if fleet.rng.f64() < 0.2 {
            fleet.request(host, 99, |_, _| UpstreamResult::ErrorStatus);
        }
        fleet.traffic(RATE_PER_S, |_, _, _| success());
        fleet.step();
        assert_eq!(fleet.ejected_anywhere().len(), 0);
    }
}

#[test]
fn whole_pool_failing_ejects_nothing() {
    let mut fleet = fleet(Detection::Fast, 9);
    for _ in 0..1_000 {
        fleet.traffic(RATE_PER_S, |_, _, rng| {
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
        fleet.traffic(RATE_PER_S, |_, _, rng| UpstreamResult::Success {
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
        fleet.traffic(RATE_PER_S, |_, choice, _| UpstreamResult::Success {
            latency: Duration::from_millis(if choice.instance == sick() { 200 } else { 20 }),
            load: None,
        });
        fleet.step();
    }
    assert_eq!(fleet.hosts_without(&sick()), HOSTS);
}
