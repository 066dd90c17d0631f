//! Choice of the instance for a request, by what failing or waiting there would
//! cost.
//!
//! Requests that may be sent again try instances of which little is known, so
//! that requests on their only or last try find instances that have just
//! succeeded.
//! While instances that seem well are all busy, a request rather waits for one
//! of them than fail at one that is known to be sick.

use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, InstanceId, ServiceName};

use crate::evidence::{Evidence, InstanceHealth};
use crate::roster::{ListedInstance, Roster};

/// The greatest random part of a cost; below every difference that matters.
const MAX_NOISE: f64 = 0.03;
/// What a step into another failure domain costs: bytes between domains are
/// dear, and the way is longer.
const OTHER_DOMAIN_COST: f64 = 0.08;
/// What a failure costs a request that may be sent again: the time of this try.
const RETRYABLE_FAILURE_COST: f64 = 0.3;
/// What is gained by trying an instance of which nothing was heard for
/// [`EXPLORATION_AGE_S`], and in proportion for other ages. It outweighs load and
/// distance, so that no instance goes without a request for long.
const EXPLORATION_VALUE: f64 = 0.35;
/// The same for a suspect: sound instances come first.
const SUSPECT_EXPLORATION_VALUE: f64 = 0.15;
/// The age in seconds for which the value of news is stated. Each sound instance
/// must get requests within two seconds.
const EXPLORATION_AGE_S: f64 = 1.5;
/// The age in seconds beyond which the value of news grows no more.
const MAX_EXPLORATION_AGE_S: f64 = 6.0;
/// What a fully busy instance costs beside an idle one.
const LOAD_COST: f64 = 0.15;
/// What waiting for one whole turn of all slots costs.
const QUEUE_COST: f64 = 1.0;
/// What an instance costs that is still slow after its start.
const COLD_COST: f64 = 0.25;
/// What an instance costs that takes twice the usual time.
const SLOWNESS_COST: f64 = 0.3;
/// The greatest cost of slowness.
const MAX_SLOWNESS_COST: f64 = 1.5;
/// What trying a suspect costs a request that may be sent again. It is little:
/// sick instances mostly fail at once, and those that have recovered take part
/// again soon.
const SUSPECT_TRIAL_COST: f64 = 0.05;
/// The risk above which a suspect gets no request on its only or last try.
const MAX_LAST_ATTEMPT_RISK: f64 = 0.5;
/// The part of the latency target that may pass in an instance's queue.
const MAX_QUEUE_SHARE: f64 = 0.6;
/// The most turns of all slots that may wait in an instance's queue.
const MAX_QUEUE_ROUNDS: f64 = 2.0;

/// A request that looks for an instance.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// How many instances the request may still be sent to, this one included.
    pub attempts_left: u32,
    /// Instances that the request was sent to already.
    pub attempted: &'a [InstanceId],
    /// Where this host runs.
    pub failure_domain: &'a FailureDomain,
    /// The rank of the request; 0 is the most urgent.
    pub priority: u32,
    /// The usual time of such requests.
    pub usual_time: Duration,
    /// The time within which an answer has its full value.
    pub latency_target: Duration,
}

impl PlacementRequest<'_> {
    /// Reports whether another instance may run the request if this one fails
    /// it.
    fn can_retry(&self) -> bool {
        self.is_idempotent && self.attempts_left > 1
    }
}

/// An instance was chosen.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The instance.
    pub instance: ListedInstance,
    /// What was known of it.
    pub health: InstanceHealth,
}

/// No instance was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PlacementError {
    /// The roster lists no instance that was not tried yet.
    #[error("no instance of the service takes requests")]
    NoInstance,
    /// All instances have as much under way as they should.
    #[error("all instances of the service are busy")]
    AllBusy,
}

