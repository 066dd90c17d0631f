//! How short of capacity a service is, and the room that requests of each urgency may
//! use there.
//!
//! Each host decides for itself from the loads that all hosts report, from the requests
//! that wait at it, and from the rejections that it got. No further messages are
//! exchanged. Reports of hosts that are unreachable lapse; the load of those that remain
//! is extrapolated to the fleet. A host without any report decides by its own load: while
//! the most urgent kind misses its target, less urgent ones leave a part of the slots free
//! that would be its own if all hosts used the same.
//!
//! The most urgent kind of request that uses a service may queue at its instances, for
//! as long as it can still reach its latency target behind the work that is usual there.
//! Less urgent kinds use free slots only, and leave some of them free while the service
//! is short. So that no kind is starved, one request of a less urgent kind may use the
//! room of the most urgent one for every 16 requests of more urgent kinds.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use waxwingusher_core::ServiceName;

use crate::evidence::Evidence;
use crate::room::{MAX_QUEUE_ROUNDS, RoomLimit};
use crate::roster::Roster;

/// The part of its share of the slots from which a host that does not see the load of
/// others holds back less urgent kinds, while more urgent ones miss their targets.
const BLIND_PART: f64 = 0.3;
/// By how much more a less urgent kind may miss its target then.
const BLIND_MISS_MARGIN: f64 = 0.2;
/// How often the load of a service is measured at most; the time in which reports of
/// the same failure domain arrive.
const MEASURE_INTERVAL: Duration = Duration::from_millis(20);
/// The occupancy from which a level begins, and below which it ends. The occupancy of a
/// pool with random arrivals varies by about a tenth within a second.
const TIGHT_FROM: f64 = 0.8;
const TIGHT_UNTIL: f64 = 0.7;
const SHORT_FROM: f64 = 1.0;
const SHORT_UNTIL: f64 = 0.9;
/// How long the inputs must be below the end of a level before it falls; longer than the
/// 400 ms by which reports of other failure domains are late.
const FALL_AFTER: Duration = Duration::from_millis(800);
/// The age up to which rejections by instances count.
const REJECTION_MAX_AGE: Duration = Duration::from_secs(1);
/// Rejections within [`REJECTION_MAX_AGE`] from which a service counts as short. Outdated
/// loads cause single ones.
const SHORT_REJECTIONS: usize = 3;
/// The age up to which a kind of request counts as using the service. A host gets each
/// kind several times within it, even if it gets one in a hundred of the fleet's requests.
const KIND_MAX_AGE: Duration = Duration::from_secs(10);
/// Kinds beyond this number are treated as the least urgent one.
const MAX_KINDS: usize = 16;
/// The weight of the newest request in the usual time of the work at a service.
const WORK_WEIGHT: f64 = 0.05;
/// The part of a request's spare time that it may spend in an instance's queue.
const QUEUE_TIME_SHARE: f64 = 0.6;
/// The part of a request's spare time that it may wait at a host.
const HOST_WAIT_SHARE: f64 = 0.9;
/// The part of the latency target that any request may wait at a host.
const MIN_HOST_WAIT_SHARE: f64 = 0.1;
/// The shares of the slots that less urgent kinds leave free: one of six while the
/// service is tight, two while it is short. With one in both cases 6% of the urgent
/// requests were late at a load of 1.1, with two 3%.
const TIGHT_RESERVED_SHARE: f64 = 0.15;
const SHORT_RESERVED_SHARE: f64 = 0.3;
/// What is reserved in addition while the most urgent kind misses its target more often
/// than the kind for which it is reserved, and more often than [`TOLERATED_MISSES`].
const EXTRA_RESERVED_SHARE: f64 = 0.2;
const TOLERATED_MISSES: f64 = 0.02;
/// The weight of the newest outcome in a kind's share of misses: a host sees a few
/// outcomes of each kind a second.
const MISS_WEIGHT: f64 = 0.1;
/// Requests of more urgent kinds after which a less urgent kind may use the room of the
/// most urgent one once, for each kind that is more urgent.
const FLOOR_INTERVAL: f64 = 16.0;
/// The smallest part of the fleet whose load is extrapolated to the whole: one of four
/// failure domains. The load of fewer hosts shows little, and the others may be dead.
const MIN_EXTRAPOLATED_SHARE: f64 = 0.2;

