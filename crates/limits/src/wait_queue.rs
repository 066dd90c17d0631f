//! A priority queue, with aging, of requests that wait for a free slot at a
//! service, and the prediction which of them will time out.
//!
//! A request is ranked by the time since which it waits, plus one step for each
//! level below the highest priority. So an urgent request goes first, and no
//! request starves. A request with more others ahead of it than the service
//! lately served is likely to time out, and its caller should learn so at once.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use waxwingusher_core::ServiceName;

/// How much earlier a request must arrive to go before one of the next higher
/// priority.
const PRIORITY_STEP: Duration = Duration::from_millis(150);
/// Lower priorities than this are treated alike.
const LOWEST_PRIORITY: u32 = 8;
/// The window over which the rate of served requests is measured; several times
/// the usual answer time of the users' routes.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Requests that may be ahead of another one whatever the measured rate is, so
/// that the first free slot after a time without any is used.
const ALWAYS_AHEAD: f64 = 1.0;

/// The position of a request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    rank: Instant,
    number: u64,
}

/// Requests that wait for a free slot, by service.
#[derive(Debug, Default)]
pub struct WaitQueue {
    service_queues: HashMap<ServiceName, ServiceQueue>,
    next_number: u64,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    positions: BTreeSet<QueuePosition>,
    /// When requests got a slot, within the last [`RATE_WINDOW`].
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

    /// Removes a request, whether it got a slot or not.
    pub fn remove(&mut self, service: &ServiceName, position: QueuePosition) {
        if let Some(queue) = self.service_queues.get_mut(service) {
            queue.positions.remove(&position);
        }
    }

    /// Records that a request of the service got a slot.
    pub fn record_served(&mut self, now: Instant, service: &ServiceName) {
        if let Some(queue) = self.service_queues.get_mut(service) {
            queue.remove_old(now);
            queue.served_at.push_back(now);
        }
    }

    /// Reports whether no other request of the service is ahead of this one.
    #[must_use]
    pub fn is_first(&self, service: &ServiceName, position: QueuePosition) -> bool {
        let queue = self.service_queues.get(service);
        let first = queue.and_then(|queue| queue.positions.first());
        first.is_none_or(|first| *first >= position)
    }

    /// Reports whether a request that waits for `max_wait` more has so many others
    /// ahead of it that it will hardly get a slot in time.
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
        queue.remove_old(now);
        let ahead = count(queue.positions.range(..position).count());
        let served = count(queue.served_at.len());
        let expected = served * max_wait.as_secs_f64() / RATE_WINDOW.as_secs_f64();
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
    fn remove_old(&mut self, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= RATE_WINDOW;
        while self.served_at.front().is_some_and(is_old) {
            self.served_at.pop_front();
        }
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