/// Chooses the instance with the least cost.
///
/// # Errors
///
/// Returns whether there is no instance at all or no room.
pub fn place(
    now: Instant,
    roster: &Roster,
    evidence: &Evidence,
    request: &PlacementRequest<'_>,
    rng: &mut fastrand::Rng,
) -> Result<Placement, PlacementError> {
    let mut best: Option<(f64, &ListedInstance, InstanceHealth)> = None;
    let mut last_resort: Option<(f64, &ListedInstance, InstanceHealth)> = None;
    let mut is_any_healthy = false;
    for listed in roster.ready(request.service) {
        if request.attempted.contains(&listed.entry.id) {
            continue;
        }
        let health = evidence.health(now, &listed.entry.id);
        // A little noise keeps hosts with the same knowledge apart.
        let cost = cost(now, listed, &health, request) + rng.f64() * MAX_NOISE;
        if is_eligible(listed, &health, request) {
            is_any_healthy |= !health.is_suspect;
            if has_room(listed, &health, request) {
                keep_cheapest(&mut best, cost, listed, health);
            }
        } else {
            keep_cheapest(&mut last_resort, cost, listed, health);
        }
    }
    match best.or(last_resort.filter(|_| !is_any_healthy)) {
        Some((_, listed, health)) => Ok(Placement {
            instance: listed.clone(),
            health,
        }),
        None if is_any_healthy => Err(PlacementError::AllBusy),
        None => Err(PlacementError::NoInstance),
    }
}

fn keep_cheapest<'a>(
    best: &mut Option<(f64, &'a ListedInstance, InstanceHealth)>,
    cost: f64,
    listed: &'a ListedInstance,
    health: InstanceHealth,
) {
    if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
        *best = Some((cost, listed, health));
    }
}

/// Whether an instance may get the request while others seem well.
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
    // A few requests at a time try a suspect; slow ones must not end the trials.
    let has_enough_trials = health.in_flight * 2 > listed.entry.slots;
    !has_enough_trials && (request.can_retry() || health.risk < MAX_LAST_ATTEMPT_RISK)
}

fn occupancy(listed: &ListedInstance, health: &InstanceHealth) -> f64 {
    f64::from(health.in_flight + 1) / f64::from(listed.entry.slots.max(1))
}

/// Whether a request would wait in the instance's queue for a small part of its
/// latency target only. Less urgent requests leave more of the queue free.
fn has_room(
    listed: &ListedInstance,
    health: &InstanceHealth,
    request: &PlacementRequest<'_>,
) -> bool {
    let usual_s = request.usual_time.as_secs_f64().max(f64::MIN_POSITIVE);
    let rounds = MAX_QUEUE_SHARE * request.latency_target.as_secs_f64() / usual_s;
    let rounds = rounds.min(MAX_QUEUE_ROUNDS) / f64::from(request.priority.saturating_add(1));
    occupancy(listed, health) <= 1.0 + rounds
}

fn cost(
    now: Instant,
    listed: &ListedInstance,
    health: &InstanceHealth,
    request: &PlacementRequest<'_>,
) -> f64 {
    let occupancy = occupancy(listed, health);
    let mut cost = LOAD_COST * occupancy.min(1.0) + QUEUE_COST * (occupancy - 1.0).max(0.0);
    if listed.entry.failure_domain != *request.failure_domain {
        cost += OTHER_DOMAIN_COST;
    }
    if now < listed.warm_at {
        cost += COLD_COST;
    }
    cost += (SLOWNESS_COST * (health.slowness - 1.0)).clamp(0.0, MAX_SLOWNESS_COST);
    cost + risk_cost(health, request.can_retry())
}

fn risk_cost(health: &InstanceHealth, can_retry: bool) -> f64 {
    if !can_retry {
        return health.risk;
    }
    let (failure_cost, exploration_value) = if health.is_suspect {
        (SUSPECT_TRIAL_COST, SUSPECT_EXPLORATION_VALUE)
    } else {
        (RETRYABLE_FAILURE_COST * health.risk, EXPLORATION_VALUE)
    };
    let age = health.outcome_age.map(|age| age.as_secs_f64());
    let age_s = age.map_or(EXPLORATION_AGE_S, |age_s| age_s.min(MAX_EXPLORATION_AGE_S));
    failure_cost - exploration_value * age_s / EXPLORATION_AGE_S
}