/// How short of capacity a service is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum ScarcityLevel {
    /// Slots are free.
    #[default]
    Ample,
    /// Few slots are free.
    Tight,
    /// Requests wait or are rejected.
    Short,
}

impl ScarcityLevel {
    /// Returns the name of the level in log lines and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ample => "ample",
            Self::Tight => "tight",
            Self::Short => "short",
        }
    }
}

/// A kind of request to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestKind {
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The usual time of such requests.
    pub usual_time: Duration,
    /// The latency within which an answer has its full value.
    pub latency_target: Duration,
}

impl RequestKind {
    /// Returns the longest time that such a request may wait and still reach its target.
    #[must_use]
    pub fn spare_time(&self) -> Duration {
        self.latency_target.saturating_sub(self.usual_time)
    }

    /// Returns how long such a request may wait at a host. A kind that usually misses its
    /// target still waits for a moment, in case its usual time was measured in a queue.
    #[must_use]
    pub fn max_wait(&self) -> Duration {
        let spare = self.spare_time().mul_f64(HOST_WAIT_SHARE);
        spare.max(self.latency_target.mul_f64(MIN_HOST_WAIT_SHARE))
    }
}

/// The load of the healthy instances of a service, as all hosts report it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PoolLoad {
    /// The healthy instances.
    pub instances: usize,
    /// Their slots.
    pub slots: u32,
    /// The requests there.
    pub in_flight: u32,
    /// The age of the newest report or own attempt at any of them.
    pub age: Option<Duration>,
}

impl PoolLoad {
    /// Measures the load of a service.
    #[must_use]
    pub fn measure(
        now: Instant,
        roster: &Roster,
        evidence: &Evidence,
        service: &ServiceName,
    ) -> Self {
        let mut load = Self::default();
        for listed in roster.ready(service) {
            let Some((in_flight, age)) = evidence.healthy_load(now, &listed.entry.id) else {
                continue;
            };
            load.instances += 1;
            load.slots = load.slots.saturating_add(listed.entry.slots);
            load.in_flight += in_flight;
            load.age = match (load.age, age) {
                (Some(former), Some(age)) => Some(former.min(age)),
                (former, age) => former.or(age),
            };
        }
        load
    }

    /// Returns the requests for each slot. `reachable_share` is the fraction of the
    /// fleet whose reports arrive.
    #[must_use]
    pub fn occupancy(&self, reachable_share: f64) -> f64 {
        if self.slots == 0 {
            return 0.0;
        }
        f64::from(self.in_flight) * load_factor(reachable_share) / f64::from(self.slots)
    }
}

/// Returns the requests at instances for each one that is reported by a part of the fleet.
fn load_factor(reachable_share: f64) -> f64 {
    if reachable_share < MIN_EXTRAPOLATED_SHARE {
        return 1.0;
    }
    (1.0 / reachable_share).max(1.0)
}

/// What this host knows beyond the reported loads.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HostView {
    /// Requests of the most urgent kind that wait at this host.
    pub waiting: usize,
    /// The fraction of the fleet whose reports arrive, above 0 and at most 1.
    pub reachable_share: f64,
}

/// What the level of a service was decided from.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ScarcityInputs {
    /// The load of the pool.
    pub load: PoolLoad,
    /// Requests for each slot, extrapolated to the fleet.
    pub occupancy: f64,
    /// Requests of the most urgent kind that wait at this host.
    pub waiting: usize,
    /// Rejections by instances that this host got within the last second.
    pub rejections: usize,
    /// The age of the newest rejection.
    pub rejection_age: Option<Duration>,
    /// The fraction of the fleet whose reports arrive.
    pub reachable_share: f64,
    /// The share of the most urgent kind that was refused or late.
    pub misses: f64,
}

