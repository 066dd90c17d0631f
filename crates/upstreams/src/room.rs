//! How much of an instance's slots and queue a request may use.
//!
//! Without a [`RoomLimit`] this depends on the request's own usual time and priority.
//! With one, it depends on the work that is queued at the service, and on whether more
//! urgent requests use it: see [`ScarcityMonitor::room`](crate::ScarcityMonitor::room).

use crate::evidence::InstanceHealth;
use crate::placement::PlacementRequest;
use crate::roster::ListedInstance;

/// The share of the latency target that a request may spend in an instance's
/// queue.
const MAX_QUEUE_SHARE: f64 = 0.6;
/// The longest queue of an instance, as a multiple of its slots.
pub(crate) const MAX_QUEUE_ROUNDS: f64 = 2.0;

/// The room at each instance that a request may use, this request included.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoomLimit {
    /// The longest queue, as a multiple of the slots.
    pub queue_rounds: f64,
    /// The share of the slots that stays free for more urgent requests, rounded to
    /// whole slots of each instance, but to at most half as many again.
    pub reserved_share: f64,
    /// The requests at an instance for each one that is reported; above 1 while a part of
    /// the fleet is unreachable.
    pub load_factor: f64,
    /// Whether the request must wait at its host, whatever room seems to be left.
    pub is_closed: bool,
    /// Whether the request leaves its failure domain for a free slot rather than queue,
    /// since less urgent ones would take that slot.
    pub avoids_queues: bool,
}

/// How many times the reserved share the slots that are reserved may be. At instances with
/// few slots, rounding would reserve up to twice the share.
const MAX_ROUNDING_FACTOR: f64 = 1.5;
/// The share of the slots that requests above their workspace's share leave free in
/// addition: two of six.
const EXCESS_RESERVED_SHARE: f64 = 0.3;

impl RoomLimit {
    /// Returns the room for a request that is above its workspace's share.
    #[must_use]
    pub fn for_excess(self) -> Self {
        Self {
            queue_rounds: 0.0,
            reserved_share: self.reserved_share + EXCESS_RESERVED_SHARE,
            ..self
        }
    }

    /// Returns the whole slots of an instance that stay free.
    fn reserved_slots(&self, slots: f64) -> f64 {
        let exact = slots * self.reserved_share;
        let rounded = exact.round();
        if rounded > exact * MAX_ROUNDING_FACTOR {
            rounded - 1.0
        } else {
            rounded
        }
    }

    /// Returns the most requests that may be at an instance, this one included; at
    /// least 1.
    #[must_use]
    pub fn max_in_flight(&self, slots: u32) -> u32 {
        let slots = f64::from(slots.max(1));
        let max =
            (slots - self.reserved_slots(slots) + (slots * self.queue_rounds).floor()).max(1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "at least 1, and a larger one than the range is limited to it"
        )]
        let max = max as u32;
        max
    }
}

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
    if let Some(limit) = request.room {
        let in_flight = f64::from(health.in_flight) * limit.load_factor;
        return !limit.is_closed && in_flight < f64::from(limit.max_in_flight(listed.entry.slots));
    }
    let usual_s = request.usual_time.as_secs_f64().max(f64::MIN_POSITIVE);
    let rounds = MAX_QUEUE_SHARE * request.latency_target.as_secs_f64() / usual_s;
    let rounds = rounds.min(MAX_QUEUE_ROUNDS) / f64::from(request.priority.saturating_add(1));
    occupancy(listed, health) <= 1.0 + rounds
}
