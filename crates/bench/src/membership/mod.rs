//! Scenarios of failure detection: detection time, false suspicions and bytes.

pub mod fleet;
mod meters;
mod scenarios;

use crate::scenario::Scenario;

use scenarios::{DeadHost, HostRestarts, LossyLinks, PartitionedFleet, PausedHost, Sizes};

/// Returns the scenarios of failure detection, each at the current size before the
/// design size.
#[must_use]
pub fn scenarios() -> Vec<Box<dyn Scenario>> {
    let (current, design) = (Sizes::CURRENT, Sizes::DESIGN);
    vec![
        Box::new(DeadHost::new("membership/dead-host-40", current)),
        Box::new(DeadHost::new("membership/dead-host-440", design)),
        Box::new(LossyLinks::new(
            "membership/loss-1-percent-40",
            current,
            0.01,
        )),
        Box::new(LossyLinks::new(
            "membership/loss-1-percent-440",
            design,
            0.01,
        )),
        Box::new(LossyLinks::new(
            "membership/loss-20-percent-40",
            current,
            0.2,
        )),
        Box::new(LossyLinks::new(
            "membership/loss-20-percent-440",
            design,
            0.2,
        )),
        Box::new(PausedHost::new("membership/pause-10-s-40", current)),
        Box::new(PausedHost::new("membership/pause-10-s-440", design)),
        Box::new(HostRestarts::new("membership/restarts-440", design)),
        Box::new(PartitionedFleet::new("membership/split-440", design)),
    ]
}

/// Measures failure detection in a healthy fleet of a size.
pub(crate) fn measure_hosts(hosts: usize, seed: u64) -> Vec<crate::Measurement> {
    scenarios::measure_hosts(hosts, seed)
}
