//! The order of requests that wait for room.

use std::time::{Duration, Instant};

use waxwingusher_core::ServiceName;
use waxwingusher_limits::WaitingLine;

#[test]
fn urgent_requests_go_first_and_others_in_the_order_of_their_arrival() {
    let (now, service) = (Instant::now(), ServiceName::new("svc"));
    let mut line = WaitingLine::default();
    let later = now + Duration::from_millis(10);
    let common = line.join(&service, now, 2);
    let next = line.join(&service, later, 2);
    assert!(line.is_first(&service, common) && !line.is_first(&service, next));
    let urgent = line.join(&service, later, 0);
    assert!(line.is_first(&service, urgent) && !line.is_first(&service, common));
    line.leave(&service, urgent);
    line.leave(&service, common);
    assert!(line.is_first(&service, next));
}

/// Pattern: urgent requests alone fill all slots for seconds.
#[test]
fn a_request_that_waits_long_goes_before_urgent_ones_that_came_later() {
    let (now, service) = (Instant::now(), ServiceName::new("svc"));
    let mut line = WaitingLine::default();
    let common = line.join(&service, now, 2);
    let urgent = line.join(&service, now + Duration::from_secs(1), 0);
    assert!(line.is_first(&service, common) && !line.is_first(&service, urgent));
}

#[test]
fn services_have_lines_of_their_own() {
    let now = Instant::now();
    let mut line = WaitingLine::default();
    let (a, b) = (ServiceName::new("a"), ServiceName::new("b"));
    let first = line.join(&a, now, 0);
    let other = line.join(&b, now, 5);
    assert!(line.is_first(&a, first) && line.is_first(&b, other));
    line.leave(&a, first);
    line.leave(&b, other);
    assert!(line.is_empty());
}

/// Massgate scale-2, one workspace at eight times its rate: 640 requests waited
/// for half of their latency target and were refused then.
#[test]
fn a_request_behind_more_than_get_room_meanwhile_is_told_at_once() {
    const PATIENCE: Duration = Duration::from_millis(300);
    let (start, service) = (Instant::now(), ServiceName::new("svc"));
    let mut line = WaitingLine::default();
    let mut now = start;
    // Ten get room in a second, so three in the time that a request waits.
    for _ in 0..10 {
        let place = line.join(&service, now, 0);
        line.leave(&service, place);
        line.note_served(now, &service);
        now += Duration::from_millis(100);
    }
    now -= Duration::from_millis(50);
    let mut places: Vec<_> = (0..6).map(|_| line.join(&service, now, 1)).collect();
    let mut is_hopeless = |place| line.is_hopeless(now, &service, place, PATIENCE);
    assert!(places[..5].iter().all(|place| !is_hopeless(*place)));
    assert!(is_hopeless(places[5]));
    // An urgent one goes first, and the last one before the hopeless one is now
    // hopeless, too.
    let urgent = line.join(&service, now, 0);
    assert!(!line.is_hopeless(now, &service, urgent, PATIENCE));
    assert!(line.is_hopeless(now, &service, places.remove(4), PATIENCE));
}

/// Pattern: no instance takes anything for seconds.
#[test]
fn a_few_requests_wait_through_a_standstill() {
    let (now, service) = (Instant::now(), ServiceName::new("svc"));
    let mut line = WaitingLine::default();
    let places: Vec<_> = (0..3).map(|_| line.join(&service, now, 0)).collect();
    let mut is_hopeless =
        |place| line.is_hopeless(now, &service, place, Duration::from_millis(300));
    assert!(!is_hopeless(places[0]) && !is_hopeless(places[1]));
    assert!(is_hopeless(places[2]));
}
