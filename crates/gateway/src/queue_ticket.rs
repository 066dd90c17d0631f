//! Requests that wait for capacity at an instance.

use std::rc::Rc;
use std::time::{Duration, Instant};

use waxwingusher_core::ServiceName;
use waxwingusher_limits::{QueuePosition, WaitEstimate, WaitTerms};

use crate::state::State;

/// A request's place in the queue for capacity. It is left on drop, also when the
/// task that waits is cancelled.
pub(crate) struct QueueTicket {
    state: Rc<State>,
    service: ServiceName,
    position: QueuePosition,
}

impl QueueTicket {
    pub(crate) fn enqueue(
        state: &Rc<State>,
        service: &ServiceName,
        queued_at: Instant,
        priority: u32,
    ) -> Self {
        let position = state
            .wait_queue
            .borrow_mut()
            .enqueue(service, queued_at, priority);
        Self::new(state, service, position)
    }

    /// Adds a request that is ranked by the latest useful time of its start.
    pub(crate) fn enqueue_by_terms(
        state: &Rc<State>,
        service: &ServiceName,
        terms: WaitTerms,
    ) -> Self {
        let position = state
            .wait_queue
            .borrow_mut()
            .enqueue_by_terms(service, terms);
        Self::new(state, service, position)
    }

    fn new(state: &Rc<State>, service: &ServiceName, position: QueuePosition) -> Self {
        Self {
            state: state.clone(),
            service: service.clone(),
            position,
        }
    }

    pub(crate) fn is_first(&self) -> bool {
        self.state
            .wait_queue
            .borrow()
            .is_first(&self.service, self.position)
    }

    /// Records that the request got capacity.
    pub(crate) fn record_served(&self) {
        let now = self.state.now();
        let mut wait_queue = self.state.wait_queue.borrow_mut();
        wait_queue.record_served(now, &self.service, self.position);
    }

    /// Estimates how long the request waits.
    pub(crate) fn estimate(&self) -> WaitEstimate {
        let now = self.state.now();
        let mut wait_queue = self.state.wait_queue.borrow_mut();
        wait_queue.estimate(now, &self.service, self.position)
    }

    /// Returns whether the request will probably get no capacity within
    /// `wait_left`.
    pub(crate) fn is_likely_to_time_out(&self, wait_left: Duration) -> bool {
        let now = self.state.now();
        let mut wait_queue = self.state.wait_queue.borrow_mut();
        wait_queue.is_likely_to_time_out(now, &self.service, self.position, wait_left)
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        self.state
            .wait_queue
            .borrow_mut()
            .remove(&self.service, self.position);
        // The next request in the queue may find capacity, too.
        self.state.capacity_freed.notify_waiters();
    }
}
