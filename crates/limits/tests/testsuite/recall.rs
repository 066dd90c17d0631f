//! Tokens that are held ahead of demand serve requests that wait at other hosts.

use std::time::Duration;

use waxwingusher_config::RateLimit;
use waxwingusher_limits::LimiterSettings;
use waxwingusher_standins::LinkFaults;

use crate::fleet::{Fleet, FleetPlan, STEP, domains, key, snapshot};

const HOSTS: usize = 9;
const BURST: u32 = 10;

fn fleet() -> Fleet {
    let plan = FleetPlan {
        seed: 5,
        domains: 1,
        hosts_per_domain: HOSTS,
        settings: LimiterSettings::new(domains(1)),
        faults: LinkFaults::default(),
    };
    let mut fleet = Fleet::new(&plan, snapshot(1, &[("w", 1, BURST)]));
    let limit = RateLimit {
        rate_millis_per_s: 1000,
        burst: BURST,
    };
    fleet.oracle.set_limit(&key("w"), limit, Duration::ZERO);
    run(&mut fleet, Duration::from_secs(60));
    fleet
}

fn run(fleet: &mut Fleet, time: Duration) {
    for _ in 0..time.as_millis() / STEP.as_millis() {
        fleet.step(&[]);
    }
}

#[test]
fn one_host_gets_the_tokens_that_others_hold_ahead_of_demand() {
    let mut fleet = fleet();
    for host in 0..HOSTS {
        fleet.step(&[(host, key("w"))]);
    }
    run(&mut fleet, Duration::from_secs(12));
    let before = fleet.oracle.admitted(&key("w"));
    assert_eq!(before, HOSTS as u64, "each host is served");
    for _ in 0..BURST - 1 {
        fleet.step(&[(0, key("w"))]);
        run(&mut fleet, Duration::from_millis(150));
    }
    run(&mut fleet, Duration::from_secs(1));
    let admitted = fleet.oracle.admitted(&key("w")) - before;
    assert_eq!(admitted, u64::from(BURST) - 1);
    assert_eq!(fleet.refused, 0);
    assert_eq!(fleet.violations, 0);
}
