//! The fleet-wide retry budget in a sliding window.

use std::time::{Duration, Instant};

use waxwingusher_attempts::{FleetRetryBudget, FleetRetryBudgetSettings};
use waxwingusher_core::ServiceName;

const SETTINGS: FleetRetryBudgetSettings = FleetRetryBudgetSettings {
    ratio: 0.2,
    window: Duration::from_secs(10),
    fleet_slack: 56.0,
};

/// Every request fails, and each host retries all of its own while its part of
/// the budget allows it.
#[test]
fn hosts_that_repeat_all_they_may_stay_within_the_bound_together() {
    const HOSTS: usize = 32;
    let start = Instant::now();
    let service = ServiceName::new("svc");
    let mut hosts: Vec<FleetRetryBudget> = (0..HOSTS)
        .map(|_| FleetRetryBudget::new(SETTINGS))
        .collect();
    let mut rng = fastrand::Rng::with_seed(3);
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for step in 0..3_000 {
        let now = start + Duration::from_millis(10) * step;
        let host = rng.usize(..HOSTS);
        hosts[host].record_request(now, &service);
        requests.push(now);
        if hosts[host].spend(now, &service, HOSTS) {
            retries.push(now);
        }
    }
    for end in retries.iter().step_by(7) {
        let from = *end - SETTINGS.window;
        let count = |times: &[Instant]| {
            times
                .iter()
                .filter(|at| **at > from && **at <= *end)
                .count()
        };
        let allowed = 0.2 * f64::from(u32::try_from(count(&requests)).expect("few")) + 56.0;
        let spent = f64::from(u32::try_from(count(&retries)).expect("few"));
        assert!(spent <= allowed, "{spent} of {allowed}");
    }
    assert!(retries.len() > 300, "the budget is used: {}", retries.len());
}

#[test]
fn counts_older_than_the_window_are_dropped() {
    let (now, service) = (Instant::now(), ServiceName::new("svc"));
    let mut budget = FleetRetryBudget::new(SETTINGS);
    let spent = (0..100).filter(|_| budget.spend(now, &service, 1)).count();
    assert_eq!(spent, 56);
    let later = now + SETTINGS.window;
    assert!(budget.spend(later, &service, 1));
}

#[test]
fn services_have_separate_budgets() {
    let now = Instant::now();
    let mut budget = FleetRetryBudget::new(SETTINGS);
    while budget.spend(now, &ServiceName::new("a"), 1) {}
    assert!(budget.spend(now, &ServiceName::new("b"), 1));
}

#[test]
fn a_retry_that_reached_no_instance_is_refunded() {
    let (now, service) = (Instant::now(), ServiceName::new("svc"));
    let mut budget = FleetRetryBudget::new(SETTINGS);
    while budget.spend(now, &service, 1) {}
    budget.refund(now + SETTINGS.window / 10, &service);
    assert!(budget.spend(now + SETTINGS.window / 10, &service, 1));
    assert!(!budget.spend(now + SETTINGS.window / 10, &service, 1));
}
