//! One host's state of one service.

use std::time::Instant;

use waxwingusher_core::{HostId, rendezvous};
use waxwingusher_protocol::health::{HealthMessage, InstanceKey};

use crate::coordinator::{AddressedMessage, Coordinator};
use crate::pool::Pool;

const COORDINATORS: usize = 2;

/// A service's pool, this host's role as its coordinator, and its coordinators.
#[derive(Debug)]
pub struct ServiceState {
    /// The pool of instances.
    pub pool: Pool,
    /// This host's role as the coordinator.
    pub coordinator: Coordinator,
    /// The hosts that receive the evidence, the primary first.
    pub coordinators: Vec<HostId>,
}

impl ServiceState {
    /// Assigns the coordinators and this host's subset by the listed hosts.
    pub fn assign(&mut self, self_id: &HostId, hosts: &[HostId], subset_size: usize) {
        let name = self.pool.service.name.as_str();
        let ranked = rendezvous::rank(name, hosts.iter(), HostId::as_str);
        self.coordinators = ranked.into_iter().take(COORDINATORS).cloned().collect();
        self.pool.update_subset(self_id, hosts, subset_size);
    }

    /// Returns the evidence that is due, addressed to each coordinator.
    #[must_use]
    pub fn flush(&mut self, now: Instant) -> Vec<AddressedMessage> {
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