impl ScarcityInputs {
    /// Reports whether so few hosts are reachable that the load shows little.
    fn is_blind(&self) -> bool {
        self.reachable_share < MIN_EXTRAPOLATED_SHARE
    }

    /// Returns the level that the inputs show; `former` is the level so far.
    fn level(&self, former: ScarcityLevel) -> ScarcityLevel {
        let bound = |level, from, until| if former >= level { until } else { from };
        let short_from = bound(ScarcityLevel::Short, SHORT_FROM, SHORT_UNTIL);
        let tight_from = bound(ScarcityLevel::Tight, TIGHT_FROM, TIGHT_UNTIL);
        if self.is_blind() && self.misses > TOLERATED_MISSES {
            return ScarcityLevel::Short;
        }
        if self.occupancy >= short_from || self.rejections >= SHORT_REJECTIONS || self.waiting > 1 {
            ScarcityLevel::Short
        } else if self.occupancy >= tight_from || self.rejections > 0 || self.waiting > 0 {
            ScarcityLevel::Tight
        } else {
            ScarcityLevel::Ample
        }
    }
}

/// A change of the level of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScarcityChange {
    /// The level so far.
    pub former: ScarcityLevel,
    /// The level from now on.
    pub level: ScarcityLevel,
    /// The least urgent priority that may queue at instances and use the last slots.
    pub least_priority: u32,
    /// What it was decided from.
    pub inputs: ScarcityInputs,
}

/// One host's view of how short of capacity each service is.
#[derive(Debug, Default)]
pub struct ScarcityMonitor {
    services: HashMap<ServiceName, ServiceScarcity>,
}

#[derive(Debug, Default)]
struct ServiceScarcity {
    level: ScarcityLevel,
    inputs: ScarcityInputs,
    measured_at: Option<Instant>,
    /// As of `measured_at`.
    load_factor: Option<f64>,
    /// Since when the inputs show a lower level.
    is_lower_since: Option<Instant>,
    /// When instances rejected requests.
    rejected_at: VecDeque<Instant>,
    /// By priority.
    kinds: BTreeMap<u32, KindUse>,
    /// The average usual time of the requests to the service.
    work_s: Option<f64>,
}

/// The use of a service by requests of one priority.
#[derive(Debug)]
struct KindUse {
    kind: RequestKind,
    seen_at: Instant,
    /// Requests of more urgent kinds that got a slot since one of this kind did, over
    /// [`FLOOR_INTERVAL`].
    credit: f64,
    /// The moving average of the share that was refused or late.
    misses: f64,
}

impl ScarcityMonitor {
    /// Records that a caller sent a request for a service.
    pub fn record_request(&mut self, now: Instant, service: &ServiceName, kind: RequestKind) {
        let state = self.service(service);
        let usual_s = kind.usual_time.as_secs_f64();
        let work_s = state.work_s.unwrap_or(usual_s);
        state.work_s = Some(work_s + WORK_WEIGHT * (usual_s - work_s));
        let is_old = |usage: &KindUse| now.saturating_duration_since(usage.seen_at) >= KIND_MAX_AGE;
        state.kinds.retain(|_, usage| !is_old(usage));
        if state.kinds.len() >= MAX_KINDS && !state.kinds.contains_key(&kind.priority) {
            return;
        }
        let usage = state.kinds.entry(kind.priority).or_insert(KindUse {
            kind,
            seen_at: now,
            credit: 0.0,
            misses: 0.0,
        });
        usage.kind = kind;
        usage.seen_at = now;
    }

    /// Records that a request of a kind got a slot.
    pub fn record_served(&mut self, service: &ServiceName, priority: u32) {
        let mut interval = 0.0;
        for (other, usage) in &mut self.service(service).kinds {
            if *other == priority {
                usage.credit = 0.0;
            } else if *other > priority {
                usage.credit = (usage.credit + 1.0 / interval).min(1.0);
            }
            // A kind must not get more of such room than a more urgent one.
            interval += FLOOR_INTERVAL;
        }
    }

