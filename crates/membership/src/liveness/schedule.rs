//! The order in which peers are probed.

use std::collections::VecDeque;

use waxwingusher_core::HostId;

const OWN_DOMAIN_EVERY: u64 = 4;
const DEAD_EVERY: u64 = 8;
const MAX_URGENT: usize = 64;

/// The group of peers that the next probe goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Group {
    All,
    OwnDomain,
    Dead,
}

/// A random order that is reshuffled once it is used up.
#[derive(Debug, Default)]
struct Rotation {
    rest: Vec<HostId>,
}

/// The order in which peers are probed: each once before any is probed again.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    probes: u64,
    urgent: VecDeque<HostId>,
    all: Rotation,
    own_domain: Rotation,
    dead: Rotation,
}

impl Schedule {
    /// Schedules a peer before all others.
    pub(super) fn prioritize(&mut self, host: &HostId) {
        if self.urgent.len() >= MAX_URGENT || self.urgent.contains(host) {
            return;
        }
        self.urgent.push_back(host.clone());
    }

    pub(super) fn next_urgent(&mut self) -> Option<HostId> {
        self.urgent.pop_front()
    }

    /// Returns the group of the next probe.
    pub(super) fn next_group(&mut self) -> Group {
        self.probes += 1;
        if self.probes.is_multiple_of(DEAD_EVERY) {
            return Group::Dead;
        }
        if self.probes.is_multiple_of(OWN_DOMAIN_EVERY) {
            return Group::OwnDomain;
        }
        Group::All
    }

    /// Returns the next peer of a group for which `is_member` is true. The
    /// members are listed only once the order is used up.
    pub(super) fn next(
        &mut self,
        group: Group,
        is_member: impl Fn(&HostId) -> bool,
        members: impl Fn() -> Vec<HostId>,
        rng: &mut fastrand::Rng,
    ) -> Option<HostId> {
        let rotation = match group {
            Group::All => &mut self.all,
            Group::OwnDomain => &mut self.own_domain,
            Group::Dead => &mut self.dead,
        };
        if let Some(host) = rotation.pop(&is_member) {
            return Some(host);
        }
        rotation.rest = members();
        rng.shuffle(&mut rotation.rest);
        rotation.pop(&is_member)
    }
}

impl Rotation {
    fn pop(&mut self, is_member: impl Fn(&HostId) -> bool) -> Option<HostId> {
        while let Some(host) = self.rest.pop() {
            if is_member(&host) {
                return Some(host);
            }
        }
        None
    }
}
