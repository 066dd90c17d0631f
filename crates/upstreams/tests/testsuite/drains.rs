//! The capacity floor while only some hosts know that an instance is draining.

use std::collections::BTreeSet;
use std::time::Duration;

use waxwingusher_config::Detection;
use waxwingusher_core::InstanceId;
use waxwingusher_standins::LinkFaults;
use waxwingusher_upstreams::UpstreamResult;

use crate::fleet::{
    Fleet, STEP, host_id, host_list, instance, service, service_name, snapshot, success,
};

const HOSTS: usize = 12;
const INSTANCES: usize = 10;
/// The instances that a floor of 70% leaves in use.
const REQUIRED: usize = 7;
const RATE_PER_S: f64 = 60.0;
const FAULTY: [usize; 3] = [0, 1, 2];
/// The host that alone sees an instance drain.
const OBSERVER: usize = 5;

fn instance_id(index: usize) -> InstanceId {
    instance(index, 6).id
}

/// Runs the fleet and checks the floor over all hosts after every step.
fn run(fleet: &mut Fleet, span: Duration, faulty: &[usize]) {
    let faulty: BTreeSet<InstanceId> = faulty.iter().map(|index| instance_id(*index)).collect();
    for _ in 0..span.as_millis() / STEP.as_millis() {
        fleet.send_requests(RATE_PER_S, |_, choice, _| {
            if faulty.contains(&choice.instance) {
                UpstreamResult::ErrorStatus
            } else {
                success()
            }
        });
        fleet.step();
        assert_floor(fleet);
    }
}

fn assert_floor(fleet: &Fleet) {
    let mut out = fleet.ejected_anywhere();
    if out.is_empty() {
        return;
    }
    for host in &fleet.hosts {
        out.extend(host.set.unavailable(&service_name()));
    }
    let elapsed = fleet.clock.elapsed();
    assert!(out.len() + REQUIRED <= INSTANCES, "{elapsed:?}: {out:?}");
}

fn drain(fleet: &mut Fleet, hosts: impl Iterator<Item = usize>, draining: usize) {
    let others: Vec<InstanceId> = (0..INSTANCES)
        .filter(|i| *i != draining)
        .map(instance_id)
        .collect();
    for host in hosts {
        let seen = fleet.request_excluding(host, 0, &others, |_, _| UpstreamResult::Draining);
        assert!(seen.is_some(), "host {host}");
    }
}

/// A fleet that has ejected as many instances as the floor allows.
fn fleet_at_the_floor(is_observer_cut_off: bool) -> Fleet {
    let snapshot = snapshot(1, service(INSTANCES, Detection::Fast));
    let mut fleet = Fleet::new(HOSTS, 1, LinkFaults::default(), &snapshot);
    run(&mut fleet, Duration::from_secs(10), &[]);
    for host in (0..HOSTS).filter(|host| is_observer_cut_off && *host != OBSERVER) {
        fleet.links.cut(&host_id(host), &host_id(OBSERVER));
        fleet.links.cut(&host_id(OBSERVER), &host_id(host));
    }
    for faulty in 1..=FAULTY.len() {
        run(&mut fleet, Duration::from_secs(3), &FAULTY[..faulty]);
    }
    assert_eq!(fleet.ejected_anywhere().len(), FAULTY.len());
    fleet
}

#[test]
fn floor_holds_while_a_released_instance_drains_at_a_host_that_is_cut_off() {
    let mut fleet = fleet_at_the_floor(true);
    drain(&mut fleet, OBSERVER..=OBSERVER, FAULTY[2]);
    run(&mut fleet, Duration::from_secs(1), &FAULTY);
    let others = (0..HOSTS).filter(|host| *host != OBSERVER);
    drain(&mut fleet, others, 9);
    run(&mut fleet, Duration::from_secs(20), &FAULTY);
    fleet.links.heal_all();
    run(&mut fleet, Duration::from_secs(20), &FAULTY);
    assert!(!fleet.ejected_anywhere().is_empty());
}

#[test]
fn host_that_may_not_vote_reports_drains() {
    let mut fleet = fleet_at_the_floor(false);
    let list = host_list(1, 0..HOSTS);
    let snapshot = snapshot(1, service(INSTANCES, Detection::Fast));
    fleet.restart(OBSERVER, &list, &snapshot);
    drain(&mut fleet, OBSERVER..=OBSERVER, FAULTY[2]);
    run(&mut fleet, Duration::from_secs(1), &FAULTY);
    let others = (0..HOSTS).filter(|host| *host != OBSERVER);
    drain(&mut fleet, others, 9);
    for _ in 0..100 {
        run(&mut fleet, STEP, &FAULTY);
        assert!(!fleet.ejected_anywhere().is_empty());
    }
}
