//! Choice of the instance for a request by the expected cost of failing or waiting
//! there.
//!
//! Requests that can be retried explore instances that no host has tried recently, so
//! that requests on their only or last attempt find instances that have just succeeded.
//! The age counts from the start of the newest attempt. Counted from its outcome, an
//! instance would attract all hosts until its first answer, and none while the rest of
//! its answers arrive.
//! While all instances that seem healthy are busy, a request waits for one of them
//! instead of failing at a suspect. While they only lack permits, it is refused, if the
//! next permit comes soon enough for its caller to return.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use waxwingusher_core::{FailureDomain, InstanceId, ServiceName};

use crate::evidence::{Evidence, InstanceHealth, PermitReason};
use crate::load_estimate::{Candidate, CandidateGroup, LoadSharing};
use crate::room::{RoomLimit, has_room, occupancy};
use crate::roster::{ListedInstance, Roster};
use crate::usage::ServiceUsage;

/// The largest random part of a cost, below every difference that matters.
const MAX_NOISE: f64 = 0.03;
/// The cost of a failure to a request that cannot be retried.
const FAILURE_COST: f64 = 1.0;
/// The cost of a failure to a request that can be retried: the time of the attempt.
const RETRYABLE_FAILURE_COST: f64 = 0.3;
/// The value of an attempt at an instance whose newest attempt has the age
/// [`EXPLORATION_AGE_S`]; it is proportional to the age. It outweighs load and
/// distance, so that no instance goes without requests for long.
const EXPLORATION_VALUE: f64 = 0.35;
/// The same for a suspect, lower so that healthy instances come first.
const SUSPECT_EXPLORATION_VALUE: f64 = 0.15;
/// The risk that is worth taking for a request on its only or last attempt at an instance
/// that is no suspect, for each second by which its newest attempt is older than
/// [`MIN_IDLE_AGE_S`]. It keeps the healthy instances of a service without retryable
/// requests in use.
const IDLE_EXPLORATION_VALUE_PER_S: f64 = 0.3;
const MIN_IDLE_AGE_S: f64 = 1.2;
/// The largest such risk: an instance gets a trial as soon as it is no suspect any
/// more.
const MAX_IDLE_EXPLORATION_VALUE: f64 = 0.6;
/// The age that stands for an instance without attempts in this respect.
const UNKNOWN_IDLE_AGE_S: f64 = 1.7;
/// The age of the newest attempt for which the exploration values are stated. Each
/// healthy instance must get requests within two seconds.
const EXPLORATION_AGE_S: f64 = 1.5;
/// The age above which the exploration value grows no more.
const MAX_EXPLORATION_AGE_S: f64 = 6.0;
/// The cost of a fully occupied instance over an idle one.
pub(crate) const LOAD_COST: f64 = 0.15;
/// The cost of waiting in the queue until every slot has been used once.
pub(crate) const QUEUE_COST: f64 = 1.0;
/// The cost of an instance that is still slow after its start.
const COLD_COST: f64 = 0.25;
/// The cost of an instance that takes twice the usual time by many answers. The mean
/// slowness of equal instances differs by about a tenth.
const SLOWNESS_COST: f64 = 0.1;
/// The largest cost of slowness.
const MAX_SLOWNESS_COST: f64 = 1.5;
/// The cost of a suspect to a request that can be retried. It is low, as unhealthy
/// instances mostly fail at once, and recovered ones should get requests again
/// soon.
const SUSPECT_TRIAL_COST: f64 = 0.05;
/// The risk from which a suspect gets no request on its only or last attempt.
const MAX_LAST_ATTEMPT_RISK: f64 = 0.5;
/// The share of the latency target within which a caller that returns to an instance with
/// a rate limit fares better than at a suspect.
const MAX_RETURN_SHARE: f64 = 0.5;
/// The share of the time by which a request usually reaches its latency target that it
/// spends in a local queue rather than leave its failure domain. It has as much left for a
/// queue that other hosts have made longer meanwhile.
const LOCAL_WAIT_SHARE: f64 = 0.4;
/// The least cost of a remote failure domain, above the load of a local instance with a
/// free slot.
const MIN_SPILLOVER_COST: f64 = 0.2;
/// The largest cost of a remote failure domain: one round in a local queue.
const MAX_SPILLOVER_COST: f64 = QUEUE_COST;
/// The share of free slots in remote domains from which requests go there before all
/// local slots are busy. Where fewer are free, reports of 400 ms show mostly slots that
/// others have taken, and requests moved back and forth between busy domains; then only
/// a part of those goes there that find all local slots busy.
const MIN_REMOTE_FREE_SHARE: f64 = 0.15;
/// The age of the newest attempt from which a local instance is explored. Below it,
/// exploration would disturb the spread of load.
const LOCAL_EXPLORATION_AGE: Duration = Duration::from_millis(800);
/// The same for a remote instance: above the local age and that of remote reports, so
/// that only a domain whose hosts do not explore it is explored from others. Each
/// healthy instance must get requests within two seconds.
const REMOTE_EXPLORATION_AGE: Duration = Duration::from_millis(1_400);
/// The age of the newest attempt from which a local instance gets a trial while too few are
/// in use, also if it is a suspect.
const LOCAL_TRIAL_AGE: Duration = Duration::from_millis(1_200);
/// The age of the newest attempt up to which an instance counts as in use. Until the age is
/// two seconds, hosts of all domains have tried the others.
const IN_USE_AGE: Duration = Duration::from_millis(1_600);
/// How many requests explore an instance, on average, before other hosts learn of the
/// first one. With one, an instance stays without requests in two cases of five.
const MEAN_EXPLORERS: f64 = 3.0;
/// The ratio to the usual time from which a few answers show a slow instance. Usual
/// answers exceed it too seldom to disturb the spread of load.
const MIN_RECENT_SLOWNESS: f64 = 2.0;

