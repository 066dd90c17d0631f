//! How much of an instance's slots and queue a request may use.

use crate::evidence::InstanceHealth;
use crate::placement::PlacementRequest;
use crate::roster::ListedInstance;

/// The share of the latency target that a request may spend in an instance's
/// queue.
const MAX_QUEUE_SHARE: f64 = 0.6;
/// The longest queue of an instance, as a multiple of its slots.
const MAX_QUEUE_ROUNDS: f64 = 2.0;

/// Returns the requests at an instance, this one included, as a multiple of its slots.
pub(crate) fn occupancy(listed: &ListedInstance, health: &InstanceHealth) -> f64 {
    f64::from(health.in_flight + 1) / f64::from(listed.entry.slots.max(1))
}

/// Reports whether a request would spend only a small share of its latency target
/// in the instance's queue. Less urgent requests leave more of the queue free.
pub(crate) fn has_room(
    listed: &ListedInstance,
    health: &InstanceHealth,
    request: &PlacementRequest<'_>,
) -> bool {
    let usual_s = request.usual_time.as_secs_f64().max(f64::MIN_POSITIVE);
    let rounds = MAX_QUEUE_SHARE * request.latency_target.as_secs_f64() / usual_s;
    let rounds = rounds.min(MAX_QUEUE_ROUNDS) / f64::from(request.priority.saturating_add(1));
    occupancy(listed, health) <= 1.0 + rounds
}
