//! The median latency of a pool at one host.

use std::time::Duration;

const WINDOW_SAMPLES: usize = 64;
const MIN_SAMPLES: usize = 20;
const SLOW_FACTOR: u32 = 6;
const SLOW_MARGIN: Duration = Duration::from_millis(5);
const REFRESH_INTERVAL_SAMPLES: usize = 4;

/// The latest latencies of a pool's successful requests.
#[derive(Debug, Default)]
pub struct LatencyWindow {
    samples: Vec<Duration>,
    next: usize,
    median: Option<Duration>,
}

impl LatencyWindow {
    /// Adds a latency, which replaces the oldest one of a full window.
    pub fn push(&mut self, latency: Duration) {
        if self.samples.len() < WINDOW_SAMPLES {
            self.samples.push(latency);
        } else {
            self.samples[self.next % WINDOW_SAMPLES] = latency;
        }
        self.next += 1;
        if self.next.is_multiple_of(REFRESH_INTERVAL_SAMPLES) && self.samples.len() >= MIN_SAMPLES {
            self.median = Some(median(&self.samples));
        }
    }

    /// Returns the median, once there are enough samples.
    #[must_use]
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// Reports whether a latency is far above the median.
    #[must_use]
    pub fn is_slow(&self, latency: Duration) -> bool {
        self.median
            .is_some_and(|median| latency > median * SLOW_FACTOR && latency > median + SLOW_MARGIN)
    }
}

fn median(samples: &[Duration]) -> Duration {
    let mut sorted = samples.to_vec();
    let middle = sorted.len() / 2;
    *sorted.select_nth_unstable(middle).1
}
