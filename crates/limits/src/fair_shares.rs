//! Shares of the workspaces in a service that is short of capacity.
//!
//! While a service is short, its workspaces share its capacity by max-min fairness: each
//! gets what it uses, up to a level at which the capacity is used up. The use of a
//! workspace is estimated from the admissions that all hosts report and from the part of
//! them that this host sent to the service, so no further messages are exchanged. Each
//! host lets the same fraction of a workspace's requests be within its share, so the
//! fleet as a whole keeps the share without a count that is common to the hosts.
//!
//! A host that gets no reports decides by its own admissions and the part of the capacity
//! that its part of the known hosts would use.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use waxwingusher_core::{ServiceName, WorkspaceName};

/// The time constant of the rates: long enough for a few requests of each workspace at a
/// host, and so that admissions of the last 400 ms, which are not yet reported, matter
/// little.
const RATE_TIME: Duration = Duration::from_secs(3);
/// The shortest time over which a rate is measured, longer than the delay of reports.
const MIN_WINDOW: Duration = Duration::from_secs(1);
/// The age from which a rate has no influence and is dropped.
const RATE_MAX_AGE: Duration = Duration::from_secs(20);
/// Workspaces beyond this number are not limited, which bounds the memory.
const MAX_WORKSPACES: usize = 4_096;
/// How often the levels are calculated at most.
const LEVEL_INTERVAL: Duration = Duration::from_millis(100);
/// How far above its share a workspace may be. Rates from a few requests vary by this.
const TOLERANCE: f64 = 1.1;
/// How far above the median of all workspaces a workspace may be. Without it, requests of
/// workspaces that all use too much alike are above their shares: at a load of 1.3 that
/// refused 7% of the urgent requests.
const MEDIAN_TOLERANCE: f64 = 1.5;
/// The part of the slots that is shared. Outdated loads and slots that are left free for
/// urgent requests keep a service from using all of them.
const SHARED_PART: f64 = 0.9;
/// The largest ratio of offered to admitted requests that is regarded as known.
const MAX_REFUSED_FACTOR: f64 = 10.0;
/// The most requests of a workspace within its share that may follow each other after a
/// time without any.
const MAX_CREDIT: f64 = 2.0;

/// A rate that decays exponentially.
#[derive(Debug, Clone, Copy)]
struct Rate {
    /// The decayed count as of `at`.
    count: f64,
    at: Instant,
}

impl Rate {
    fn new(now: Instant) -> Self {
        Self {
            count: 0.0,
            at: now,
        }
    }

    fn count(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.count * (-age.as_secs_f64() / RATE_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Instant, count: f64) {
        self.count = self.count(now) + count;
        self.at = self.at.max(now);
    }

    fn is_old(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) >= RATE_MAX_AGE
    }
}

/// The requests of a workspace at a service, as this host sees them.
#[derive(Debug, Clone, Copy)]
struct LocalUse {
    /// Requests that callers sent to this host.
    offered: Rate,
    /// The usual time of their work in seconds, summed.
    work: Rate,
    /// Requests that may be within the share.
    credit: f64,
}

/// The admissions of a workspace.
#[derive(Debug, Clone, Copy)]
struct Admitted {
    own: Rate,
    peers: Rate,
    /// Requests that callers sent to this host, to all services.
    offered: Rate,
}

/// The share of a service that each workspace may use.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ShareLevel {
    /// In slots: the work of a workspace each second.
    slots: f64,
    calculated_at: Instant,
}

/// How a request was classified, and from which figures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareDecision {
    /// Whether the workspace uses more than its share, and this request is beyond it.
    pub is_over_share: bool,
    /// The slots that the workspace's requests need, over the fleet.
    pub used_slots: f64,
    /// The slots that it may use.
    pub share_slots: f64,
    /// The age of the share.
    pub age: Duration,
}

/// One host's view of the shares of all workspaces.
#[derive(Debug, Default)]
pub struct FairShares {
    admitted: HashMap<WorkspaceName, Admitted>,
    /// Requests that callers sent to this host.
    offered: Option<Rate>,
    started_at: Option<Instant>,
    services: HashMap<ServiceName, ServiceShares>,
}

#[derive(Debug)]
struct ServiceShares {
    workspaces: HashMap<WorkspaceName, LocalUse>,
    level: Option<ShareLevel>,
    /// The usual time of the work of all workspaces in seconds, summed.
    work: Rate,
}

