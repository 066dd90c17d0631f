//! What an upstream instance is like, and what is wrong with it.

use std::time::Duration;

const DEFAULT_SLOTS: usize = 6;
const DEFAULT_CONNECTIONS: usize = 330;
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(2);
const DEFAULT_COLD_FACTOR: u32 = 4;
const DEFAULT_CRASH_DOWN_TIME: Duration = Duration::from_millis(500);

/// What an instance is like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// Requests that are worked on at once; more are shed.
    pub slots: usize,
    /// Connections that are open at once; more are closed.
    pub max_connections: usize,
    /// How long a request takes.
    pub service_time: Duration,
    /// How long the instance is cold after a start.
    pub cold_start: Duration,
    /// By how much a cold instance is slower.
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

/// Whether the instance takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// Takes new work.
    #[default]
    Live,
    /// Finishes its work and sheds new work.
    Draining,
}

/// What happens to a request that fails grayly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrayKind {
    /// It is answered with 500.
    Errors,
    /// It is never answered.
    Hangs,
    /// It takes longer by this time.
    Slow(Duration),
}

/// A failure of real work while the health endpoint answers 200.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrayFailure {
    /// The part of requests that fail, in percent.
    pub share_percent: u8,
    /// How they fail.
    pub kind: GrayKind,
}

/// A cut in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Cut {
    /// Both directions work.
    #[default]
    None,
    /// Requests are read and run, answers do not leave.
    Answers,
    /// Connections are accepted, requests are never read.
    Requests,
}

/// What is wrong with an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Whether new work is taken.
    pub phase: Phase,
    /// A failure of real work.
    pub gray: Option<GrayFailure>,
    /// A cut in one direction.
    pub cut: Cut,
    /// The encoded body's byte before which each answer ends and the
    /// connection closes.
    pub die_at_bytes: Option<usize>,
    /// What the load endpoint says is in flight, in place of the truth.
    pub reported_in_flight: Option<usize>,
}
