//! The order in which waiting requests get room at a service, and which of them
//! wait in vain.
//!
//! A request's rank is the time since which it waits, moved back by a step for
//! each level of its priority. So an urgent request goes first, and no request
//! is passed for ever. A request with more others before it than the service
//! lately gave room to has no prospect, and its caller should know at once.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use waxwingusher_core::ServiceName;

/// How much later a request of the next lower priority may go than one that
/// came at the same time.
const PRIORITY_STEP: Duration = Duration::from_millis(150);
/// Lower priorities than this are all the same.
const LOWEST_PRIORITY: u32 = 8;
/// The span over which the rate is measured at which requests get room; several
/// usual answer times of the users' routes.
const RATE_SPAN: Duration = Duration::from_secs(1);
/// Requests that may wait before another whatever the rate is, so that the first
/// room after a standstill is used.
const ALWAYS_AHEAD: f64 = 1.0;

/// A position in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    rank: Instant,
    number: u64,
}

/// Requests that wait for room, by service.
#[derive(Debug, Default)]
pub struct WaitQueue {
    service_queues: HashMap<ServiceName, ServiceQueue>,
    next_number: u64,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    positions: BTreeSet<QueuePosition>,
    /// When requests got room, within [`RATE_SPAN`].
    served_at: VecDeque<Instant>,
}

impl WaitQueue {
    /// Adds a request that has waited since `since`.
    pub fn enqueue(
        &mut self,
        service: &ServiceName,
        since: Instant,
        priority: u32,
    ) -> QueuePosition {
        let position = QueuePosition {
            rank: since + PRIORITY_STEP * priority.min(LOWEST_PRIORITY),
            number: self.next_number,
        };
        self.next_number += 1;
        let queue = self.service_queues.entry(service.clone()).or_default();
        queue.positions.insert(position);
        position
    }

    /// Removes a request, whether it got room or not.
    pub fn remove(&mut self, service: &ServiceName, position: QueuePosition) {
        if let Some(queue) = self.service_queues.get_mut(service) {
            queue.positions.remove(&position);
        }
    }

    /// Records that a request of the service got room.
    pub fn record_served(&mut self, now: Instant, service: &ServiceName) {
        if let Some(queue) = self.service_queues.get_mut(service) {
            queue.forget_before(now);
            queue.served_at.push_back(now);
        }
    }

    /// Reports whether no other request of the service goes before this one.
    #[must_use]
    pub fn is_first(&self, service: &ServiceName, position: QueuePosition) -> bool {
        let queue = self.service_queues.get(service);
        let first = queue.and_then(|queue| queue.positions.first());
        first.is_none_or(|first| *first >= position)
    }

    /// Reports whether a request that will wait for `max_wait` more has so many
    /// others before it that it will hardly get room.
    pub fn is_likely_to_time_out(
        &mut self,
        now: Instant,
        service: &ServiceName,
        position: QueuePosition,
        max_wait: Duration,
    ) -> bool {
        let Some(queue) = self.service_queues.get_mut(service) else {
            return false;
        };
        queue.forget_before(now);
        let ahead = count(queue.positions.range(..position).count());
        let served = count(queue.served_at.len());
        let expected = served * max_wait.as_secs_f64() / RATE_SPAN.as_secs_f64();
        ahead > expected + ALWAYS_AHEAD
    }

    /// Reports whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.service_queues
            .values()
            .all(|queue| queue.positions.is_empty())
    }
}

impl ServiceQueue {
    fn forget_before(&mut self, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= RATE_SPAN;
        while self.served_at.front().is_some_and(is_old) {
            self.served_at.pop_front();
        }
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