impl FairShares {
    /// Records a request of a workspace for a service that this host has admitted.
    /// `work` is the usual time of such requests.
    pub fn record_request(
        &mut self,
        now: Instant,
        workspace: &WorkspaceName,
        service: &ServiceName,
        work: Duration,
    ) {
        let Some(admitted) = self.admitted(now, workspace) else {
            return;
        };
        admitted.own.add(now, 1.0);
        admitted.offered.add(now, 1.0);
        self.started_at.get_or_insert(now);
        let offered = self.offered.get_or_insert_with(|| Rate::new(now));
        offered.add(now, 1.0);
        if !self.services.contains_key(service) {
            let shares = ServiceShares {
                workspaces: HashMap::new(),
                level: None,
                work: Rate::new(now),
            };
            self.services.insert(service.clone(), shares);
        }
        let service = self.services.get_mut(service).expect("just inserted");
        service.work.add(now, work.as_secs_f64());
        let local = service.workspaces.entry(workspace.clone());
        let local = local.or_insert_with(|| LocalUse {
            offered: Rate::new(now),
            work: Rate::new(now),
            credit: MAX_CREDIT,
        });
        local.offered.add(now, 1.0);
        local.work.add(now, work.as_secs_f64());
    }

    /// Records that a request was refused and did not run.
    pub fn record_refund(&mut self, now: Instant, workspace: &WorkspaceName) {
        if let Some(admitted) = self.admitted.get_mut(workspace) {
            let refunded = admitted.own.count(now).min(1.0);
            admitted.own.add(now, -refunded);
        }
    }

    /// Records requests that a peer has admitted.
    pub fn record_peer_admissions(&mut self, now: Instant, workspace: &WorkspaceName, count: u32) {
        if let Some(admitted) = self.admitted(now, workspace) {
            admitted.peers.add(now, f64::from(count));
        }
    }

    /// Decides whether a request of a workspace is within its share of a service that is
    /// short of capacity. `capacity_slots` is the number of slots of its healthy
    /// instances, and `reachable_share` the fraction of the fleet whose admissions are
    /// reported. Must be called once for each request.
    pub fn classify(
        &mut self,
        now: Instant,
        workspace: &WorkspaceName,
        service: &ServiceName,
        capacity_slots: f64,
        reachable_share: f64,
    ) -> ShareDecision {
        let shared_slots = capacity_slots * SHARED_PART * reachable_share;
        let level = self.level(now, service, shared_slots);
        let used_slots = self.used_slots(now, workspace, service);
        let age = now.saturating_duration_since(level.calculated_at);
        let within = (level.slots / used_slots.max(f64::MIN_POSITIVE)).min(1.0);
        let local = self.services.get_mut(service);
        let local = local.and_then(|service| service.workspaces.get_mut(workspace));
        let is_over_share = local.is_some_and(|local| {
            local.credit = (local.credit + within).min(MAX_CREDIT);
            let is_over_share = within < 1.0 && local.credit < 1.0;
            if !is_over_share {
                local.credit = (local.credit - 1.0).max(0.0);
            }
            is_over_share
        });
        ShareDecision {
            is_over_share,
            used_slots,
            share_slots: level.slots,
            age,
        }
    }

    /// Drops what no longer has influence.
    pub fn expire(&mut self, now: Instant) {
        self.admitted
            .retain(|_, admitted| !(admitted.own.is_old(now) && admitted.peers.is_old(now)));
        for service in self.services.values_mut() {
            service
                .workspaces
                .retain(|_, local| !local.offered.is_old(now));
        }
        self.services
            .retain(|_, service| !service.workspaces.is_empty());
    }

    fn admitted(&mut self, now: Instant, workspace: &WorkspaceName) -> Option<&mut Admitted> {
        if !self.admitted.contains_key(workspace) {
            if self.admitted.len() >= MAX_WORKSPACES {
                return None;
            }
            let admitted = Admitted {
                own: Rate::new(now),
                peers: Rate::new(now),
                offered: Rate::new(now),
            };
            self.admitted.insert(workspace.clone(), admitted);
        }
        self.admitted.get_mut(workspace)
    }

