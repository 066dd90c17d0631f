//! The fleet-wide retry budget in a sliding window.

use std::time::{Duration, Instant};

use waxwingusher_attempts::{FleetRetryBudget, FleetRetryBudgetSettings, RetryWorth};
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

fn worth(priority: u32) -> RetryWorth {
    RetryWorth {
        priority,
        time_left: Duration::from_secs(1),
        usual_time: Duration::from_millis(400),
        success_chance: 0.45,
    }
}

#[test]
fn a_retry_is_worth_more_if_it_is_urgent_has_time_and_will_succeed() {
    let base = worth(0).value();
    let late = RetryWorth {
        time_left: Duration::from_millis(100),
        ..worth(0)
    };
    let hopeless = RetryWorth {
        success_chance: 0.02,
        ..worth(0)
    };
    for less in [worth(2), late, hopeless] {
        assert!(less.value() < base, "{less:?}");
    }
}

/// While all instances rejected 55%, two requests in five were refused, urgent ones as
/// often as others. Runs 33 hosts for 20 s without and with a comparison of worths, and
/// returns for each kind the share of the retries that were granted.
fn granted_shares(by_worth: bool) -> [f64; 2] {
    const HOSTS: usize = 33;
    let start = Instant::now();
    let service = ServiceName::new("svc");
    let new = |_| FleetRetryBudget::new(SETTINGS);
    let mut hosts: Vec<FleetRetryBudget> = (0..HOSTS).map(new).collect();
    let mut rng = fastrand::Rng::with_seed(3);
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut counts = [(0, 0); 2];
    for step in 0..20_000 {
        let now = start + Duration::from_millis(1) * step;
        let host = &mut hosts[rng.usize(..HOSTS)];
        let kind = usize::from(rng.f64() < 0.4);
        host.record_request(now, &service);
        requests.push(now);
        while rng.f64() < 0.55 {
            let is_granted = if by_worth {
                let worth = worth(if kind == 0 { 0 } else { 2 });
                let decision = host.spend_by_worth(now, &service, HOSTS, worth);
                decision.is_granted
            } else {
                host.spend(now, &service, HOSTS)
            };
            // The first window is not judged.
            if step > 10_000 {
                counts[kind].0 += 1;
                counts[kind].1 += u32::from(is_granted);
            }
            if !is_granted {
                break;
            }
            retries.push(now);
        }
    }
    for end in retries.iter().step_by(97) {
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
    // The comparison must not leave the budget unused.
    assert!(retries.len() > 3_600, "{} retries", retries.len());
    counts.map(|(asked, granted)| f64::from(granted) / f64::from(asked))
}

#[test]
fn urgent_requests_get_the_rest_of_the_budget() {
    let (off, on) = (granted_shares(false), granted_shares(true));
    println!("granted to urgent and tolerant: {off:.2?} without, {on:.2?} with");
    assert!(on[0] > off[0] + 0.1 && on[0] > on[1], "{off:?} {on:?}");
    assert!(on[1] > 0.05, "tolerant requests are starved: {on:?}");
}

/// Guards against a part of the budget that no retry is worth.
#[test]
fn retries_of_equal_worth_use_the_whole_budget() {
    let (now, service) = (Instant::now(), ServiceName::new("svc"));
    let mut budget = FleetRetryBudget::new(SETTINGS);
    let spent = (0..100).filter(|_| {
        let decision = budget.spend_by_worth(now, &service, 1, worth(5));
        decision.is_granted
    });
    assert_eq!(spent.count(), 56);
    let later = now + SETTINGS.window;
    assert!(
        budget
            .spend_by_worth(later, &service, 1, worth(5))
            .is_granted
    );
}

/// A host that starts alone in a fleet of many grants its own part of the budget only.
#[test]
fn a_host_alone_keeps_its_part_of_the_budget() {
    let (now, service) = (Instant::now(), ServiceName::new("svc"));
    let mut budget = FleetRetryBudget::new(SETTINGS);
    let spent = (0..100).filter(|_| {
        let decision = budget.spend_by_worth(now, &service, 28, worth(0));
        decision.is_granted
    });
    assert_eq!(spent.count(), 2);
}
