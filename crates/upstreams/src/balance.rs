//! Load balancing: the choice among instances that may take a request.

use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, InstanceId};
use waxwingusher_protocol::health::{EjectionPhase, EjectionRow};

use crate::choice::{ChoiceReason, ChooseError, ChooseRequest};
use crate::member::{Availability, Member};

const MIN_RETRY_AFTER: Duration = Duration::from_millis(5);
const LOCAL_DOMAIN_MAX_LOAD: f64 = 0.5;
const MIN_LATENCY_S: f64 = 0.000_1;

/// How an instance is chosen among those with room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum BalancePolicy {
    /// Each instance in turn.
    RoundRobin,
    /// The one of two with the shorter expected wait by this host's requests in
    /// flight.
    #[default]
    LocalInFlight,
    /// The same, but by the load that instances report in answers if that is higher
    /// than this host's requests in flight.
    ReportedLoad,
}

/// The inputs of a choice apart from the request.
#[derive(Debug, Clone, Copy)]
pub struct BalanceContext<'a> {
    /// The time.
    pub now: Instant,
    /// The host's failure domain.
    pub local_domain: &'a FailureDomain,
    /// The ejections that the floor allows.
    pub ejections: &'a [EjectionRow],
    /// The pool's median latency in seconds.
    pub median_latency_s: Option<f64>,
    /// The policy of the choice.
    pub policy: BalancePolicy,
    /// The share of listed hosts that are in the host's failure domain.
    pub local_host_share: f64,
    /// The number of choices made so far.
    pub choices_made: usize,
}

#[derive(Debug, Default)]
struct Candidates {
    local: Vec<usize>,
    remote: Vec<usize>,
    last_resort: Vec<usize>,
    trial: Option<usize>,
    retry_after: Option<Duration>,
}

/// Chooses among the members with the given indices.
///
/// # Errors
///
/// Returns [`ChooseError`] if no member may take the request now.
pub fn choose(
    context: &BalanceContext<'_>,
    members: &[Member],
    indices: impl Iterator<Item = usize>,
    request: &ChooseRequest<'_>,
    rng: &mut fastrand::Rng,
) -> Result<(usize, ChoiceReason), ChooseError> {
    let mut found = Candidates::default();
    for index in indices {
        add_candidate(context, &members[index], index, request, &mut found);
    }
    if let Some(index) = found.trial {
        return Ok((index, ChoiceReason::Trial));
    }
    let local = pick_member(context, members, &found.local, rng);
    let prefers_local = rng.f64() < local_share(context, members, &found);
    if let Some(index) = local
        && prefers_local
        && load(context, &members[index]) < LOCAL_DOMAIN_MAX_LOAD
    {
        return Ok((index, ChoiceReason::LocalDomain));
    }
    let remote = pick_member(context, members, &found.remote, rng);
    match (local, remote) {
        (Some(local), Some(remote)) => {
            let is_local_better = cost(context, &members[local]) <= cost(context, &members[remote]);
            return Ok(if prefers_local && is_local_better {
                (local, ChoiceReason::LocalDomain)
            } else {
                (remote, ChoiceReason::RemoteDomain)
            });
        }
        (Some(local), None) => return Ok((local, ChoiceReason::LocalDomain)),
        (None, Some(remote)) => return Ok((remote, ChoiceReason::RemoteDomain)),
        (None, None) => {}
    }
    if let Some(index) = pick_member(context, members, &found.last_resort, rng) {
        return Ok((index, ChoiceReason::LastResort));
    }
    Err(match found.retry_after {
        Some(retry_after) => ChooseError::AllBusy { retry_after },
        None => ChooseError::NoInstance,
    })
}

/// Returns the share of the host's requests that the local instances can take if
/// all hosts send as much: the share of the slots that is local, divided by the share
/// of the hosts that is local.
fn local_share(context: &BalanceContext<'_>, members: &[Member], found: &Candidates) -> f64 {
    let slots = |indices: &[usize]| -> f64 {
        let slots = indices.iter().map(|index| members[*index].instance.slots);
        slots.map(f64::from).sum()
    };
    let local = slots(&found.local);
    let all = local + slots(&found.remote);
    local / (all * context.local_host_share).max(f64::MIN_POSITIVE)
}

fn add_candidate(
    context: &BalanceContext<'_>,
    member: &Member,
    index: usize,
    request: &ChooseRequest<'_>,
    found: &mut Candidates,
) {
    let now = context.now;
    let availability = member.availability(now);
    if is_excluded(member.id(), request) || availability == Availability::Closed {
        return;
    }
    let ejected = context
        .ejections
        .iter()
        .find(|row| row.instance == member.key);
    if let Some(row) = ejected {
        let is_due = row.phase == EjectionPhase::Trial && now >= member.next_trial_at;
        if is_due && request.is_idempotent && member.has_room(now) {
            found.trial = Some(index);
        }
        return;
    }
    if member.is_backing_off(now) || !member.has_room(now) {
        let wait = member.backoff_left(now).max(MIN_RETRY_AFTER);
        found.retry_after = Some(found.retry_after.map_or(wait, |known| known.min(wait)));
        return;
    }
    let is_cross_check = member.cross_check_until.is_some_and(|until| now < until);
    if is_cross_check && request.is_idempotent {
        found.trial = Some(index);
    }
    if availability == Availability::Closing || member.is_avoided(now) {
        found.last_resort.push(index);
    } else if &member.instance.failure_domain == context.local_domain {
        found.local.push(index);
    } else {
        found.remote.push(index);
    }
}

fn is_excluded(id: &InstanceId, request: &ChooseRequest<'_>) -> bool {
    request.exclude.contains(id)
}

fn pick_member(
    context: &BalanceContext<'_>,
    members: &[Member],
    indices: &[usize],
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    if indices.is_empty() {
        return None;
    }
    if context.policy == BalancePolicy::RoundRobin {
        return Some(indices[context.choices_made % indices.len()]);
    }
    let first = indices[rng.usize(..indices.len())];
    let second = indices[rng.usize(..indices.len())];
    if cost(context, &members[second]) < cost(context, &members[first]) {
        return Some(second);
    }
    Some(first)
}

fn load(context: &BalanceContext<'_>, member: &Member) -> f64 {
    member.load(context.now, context.policy == BalancePolicy::ReportedLoad)
}

/// Returns the expected wait: the load, multiplied by the slowness of the instance.
fn cost(context: &BalanceContext<'_>, member: &Member) -> f64 {
    let slots = f64::from(member.instance.slots.max(1));
    let slowness = match (member.latency_s(), context.median_latency_s) {
        (Some(own), Some(median)) => (own / median.max(MIN_LATENCY_S)).max(1.0),
        _ => 1.0,
    };
    (load(context, member) + 1.0 / slots) * slowness
}
