//! A priority queue, with aging, of requests that wait for a free slot at a
//! service, and the prediction which of them will time out.
//!
//! A request is ranked by the time since which it waits, plus one step for each
//! level below the highest priority. So an urgent request goes first, and no
//! request starves. A request with more others ahead of it than the service
//! lately served is likely to time out, and its caller should learn so at once.
//!
//! While services share their load by urgency, a request is ranked by the latest time
//! at which it can start and still reach its latency target ([`WaitTerms`]). Requests of
//! one priority may use room that those of another may not, so a request waits only
//! behind those of its own or a higher priority.

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

/// The window for [`WaitEstimate`]. A host serves only a few requests of a kind each
/// second, so a shorter window gives false refusals.
const ESTIMATE_WINDOW: Duration = Duration::from_secs(3);
/// How much later the requests of a workspace above its share are ranked; more than any
/// latency target.
const OVER_SHARE_DELAY: Duration = Duration::from_secs(60);
/// The bounds of a `Retry-After`; callers give up when they have to wait longer.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// The `Retry-After` while no request of the kind was served within the window.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The position of a request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    rank: Instant,
    number: u64,
    /// A request waits only behind those of its own or a lower class; 0 for all
    /// requests without [`WaitTerms`].
    class: u32,
}

/// What decides on the rank of a request while services share their load by urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitTerms {
    /// The latest time at which the request can start and still reach its latency
    /// target.
    pub start_by: Instant,
    /// The priority of the request; 0 is the highest.
    pub priority: u32,
    /// Whether its workspace uses more than its share of the service.
    pub is_over_share: bool,
}

impl WaitTerms {
    fn rank(self) -> Instant {
        let delay = if self.is_over_share {
            OVER_SHARE_DELAY
        } else {
            Duration::ZERO
        };
        self.start_by + PRIORITY_STEP * self.priority.min(LOWEST_PRIORITY) + delay
    }

    fn class(self) -> u32 {
        let priority = self.priority.min(LOWEST_PRIORITY);
        if self.is_over_share {
            priority + LOWEST_PRIORITY + 1
        } else {
            priority
        }
    }
}

/// How long a request will probably wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitEstimate {
    /// Requests of the same class that go first.
    pub ahead: usize,
    /// Requests of the class that this host served each second, measured over
    /// `window`.
    pub served_per_s: f64,
    /// The time over which the rate was measured, at most 3 s.
    pub window: Duration,
}

impl WaitEstimate {
    /// Reports whether the request will probably get a slot within `max_wait`.
    #[must_use]
    pub fn is_served_within(&self, max_wait: Duration) -> bool {
        count(self.ahead) <= self.served_per_s * max_wait.as_secs_f64() + ALWAYS_AHEAD
    }

    /// Returns when a new request will probably get a slot within `max_wait` of its
    /// arrival, between 50 ms and 5 s.
    #[must_use]
    pub fn retry_after(&self, max_wait: Duration) -> Duration {
        if self.served_per_s <= 0.0 {
            return UNKNOWN_RETRY_AFTER;
        }
        let allowed = self.served_per_s * max_wait.as_secs_f64() + ALWAYS_AHEAD;
        let excess = (count(self.ahead) - allowed).max(0.0) + 1.0;
        let time_s = excess / self.served_per_s;
        Duration::from_secs_f64(time_s.min(MAX_RETRY_AFTER.as_secs_f64())).max(MIN_RETRY_AFTER)
    }
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
    /// When requests got a slot, within the last [`ESTIMATE_WINDOW`], and their classes.
    served_at: VecDeque<(Instant, u32)>,
    /// When the first request got a slot.
    measured_since: Option<Instant>,
}

impl WaitQueue {
    /// Adds a request that has waited since `since`.
    pub fn enqueue(
        &mut self,
        service: &ServiceName,
        since: Instant,
        priority: u32,
    ) -> QueuePosition {
        let rank = since + PRIORITY_STEP * priority.min(LOWEST_PRIORITY);
        self.insert(service, rank, 0)
    }

    /// Adds a request that is ranked by the latest useful time of its start.
    pub fn enqueue_by_terms(&mut self, service: &ServiceName, terms: WaitTerms) -> QueuePosition {
        self.insert(service, terms.rank(), terms.class())
    }

    fn insert(&mut self, service: &ServiceName, rank: Instant, class: u32) -> QueuePosition {
        let position = QueuePosition {
            rank,
            number: self.next_number,
            class,
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
    pub fn record_served(&mut self, now: Instant, service: &ServiceName, position: QueuePosition) {
        if let Some(queue) = self.service_queues.get_mut(service) {
            queue.remove_old(now);
            queue.served_at.push_back((now, position.class));
            queue.measured_since.get_or_insert(now);
        }
    }

    /// Reports whether no other request of the service is ahead of this one and in the
    /// same or a lower class.
    #[must_use]
    pub fn is_first(&self, service: &ServiceName, position: QueuePosition) -> bool {
        let Some(queue) = self.service_queues.get(service) else {
            return true;
        };
        let mut ahead = queue.positions.range(..position);
        ahead.all(|other| other.class > position.class)
    }

    /// Returns how many requests within their shares wait whose priority is `priority`
    /// or higher. Counts only requests with [`WaitTerms`].
    #[must_use]
    pub fn waiting(&self, service: &ServiceName, priority: u32) -> usize {
        let Some(queue) = self.service_queues.get(service) else {
            return 0;
        };
        let class = priority.min(LOWEST_PRIORITY);
        let waiting = queue.positions.iter();
        waiting.filter(|position| position.class <= class).count()
    }

    /// Estimates how long a request waits, from the rate at which this host lately
    /// served requests of its class.
    pub fn estimate(
        &mut self,
        now: Instant,
        service: &ServiceName,
        position: QueuePosition,
    ) -> WaitEstimate {
        let queue = self.service_queues.entry(service.clone()).or_default();
        queue.remove_old(now);
        let is_same_class = |class: u32| class == position.class;
        let ahead = queue.positions.range(..position);
        let served = queue.served_at.iter();
        let served = served.filter(|(_, class)| is_same_class(*class)).count();
        let measured_since = queue.measured_since.unwrap_or(now);
        let measured = now.saturating_duration_since(measured_since);
        let window = measured.clamp(RATE_WINDOW, ESTIMATE_WINDOW);
        WaitEstimate {
            ahead: ahead.filter(|other| is_same_class(other.class)).count(),
            served_per_s: count(served) / window.as_secs_f64(),
            window,
        }
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
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < RATE_WINDOW;
        let served = queue.served_at.iter().filter(|(at, _)| is_recent(at));
        let served = count(served.count());
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
        let is_old =
            |served: &(Instant, u32)| now.saturating_duration_since(served.0) >= ESTIMATE_WINDOW;
        while self.served_at.front().is_some_and(is_old) {
            self.served_at.pop_front();
        }
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