/// A request that needs an instance.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// How many attempts the request has left, this one included.
    pub attempts_left: u32,
    /// The instances of the attempts so far.
    pub attempted: &'a [InstanceId],
    /// This host's failure domain.
    pub failure_domain: &'a FailureDomain,
    /// The failure domains whose instances may get the request; none if all may.
    pub allowed_domains: Option<&'a HashSet<FailureDomain>>,
    /// The priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// The usual time of such requests.
    pub usual_time: Duration,
    /// The latency within which an answer has its full value.
    pub latency_target: Duration,
    /// The room at each instance that the request may use. Without one, it follows from
    /// its priority, usual time and latency target.
    pub room: Option<RoomLimit>,
    /// The hosts among which the load is to be shared evenly.
    pub load_sharing: LoadSharing,
    /// The share of requests that this host lately refused.
    pub refused_share: f64,
}

impl PlacementRequest<'_> {
    /// Reports whether another instance may run the request if this attempt fails.
    fn can_retry(&self) -> bool {
        self.is_idempotent && self.attempts_left > 1
    }

    /// Returns the cost of a remote failure domain: that of the wait in a local queue that
    /// the request can bear and still reach its latency target.
    fn spillover_cost(&self) -> f64 {
        if self.room.is_some_and(|room| room.avoids_queues) {
            return MIN_SPILLOVER_COST;
        }
        let spare = self.latency_target.saturating_sub(self.usual_time);
        let usual_s = self.usual_time.as_secs_f64().max(f64::MIN_POSITIVE);
        let rounds = LOCAL_WAIT_SHARE * spare.as_secs_f64() / usual_s;
        (QUEUE_COST * rounds).clamp(MIN_SPILLOVER_COST, MAX_SPILLOVER_COST)
    }

    /// Reports whether the instances of a failure domain may get the request.
    fn allows(&self, domain: &FailureDomain) -> bool {
        self.allowed_domains
            .is_none_or(|allowed| allowed.contains(domain))
    }
}

