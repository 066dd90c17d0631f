//! Requests within the limit are served.

use std::time::Duration;

use waxwingusher_config::RateLimit;
use waxwingusher_core::HostState;
use waxwingusher_limits::LimiterSettings;
use waxwingusher_standins::LinkFaults;

use crate::fleet::{Fleet, FleetPlan, STEP, domains, key, snapshot};

/// The time after which a fleet whose hosts started together is ready.
const WARM_UP: Duration = Duration::from_secs(60);

fn fleet(rate_per_s: u64, burst: u32) -> Fleet {
    let plan = FleetPlan {
        seed: 7,
        domains: 4,
        hosts_per_domain: 9,
        settings: LimiterSettings::new(domains(4)),
        faults: LinkFaults::default(),
    };
    let mut fleet = Fleet::new(&plan, snapshot(1, &[("w", rate_per_s, burst)]));
    let limit = RateLimit {
        rate_millis_per_s: rate_per_s * 1000,
        burst,
    };
    fleet.oracle.set_limit(&key("w"), limit, Duration::ZERO);
    run(&mut fleet, WARM_UP, 0.0, &[0]);
    fleet
}

/// Sends a load to the given hosts and returns the admitted and the refused
/// requests.
fn run(fleet: &mut Fleet, duration: Duration, load_per_s: f64, hosts: &[usize]) -> (u64, u64) {
    let before = (fleet.oracle.admitted(&key("w")), fleet.refused);
    let end = fleet.elapsed() + duration;
    let per_step = load_per_s * STEP.as_secs_f64();
    let mut due = 0.0;
    while fleet.elapsed() < end {
        due += per_step;
        let mut requests = Vec::new();
        while due >= 1.0 {
            due -= 1.0;
            let host = hosts[fleet.rng.usize(..hosts.len())];
            requests.push((host, key("w")));
        }
        fleet.step(&requests);
    }
    assert_eq!(fleet.violations, 0, "the limit is exceeded");
    let admitted = fleet.oracle.admitted(&key("w"));
    (admitted - before.0, fleet.refused - before.1)
}

#[test]
fn a_calm_fleet_serves_all_hosts_alike() {
    let mut fleet = fleet(200, 200);
    let all: Vec<_> = (0..36).collect();
    let (admitted, refused) = run(&mut fleet, Duration::from_secs(60), 160.0, &all);
    assert_eq!(refused, 0, "{admitted} admitted");
}

#[test]
fn a_calm_fleet_serves_callers_of_one_domain_with_the_whole_rate() {
    let mut fleet = fleet(200, 200);
    let one_domain: Vec<_> = (0..9).collect();
    let (admitted, refused) = run(&mut fleet, Duration::from_secs(60), 160.0, &one_domain);
    assert_eq!(refused, 0, "{admitted} admitted");
}

#[test]
fn a_burst_smaller_than_the_fleet_is_served() {
    let mut fleet = fleet(20, 5);
    let all: Vec<_> = (0..36).collect();
    let (admitted, refused) = run(&mut fleet, Duration::from_secs(60), 10.0, &all);
    assert_eq!(refused, 0, "{admitted} admitted");
}

#[test]
fn a_slow_limit_is_served() {
    let mut fleet = fleet(1, 5);
    let all: Vec<_> = (0..36).collect();
    let (admitted, refused) = run(&mut fleet, Duration::from_secs(120), 0.8, &all);
    assert_eq!(refused, 0, "{admitted} admitted");
}

#[test]
fn a_planned_stop_hands_off_its_shares() {
    let mut fleet = fleet(200, 200);
    let all: Vec<_> = (0..36).collect();
    let mut states = vec![Some(HostState::Live); 36];
    let mut refused = 0;
    for i in 0..9 {
        states[i] = Some(HostState::Leaving);
        fleet.publish_list(&states);
        refused += run(&mut fleet, Duration::from_secs(2), 160.0, &all[9..]).1;
        if let Some(limiter) = &mut fleet.hosts[i].limiter {
            let out = limiter.hand_off();
            fleet.send(i, out);
        }
        fleet.start(i);
        states[i] = Some(HostState::Live);
        fleet.publish_list(&states);
        refused += run(&mut fleet, Duration::from_secs(2), 160.0, &all[9..]).1;
    }
    assert_eq!(refused, 0);
}
