//! Requests in flight at instances.

use std::rc::Rc;

use waxwingusher_core::InstanceId;
use waxwingusher_upstreams::Observation;

use crate::state::State;

/// Counts a request as in flight at an instance until it is finished or the guard
/// is dropped with its task.
pub(crate) struct InFlightGuard {
    state: Rc<State>,
    id: InstanceId,
    is_finished: bool,
}

impl InFlightGuard {
    pub(crate) fn start(state: &Rc<State>, id: &InstanceId) -> Self {
        state.evidence.borrow_mut().record_start(state.now(), id);
        state.report_instance(id, false);
        Self {
            state: state.clone(),
            id: id.clone(),
            is_finished: false,
        }
    }

    /// Records that the request is overdue at the instance.
    pub(crate) fn report_overdue(&self) {
        let now = self.state.now();
        self.state
            .evidence
            .borrow_mut()
            .record_overdue(now, &self.id);
        self.state.report_instance(&self.id, true);
    }

    pub(crate) fn finish(mut self, observation: Observation) {
        self.end(observation);
    }

    fn end(&mut self, observation: Observation) {
        if self.is_finished {
            return;
        }
        self.is_finished = true;
        let now = self.state.now();
        self.state
            .evidence
            .borrow_mut()
            .record_end(now, &self.id, observation);
        self.state
            .report_instance(&self.id, observation == Observation::Failure);
        self.state.capacity_freed.notify_waiters();
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.end(Observation::Inconclusive);
    }
}