/// Why an instance was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementReason {
    /// It was drawn among those that seem healthy in the local failure domain.
    Local,
    /// It was drawn among remote ones, as the wait for a local one would take too long or
    /// fail more often.
    Remote,
    /// No host had used it for some time.
    Explored,
    /// The same, while many requests are refused and few instances are in use.
    Trial,
    /// No instance that seems healthy takes the request.
    LastResort,
}

impl PlacementReason {
    /// Returns the name of the reason in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Local => "local",
            Self::Remote => "remote",
            Self::Explored => "explored",
            Self::Trial => "trial",
            Self::LastResort => "last-resort",
        }
    }
}

/// A chosen instance.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The instance.
    pub instance: ListedInstance,
    /// Why it was chosen.
    pub reason: PlacementReason,
    /// Its estimated health at the time of the choice.
    pub health: InstanceHealth,
}

/// Why no instance was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PlacementError {
    /// The roster lists no instance without an earlier attempt.
    #[error("no instance of the service takes requests")]
    NoInstance,
    /// All instances have as many requests in flight as their queues allow.
    #[error("all instances of the service are busy")]
    AllBusy,
    /// All instances want no requests from this host, or no more from all hosts
    /// together, for some time.
    #[error("all instances of the service want no requests for {retry_after:?}")]
    AllBackOff {
        /// When the first of them takes requests again.
        retry_after: Duration,
    },
}

/// How many instances of a service were excluded from a placement, by reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Exclusions {
    /// The request was already sent to them.
    pub attempted: usize,
    /// They have said that they leave.
    pub leaving: usize,
    /// Their failure domain is evacuated.
    #[serde(default)]
    pub evacuated: usize,
    /// Their failure domain is in no region in which the request may be processed.
    #[serde(default)]
    pub other_region: usize,
    /// They want no requests from this host for some time.
    pub back_off: usize,
    /// They limit the rate of all hosts together, and no permit is left.
    #[serde(default)]
    pub rate_limited: usize,
    /// They count as cold, and no permit is left.
    #[serde(default)]
    pub cold: usize,
    /// They get no requests for a moment after a failure or a refusal.
    pub paused: usize,
    /// They are suspects, which get only few requests.
    pub suspect: usize,
    /// Their queues are full.
    pub full: usize,
}

/// Counts why the instances of a service did not get a request.
#[must_use]
pub fn exclusions(
    now: Instant,
    roster: &Roster,
    evidence: &Evidence,
    request: &PlacementRequest<'_>,
) -> Exclusions {
    let mut counts = Exclusions {
        leaving: roster.leaving_count(request.service),
        evacuated: roster.evacuated_count(request.service),
        ..Exclusions::default()
    };
    for listed in roster.ready(request.service) {
        let health = evidence.health(now, &listed.entry.id);
        let count = if !request.allows(&listed.entry.failure_domain) {
            &mut counts.other_region
        } else if request.attempted.contains(&listed.entry.id) {
            &mut counts.attempted
        } else if health.backs_off_for.is_some() {
            &mut counts.back_off
        } else if health.no_permit_for.is_some() {
            match health.no_permit_reason {
                PermitReason::RateLimit => &mut counts.rate_limited,
                PermitReason::Cold => &mut counts.cold,
            }
        } else if health.is_paused {
            &mut counts.paused
        } else if !is_eligible(listed, &health, request) {
            &mut counts.suspect
        } else {
            &mut counts.full
        };
        *count += 1;
    }
    counts
}

