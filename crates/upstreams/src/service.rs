//! What one host holds for one service.

use std::time::Instant;

use waxwingusher_core::{HostId, rendezvous};
use waxwingusher_protocol::health::{HealthMessage, InstanceKey};

use crate::coordinator::{Addressed, Coordinator};
use crate::pool::Pool;

const COORDINATORS: usize = 2;

/// A service's pool, the host's part as its coordinator, and who coordinators it.
#[derive(Debug)]
pub struct ServiceState {
    /// The instances.
    pub pool: Pool,
    /// The host's part as the coordinator.
    pub coordinator: Coordinator,
    /// The hosts that get the evidence, the first choice first.
    pub coordinators: Vec<HostId>,
}

impl ServiceState {
    /// Works out the coordinators and the host's subset from the listed hosts.
    pub fn assign(&mut self, self_id: &HostId, hosts: &[HostId], subset_size: usize) {
        let name = self.pool.service.name.as_str();
        let ranked = rendezvous::rank(name, hosts.iter(), HostId::as_str);
        self.coordinators = ranked.into_iter().take(COORDINATORS).cloned().collect();
        self.pool.update_subset(self_id, hosts, subset_size);
    }

    /// Returns the evidence that is due, for each coordinator.
    #[must_use]
    pub fn flush(&mut self, now: Instant) -> Vec<Addressed> {
        let rows = self.pool.voter.ejections(now).iter();
        let ejected: Vec<InstanceKey> = rows.map(|row| row.instance).collect();
        let Some(evidence) = self.pool.reporter.flush(now, &ejected) else {
            return Vec::new();
        };
        let message = HealthMessage::Evidence(evidence);
        let coordinators = self.coordinators.iter();
        coordinators
            .map(|host| (host.clone(), message.clone()))
            .collect()
    }
}
