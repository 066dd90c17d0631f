//! Memory that a witness took over from hosts that stopped.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use waxwingusher_core::{Clock, HostId};

use crate::lease::Stamp;
use crate::witnesses::{HashKey, Topology};

/// The complete memory of a stopped host for the keys that pass to this one.
struct Inheritance {
    topology: Arc<Topology>,
    source: u64,
    taken: Stamp,
}

/// All stopped hosts whose memory this host holds.
#[derive(Default)]
pub(crate) struct Inheritances {
    by_host: BTreeMap<HostId, Inheritance>,
}

impl Inheritances {
    /// Notes that all records of `host` for the keys that pass to this host
    /// under `topology` are held, and that the host had stopped granting, but
    /// was still alive, at `taken`.
    pub(crate) fn insert(
        &mut self,
        host: HostId,
        source: u64,
        topology: Arc<Topology>,
        taken: Stamp,
    ) {
        let inheritance = Inheritance {
            topology,
            source,
            taken,
        };
        self.by_host.insert(host, inheritance);
    }

    /// Forgets memory that a new process of the host may have outgrown.
    pub(crate) fn expire(&mut self, term: Duration, clock: &dyn Clock) {
        self.by_host
            .retain(|_, inheritance| inheritance.taken.longest_age(clock) <= term);
    }

    /// Forgets a host's memory, since the host takes it back, and returns the
    /// hand-over by which it was held.
    pub(crate) fn remove(&mut self, host: &HostId) -> Option<u64> {
        let inheritance = self.by_host.remove(host)?;
        Some(inheritance.source)
    }

    /// Reports whether this host stands for one of a key's witnesses.
    pub(crate) fn represents(
        &self,
        self_id: &HostId,
        topology: &Topology,
        key: &HashKey,
        count: usize,
    ) -> bool {
        self.by_host.iter().any(|(host, inheritance)| {
            if !topology.is_witness(key, count, host) {
                return false;
            }
            let successor = inheritance.topology.successor(key, count, host);
            successor.as_ref() == Some(self_id)
        })
    }
}
