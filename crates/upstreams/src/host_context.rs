//! One host's identity and its view of the other hosts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use waxwingusher_core::{FailureDomain, HostId, HostList};

use crate::capacity::PoolCapacity;
use crate::context::{CoordinatorContext, CoordinatorRank, PoolContext};
use crate::coordinator::Coordinator;
use crate::pooled_evidence::VantagePoint;
use crate::service::ServiceState;
use crate::settings::{TestThresholds, UpstreamSettings};

/// One host's identity, its settings, and the listed hosts.
#[derive(Debug)]
pub struct HostContext {
    /// The host itself.
    pub self_id: HostId,
    /// The incarnation of this process among those of the host.
    pub incarnation: u64,
    /// The settings.
    pub settings: UpstreamSettings,
    /// All listed hosts.
    pub hosts: Vec<HostId>,
    /// The vantage point of each host.
    pub vantage_points: BTreeMap<HostId, VantagePoint>,
    failure_domain: FailureDomain,
    local_host_share: f64,
}

impl HostContext {
    /// Creates the context of a host that knows no other host.
    #[must_use]
    pub fn new(
        self_id: HostId,
        failure_domain: FailureDomain,
        incarnation: u64,
        settings: UpstreamSettings,
    ) -> Self {
        Self {
            hosts: vec![self_id.clone()],
            self_id,
            incarnation,
            settings,
            vantage_points: BTreeMap::new(),
            failure_domain,
            local_host_share: 1.0,
        }
    }

    /// Applies the platform's list of hosts, and reports whether its hosts differ from
    /// the former ones.
    pub fn apply_host_list(&mut self, list: &HostList) -> bool {
        let local = list
            .hosts
            .iter()
            .filter(|entry| entry.failure_domain == self.failure_domain)
            .count();
        self.local_host_share = local.max(1) as f64 / list.hosts.len().max(1) as f64;
        self.vantage_points = vantage_points(list);
        let mut hosts: Vec<HostId> = list.hosts.iter().map(|entry| entry.id.clone()).collect();
        hosts.sort();
        hosts.dedup();
        if hosts == self.hosts {
            return false;
        }
        self.hosts = hosts;
        true
    }

    /// Returns the inputs of a pool.
    #[must_use]
    pub fn pool_context(&self, now: Instant) -> PoolContext<'_> {
        PoolContext {
            now,
            local_domain: &self.failure_domain,
            hosts: self.hosts.len(),
            local_host_share: self.local_host_share,
            settings: &self.settings,
        }
    }

    /// Returns a service's coordinator with its inputs.
    pub fn coordinator_parts<'a>(
        &'a self,
        state: &'a mut ServiceState,
        now: Instant,
        capacity: &'a PoolCapacity,
    ) -> (&'a mut Coordinator, CoordinatorContext<'a>) {
        let requests_per_s = state.pool.reporter.requests_per_s(now);
        let instances = capacity.len().max(1) as f64;
        let voter = &state.pool.voter;
        let rank = if state.coordinators.first() == Some(&self.self_id) {
            CoordinatorRank::Primary
        } else {
            CoordinatorRank::Backup
        };
        let context = CoordinatorContext {
            now,
            self_id: &self.self_id,
            hosts: &self.hosts,
            capacity,
            rank,
            may_vote_for_self: voter.may_vote_for(now, &self.self_id, self.incarnation),
            predecessor_ejections: voter.predecessor_ejections(&self.self_id, self.incarnation),
            settings: &self.settings,
            expected_per_s: requests_per_s * self.hosts.len() as f64 / instances,
            thresholds: TestThresholds::of(state.pool.service.detection),
        };
        (&mut state.coordinator, context)
    }
}

/// Returns the vantage point of each host: its failure domain, or the host itself if
/// the fleet has a single failure domain.
fn vantage_points(list: &HostList) -> BTreeMap<HostId, VantagePoint> {
    let has_single_domain = list.failure_domains().len() < 2;
    let mut vantage_points = BTreeMap::new();
    for entry in &list.hosts {
        let name = if has_single_domain {
            entry.id.as_str()
        } else {
            entry.failure_domain.as_str()
        };
        vantage_points.insert(entry.id.clone(), VantagePoint(Arc::from(name)));
    }
    vantage_points
}
