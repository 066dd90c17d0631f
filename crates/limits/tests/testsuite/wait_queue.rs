//! The order of requests that wait for a free slot.

use std::time::{Duration, Instant};

use waxwingusher_core::ServiceName;
use waxwingusher_limits::{QueuePosition, WaitQueue, WaitTerms};

#[test]
fn urgent_requests_go_first_and_others_in_arrival_order() {
    let (now, service) = (Instant::now(), ServiceName::new("svc"));
    let mut queue = WaitQueue::default();
    let later = now + Duration::from_millis(10);
    let common = queue.enqueue(&service, now, 2);
    let next = queue.enqueue(&service, later, 2);
    assert!(queue.is_first(&service, common) && !queue.is_first(&service, next));
    let urgent = queue.enqueue(&service, later, 0);
    assert!(queue.is_first(&service, urgent) && !queue.is_first(&service, common));
    queue.remove(&service, urgent);
    queue.remove(&service, common);
    assert!(queue.is_first(&service, next));
}

/// Guards against starvation while urgent requests alone fill all slots for
/// seconds.
#[test]
fn a_request_that_waits_long_goes_before_later_urgent_ones() {
    let (now, service) = (Instant::now(), ServiceName::new("svc"));
    let mut queue = WaitQueue::default();
    let common = queue.enqueue(&service, now, 2);
    let urgent = queue.enqueue(&service, now + Duration::from_secs(1), 0);
    assert!(queue.is_first(&service, common) && !queue.is_first(&service, urgent));
}

#[test]
fn services_have_separate_queues() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    let (a, b) = (ServiceName::new("a"), ServiceName::new("b"));
    let first = queue.enqueue(&a, now, 0);
    let other = queue.enqueue(&b, now, 5);
    assert!(queue.is_first(&a, first) && queue.is_first(&b, other));
    queue.remove(&a, first);
    queue.remove(&b, other);
    assert!(queue.is_empty());
}

/// Guards against late refusals: with one workspace at eight times its rate, 640
/// requests waited for half of their latency target before they were refused.
#[test]
fn a_request_behind_more_than_can_be_served_is_likely_to_time_out() {
    const MAX_WAIT: Duration = Duration::from_millis(300);
    let (start, service) = (Instant::now(), ServiceName::new("svc"));
    let mut queue = WaitQueue::default();
    let mut now = start;
    // Ten are served in a second, so three within MAX_WAIT.
    for _ in 0..10 {
        let position = queue.enqueue(&service, now, 0);
        queue.remove(&service, position);
        queue.record_served(now, &service, position);
        now += Duration::from_millis(100);
    }
    now -= Duration::from_millis(50);
    let mut positions: Vec<_> = (0..6).map(|_| queue.enqueue(&service, now, 1)).collect();
    let mut is_likely_to_time_out =
        |position| queue.is_likely_to_time_out(now, &service, position, MAX_WAIT);
    assert!(
        positions[..5]
            .iter()
            .all(|position| !is_likely_to_time_out(*position))
    );
    assert!(is_likely_to_time_out(positions[5]));
    // An urgent request goes first, so the last request that could be served in
    // time is now likely to time out, too.
    let urgent = queue.enqueue(&service, now, 0);
    assert!(!queue.is_likely_to_time_out(now, &service, urgent, MAX_WAIT));
    assert!(queue.is_likely_to_time_out(now, &service, positions.remove(4), MAX_WAIT));
}

/// Covers a time of seconds in which no instance accepts requests.
#[test]
fn a_few_requests_wait_while_no_slot_becomes_free() {
    let (now, service) = (Instant::now(), ServiceName::new("svc"));
    let mut queue = WaitQueue::default();
    let positions: Vec<_> = (0..3).map(|_| queue.enqueue(&service, now, 0)).collect();
    let mut is_likely_to_time_out =
        |position| queue.is_likely_to_time_out(now, &service, position, Duration::from_millis(300));
    assert!(!is_likely_to_time_out(positions[0]) && !is_likely_to_time_out(positions[1]));
    assert!(is_likely_to_time_out(positions[2]));
}

