//! Each side of a partition serves its part of a limit whose shares hold less
//! than two tokens each.

use std::time::Duration;

use waxwingusher_config::RateLimit;
use waxwingusher_limits::LimiterSettings;
use waxwingusher_standins::LinkFaults;

use crate::fleet::{Fleet, FleetPlan, STEP, domains, key, snapshot};

const DOMAINS: usize = 4;
const HOSTS_PER_DOMAIN: usize = 9;
const RATE_PER_S: u64 = 2;
const MEASURED_S: u64 = 60;

/// Returns how many requests some hosts serve while failure domain 0 is cut off.
fn served_by(hosts: &[usize]) -> u64 {
    let plan = FleetPlan {
        seed: 3,
        domains: DOMAINS,
        hosts_per_domain: HOSTS_PER_DOMAIN,
        settings: LimiterSettings::new(domains(DOMAINS)),
        faults: LinkFaults::default(),
    };
    let mut fleet = Fleet::new(&plan, snapshot(1, &[("w", RATE_PER_S, 5)]));
    let limit = RateLimit {
        rate_millis_per_s: RATE_PER_S * 1000,
        burst: 5,
    };
    fleet.oracle.set_limit(&key("w"), limit, Duration::ZERO);
    run(&mut fleet, 60, &[]);
    let all: Vec<_> = (0..fleet.hosts.len()).collect();
    let (cut_off, others) = all.split_at(HOSTS_PER_DOMAIN);
    fleet.cut(cut_off, others);
    fleet.cut(others, cut_off);
    run(&mut fleet, 30, hosts);
    let before = fleet.oracle.admitted(&key("w"));
    run(&mut fleet, MEASURED_S, hosts);
    assert_eq!(fleet.violations, 0);
    fleet.oracle.admitted(&key("w")) - before
}

/// Sends three times the rate to some hosts for some time.
fn run(fleet: &mut Fleet, seconds: u64, hosts: &[usize]) {
    let steps_per_s = 1000 / STEP.as_millis() as u64;
    let gap = steps_per_s / (RATE_PER_S * 3);
    for step in 0..seconds * steps_per_s {
        let mut requests = Vec::new();
        if step % gap == 0 && !hosts.is_empty() {
            let host = fleet.rng.usize(..hosts.len());
            requests.push((hosts[host], key("w")));
        }
        fleet.step(&requests);
    }
}

/// Returns the least that some failure domains must serve: their part of the
/// limit, less two tokens per share that may be in transit as loans.
fn least(domains: u64) -> u64 {
    RATE_PER_S * MEASURED_S * domains * 1000 / 1010 / DOMAINS as u64 - domains * 2
}

#[test]
fn a_domain_that_is_cut_off_serves_its_part() {
    let hosts: Vec<_> = (0..HOSTS_PER_DOMAIN).collect();
    let served = served_by(&hosts);
    assert!(served >= least(1), "{served}");
}

#[test]
fn the_other_domains_serve_their_part() {
    let hosts: Vec<_> = (HOSTS_PER_DOMAIN..HOSTS_PER_DOMAIN * DOMAINS).collect();
    let served = served_by(&hosts);
    assert!(served >= least(3), "{served}");
}
