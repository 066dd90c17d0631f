//! Return of ejected instances, loss of coordinators, draining and shedding.

use std::time::Duration;

use assert_matches::assert_matches;
use waxwingusher_config::{Detection, InstanceState};
use waxwingusher_core::{Clock, InstanceId};
use waxwingusher_standins::LinkFaults;
use waxwingusher_upstreams::{ChooseError, ChooseRequest, UpstreamResult};

use crate::fleet::{Fleet, STEP, host_id, origin, service, service_name, snapshot, success};

const HOSTS: usize = 12;
const RATE_PER_S: f64 = 60.0;

fn faulty() -> InstanceId {
    InstanceId::new("instance-03")
}

fn steps(span: Duration) -> u128 {
    span.as_millis() / STEP.as_millis()
}

fn run(fleet: &mut Fleet, span: Duration, is_failing: bool) {
    for _ in 0..steps(span) {
        fleet.send_requests(RATE_PER_S, |_, choice, _| {
            if is_failing && choice.instance == faulty() {
                UpstreamResult::ErrorStatus
            } else {
                success()
            }
        });
        fleet.step();
    }
}

fn ejecting_fleet(seed: u64) -> Fleet {
    let snapshot = snapshot(1, service(10, Detection::Fast));
    let mut fleet = Fleet::new(HOSTS, seed, LinkFaults::default(), &snapshot);
    run(&mut fleet, Duration::from_secs(10), false);
    run(&mut fleet, Duration::from_secs(5), true);
    assert_eq!(fleet.hosts_that_ejected(&faulty()), HOSTS);
    fleet
}

#[test]
fn recovered_instance_returns_after_trials() {
    let mut fleet = ejecting_fleet(1);
    run(&mut fleet, Duration::from_secs(30), false);
    assert_eq!(fleet.hosts_that_ejected(&faulty()), 0);
}

#[test]
fn ejections_of_a_faulty_instance_get_longer() {
    let mut fleet = ejecting_fleet(2);
    let mut requests = [0, 0];
    for half in &mut requests {
        for _ in 0..steps(Duration::from_secs(60)) {
            fleet.send_requests(RATE_PER_S, |_, choice, _| {
                if choice.instance != faulty() {
                    return success();
                }
                *half += 1;
                UpstreamResult::ErrorStatus
            });
            fleet.step();
        }
    }
    assert!(requests[0] >= 2, "no trials: {requests:?}");
    assert!(requests[1] < requests[0], "{requests:?}");
    assert_eq!(fleet.hosts_that_ejected(&faulty()), HOSTS);
}

#[test]
fn trials_use_only_idempotent_requests() {
    let mut fleet = ejecting_fleet(3);
    for _ in 0..steps(Duration::from_secs(25)) {
        fleet.step();
        let request = ChooseRequest {
            is_idempotent: false,
            exclude: &[],
            deadline: fleet.clock.now(),
        };
        let host = fleet.rng.usize(..HOSTS);
        let set = &mut fleet.hosts[host].set;
        let choice = set
            .choose(&service_name(), &request)
            .expect("other instances are free");
        assert_ne!(choice.instance, faulty());
        set.report(choice.id, &origin(0), success());
    }
}

#[test]
fn another_host_coordinates_when_the_coordinator_stops() {
    for coordinator in 0..HOSTS {
        let mut fleet = ejecting_fleet(4);
        fleet.hosts[coordinator].is_paused = true;
        run(&mut fleet, Duration::from_secs(12), true);
        let out = fleet.hosts_that_ejected(&faulty());
        assert_eq!(out, HOSTS - 1, "without {}", host_id(coordinator));
    }
}

#[test]
fn leaving_instance_gets_no_requests_after_five_seconds() {
    let first = service(10, Detection::Fast);
    let mut second = first.clone();
    second.instances[3].state = InstanceState::Leaving;
    let mut fleet = Fleet::new(HOSTS, 5, LinkFaults::default(), &snapshot(1, first));
    run(&mut fleet, Duration::from_secs(1), false);
    for host in &mut fleet.hosts {
        host.set.apply_snapshot(&snapshot(2, second.clone()));
    }
    run(&mut fleet, Duration::from_secs(5), false);
    for _ in 0..200 {
        fleet.send_requests(400.0, |_, choice, _| {
            assert_ne!(choice.instance, faulty());
            success()
        });
        fleet.step();
    }
}

#[test]
fn draining_instance_gets_no_requests_after_five_seconds() {
    let mut fleet = Fleet::new(
        HOSTS,
        6,
        LinkFaults::default(),
        &snapshot(1, service(10, Detection::Fast)),
    );
    let others: Vec<_> = (0..10)
        .map(|index| InstanceId::new(&format!("instance-{index:02}")))
        .filter(|id| *id != faulty())
        .collect();
    let choice = fleet.request_excluding(0, 0, &others, |_, _| UpstreamResult::Draining);
    assert_eq!(choice.map(|choice| choice.instance), Some(faulty()));
    for _ in 0..steps(Duration::from_secs(5)) {
        fleet.step();
    }
    let request = ChooseRequest {
        is_idempotent: true,
        exclude: &others,
        deadline: fleet.clock.now(),
    };
    let result = fleet.hosts[0].set.choose(&service_name(), &request);
    assert_matches!(result, Err(ChooseError::NoInstance));
}

#[test]
fn host_backs_off_from_an_instance_that_sheds() {
    let mut fleet = Fleet::new(
        1,
        7,
        LinkFaults::default(),
        &snapshot(1, service(1, Detection::Fast)),
    );
    let shed = UpstreamResult::Shed {
        retry_after: Some(Duration::from_millis(300)),
    };
    fleet.request(0, 0, |_, _| shed);
    let request = ChooseRequest {
        is_idempotent: true,
        exclude: &[],
        deadline: fleet.clock.now(),
    };
    let busy = fleet.hosts[0].set.choose(&service_name(), &request);
    let wait = assert_matches!(busy, Err(ChooseError::AllBusy { retry_after }) => retry_after);
    assert!(wait >= Duration::from_millis(300));
    fleet.clock.advance(wait);
    assert!(fleet.hosts[0].set.choose(&service_name(), &request).is_ok());
}
