//! What a pool and a coordinator know of their surroundings.

use std::time::Instant;

use waxwingusher_core::{FailureDomain, HostId};
use waxwingusher_protocol::health::EjectionRow;

use crate::capacity::PoolCapacity;
use crate::settings::{TestThresholds, UpstreamSettings};

/// Whether a host is the first or a later choice as a service's coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CoordinatorRank {
    /// The host that the list names first.
    Primary,
    /// Any other host.
    Backup,
}

/// What a coordinator knows of its surroundings as it acts.
#[derive(Debug, Clone, Copy)]
pub struct CoordinatorContext<'a> {
    /// The time.
    pub now: Instant,
    /// The coordinator itself.
    pub self_id: &'a HostId,
    /// All listed hosts.
    pub hosts: &'a [HostId],
    /// The pool's slots, and what is out of use in the coordinator's own view.
    pub capacity: &'a PoolCapacity,
    /// The host's rank.
    pub rank: CoordinatorRank,
    /// Whether the host's own vote may go to itself.
    pub may_vote_for_self: bool,
    /// The ejections that another coordinator has granted to this host, and their
    /// end.
    pub predecessor_ejections: (&'a [EjectionRow], Instant),
    /// The settings.
    pub settings: &'a UpstreamSettings,
    /// The requests a second that each instance gets, if all hosts send as
    /// many as this one.
    pub expected_per_s: f64,
    /// The thresholds of the service.
    pub thresholds: TestThresholds,
}

/// What a pool needs of its host.
#[derive(Debug, Clone, Copy)]
pub struct PoolContext<'a> {
    /// The time.
    pub now: Instant,
    /// The host's failure domain.
    pub local_domain: &'a FailureDomain,
    /// The number of listed hosts.
    pub hosts: usize,
    /// The part of them in the host's failure domain.
    pub local_host_share: f64,
    /// The settings.
    pub settings: &'a UpstreamSettings,
}
