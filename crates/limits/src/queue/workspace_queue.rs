//! The queue of one workspace.

use std::collections::VecDeque;
use std::time::Instant;

use waxwingusher_core::ServiceName;

use super::INTERVAL_EWMA_WEIGHT;

/// Divides a workspace's queue into the part that is reserved for services with
/// few waiting requests.
const QUEUE_RESERVE_DIVISOR: usize = 4;

/// A waiting request.
#[derive(Debug)]
pub(super) struct Entry<T> {
    pub(super) item: T,
    pub(super) deadline: Instant,
}

/// The waiting requests of one workspace to one service.
#[derive(Debug)]
struct ServiceQueue<T> {
    service: ServiceName,
    entries: VecDeque<Entry<T>>,
    interval_s: f64,
    last_served: Instant,
}

/// The waiting requests of one workspace, served round robin by service.
#[derive(Debug)]
pub(super) struct WorkspaceQueue<T> {
    pub(super) weight: u64,
    pub(super) deficit: u64,
    pub(super) has_quantum: bool,
    service_queues: VecDeque<ServiceQueue<T>>,
    len: usize,
}

impl<T> WorkspaceQueue<T> {
    pub(super) fn new(weight: u64) -> Self {
        Self {
            weight,
            deficit: 0,
            has_quantum: false,
            service_queues: VecDeque::new(),
            len: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn push(&mut self, service: &ServiceName, entry: Entry<T>, now: Instant) {
        self.len += 1;
        let known = self
            .service_queues
            .iter_mut()
            .find(|queue| queue.service == *service);
        if let Some(queue) = known {
            queue.entries.push_back(entry);
            return;
        }
        self.service_queues.push_back(ServiceQueue {
            service: service.clone(),
            entries: VecDeque::from([entry]),
            interval_s: 0.0,
            last_served: now,
        });
    }

    /// Reports whether one more request to a service may wait, if at most
    /// `max_waiting` of the workspace may. The last part of the queue is reserved
    /// for services that use less than an equal share of it.
    pub(super) fn has_capacity(&self, service: &ServiceName, max_waiting: usize) -> bool {
        let free = max_waiting.saturating_sub(self.len);
        if free > max_waiting / QUEUE_RESERVE_DIVISOR {
            return true;
        }
        let own = self.waiting_for(service);
        let service_count = self.service_queues.len() + usize::from(own == 0);
        free > 0 && own * service_count < max_waiting
    }

    /// Returns the most requests of the workspace that are served before a new
    /// request to a service.
    pub(super) fn turns_before(&self, service: &ServiceName) -> usize {
        self.len
            .min(self.waiting_for(service) * self.service_queues.len())
    }

    /// Returns how many requests to a service wait.
    pub(super) fn waiting_for(&self, service: &ServiceName) -> usize {
        self.service(service).map_or(0, |queue| queue.entries.len())
    }

    /// Returns how long the waiting requests to a service, and one more, take at
    /// the recent service interval.
    pub(super) fn observed_wait_s(&self, service: &ServiceName) -> f64 {
        self.service(service).map_or(0.0, |queue| {
            queue.interval_s * (queue.entries.len() + 1) as f64
        })
    }

    fn service(&self, service: &ServiceName) -> Option<&ServiceQueue<T>> {
        self.service_queues
            .iter()
            .find(|queue| queue.service == *service)
    }

    /// Returns the position of the next service whose first request may start
    /// or has expired.
    pub(super) fn next_service(
        &self,
        now: Instant,
        may_start: impl Fn(&ServiceName) -> bool,
    ) -> Option<usize> {
        let is_next = |queue: &ServiceQueue<T>| {
            let head = queue.entries.front();
            head.is_some_and(|head| now > head.deadline || may_start(&queue.service))
        };
        self.service_queues.iter().position(is_next)
    }

    /// Removes the first request of the service at a position and moves the
    /// service behind the others.
    pub(super) fn take(
        &mut self,
        position: usize,
        now: Instant,
    ) -> Option<(ServiceName, Entry<T>)> {
        let mut queue = self.service_queues.remove(position)?;
        let entry = queue.entries.pop_front()?;
        self.len -= 1;
        let service = queue.service.clone();
        if now <= entry.deadline {
            queue.update_interval(now);
        }
        if !queue.entries.is_empty() {
            self.service_queues.push_back(queue);
        }
        Some((service, entry))
    }

    /// Removes the requests that a predicate selects.
    pub(super) fn remove_if(&mut self, is_gone: &mut impl FnMut(&T) -> bool) {
        for queue in &mut self.service_queues {
            queue.entries.retain(|entry| !is_gone(&entry.item));
        }
        self.service_queues
            .retain(|queue| !queue.entries.is_empty());
        self.len = self
            .service_queues
            .iter()
            .map(|queue| queue.entries.len())
            .sum();
    }
}

impl<T> ServiceQueue<T> {
    fn update_interval(&mut self, now: Instant) {
        let interval = now.saturating_duration_since(self.last_served);
        self.interval_s += (interval.as_secs_f64() - self.interval_s) * INTERVAL_EWMA_WEIGHT;
        self.last_served = now;
    }
}
