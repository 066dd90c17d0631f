//! The order of requests that wait for a free slot.

use std::time::{Duration, Instant};

use waxwingusher_core::ServiceName;
use waxwingusher_limits::WaitQueue;

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
        queue.record_served(now, &service);
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
