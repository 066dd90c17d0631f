//! Settings and injected faults of an upstream instance.

use std::time::Duration;

const DEFAULT_SLOTS: usize = 6;
const DEFAULT_CONNECTIONS: usize = 330;
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(2);
const DEFAULT_COLD_FACTOR: u32 = 4;
const DEFAULT_CRASH_DOWN_TIME: Duration = Duration::from_millis(500);

/// The settings of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// Concurrent requests; further requests are shed.
    pub slots: usize,
    /// Concurrent connections; further connections are closed.
    pub max_connections: usize,
    /// How long a request is processed.
    pub service_time: Duration,
    /// How long the instance stays cold after a start.
    pub cold_start: Duration,
    /// The factor by which a cold instance is slower.
    pub cold_factor: u32,
    /// How long connections are refused after a request crashed the instance.
    pub crash_down_time: Duration,
    /// The seed of random faults.
    pub seed: u64,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            slots: DEFAULT_SLOTS,
            max_connections: DEFAULT_CONNECTIONS,
            service_time: DEFAULT_SERVICE_TIME,
            cold_start: Duration::ZERO,
            cold_factor: DEFAULT_COLD_FACTOR,
            crash_down_time: DEFAULT_CRASH_DOWN_TIME,
            seed: 0,
        }
    }
}

/// Whether the instance accepts new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// Accepts new work.
    #[default]
    Live,
    /// Finishes the work in progress and sheds new work.
    Draining,
}

/// What happens to a request that a gray failure affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrayKind {
    /// It is answered with 500.
    Errors,
    /// It is never answered.
    Hangs,
    /// It takes longer by this duration.
    Slow(Duration),
}

/// A gray failure: work fails while the health endpoint answers 200.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrayFailure {
    /// The share of requests that fail, in percent.
    pub share_percent: u8,
    /// How they fail.
    pub kind: GrayKind,
}

/// A network cut in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Cut {
    /// Both directions work.
    #[default]
    None,
    /// Requests are read and run, but answers are not sent.
    Answers,
    /// Connections are accepted, but requests are not read.
    Requests,
}

/// The injected faults of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Whether new work is accepted.
    pub phase: Phase,
    /// A gray failure of work.
    pub gray: Option<GrayFailure>,
    /// A network cut in one direction.
    pub cut: Cut,
    /// The byte of the encoded body before which each answer is truncated and
    /// the connection closed.
    pub truncate_at_bytes: Option<usize>,
    /// The requests in flight that the load endpoint reports instead of the real
    /// number.
    pub reported_in_flight: Option<usize>,
}
