//! Occupancy of the workers by workspace and service.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use waxwingusher_core::{ServiceName, WorkspaceName};

use super::RequestClass;

/// Divides the workers into the part that is reserved for workspaces and
/// services below their shares.
const RESERVE_DIVISOR: usize = 4;
/// How long a workspace or service without requests still reduces the shares of
/// the others, so that its next request finds a free worker.
const RECENT_FOR: Duration = Duration::from_secs(60);
/// The time between two removals of unused workspaces and services.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The requests of one workspace to one service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Class {
    workspace: WorkspaceName,
    service: ServiceName,
}

/// The workers in use, by workspace and service.
///
/// While more than a quarter of the workers is free, any request may use one.
/// The last quarter is reserved for requests whose workspace and whose service
/// occupy less than their fair shares of the workers, among all seen within a
/// minute. The workers that a workspace occupies at one service count only up to
/// its fair share there, so that neither is charged for the other's excess.
#[derive(Debug)]
pub(super) struct Occupancy {
    workers: u64,
    running: u64,
    by_class: HashMap<Class, u64>,
    recent_workspaces: RecentKeys<WorkspaceName>,
    recent_services: RecentKeys<ServiceName>,
    next_sweep: Instant,
}

impl Occupancy {
    pub(super) fn new(workers: usize, now: Instant) -> Self {
        Self {
            workers: workers as u64,
            running: 0,
            by_class: HashMap::new(),
            recent_workspaces: RecentKeys::default(),
            recent_services: RecentKeys::default(),
            next_sweep: now + SWEEP_INTERVAL,
        }
    }

    /// Records a request that waits.
    pub(super) fn enqueue(&mut self, class: &RequestClass, now: Instant) {
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.remove_unused(now);
        }
        let weight = u64::from(class.weight.max(1));
        self.recent_workspaces.record(&class.workspace, weight, now);
        self.recent_services.record(&class.service, 1, now);
    }

    /// Records that a request occupies a worker.
    pub(super) fn start(&mut self, workspace: &WorkspaceName, service: &ServiceName) {
        let class = Class {
            workspace: workspace.clone(),
            service: service.clone(),
        };
        self.running += 1;
        *self.by_class.entry(class).or_default() += 1;
    }

    /// Records that a request has left its worker.
    pub(super) fn finish(&mut self, workspace: &WorkspaceName, service: &ServiceName) {
        let class = Class {
            workspace: workspace.clone(),
            service: service.clone(),
        };
        let Some(count) = self.by_class.get_mut(&class) else {
            return;
        };
        self.running -= 1;
        *count -= 1;
        if *count == 0 {
            self.by_class.remove(&class);
        }
    }

    /// Removes what has had neither an arriving nor a running request lately.
    fn remove_unused(&mut self, now: Instant) {
        for class in self.by_class.keys() {
            self.recent_workspaces.touch(&class.workspace, now);
            self.recent_services.touch(&class.service, now);
        }
        self.recent_workspaces.remove_unused(now);
        self.recent_services.remove_unused(now);
    }

    /// Returns which requests may start now.
    pub(super) fn entitlement(&self) -> Entitlement<'_> {
        let mut entitlement = Entitlement {
            occupancy: self,
            is_reserve_only: self.workers.saturating_sub(self.running)
                <= self.workers / RESERVE_DIVISOR as u64,
            by_workspace: HashMap::new(),
            by_service: HashMap::new(),
        };
        if !entitlement.is_reserve_only {
            return entitlement;
        }
        for (class, running) in &self.by_class {
            let counted = (*running).min(self.class_share(&class.workspace));
            *entitlement
                .by_workspace
                .entry(&class.workspace)
                .or_default() += counted;
            *entitlement.by_service.entry(&class.service).or_default() += counted;
        }
        entitlement
    }

    /// Returns a workspace's fair share of the workers at one service.
    fn class_share(&self, workspace: &WorkspaceName) -> u64 {
        let weight = self.recent_workspaces.weight_of(workspace);
        let classes = self.recent_workspaces.weight * self.recent_services.weight;
        (self.workers * weight / classes.max(1)).max(1)
    }
}

/// Which requests may start, as of one instant.
pub(super) struct Entitlement<'a> {
    occupancy: &'a Occupancy,
    is_reserve_only: bool,
    by_workspace: HashMap<&'a WorkspaceName, u64>,
    by_service: HashMap<&'a ServiceName, u64>,
}

impl Entitlement<'_> {
    /// Reports whether a request may use a free worker.
    pub(super) fn may_start(&self, workspace: &WorkspaceName, service: &ServiceName) -> bool {
        if !self.is_reserve_only {
            return true;
        }
        let class = Class {
            workspace: workspace.clone(),
            service: service.clone(),
        };
        let occupancy = self.occupancy;
        let running = occupancy.by_class.get(&class).copied().unwrap_or(0);
        let by_workspace = self.by_workspace.get(workspace).copied().unwrap_or(0);
        let by_service = self.by_service.get(service).copied().unwrap_or(0);
        let workers = occupancy.workers;
        running < occupancy.class_share(workspace)
            && occupancy
                .recent_workspaces
                .is_below_share(workspace, by_workspace, workers)
            && occupancy
                .recent_services
                .is_below_share(service, by_service, workers)
    }
}

/// When a workspace or service was last seen, and its relative share.
#[derive(Debug, Clone, Copy)]
struct LastSeen {
    weight: u64,
    at: Instant,
}

/// All workspaces, or all services, that were seen lately.
#[derive(Debug)]
struct RecentKeys<K> {
    by_key: HashMap<K, LastSeen>,
    weight: u64,
}

impl<K> Default for RecentKeys<K> {
    fn default() -> Self {
        Self {
            by_key: HashMap::new(),
            weight: 0,
        }
    }
}

impl<K: Clone + Eq + Hash> RecentKeys<K> {
    fn record(&mut self, key: &K, weight: u64, now: Instant) {
        let seen = LastSeen { weight, at: now };
        let former = self.by_key.insert(key.clone(), seen);
        self.weight -= former.map_or(0, |former| former.weight);
        self.weight += weight;
    }

    fn touch(&mut self, key: &K, now: Instant) {
        if let Some(seen) = self.by_key.get_mut(key) {
            seen.at = now;
        }
    }

    fn weight_of(&self, key: &K) -> u64 {
        self.by_key.get(key).map_or(1, |seen| seen.weight)
    }

    fn remove_unused(&mut self, now: Instant) {
        self.by_key.retain(|_, seen| now < seen.at + RECENT_FOR);
        self.weight = self.by_key.values().map(|seen| seen.weight).sum();
    }

    fn is_below_share(&self, key: &K, occupied: u64, workers: u64) -> bool {
        occupied * self.weight < workers * self.weight_of(key)
    }
}
