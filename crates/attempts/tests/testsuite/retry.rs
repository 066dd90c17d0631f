//! Retries stay within their budget and their rules.

use std::sync::Arc;
use std::time::Duration;

use waxwingusher_attempts::{
    FailedRequest, Idempotency, Origin, RetryBudget, RetryRefusal, RetrySettings,
};
use waxwingusher_core::{Clock, ManualClock, ServiceName, WorkspaceName};

const HOSTS: usize = 36;
const WORKSPACES: usize = 8;

fn budget(clock: &ManualClock, seed: u64) -> RetryBudget {
    let rng = fastrand::Rng::with_seed(seed);
    RetryBudget::new(RetrySettings::default(), Arc::new(clock.clone()), rng)
}

fn workspace(index: usize) -> WorkspaceName {
    WorkspaceName::new(&format!("w{index}"))
}

fn service() -> ServiceName {
    ServiceName::new("staff-desk")
}

fn failed(clock: &ManualClock) -> FailedRequest {
    FailedRequest {
        workspace: workspace(0),
        service: service(),
        idempotency: Idempotency::Idempotent,
        origin: Origin::Caller,
        retries: 0,
        untried_instances: 9,
        expected_time: Duration::from_millis(20),
        deadline: clock.now() + Duration::from_secs(2),
    }
}

fn budget_with_retries(clock: &ManualClock) -> RetryBudget {
    let mut budget = budget(clock, 1);
    for _ in 0..100 {
        budget.on_first_success(&workspace(0), &service());
    }
    budget
}

#[test]
fn each_rule_refuses_on_its_own() {
    let clock = ManualClock::new();
    let mut budget = budget_with_retries(&clock);
    let base = failed(&clock);
    let cases = [
        (
            FailedRequest {
                idempotency: Idempotency::NonIdempotent,
                ..base.clone()
            },
            RetryRefusal::NotIdempotent,
        ),
        (
            FailedRequest {
                origin: Origin::Retry,
                ..base.clone()
            },
            RetryRefusal::IsRetry,
        ),
        (
            FailedRequest {
                retries: RetrySettings::default().max_retries,
                ..base.clone()
            },
            RetryRefusal::TooMany,
        ),
        (
            FailedRequest {
                untried_instances: 0,
                ..base.clone()
            },
            RetryRefusal::NoOtherInstance,
        ),
        (
            FailedRequest {
                deadline: clock.now() + base.expected_time,
                ..base.clone()
            },
            RetryRefusal::NoTime,
        ),
        (
            FailedRequest {
                workspace: workspace(1),
                ..base.clone()
            },
            RetryRefusal::NoBudget,
        ),
    ];
    for (request, refusal) in cases {
        assert_eq!(budget.spend(&request), Err(refusal));
    }
    assert!(budget.spend(&base).is_ok());
}

#[test]
fn delays_are_spread_over_the_whole_range() {
    let clock = ManualClock::new();
    let settings = RetrySettings::default();
    let (mut shortest, mut longest) = (Duration::MAX, Duration::ZERO);
    for seed in 0..200 {
        let mut budget = budget(&clock, seed);
        for _ in 0..10 {
            budget.on_first_success(&workspace(0), &service());
        }
        let delay = budget
            .spend(&failed(&clock))
            .expect("the budget allows a retry");
        shortest = shortest.min(delay);
        longest = longest.max(delay);
    }
    assert!(shortest < settings.base_delay / 10, "{shortest:?}");
    assert!(longest > settings.base_delay * 9 / 10 && longest <= settings.base_delay);
}

/// Sends requests to a service whose instances all fail after a minute without
/// failures. Returns the load during the outage relative to the first attempts.
fn load_in_outage(requests_per_s: usize, outage_s: usize) -> f64 {
    let clock = ManualClock::new();
    let mut budgets: Vec<_> = (0..HOSTS).map(|i| budget(&clock, i as u64)).collect();
    let mut rng = fastrand::Rng::with_seed(5);
    let step = Duration::from_secs(1) / u32::try_from(requests_per_s).expect("a small rate");
    for _ in 0..60 * requests_per_s {
        clock.advance(step);
        let host = rng.usize(..HOSTS);
        budgets[host].on_first_success(&workspace(rng.usize(..WORKSPACES)), &service());
    }
    let mut sent = 0;
    for _ in 0..outage_s * requests_per_s {
        clock.advance(step);
        let host = rng.usize(..HOSTS);
        let mut request = failed(&clock);
        request.workspace = workspace(rng.usize(..WORKSPACES));
        sent += 1;
        while budgets[host].spend(&request).is_ok() {
            request.retries += 1;
            sent += 1;
        }
    }
    f64::from(sent) / (outage_s * requests_per_s) as f64
}

#[test]
fn retries_add_at_most_a_fifth_to_the_load_in_a_total_outage() {
    for (requests_per_s, outage_s) in [(200, 5), (400, 5), (1000, 2), (3000, 1)] {
        let load = load_in_outage(requests_per_s, outage_s);
        assert!(
            load <= 1.2,
            "{load} at {requests_per_s}/s over {outage_s} s"
        );
        assert!(load > 1.0, "some requests were retried");
    }
}

#[test]
fn one_workspace_cannot_use_up_the_retries_that_others_earned() {
    let clock = ManualClock::new();
    let mut budget = budget_with_retries(&clock);
    budget.on_first_success(&workspace(1), &service());
    let mut other_workspace = failed(&clock);
    other_workspace.workspace = workspace(1);
    assert_eq!(budget.spend(&other_workspace), Err(RetryRefusal::NoBudget));
    assert!(budget.spend(&failed(&clock)).is_ok());
}

#[test]
fn the_number_of_budgets_is_bounded() {
    let clock = ManualClock::new();
    let mut budget = budget(&clock, 1);
    let most = RetrySettings::default().max_budgets;
    for index in 0..3 * most {
        clock.advance(Duration::from_millis(1));
        budget.on_first_success(&workspace(index), &service());
        assert!(budget.len() <= most);
    }
}
