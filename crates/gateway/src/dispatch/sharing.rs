//! The room and the order of requests while the deployment asks for shares.

use std::time::{Duration, Instant};

use waxwingusher_attempts::RetryWorth;
use waxwingusher_core::WorkspaceName;
use waxwingusher_limits::{WaitEstimate, WaitTerms};
use waxwingusher_upstreams::{HostView, RequestKind, RoomLimit, ScarcityChange, ScarcityLevel};

use super::{Dispatch, MAX_QUEUE_WAIT_SHARE, OVER_SHARE};
use crate::answer::Answer;
use crate::journal::Event;
use crate::queue_ticket::QueueTicket;
use crate::units::{millis, to_hundredths};

/// The probability that an instance that is not chosen yet serves a request: a quarter
/// of the instances fail at any time.
const UNKNOWN_SUCCESS_CHANCE: f64 = 0.75;

impl Dispatch<'_> {
    fn kind(&self) -> RequestKind {
        RequestKind {
            priority: self.priority,
            usual_time: self.request.expected_latency,
            latency_target: self.route.latency_target,
        }
    }

    /// Records that the request uses its service.
    pub(super) fn record_demand(&self) {
        if !self.state.shares_scarce_capacity {
            return;
        }
        let mut scarcity = self.state.scarcity.borrow_mut();
        scarcity.record_request(self.state.now(), &self.request.service, self.kind());
    }

    fn retry_worth(&self, success_chance: f64) -> RetryWorth {
        let now = self.state.now();
        let full_value_until = self.dispatched_at + self.route.latency_target;
        RetryWorth {
            priority: self.priority,
            time_left: full_value_until.saturating_duration_since(now),
            usual_time: self.request.expected_latency,
            success_chance,
        }
    }

    /// Reports whether the retry budget would allow a retry now.
    pub(super) fn may_retry(&self) -> bool {
        let now = self.state.now();
        let known_hosts = self.state.peers.borrow().known_hosts();
        let service = &self.request.service;
        let mut budget = self.state.retry_budget.borrow_mut();
        if !self.state.shares_scarce_capacity {
            return budget.allows(now, service, known_hosts);
        }
        let worth = self.retry_worth(UNKNOWN_SUCCESS_CHANCE);
        let decision = budget.decide_by_worth(now, service, known_hosts, worth);
        decision.is_granted
    }

    /// Spends a retry if the budget allows it and the retry is worth enough.
    pub(super) fn spend_retry_by_worth(&self, success_chance: f64) -> bool {
        let known_hosts = self.state.peers.borrow().known_hosts();
        let service = &self.request.service;
        let worth = self.retry_worth(success_chance);
        let mut budget = self.state.retry_budget.borrow_mut();
        let decision = budget.spend_by_worth(self.state.now(), service, known_hosts, worth);
        // While little is spent, worths are not compared.
        if decision.is_granted && decision.least_worth <= 0.0 {
            return true;
        }
        let outcome = match (decision.is_granted, decision.worth >= decision.least_worth) {
            (true, _) => "retry-granted",
            (false, false) => "retry-worth-less",
            (false, true) => "retry-budget-spent",
        };
        let metrics = &self.state.metrics;
        metrics.record_load_decision(service.as_str(), outcome);
        self.state.journal.write(&Event::Retry {
            request: &self.request.request_id,
            service: service.as_str(),
            outcome,
            priority: self.priority,
            time_left_ms: millis(worth.time_left),
            success_chance: to_hundredths(success_chance),
            worth: to_hundredths(decision.worth),
            least_worth: to_hundredths(decision.least_worth),
            spent_part: to_hundredths(decision.spent_part),
            known_hosts,
        });
        decision.is_granted
    }

    /// Counts the request towards its workspace's use of the service, and decides whether
    /// it is above the workspace's share, if the service is short of capacity.
    pub(crate) fn apply_share(&mut self, workspace: &WorkspaceName) {
        if !self.state.shares_scarce_capacity {
            return;
        }
        let now = self.state.now();
        let service = &self.request.service;
        let mut shares = self.state.fair_shares.borrow_mut();
        shares.record_request(now, workspace, service, self.request.expected_latency);
        let scarcity = self.state.scarcity.borrow();
        let Some((inputs, measured_age)) = scarcity.inputs(now, service) else {
            return;
        };
        if scarcity.level(service) < ScarcityLevel::Short {
            return;
        }
        let capacity_slots = f64::from(inputs.load.slots);
        let reachable_share = self.state.fleet_view().reachable_share();
        let decision = shares.classify(now, workspace, service, capacity_slots, reachable_share);
        self.is_over_share = decision.is_over_share;
        if !decision.is_over_share {
            return;
        }
        let metrics = &self.state.metrics;
        metrics.record_load_decision(service.as_str(), OVER_SHARE);
        self.state.journal.write(&Event::OverShare {
            request: &self.request.request_id,
            service: service.as_str(),
            workspace: workspace.as_str(),
            used_slots: to_hundredths(decision.used_slots),
            share_slots: to_hundredths(decision.share_slots),
            share_age_ms: millis(decision.age),
            capacity_slots: inputs.load.slots,
            measured_age_ms: millis(measured_age),
            reachable_share: to_hundredths(reachable_share),
        });
    }

    /// Records whether the request was served within its latency target.
    pub(super) fn record_final_answer(&self, answer: &Answer) {
        // The excess of one workspace does not show how a kind is served.
        if !self.state.shares_scarce_capacity || self.is_over_share {
            return;
        }
        let took = self
            .state
            .now()
            .saturating_duration_since(self.dispatched_at);
        let is_refused = answer.status == http::StatusCode::SERVICE_UNAVAILABLE;
        let is_in_time = !is_refused && took <= self.route.latency_target;
        let mut scarcity = self.state.scarcity.borrow_mut();
        scarcity.record_outcome(&self.request.service, self.priority, is_in_time);
    }

    /// Records that an instance did not run the request because it was full.
    pub(super) fn record_rejection(&self) {
        if !self.state.shares_scarce_capacity {
            return;
        }
        let mut scarcity = self.state.scarcity.borrow_mut();
        scarcity.record_rejection(self.state.now(), &self.request.service);
    }

    /// Lets the request queue at this host, and returns until when it may wait.
    pub(super) fn enqueue(&self) -> (QueueTicket, Instant) {
        let now = self.state.now();
        let service = &self.request.service;
        if !self.state.shares_scarce_capacity {
            let max_wait = self.route.latency_target.mul_f64(MAX_QUEUE_WAIT_SHARE);
            let ticket = QueueTicket::enqueue(self.state, service, now, self.priority);
            return (ticket, now + max_wait);
        }
        let kind = self.kind();
        let terms = WaitTerms {
            start_by: self.dispatched_at + kind.spare_time(),
            priority: self.priority,
            is_over_share: self.is_over_share,
        };
        let ticket = QueueTicket::enqueue_by_terms(self.state, service, terms);
        // A request that starts later gets no answer before its deadline.
        let last_start = self.deadline.checked_sub(kind.usual_time).unwrap_or(now);
        let wait_until = (self.dispatched_at + kind.max_wait()).min(last_start);
        (ticket, wait_until)
    }

    /// Records that the request leaves the queue for an instance.
    pub(super) fn record_served(&self, ticket: &QueueTicket) {
        ticket.record_served();
        if self.state.shares_scarce_capacity {
            // An excess request takes room that is not its kind's.
            if self.is_over_share {
                return;
            }
            let mut scarcity = self.state.scarcity.borrow_mut();
            scarcity.record_served(&self.request.service, self.priority);
        }
    }

    /// Reports whether the request will probably get no slot in time, and if so, keeps
    /// when its caller should return.
    pub(super) fn waits_in_vain(&self, ticket: &QueueTicket, wait_left: Duration) -> bool {
        if !self.state.shares_scarce_capacity {
            return wait_left.is_zero() || ticket.is_likely_to_time_out(wait_left);
        }
        let estimate = ticket.estimate();
        if !wait_left.is_zero() && estimate.is_served_within(wait_left) {
            return false;
        }
        let retry_after = estimate.retry_after(self.kind().max_wait());
        self.busy_retry_after.set(Some(retry_after));
        self.log_queue_refusal(&estimate, retry_after);
        true
    }

    /// Measures the load of the service, if the last measurement is old.
    pub(super) fn update_scarcity(&self) {
        if !self.state.shares_scarce_capacity {
            return;
        }
        let service = &self.request.service;
        let reachable_share = self.state.fleet_view().reachable_share();
        let mut scarcity = self.state.scarcity.borrow_mut();
        let most_urgent = scarcity.most_urgent(service);
        let waiting = self.state.wait_queue.borrow().waiting(service, most_urgent);
        // The request that is being placed does not wait for others.
        let is_counted = self.priority <= most_urgent;
        let view = HostView {
            waiting: waiting.saturating_sub(usize::from(is_counted)),
            reachable_share,
        };
        let roster = self.state.roster.borrow();
        let evidence = self.state.evidence.borrow();
        let change = scarcity.update(self.state.now(), service, &roster, &evidence, view);
        if let Some(change) = change {
            self.log_scarcity(&change);
        }
    }

    /// Returns the room at each instance that the request may use, if the deployment
    /// asks for shares.
    pub(super) fn room(&self) -> Option<RoomLimit> {
        if !self.state.shares_scarce_capacity {
            return None;
        }
        let scarcity = self.state.scarcity.borrow();
        let room = scarcity.room(&self.request.service, self.kind());
        Some(if self.is_over_share {
            room.for_excess()
        } else {
            room
        })
    }

    fn log_scarcity(&self, change: &ScarcityChange) {
        let inputs = &change.inputs;
        let service = self.request.service.as_str();
        self.state.metrics.record_scarcity(service, change.level);
        self.state.journal.write(&Event::Scarcity {
            service,
            former: change.former.as_str(),
            level: change.level.as_str(),
            least_priority: change.least_priority,
            instances: inputs.load.instances,
            slots: inputs.load.slots,
            in_flight: inputs.load.in_flight,
            occupancy: to_hundredths(inputs.occupancy),
            load_age_ms: inputs.load.age.map(millis),
            waiting: inputs.waiting,
            rejections: inputs.rejections,
            rejection_age_ms: inputs.rejection_age.map(millis),
            reachable_share: to_hundredths(inputs.reachable_share),
            misses: to_hundredths(inputs.misses),
        });
    }

    fn log_queue_refusal(&self, estimate: &WaitEstimate, retry_after: Duration) {
        let now = self.state.now();
        let service = &self.request.service;
        let scarcity = self.state.scarcity.borrow();
        let inputs = scarcity.inputs(now, service);
        self.state
            .metrics
            .record_load_decision(service.as_str(), "queue-refused");
        self.state.journal.write(&Event::QueueRefusal {
            request: &self.request.request_id,
            service: service.as_str(),
            level: scarcity.level(service).as_str(),
            priority: self.priority,
            occupancy: inputs.map(|(inputs, _)| to_hundredths(inputs.occupancy)),
            measured_age_ms: inputs.map(|(_, age)| millis(age)),
            waited_ms: millis(now.saturating_duration_since(self.dispatched_at)),
            ahead: estimate.ahead,
            served_per_s: to_hundredths(estimate.served_per_s),
            window_ms: millis(estimate.window),
            retry_after_ms: millis(retry_after),
        });
    }
}