    /// Returns the slots that a workspace's requests for a service need over the fleet,
    /// those that were refused included.
    fn used_slots(&self, now: Instant, workspace: &WorkspaceName, service: &ServiceName) -> f64 {
        let shares = self.services.get(service);
        let (Some(admitted), Some(shares)) = (self.admitted.get(workspace), shares) else {
            return 0.0;
        };
        self.estimate(now, shares).used_slots(workspace, admitted)
    }

    /// Returns what is common to the estimates of all workspaces at a service.
    fn estimate<'a>(&self, now: Instant, shares: &'a ServiceShares) -> Estimate<'a> {
        // A host gets few requests of most workspaces, so the mean of all of them counts
        // like one more request.
        let all_offered = self.offered.map_or(0.0, |offered| offered.count(now));
        Estimate {
            now,
            shares,
            window_s: self.window_s(now),
            mean_work_s: shares.work.count(now) / all_offered.max(f64::MIN_POSITIVE),
        }
    }

    /// Returns the time over which decayed counts are rates: less than [`RATE_TIME`] soon
    /// after the start.
    fn window_s(&self, now: Instant) -> f64 {
        let started_at = self.started_at.unwrap_or(now);
        let age = now.saturating_duration_since(started_at).max(MIN_WINDOW);
        let time_s = RATE_TIME.as_secs_f64();
        time_s * (1.0 - (-age.as_secs_f64() / time_s).exp())
    }

    /// Returns the share of each workspace, calculated at most every 100 ms.
    fn level(&mut self, now: Instant, service: &ServiceName, capacity_slots: f64) -> ShareLevel {
        let known = self.services.get(service).and_then(|service| service.level);
        if let Some(level) = known
            && now.saturating_duration_since(level.calculated_at) < LEVEL_INTERVAL
        {
            return level;
        }
        let used = self.services.get(service).map_or_else(Vec::new, |shares| {
            let estimate = self.estimate(now, shares);
            let admitted = self.admitted.iter();
            let used = admitted.map(|(name, admitted)| estimate.used_slots(name, admitted));
            used.collect()
        });
        let level = ShareLevel {
            slots: allowed_slots(used, capacity_slots),
            calculated_at: now,
        };
        if let Some(service) = self.services.get_mut(service) {
            service.level = Some(level);
        }
        level
    }
}

/// What is common to the estimates of the use of a service by all workspaces.
struct Estimate<'a> {
    now: Instant,
    shares: &'a ServiceShares,
    /// The time over which decayed counts are rates.
    window_s: f64,
    /// The work at the service for each request to this host.
    mean_work_s: f64,
}

impl Estimate<'_> {
    fn used_slots(&self, workspace: &WorkspaceName, admitted: &Admitted) -> f64 {
        let own = admitted.own.count(self.now);
        let offered = admitted.offered.count(self.now);
        // Peers refuse the same fraction, and report only what they admitted.
        let refused_factor = (offered / own.max(f64::MIN_POSITIVE)).clamp(1.0, MAX_REFUSED_FACTOR);
        let fleet = own + admitted.peers.count(self.now);
        let local = self.shares.workspaces.get(workspace);
        let local_work_s = local.map_or(0.0, |local| local.work.count(self.now));
        let work_s = (local_work_s + self.mean_work_s) / (offered + 1.0);
        fleet * refused_factor / self.window_s * work_s
    }
}

/// Returns what each workspace may use. There is no limit for one that uses the service
/// alone.
fn allowed_slots(mut used: Vec<f64>, capacity_slots: f64) -> f64 {
    used.retain(|one| *one > 0.0);
    if used.len() < 2 {
        return f64::INFINITY;
    }
    used.sort_by(f64::total_cmp);
    let median = used[(used.len() - 1) / 2];
    let level = max_min_level(used, capacity_slots);
    (level * TOLERANCE).max(median * MEDIAN_TOLERANCE)
}

/// Returns the level up to which each of `used` is served if they share `capacity`;
/// infinite if it suffices for all.
#[must_use]
pub fn max_min_level(mut used: Vec<f64>, capacity: f64) -> f64 {
    used.sort_by(f64::total_cmp);
    let mut left = capacity;
    let mut sharers = used.len();
    for one in used {
        let level = left / f64::from(u32::try_from(sharers).unwrap_or(u32::MAX));
        if one > level {
            return level;
        }
        left -= one;
        sharers -= 1;
    }
    f64::INFINITY
}
