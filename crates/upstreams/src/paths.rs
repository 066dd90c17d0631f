//! Whether this host can open connections to instances.
//!
//! A single instance that takes no connections has failed or is cut off itself. Several
//! ones in a row, with none in between that takes one, mean that this host is cut off.

use waxwingusher_core::InstanceId;

/// The instances in a row that take no connection before the host counts as cut off.
const MIN_UNREACHABLE_INSTANCES: usize = 3;

/// The outcomes of this host's latest attempts to open connections.
#[derive(Debug, Default)]
pub struct PathMonitor {
    /// The instances that took no connection since the last one that did.
    unreachable: Vec<InstanceId>,
}

impl PathMonitor {
    /// Records that no connection could be opened to an instance, and returns whether the
    /// host counts as cut off from now on.
    pub fn record_unreachable(&mut self, id: &InstanceId) -> bool {
        if self.is_cut_off() || self.unreachable.contains(id) {
            return false;
        }
        self.unreachable.push(id.clone());
        self.is_cut_off()
    }

    /// Records that an instance took a connection, and returns whether the host counted as
    /// cut off until now.
    pub fn record_open(&mut self) -> bool {
        let was_cut_off = self.is_cut_off();
        self.unreachable.clear();
        was_cut_off
    }

    /// Reports whether this host seems to be cut off from the instances.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.unreachable.len() >= MIN_UNREACHABLE_INSTANCES
    }
}