    /// Records whether a request of a kind was answered within its latency target.
    pub fn record_outcome(&mut self, service: &ServiceName, priority: u32, is_in_time: bool) {
        if let Some(usage) = self.service(service).kinds.get_mut(&priority) {
            let miss = if is_in_time { 0.0 } else { 1.0 };
            usage.misses += MISS_WEIGHT * (miss - usage.misses);
        }
    }

    /// Records that an instance rejected a request because it was full.
    pub fn record_rejection(&mut self, now: Instant, service: &ServiceName) {
        let state = self.service(service);
        state.remove_old_rejections(now);
        if state.rejected_at.len() > SHORT_REJECTIONS {
            state.rejected_at.pop_front();
        }
        state.rejected_at.push_back(now);
    }

    /// Measures the load of a service, at most each 20 ms, and returns the change of its
    /// level, if it changes.
    pub fn update(
        &mut self,
        now: Instant,
        service: &ServiceName,
        roster: &Roster,
        evidence: &Evidence,
        view: HostView,
    ) -> Option<ScarcityChange> {
        let state = self.service(service);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MEASURE_INTERVAL;
        if state.measured_at.is_some_and(is_recent) {
            return None;
        }
        state.measured_at = Some(now);
        state.load_factor = Some(load_factor(view.reachable_share));
        state.remove_old_rejections(now);
        let load = PoolLoad::measure(now, roster, evidence, service);
        let newest_rejection = state.rejected_at.back();
        state.inputs = ScarcityInputs {
            load,
            occupancy: load.occupancy(view.reachable_share),
            waiting: view.waiting,
            rejections: state.rejected_at.len(),
            reachable_share: view.reachable_share,
            misses: state.most_urgent_misses(),
            rejection_age: newest_rejection.map(|at| now.saturating_duration_since(*at)),
        };
        state.apply_inputs(now)
    }

    /// Returns the level of a service.
    #[must_use]
    pub fn level(&self, service: &ServiceName) -> ScarcityLevel {
        let state = self.services.get(service);
        state.map(|state| state.level).unwrap_or_default()
    }

    /// Returns what the level of a service was decided from, and how long ago.
    #[must_use]
    pub fn inputs(
        &self,
        now: Instant,
        service: &ServiceName,
    ) -> Option<(ScarcityInputs, Duration)> {
        let state = self.services.get(service)?;
        let measured_at = state.measured_at?;
        Some((state.inputs, now.saturating_duration_since(measured_at)))
    }

    /// Returns the most urgent priority of the requests that use a service.
    #[must_use]
    pub fn most_urgent(&self, service: &ServiceName) -> u32 {
        let state = self.services.get(service);
        state.map_or(0, ServiceScarcity::most_urgent)
    }

    /// Returns the room at each instance of a service that a request may use.
    #[must_use]
    pub fn room(&self, service: &ServiceName, kind: RequestKind) -> RoomLimit {
        let default = ServiceScarcity::default();
        let state = self.services.get(service).unwrap_or(&default);
        state.room(kind)
    }

    /// Drops the services that got no request lately.
    pub fn expire(&mut self, now: Instant) {
        let is_used = |usage: &KindUse| now.saturating_duration_since(usage.seen_at) < KIND_MAX_AGE;
        self.services
            .retain(|_, state| state.kinds.values().any(is_used));
    }

    fn service(&mut self, service: &ServiceName) -> &mut ServiceScarcity {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceScarcity::default());
        }
        self.services.get_mut(service).expect("just inserted")
    }
}

impl ServiceScarcity {
    fn remove_old_rejections(&mut self, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= REJECTION_MAX_AGE;
        while self.rejected_at.front().is_some_and(is_old) {
            self.rejected_at.pop_front();
        }
    }