fn terms(start_by: Instant, priority: u32) -> WaitTerms {
    WaitTerms {
        start_by,
        priority,
        is_over_share: false,
    }
}

/// Guards against a delay-tolerant request with seconds left that goes before one of
/// the same priority that is about to miss its latency target.
#[test]
fn the_request_with_the_least_time_left_goes_first() {
    let (now, service) = (Instant::now(), ServiceName::new("svc"));
    let mut queue = WaitQueue::default();
    let tolerant = queue.enqueue_by_terms(&service, terms(now + Duration::from_secs(4), 1));
    let short = queue.enqueue_by_terms(&service, terms(now + Duration::from_millis(300), 1));
    assert!(queue.is_first(&service, short) && !queue.is_first(&service, tolerant));
}

/// Guards against an urgent request that finds room and yet waits behind a less urgent
/// one that may not use it.
#[test]
fn an_urgent_request_does_not_wait_behind_a_less_urgent_one() {
    let (now, service) = (Instant::now(), ServiceName::new("svc"));
    let mut queue = WaitQueue::default();
    let overdue = queue.enqueue_by_terms(&service, terms(now, 2));
    let urgent = queue.enqueue_by_terms(&service, terms(now + Duration::from_secs(1), 0));
    let next = queue.enqueue_by_terms(&service, terms(now + Duration::from_secs(2), 2));
    assert!(queue.is_first(&service, overdue) && queue.is_first(&service, urgent));
    assert!(!queue.is_first(&service, next));
    assert_eq!(queue.waiting(&service, 0), 1);
    assert_eq!(queue.waiting(&service, 2), 3);
}

/// Guards against a workspace above its share whose urgent requests delay those of
/// workspaces within their shares.
#[test]
fn requests_above_a_share_wait_behind_all_others() {
    let (now, service) = (Instant::now(), ServiceName::new("svc"));
    let mut queue = WaitQueue::default();
    let over_share = WaitTerms {
        is_over_share: true,
        ..terms(now, 0)
    };
    let over_share = queue.enqueue_by_terms(&service, over_share);
    let within = queue.enqueue_by_terms(&service, terms(now + Duration::from_secs(5), 2));
    assert!(queue.is_first(&service, within) && !queue.is_first(&service, over_share));
}

/// Guards against an estimate for delay-tolerant requests from the rate at which urgent
/// ones pass them, and against a `Retry-After` that is not derived from a measured rate.
#[test]
fn the_wait_is_estimated_from_the_requests_served_in_the_same_class() {
    let (start, service) = (Instant::now(), ServiceName::new("svc"));
    let mut queue = WaitQueue::default();
    let mut now = start;
    let serve = |queue: &mut WaitQueue, now, priority| {
        let position = queue.enqueue_by_terms(&service, terms(now, priority));
        queue.remove(&service, position);
        queue.record_served(now, &service, position);
    };
    // Two delay-tolerant and twenty urgent requests each second, for 3 s.
    for number in 0..60 {
        serve(&mut queue, now, 0);
        if number % 10 == 0 {
            serve(&mut queue, now, 2);
        }
        now += Duration::from_millis(50);
    }
    now -= Duration::from_millis(10);
    let waiting: Vec<QueuePosition> = (0..9)
        .map(|_| queue.enqueue_by_terms(&service, terms(now + Duration::from_secs(5), 2)))
        .collect();
    let max_wait = Duration::from_secs(2);
    let estimate = queue.estimate(now, &service, waiting[8]);
    assert_eq!(estimate.ahead, 8);
    assert!((estimate.served_per_s - 2.0).abs() < 0.1, "{estimate:?}");
    assert!(!estimate.is_served_within(max_wait));
    // Five may be ahead, so three and this one must be served first: 2 s.
    let retry_after = estimate.retry_after(max_wait).as_secs_f64();
    assert!((retry_after - 2.0).abs() < 0.2, "{retry_after} s");
    let estimate = queue.estimate(now, &service, waiting[4]);
    assert!(estimate.is_served_within(max_wait));
}