/// Chooses the instance with the least cost.
///
/// # Errors
///
/// Returns [`PlacementError`] if there is no instance or all are busy.
pub fn place(
    now: Instant,
    roster: &Roster,
    evidence: &Evidence,
    request: &PlacementRequest<'_>,
    rng: &mut fastrand::Rng,
) -> Result<Placement, PlacementError> {
    let mut shared = SharedChoice::new(request.load_sharing);
    let mut last_resort: Option<(f64, &ListedInstance, InstanceHealth)> = None;
    let mut is_any_healthy = false;
    let mut is_permit_near = false;
    let mut least_back_off: Option<Duration> = None;
    let mut usage = ServiceUsage::default();
    let mut idle: Vec<&ListedInstance> = Vec::new();
    for listed in roster.ready(request.service) {
        if !request.allows(&listed.entry.failure_domain)
            || request.attempted.contains(&listed.entry.id)
        {
            continue;
        }
        let health = evidence.health(now, &listed.entry.id);
        if let Some(time) = health.backs_off_for.max(health.no_permit_for) {
            least_back_off = Some(least_back_off.map_or(time, |least| least.min(time)));
            is_permit_near |= is_worth_returning_to(&health, request);
            continue;
        }
        if is_idle(listed, &health, request) {
            idle.push(listed);
        }
        usage.ready += 1;
        usage.in_use += usize::from(health.attempt_age.is_some_and(|age| age < IN_USE_AGE));
        if is_eligible(listed, &health, request) {
            is_any_healthy |= !health.is_suspect;
            if has_room(listed, &health, request) {
                shared.add(now, listed, &health, request);
            }
            continue;
        }
        // The noise makes hosts with the same information choose differently.
        let cost = cost(now, listed, &health, request) + rng.f64() * MAX_NOISE;
        if last_resort.is_none_or(|(least, _, _)| cost < least) {
            last_resort = Some((cost, listed, health));
        }
    }
    let needs_trials = usage.needs_trials(request.refused_share);
    let trial = needs_trials.then(|| shared.choose_trial(&idle, request, rng));
    let best = trial.flatten().or_else(|| shared.choose(request, rng));
    let best = best.map(|(listed, reason)| {
        let health = evidence.health(now, &listed.entry.id);
        (listed, health, reason)
    });
    let last_resort =
        last_resort.map(|(_, listed, health)| (listed, health, PlacementReason::LastResort));
    match best.or(last_resort.filter(|_| !is_any_healthy && !is_permit_near)) {
        Some((listed, health, reason)) => Ok(Placement {
            instance: listed.clone(),
            reason,
            health,
        }),
        None if is_any_healthy => Err(PlacementError::AllBusy),
        None => Err(
            least_back_off.map_or(PlacementError::NoInstance, |retry_after| {
                PlacementError::AllBackOff { retry_after }
            }),
        ),
    }
}

/// Reports whether a healthy instance whose permits are used up for now takes the
/// request within its latency target if its caller returns.
fn is_worth_returning_to(health: &InstanceHealth, request: &PlacementRequest<'_>) -> bool {
    let max_time = request.latency_target.mul_f64(MAX_RETURN_SHARE);
    health.backs_off_for.is_none()
        && health.no_permit_for.is_some_and(|time| time < max_time)
        && !health.is_suspect
        && !health.is_paused
}

/// Reports whether an instance may get the request while others seem healthy.
fn is_eligible(
    listed: &ListedInstance,
    health: &InstanceHealth,
    request: &PlacementRequest<'_>,
) -> bool {
    if health.is_paused {
        return false;
    }
    if !health.is_suspect {
        return true;
    }
    // A suspect gets few requests at a time, but a single slow one does not block
    // the others.
    let has_enough_trials = health.in_flight * 2 > listed.entry.slots;
    !has_enough_trials && (request.can_retry() || health.risk < MAX_LAST_ATTEMPT_RISK)
}

/// Reports whether no host has used an instance for so long that a trial is due while too
/// few are in use.
fn is_idle(
    listed: &ListedInstance,
    health: &InstanceHealth,
    request: &PlacementRequest<'_>,
) -> bool {
    let min_age = if listed.entry.failure_domain == *request.failure_domain {
        LOCAL_TRIAL_AGE
    } else {
        REMOTE_EXPLORATION_AGE
    };
    !health.is_paused
        && health.in_flight == 0
        && has_room(listed, health, request)
        && health.attempt_age.is_none_or(|age| age >= min_age)
}