    /// Raises the level at once, and lowers it one step after [`FALL_AFTER`].
    fn apply_inputs(&mut self, now: Instant) -> Option<ScarcityChange> {
        let former = self.level;
        let shown = self.inputs.level(former);
        if shown > former {
            self.level = shown;
        }
        if shown >= former {
            self.is_lower_since = None;
        } else {
            let since = *self.is_lower_since.get_or_insert(now);
            if now.saturating_duration_since(since) >= FALL_AFTER {
                self.is_lower_since = None;
                self.level = match former {
                    ScarcityLevel::Short => ScarcityLevel::Tight,
                    ScarcityLevel::Tight | ScarcityLevel::Ample => ScarcityLevel::Ample,
                };
            }
        }
        (self.level != former).then(|| ScarcityChange {
            former,
            level: self.level,
            least_priority: self.most_urgent(),
            inputs: self.inputs,
        })
    }

    fn most_urgent_misses(&self) -> f64 {
        let most_urgent = self.kinds.values().next();
        most_urgent.map_or(0.0, |usage| usage.misses)
    }

    /// Reports whether a host that does not see the load of others holds back a kind for
    /// the most urgent one.
    fn holds_back_blindly(&self, own_misses: f64) -> bool {
        let inputs = &self.inputs;
        let misses = self.most_urgent_misses();
        let own_slots = f64::from(inputs.load.slots) * inputs.reachable_share;
        inputs.is_blind()
            && self.level == ScarcityLevel::Short
            && misses > TOLERATED_MISSES
            && own_misses < misses + BLIND_MISS_MARGIN
            && f64::from(inputs.load.in_flight) >= own_slots * BLIND_PART
    }

    fn most_urgent(&self) -> u32 {
        self.kinds.keys().next().copied().unwrap_or(0)
    }

    fn room(&self, kind: RequestKind) -> RoomLimit {
        let queue_rounds = self.queue_rounds(kind);
        let load_factor = self.load_factor.unwrap_or(1.0);
        let more_urgent = self.kinds.range(..kind.priority);
        let Some((_, most_urgent)) = more_urgent.clone().next() else {
            return RoomLimit {
                queue_rounds,
                reserved_share: 0.0,
                load_factor,
                is_closed: false,
                avoids_queues: self.level > ScarcityLevel::Ample && self.kinds.len() > 1,
            };
        };
        let own_use = self.kinds.get(&kind.priority);
        if own_use.is_some_and(|usage| usage.credit >= 1.0) {
            return RoomLimit {
                queue_rounds: queue_rounds.min(self.queue_rounds(most_urgent.kind)),
                reserved_share: 0.0,
                load_factor,
                is_closed: false,
                avoids_queues: false,
            };
        }
        let own_misses = own_use.map_or(0.0, |usage| usage.misses);
        let has_more_misses = most_urgent.misses > own_misses.max(TOLERATED_MISSES);
        let reserved_share = match self.level {
            ScarcityLevel::Ample => 0.0,
            ScarcityLevel::Short if has_more_misses => SHORT_RESERVED_SHARE + EXTRA_RESERVED_SHARE,
            ScarcityLevel::Tight => TIGHT_RESERVED_SHARE,
            ScarcityLevel::Short => SHORT_RESERVED_SHARE,
        };
        // Each further kind that is more urgent needs slots that this one leaves free.
        let is_third = more_urgent.count() > 1;
        let further_share = if is_third { reserved_share } else { 0.0 };
        RoomLimit {
            queue_rounds: 0.0,
            reserved_share: reserved_share + further_share,
            load_factor,
            is_closed: self.holds_back_blindly(own_misses),
            avoids_queues: false,
        }
    }

    /// Returns the longest queue, as a multiple of the slots, behind which a request of a
    /// kind still reaches its target: a round takes the usual time of the work there.
    fn queue_rounds(&self, kind: RequestKind) -> f64 {
        let own_s = kind.usual_time.as_secs_f64();
        let work_s = self.work_s.unwrap_or(own_s).max(f64::MIN_POSITIVE);
        let spare_s = kind.spare_time().as_secs_f64();
        (QUEUE_TIME_SHARE * spare_s / work_s).min(MAX_QUEUE_ROUNDS)
    }
}
