//! Suspensions are detected by the difference between the two clocks.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use waxwingusher_core::{Clock, SuspensionDetector};

/// A monotonic and a wall clock that advance separately.
struct SteppedClocks {
    base: Instant,
    monotonic: Mutex<Duration>,
    wall: Mutex<Duration>,
}

impl SteppedClocks {
    fn new() -> Self {
        Self {
            base: Instant::now(),
            monotonic: Mutex::default(),
            wall: Mutex::default(),
        }
    }

    fn advance(&self, monotonic: Duration, wall: Duration) {
        for (clock, step) in [(&self.monotonic, monotonic), (&self.wall, wall)] {
            *lock(clock) += step;
        }
    }
}

impl Clock for SteppedClocks {
    fn now(&self) -> Instant {
        self.base + *lock(&self.monotonic)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + *lock(&self.wall)
    }
}

fn lock(clock: &Mutex<Duration>) -> MutexGuard<'_, Duration> {
    clock.lock().expect("no panic holds it")
}

#[test]
fn a_lead_of_the_wall_clock_is_a_suspension_and_a_lag_is_none() {
    let clocks = SteppedClocks::new();
    let mut detector = SuspensionDetector::new(&clocks);
    let (second, minute) = (Duration::from_secs(1), Duration::from_secs(60));
    clocks.advance(minute, minute);
    assert_eq!(detector.check(&clocks), None, "a pause");
    clocks.advance(Duration::ZERO, second);
    assert_eq!(
        detector.check(&clocks),
        None,
        "a small step of the wall clock"
    );
    clocks.advance(second, minute);
    assert_eq!(detector.check(&clocks), Some(minute));
    assert_eq!(
        detector.check(&clocks),
        None,
        "a suspension is reported once"
    );
    clocks.advance(minute, Duration::ZERO);
    assert_eq!(detector.check(&clocks), None, "the wall clock was set back");
}
