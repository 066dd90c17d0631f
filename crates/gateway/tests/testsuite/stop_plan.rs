//! The times of a planned stop, and which attempts it allows.

use std::time::{Duration, Instant};

use waxwingusher_gateway::stop_plan::StopPlan;

/// Guards against attempts that a planned stop cuts, and against a host that refuses what it
/// could serve before it ends.
#[test]
fn an_attempt_starts_only_if_the_stop_leaves_it_the_time() {
    let second = Duration::from_secs_f64;
    // Grace, time since the stop began, time to the deadline, usual latency, whether it starts.
    let cases = [
        // Ends before the last answers are due, however late it is.
        (6.0, 0.0, 2.0, 0.3, true),
        (6.0, 3.5, 2.0, 0.3, true),
        (6.0, 5.4, 0.1, 3.0, true),
        // May outlast the grace, but is likely not to.
        (6.0, 0.0, 30.0, 0.3, true),
        (6.0, 3.5, 30.0, 0.3, true),
        (30.0, 15.0, 60.0, 1.0, true),
        // Too little of the grace is left.
        (6.0, 3.8, 30.0, 0.3, false),
        (6.0, 5.6, 2.0, 0.01, false),
        (6.0, 5.9, 2.0, 0.01, false),
        // The route is usually too slow for what is left.
        (6.0, 0.0, 30.0, 2.7, true),
        (6.0, 0.0, 30.0, 2.9, false),
        (6.0, 2.0, 30.0, 1.7, true),
        (6.0, 2.0, 30.0, 1.9, false),
        // More must be left once no more connections are accepted.
        (6.0, 2.9, 30.0, 1.2, true),
        (6.0, 3.1, 30.0, 1.2, false),
        (10.0, 2.9, 30.0, 3.0, true),
        (10.0, 3.1, 30.0, 3.0, false),
        // A grace that leaves no time.
        (0.0, 0.0, 2.0, 0.01, false),
        (0.2, 0.0, 2.0, 0.01, false),
    ];
    let began_at = Instant::now();
    for case in cases {
        let (grace_s, since_s, left_s, usual_s, is_allowed) = case;
        let plan = StopPlan::new(began_at, second(grace_s));
        let now = began_at + second(since_s);
        let deadline = now + second(left_s);
        let allowed = plan.allows_attempt(now, deadline, second(usual_s));
        assert_eq!(allowed, is_allowed, "{case:?}");
    }
}

#[test]
fn the_times_of_a_stop_are_in_order_and_within_the_grace() {
    let began_at = Instant::now();
    for grace_ms in [
        0, 1, 50, 150, 299, 300, 500, 1_000, 6_000, 10_000, 3_600_000,
    ] {
        let grace = Duration::from_millis(grace_ms);
        let plan = StopPlan::new(began_at, grace);
        let far = began_at + 2 * grace + Duration::from_secs(1);
        let instances_end_at = plan.limit_attempt(far);
        assert!(plan.began_at <= plan.accept_until(), "{grace_ms}");
        assert!(plan.accept_until() <= plan.answers_due_at(), "{grace_ms}");
        assert!(instances_end_at <= plan.answers_due_at(), "{grace_ms}");
        assert!(plan.answers_due_at() <= plan.exit_at, "{grace_ms}");
        assert!(plan.exit_at <= began_at + grace, "{grace_ms}");
        assert_eq!(plan.limit_attempt(began_at), began_at, "{grace_ms}");
        assert!(plan.accept_until() <= began_at + Duration::from_secs(3));
    }
}
