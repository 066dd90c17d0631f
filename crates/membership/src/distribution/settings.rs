//! Settings of the distribution.

use std::time::Duration;

use waxwingusher_core::HostId;

/// Settings of the distribution.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DistributionSettings {
    /// Hosts of a failure domain that watch the configuration service.
    pub readers_per_domain: usize,
    /// Hosts of a failure domain that may become readers.
    pub candidates_per_domain: usize,
    /// The time between two polls of peers.
    pub poll_interval: Duration,
    /// How long a host waits for an answer before it polls others.
    pub answer_timeout: Duration,
    /// Peers to which a host announces a version that it has adopted.
    pub fanout: usize,
    /// How long the configuration service may hold a watch of the manifest.
    pub watch_wait: Duration,
    /// How long it may hold a watch of the host list. Each end of a watch that
    /// names the revision is evidence that the list was current when the watch
    /// started.
    pub list_watch_wait: Duration,
    /// How long a host waits for a pack before it requests it from the next peer.
    /// A pack that arrives later is still accepted.
    pub fetch_timeout: Duration,
    /// How long a fresh host waits for peers that do not answer.
    pub survey_timeout: Duration,
    /// Peers to poll while there is no host list.
    pub seeds: Vec<HostId>,
}

impl Default for DistributionSettings {
    fn default() -> Self {
        Self {
            readers_per_domain: 2,
            candidates_per_domain: 4,
            poll_interval: Duration::from_secs(2),
            answer_timeout: Duration::from_millis(500),
            fanout: 8,
            watch_wait: Duration::from_secs(10),
            list_watch_wait: Duration::from_secs(1),
            fetch_timeout: Duration::from_millis(300),
            survey_timeout: Duration::from_secs(3),
            seeds: Vec::new(),
        }
    }
}
