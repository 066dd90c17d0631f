//! Suspensions are detected by the difference between the two clocks.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use waxwingusher_core::{Clock, SuspensionWatch};

/// A monotonic and a wall clock that advance separately.
struct Clocks {
    base: Instant,
    monotonic: Mutex<Duration>,
    wall: Mutex<Duration>,
}

impl Clocks {
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

impl Clock for Clocks {
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
fn only_the_time_that_one_clock_did_not_count_is_a_suspension() {
    let clocks = Clocks::new();
    let mut watch = SuspensionWatch::new(&clocks);
    let (second, minute) = (Duration::from_secs(1), Duration::from_secs(60));
    clocks.advance(minute, minute);
    assert_eq!(watch.look(&clocks), None, "a pause");
    clocks.advance(Duration::ZERO, second);
    assert_eq!(watch.look(&clocks), None, "a small step of the wall clock");
    clocks.advance(second, minute);
    assert_eq!(watch.look(&clocks), Some(minute));
    assert_eq!(watch.look(&clocks), None, "a suspension is reported once");
    clocks.advance(minute, Duration::ZERO);
    assert_eq!(watch.look(&clocks), None, "the wall clock was set back");
}
