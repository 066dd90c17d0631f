//! The waiting requests of one workspace.

use std::collections::VecDeque;
use std::time::Instant;

use waxwingusher_core::ServiceName;

use super::SMOOTHING;

/// The part of a workspace's places that is kept for services with few waiting
/// requests.
const PLACE_RESERVE_DIVISOR: usize = 4;

/// A waiting request.
#[derive(Debug)]
pub(super) struct Entry<T> {
    pub(super) item: T,
    pub(super) deadline: Instant,
}

/// The waiting requests of one workspace to one service.
#[derive(Debug)]
struct ServiceLane<T> {
    service: ServiceName,
    entries: VecDeque<Entry<T>>,
    interval_s: f64,
    last_served: Instant,
}

/// The waiting requests of one workspace. Its services take turns.
#[derive(Debug)]
pub(super) struct Lane<T> {
    pub(super) weight: u64,
    pub(super) deficit: u64,
    pub(super) has_turn: bool,
    services: VecDeque<ServiceLane<T>>,
    len: usize,
}

impl<T> Lane<T> {
    pub(super) fn new(weight: u64) -> Self {
        Self {
            weight,
            deficit: 0,
            has_turn: false,
            services: VecDeque::new(),
            len: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn push(&mut self, service: &ServiceName, entry: Entry<T>, now: Instant) {
        self.len += 1;
        let known = self
            .services
            .iter_mut()
            .find(|lane| lane.service == *service);
        if let Some(lane) = known {
            lane.entries.push_back(entry);
            return;
        }
        self.services.push_back(ServiceLane {
            service: service.clone(),
            entries: VecDeque::from([entry]),
            interval_s: 0.0,
            last_served: now,
        });
    }

    /// Reports whether one more request to a service may wait, if at most
    /// `most` of the workspace may. The last places are left to services with
    /// less than an equal part of them.
    pub(super) fn has_place(&self, service: &ServiceName, most: usize) -> bool {
        let free = most.saturating_sub(self.len);
        if free > most / PLACE_RESERVE_DIVISOR {
            return true;
        }
        let own = self.waiting_for(service);
        let services = self.services.len() + usize::from(own == 0);
        free > 0 && own * services < most
    }

    /// Returns how many turns of the workspace come before that of a new
    /// request to a service, at most.
    pub(super) fn turns_before(&self, service: &ServiceName) -> usize {
        self.len
            .min(self.waiting_for(service) * self.services.len())
    }

    /// Returns how many requests to a service wait.
    pub(super) fn waiting_for(&self, service: &ServiceName) -> usize {
        self.service(service).map_or(0, |lane| lane.entries.len())
    }

    /// Returns how long the requests to a service that wait, and one more,
    /// take at the pace of late.
    pub(super) fn observed_wait_s(&self, service: &ServiceName) -> f64 {
        self.service(service).map_or(0.0, |lane| {
            lane.interval_s * (lane.entries.len() + 1) as f64
        })
    }

    fn service(&self, service: &ServiceName) -> Option<&ServiceLane<T>> {
        self.services.iter().find(|lane| lane.service == *service)
    }

    /// Returns the position of the next service whose first request may start
    /// or has expired.
    pub(super) fn next_service(
        &self,
        now: Instant,
        may_start: impl Fn(&ServiceName) -> bool,
    ) -> Option<usize> {
        let is_next = |lane: &ServiceLane<T>| {
            let head = lane.entries.front();
            head.is_some_and(|head| now > head.deadline || may_start(&lane.service))
        };
        self.services.iter().position(is_next)
    }

    /// Takes the first request of the service at a position, whose next turn
    /// comes after those of the others.
    pub(super) fn take(
        &mut self,
        position: usize,
        now: Instant,
    ) -> Option<(ServiceName, Entry<T>)> {
        let mut lane = self.services.remove(position)?;
        let entry = lane.entries.pop_front()?;
        self.len -= 1;
        let service = lane.service.clone();
        if now <= entry.deadline {
            lane.observe(now);
        }
        if !lane.entries.is_empty() {
            self.services.push_back(lane);
        }
        Some((service, entry))
    }

    /// Removes the requests that a predicate selects.
    pub(super) fn remove_if(&mut self, is_gone: &mut impl FnMut(&T) -> bool) {
        for lane in &mut self.services {
            lane.entries.retain(|entry| !is_gone(&entry.item));
        }
        self.services.retain(|lane| !lane.entries.is_empty());
        self.len = self.services.iter().map(|lane| lane.entries.len()).sum();
    }
}

impl<T> ServiceLane<T> {
    fn observe(&mut self, now: Instant) {
        let interval = now.saturating_duration_since(self.last_served);
        self.interval_s += (interval.as_secs_f64() - self.interval_s) * SMOOTHING;
        self.last_served = now;
    }
}