/// Returns the cost of an instance that gets the request as all healthy ones are excluded.
fn cost(
    now: Instant,
    listed: &ListedInstance,
    health: &InstanceHealth,
    request: &PlacementRequest<'_>,
) -> f64 {
    let occupancy = occupancy(listed, health);
    let mut cost = LOAD_COST * occupancy.min(1.0) + QUEUE_COST * (occupancy - 1.0).max(0.0);
    if listed.entry.failure_domain != *request.failure_domain {
        cost += request.spillover_cost();
    }
    if now < listed.warm_at {
        cost += COLD_COST;
    }
    cost + slowness_cost(health) + risk_cost(health, request.can_retry())
}

fn risk_cost(health: &InstanceHealth, can_retry: bool) -> f64 {
    let age = health.attempt_age.map(|age| age.as_secs_f64());
    if !can_retry {
        let idle_s = age.unwrap_or(UNKNOWN_IDLE_AGE_S) - MIN_IDLE_AGE_S;
        let value = (IDLE_EXPLORATION_VALUE_PER_S * idle_s).clamp(0.0, MAX_IDLE_EXPLORATION_VALUE);
        let value = if health.is_suspect { 0.0 } else { value };
        return failure_cost(can_retry) * (health.risk - value);
    }
    let (cost, exploration_value) = if health.is_suspect {
        (SUSPECT_TRIAL_COST, SUSPECT_EXPLORATION_VALUE)
    } else {
        (failure_cost(can_retry) * health.risk, EXPLORATION_VALUE)
    };
    let age_s = age.map_or(EXPLORATION_AGE_S, |age_s| age_s.min(MAX_EXPLORATION_AGE_S));
    cost - exploration_value * age_s / EXPLORATION_AGE_S
}

fn failure_cost(can_retry: bool) -> f64 {
    if can_retry {
        RETRYABLE_FAILURE_COST
    } else {
        FAILURE_COST
    }
}

/// The candidates of one failure domain or of all remote ones.
#[derive(Debug, Default)]
struct SharedGroup<'a> {
    candidates: CandidateGroup,
    listed: Vec<&'a ListedInstance>,
    /// The instances that should be explored, with the cost of doing so.
    due: Vec<(f64, usize)>,
}

/// A choice among the instances that seem healthy.
#[derive(Debug)]
struct SharedChoice<'a> {
    sharing: LoadSharing,
    local: SharedGroup<'a>,
    remote: SharedGroup<'a>,
}

impl<'a> SharedChoice<'a> {
    fn new(sharing: LoadSharing) -> Self {
        Self {
            sharing,
            local: SharedGroup::default(),
            remote: SharedGroup::default(),
        }
    }

    fn add(
        &mut self,
        now: Instant,
        listed: &'a ListedInstance,
        health: &InstanceHealth,
        request: &PlacementRequest<'_>,
    ) {
        let is_remote = listed.entry.failure_domain != *request.failure_domain;
        let (group, min_age) = if is_remote {
            (&mut self.remote, REMOTE_EXPLORATION_AGE)
        } else {
            (&mut self.local, LOCAL_EXPLORATION_AGE)
        };
        let mut base_cost = slowness_cost(health);
        if now < listed.warm_at {
            base_cost += COLD_COST;
        }
        let is_due = health.attempt_age.is_none_or(|age| age >= min_age);
        if is_due && health.in_flight < listed.entry.slots {
            let load = LOAD_COST * occupancy(listed, health);
            let cost = base_cost + load + risk_cost(health, request.can_retry());
            group.due.push((cost, group.listed.len()));
        }
        if is_remote {
            base_cost += request.spillover_cost();
        }
        group.candidates.push(Candidate {
            base_cost: base_cost + failure_cost(request.can_retry()) * health.risk,
            slots: listed.entry.slots,
            in_flight: health.in_flight,
        });
        group.listed.push(listed);
    }

