//! What one host holds for one service.

use std::time::Instant;

use waxwingusher_core::{HostId, rendezvous};
use waxwingusher_protocol::health::{HealthMessage, InstanceKey};

use crate::judge::{Addressed, Judge};
use crate::pool::Pool;

const JUDGES: usize = 2;

/// A service's pool, the host's part as its judge, and who judges it.
#[derive(Debug)]
pub struct ServiceState {
    /// The instances.
    pub pool: Pool,
    /// The host's part as the judge.
    pub judge: Judge,
    /// The hosts that get the evidence, the first choice first.
    pub judges: Vec<HostId>,
}

impl ServiceState {
    /// Works out the judges and the host's subset from the listed hosts.
    pub fn place(&mut self, self_id: &HostId, hosts: &[HostId], subset_size: usize) {
        let name = self.pool.service.name.as_str();
        let ranked = rendezvous::rank(name, hosts.iter(), HostId::as_str);
        self.judges = ranked.into_iter().take(JUDGES).cloned().collect();
        self.pool.update_subset(self_id, hosts, subset_size);
    }

    /// Returns the evidence that is due, for each judge.
    #[must_use]
    pub fn flush(&mut self, now: Instant) -> Vec<Addressed> {
        let rows = self.pool.voter.ejections(now).iter();
        let ejected: Vec<InstanceKey> = rows.map(|row| row.instance).collect();
        let Some(evidence) = self.pool.reporter.flush(now, &ejected) else {
            return Vec::new();
        };
        let message = HealthMessage::Evidence(evidence);
        let judges = self.judges.iter();
        judges.map(|host| (host.clone(), message.clone())).collect()
    }
}
