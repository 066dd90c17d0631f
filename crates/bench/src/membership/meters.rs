//! Meters for a running fleet.

use std::time::Duration;

use crate::scenario::{Bound, Measurement};

use super::fleet::LivenessFleet;

// The share of failure detection in the 3 KB per second that a host may spend on
// control.
const BUDGET_BYTES_PER_S: f64 = 400.0;

/// Durations that are summarised by percentiles.
#[derive(Debug, Default)]
pub(super) struct Times {
    seconds: Vec<f64>,
}

impl Times {
    pub(super) fn push(&mut self, time: Duration) {
        self.seconds.push(time.as_secs_f64());
    }

    /// Returns the median, the 99th percentile and the maximum.
    pub(super) fn measurements(mut self, name: &str) -> Vec<Measurement> {
        self.seconds.sort_by(f64::total_cmp);
        let rank = |share: f64| {
            let last = self.seconds.len().saturating_sub(1);
            let i = (last as f64 * share).round() as usize;
            self.seconds.get(i).copied().unwrap_or(f64::NAN)
        };
        let percentile =
            |suffix: &str, value: f64| Measurement::new(&format!("{name}-{suffix}"), value, "s");
        vec![
            percentile("p50", rank(0.5)),
            percentile("p99", rank(0.99)),
            percentile("max", rank(1.0)),
        ]
    }
}

/// Measures the bytes that hosts send over a period.
#[derive(Debug)]
pub(super) struct Meter {
    started_at: Duration,
    before: Vec<u64>,
}

impl Meter {
    pub(super) fn begin(fleet: &LivenessFleet) -> Self {
        Self {
            started_at: fleet.elapsed(),
            before: fleet.sent_bytes(),
        }
    }

    /// Returns the mean rate of all hosts and the highest rate of any host over the
    /// period.
    pub(super) fn measurements(&self, fleet: &LivenessFleet) -> Vec<Measurement> {
        let seconds = (fleet.elapsed() - self.started_at).as_secs_f64();
        let after = fleet.sent_bytes();
        let pairs = self.before.iter().zip(&after);
        let rates = pairs.map(|(before, after)| (after - before) as f64 / seconds);
        let rates: Vec<_> = rates.collect();
        let mean = rates.iter().sum::<f64>() / rates.len() as f64;
        let highest = rates.iter().copied().fold(0.0, f64::max);
        let bound = Bound::AtMost(BUDGET_BYTES_PER_S);
        vec![
            Measurement::new("sent-per-host-mean", mean, "bytes/s").bounded(bound),
            Measurement::new("sent-per-host-highest", highest, "bytes/s"),
        ]
    }
}

/// Counts of the changes that a fleet observed.
#[derive(Debug, Default)]
pub(super) struct ChangeCounts {
    pub(super) suspected: u64,
    pub(super) died: u64,
}