    fn choose(
        &self,
        request: &PlacementRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<(&'a ListedInstance, PlacementReason)> {
        let (local, remote) = (&self.local.candidates, &self.remote.candidates);
        let (local_age, remote_age) = (
            self.sharing.local_report_age,
            self.sharing.remote_report_age,
        );
        let usual_time = request.usual_time;
        let share_of_others = self.sharing.share_of_others();
        let local_cost = local.least_cost();
        let remote_cost = remote.least_cost();
        let least_cost = local_cost
            .unwrap_or(f64::INFINITY)
            .min(remote_cost.unwrap_or(f64::INFINITY));
        let local_arrivals = local.arrivals(local_age, usual_time) * share_of_others;
        let remote_arrivals =
            local.arrivals(remote_age, usual_time) + remote.arrivals(remote_age, usual_time);
        let explored = self.local.explore(least_cost, local_arrivals, rng);
        let explored = explored.or_else(|| self.remote.explore(least_cost, remote_arrivals, rng));
        if let Some(listed) = explored {
            return Some((listed, PlacementReason::Explored));
        }
        // A local instance with a free slot or a short queue is cheaper than any remote one
        // that is as healthy, so the draw among remote ones is mostly not needed.
        // If other hosts have probably filled its free slots meanwhile, the part of the
        // requests that would wait leaves the domain.
        let remote_room = remote.free_share() / MIN_REMOTE_FREE_SHARE;
        let is_short =
            remote_room >= 1.0 && rng.f64() * (local_arrivals + 1.0) >= local.free_slots();
        let local_cost = if is_short {
            let queue_cost = local.queue_cost();
            local_cost.map(|cost| cost.max(queue_cost.unwrap_or(cost)))
        } else {
            local_cost
        };
        let stays_in_queue = local.free_slots() < 1.0 && rng.f64() >= remote_room;
        let is_local_cheapest = match (local_cost, remote_cost) {
            (Some(_), Some(_)) if stays_in_queue => true,
            (Some(local), Some(remote)) => local <= remote,
            (local, _) => local.is_some(),
        };
        let remote_draw = if is_local_cheapest {
            None
        } else {
            remote.draw(remote.unseen_requests(remote_age, usual_time), rng)
        };
        if let Some(draw) = remote_draw
            && local_cost.is_none_or(|cost| cost > draw.level)
        {
            let listed = self.remote.listed.get(draw.index)?;
            return Some((listed, PlacementReason::Remote));
        }
        let unseen = local.unseen_requests(local_age, usual_time) * share_of_others;
        let draw = local.draw(unseen, rng)?;
        let listed = self.local.listed.get(draw.index)?;
        Some((listed, PlacementReason::Local))
    }

    /// Chooses an idle instance for a trial, so seldom that about one request tries each
    /// until the next reports.
    fn choose_trial(
        &self,
        idle: &[&'a ListedInstance],
        request: &PlacementRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<(&'a ListedInstance, PlacementReason)> {
        let age = self.sharing.local_report_age;
        let arrivals = self.local.candidates.arrivals(age, request.usual_time);
        let count = idle.len();
        if rng.f64() * (1.0 + arrivals) >= count as f64 {
            return None;
        }
        let listed = idle.get(rng.usize(..count))?;
        Some((listed, PlacementReason::Trial))
    }
}

impl<'a> SharedGroup<'a> {
    /// Chooses an instance that should be explored and costs less than `max_cost`, so
    /// seldom that few of the requests that arrive before the next reports explore it.
    fn explore(
        &self,
        max_cost: f64,
        arrivals: f64,
        rng: &mut fastrand::Rng,
    ) -> Option<&'a ListedInstance> {
        let due = self.due.iter().filter(|(cost, _)| *cost < max_cost);
        let count = due.clone().count();
        if count == 0 || rng.f64() * (1.0 + arrivals) >= MEAN_EXPLORERS * count as f64 {
            return None;
        }
        let (_, index) = due.clone().nth(rng.usize(..count))?;
        self.listed.get(*index).copied()
    }
}

/// Returns the cost of slowness by many answers, or by a few if they took very long.
fn slowness_cost(health: &InstanceHealth) -> f64 {
    let excess = (health.mean_slowness - 1.0).max(health.slowness - MIN_RECENT_SLOWNESS);
    (SLOWNESS_COST * excess).clamp(0.0, MAX_SLOWNESS_COST)
}
