//! The inputs of a pool and of a coordinator from their host.

use std::time::Instant;

use waxwingusher_core::{FailureDomain, HostId};
use waxwingusher_protocol::health::EjectionRow;

use crate::capacity::PoolCapacity;
use crate::settings::{TestThresholds, UpstreamSettings};

/// A host's rank among the coordinators of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CoordinatorRank {
    /// The host that is listed first.
    Primary,
    /// Any other host.
    Backup,
}

/// The inputs of a coordinator.
#[derive(Debug, Clone, Copy)]
pub struct CoordinatorContext<'a> {
    /// The time.
    pub now: Instant,
    /// The coordinator itself.
    pub self_id: &'a HostId,
    /// All listed hosts.
    pub hosts: &'a [HostId],
    /// The pool's slots, and what is unavailable in the coordinator's own view.
    pub capacity: &'a PoolCapacity,
    /// The host's rank.
    pub rank: CoordinatorRank,
    /// Whether the host may vote for itself.
    pub may_vote_for_self: bool,
    /// The ejections that another coordinator has granted to this host, and their
    /// end.
    pub predecessor_ejections: (&'a [EjectionRow], Instant),
    /// The settings.
    pub settings: &'a UpstreamSettings,
    /// The requests per second of each instance if all hosts send as many as this
    /// one.
    pub expected_per_s: f64,
    /// The thresholds of the service.
    pub thresholds: TestThresholds,
}

/// The inputs of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolContext<'a> {
    /// The time.
    pub now: Instant,
    /// The host's failure domain.
    pub local_domain: &'a FailureDomain,
    /// The number of listed hosts.
    pub hosts: usize,
    /// The share of listed hosts that are in the host's failure domain.
    pub local_host_share: f64,
    /// The settings.
    pub settings: &'a UpstreamSettings,
}
