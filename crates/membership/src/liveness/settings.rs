//! Settings of the failure detector.

use std::time::Duration;

/// The interval at which [`super::Liveness::tick`] should be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const RETRY_AFTER: Duration = Duration::from_millis(300);
const RELAY_AFTER: Duration = Duration::from_millis(600);
const ROUND_TIMEOUT: Duration = Duration::from_secs(1);
const ROUNDS_BEFORE_SUSPICION: u32 = 2;
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);
const RELAYS_PER_PROBE: usize = 3;
const BYTES_PER_S: u32 = 380;
const BURST_BYTES: u32 = 4_000;

/// Settings of the failure detector. All hosts of a fleet have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LivenessSettings {
    /// The interval between probes of a host.
    pub probe_interval: Duration,
    /// The time after which a probe without an answer is sent again.
    pub retry_after: Duration,
    /// The time after which other hosts are asked to probe.
    pub relay_after: Duration,
    /// The time after which a round of probes without an answer ends.
    pub round_timeout: Duration,
    /// Rounds without an answer before the target is suspected.
    pub rounds_before_suspicion: u32,
    /// How long a suspected host may refute the suspicion.
    pub suspicion_timeout: Duration,
    /// The time between two calls above which this process counts as paused.
    pub pause_threshold: Duration,
    /// Hosts that are asked to probe.
    pub relays: usize,
    /// The bytes that are sent each second, on average over a longer time.
    pub bytes_per_s: u32,
    /// The bytes that may be sent at once after an idle time.
    pub burst_bytes: u32,
}

impl Default for LivenessSettings {
    fn default() -> Self {
        Self {
            probe_interval: PROBE_INTERVAL,
            retry_after: RETRY_AFTER,
            relay_after: RELAY_AFTER,
            round_timeout: ROUND_TIMEOUT,
            rounds_before_suspicion: ROUNDS_BEFORE_SUSPICION,
            suspicion_timeout: SUSPICION_TIMEOUT,
            pause_threshold: PAUSE_THRESHOLD,
            relays: RELAYS_PER_PROBE,
            bytes_per_s: BYTES_PER_S,
            burst_bytes: BURST_BYTES,
        }
    }
}
