//! The rights of holders need evidence, and stale messages are none.

use std::time::Duration;

use waxwingusher_config::RateLimit;
use waxwingusher_core::HostState;
use waxwingusher_limits::LimiterSettings;
use waxwingusher_protocol::loan::{LoanMessage, LoanRequest, ShareTransfer};
use waxwingusher_standins::LinkFaults;

use crate::fleet::{Fleet, FleetPlan, STEP, domains, key, snapshot};

/// The time after which a fleet whose hosts started together is ready.
const WARM_UP: Duration = Duration::from_secs(60);

fn fleet(hosts: usize) -> Fleet {
    let plan = FleetPlan {
        seed: 11,
        domains: 1,
        hosts_per_domain: hosts,
        settings: LimiterSettings::new(domains(1)),
        faults: LinkFaults::default(),
    };
    let mut fleet = Fleet::new(&plan, snapshot(1, &[("w", 200, 20)]));
    let limit = RateLimit {
        rate_millis_per_s: 200_000,
        burst: 20,
    };
    fleet.oracle.set_limit(&key("w"), limit, Duration::ZERO);
    run(&mut fleet, WARM_UP);
    fleet
}

fn run(fleet: &mut Fleet, time: Duration) {
    for _ in 0..time.as_millis() / STEP.as_millis() {
        fleet.step(&[]);
    }
}

fn holder(fleet: &Fleet) -> usize {
    let holds = |i: &usize| {
        let limiter = fleet.hosts[*i].limiter.as_ref();
        limiter.is_some_and(|limiter| limiter.report().limits.iter().any(|l| l.is_holder))
    };
    (0..fleet.hosts.len())
        .find(holds)
        .expect("a host holds the share")
}

fn waiting_shares(fleet: &Fleet, i: usize) -> usize {
    let limiter = fleet.hosts[i].limiter.as_ref();
    limiter.map_or(0, |limiter| limiter.report().waiting_shares)
}

#[test]
fn fast_clocks_keep_the_bound() {
    let mut fleet = fleet(3);
    fleet.hosts.iter_mut().for_each(|host| host.drift = 0.01);
    for step in 0..6000 {
        let requests: Vec<_> = (0..4).map(|i| ((step + i) % 3, key("w"))).collect();
        fleet.step(&requests);
        assert_eq!(fleet.violations, 0, "after {step} steps");
    }
    assert!(fleet.oracle.admitted(&key("w")) > 11_000);
}

#[test]
fn a_return_that_the_lender_does_not_know_adds_no_tokens() {
    let mut fleet = fleet(3);
    let i = holder(&fleet);
    let from = fleet.hosts[(i + 1) % 3].id.clone();
    let Some(limiter) = &mut fleet.hosts[i].limiter else {
        panic!("the holder runs");
    };
    while limiter.spend(&"w".into()) == waxwingusher_limits::SpendDecision::Spent {}
    let before = limiter.report().limits[0].share_tokens_millis;
    let request = LoanRequest {
        limit: key("w").id(),
        terms: 0,
        seq: 1,
        held_room_millis: 0,
        held_tokens_millis: 0,
        held_rate_millis_per_s: 0,
        returned_tokens_millis: 5000,
        wanted_tokens_millis: 0,
        wanted_rate_millis_per_s: 0,
    };
    limiter.on_message(&from, 99, LoanMessage::Requests(vec![request]));
    assert_eq!(limiter.report().limits[0].share_tokens_millis, before);
}

#[test]
fn a_stale_transfer_makes_no_holder() {
    let mut fleet = fleet(3);
    let old = holder(&fleet);
    let mut states = vec![Some(HostState::Live); 3];
    states[old] = None;
    fleet.kill(old);
    fleet.publish_list(&states);
    run(&mut fleet, Duration::from_secs(1));
    let new = (0..3)
        .find(|i| waiting_shares(&fleet, *i) > 0)
        .expect("one waits");
    let from = fleet.hosts[old].id.clone();
    let incarnation = fleet.hosts[new].incarnation;
    for (list_version, to_incarnation) in [(2, incarnation ^ 1), (1, incarnation)] {
        let transfer = ShareTransfer {
            limit: key("w").id(),
            list_version,
            to_incarnation,
            tokens_millis: 20_000,
            loans: Vec::new(),
            lent_room_millis: 0,
            lent_rate_millis_per_s: 0,
            lent_for_ms: 0,
        };
        if let Some(limiter) = &mut fleet.hosts[new].limiter {
            limiter.on_message(&from, 1, LoanMessage::Transfers(vec![transfer]));
        }
        assert_eq!(waiting_shares(&fleet, new), 1, "version {list_version}");
    }
}

#[test]
fn rights_end_without_reports_from_a_majority() {
    let mut fleet = fleet(5);
    let i = holder(&fleet);
    fleet
        .hosts
        .iter_mut()
        .for_each(|host| host.reads_list = false);
    let in_force = |fleet: &Fleet| {
        let limiter = fleet.hosts[i].limiter.as_ref();
        limiter.is_some_and(|limiter| limiter.report().has_valid_rights)
    };
    run(&mut fleet, Duration::from_secs(60));
    assert!(in_force(&fleet), "a majority of the domain answers");
    let own_side: Vec<_> = vec![i, (i + 1) % 5];
    let other_side: Vec<_> = (0..5).filter(|host| !own_side.contains(host)).collect();
    fleet.cut(&other_side, &own_side);
    run(&mut fleet, Duration::from_secs(20));
    assert!(!in_force(&fleet), "two of five hosts are no majority");
}
