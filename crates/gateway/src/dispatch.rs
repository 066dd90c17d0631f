//! Sends one request to instances until there is a final answer.

use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use waxwingusher_config::routing::Route;
use waxwingusher_core::InstanceId;
use waxwingusher_upstreams::{Placement, PlacementError, PlacementRequest, place};

use crate::answer::Answer;
use crate::attempt::{Loss, NotRun, Sent, TryEnd, try_instance};
use crate::state::{State, Waiting};
use crate::upstream::InstanceAnswer;

/// The part of the latency target that a request may wait for room at an
/// instance; one that waits longer would be late, so it is refused.
const MAX_WAIT_SHARE: f64 = 0.5;
/// How often a waiting request looks at what peers have told.
const WAIT_STEP: Duration = Duration::from_millis(25);
/// When a caller should come back after all instances were busy.
const BUSY_RETRY: Duration = Duration::from_millis(150);
/// Instances that are tried without a connection before the request is refused;
/// together they take about a second.
const MAX_UNREACHABLE: usize = 8;
/// The weight of the newest time in a route's usual time.
const USUAL_TIME_WEIGHT: f64 = 0.1;

/// Sends a request to instances until there is a final answer.
pub(crate) struct Dispatch<'a> {
    state: &'a Rc<State>,
    route: &'a Route,
    sent: Rc<Sent>,
    deadline: Instant,
    priority: u32,
    tried: Vec<InstanceId>,
    /// Tries for which a connection was opened or is being opened.
    sends: u32,
    /// Tries that have not ended.
    under_way: u32,
    /// Whether a try has ended that may have run the request.
    has_run: bool,
    last_failure: Option<InstanceAnswer>,
}

impl<'a> Dispatch<'a> {
    /// Prepares to send a request of a route until `deadline`.
    pub(crate) fn new(
        state: &'a Rc<State>,
        route: &'a Route,
        sent: Sent,
        deadline: Instant,
        priority: u32,
    ) -> Self {
        Self {
            state,
            route,
            sent: Rc::new(sent),
            deadline,
            priority,
            tried: Vec::new(),
            sends: 0,
            under_way: 0,
            has_run: false,
            last_failure: None,
        }
    }

    /// Returns how many instances were tried.
    pub(crate) fn tries(&self) -> usize {
        self.tried.len()
    }

    /// Sends the request until there is a final answer or its time is over.
    pub(crate) async fn run(&mut self) -> Answer {
        let over = tokio::time::Instant::from_std(self.deadline);
        let answer = tokio::time::timeout_at(over, self.try_instances()).await;
        answer.unwrap_or_else(|_| self.out_of_time())
    }

    async fn try_instances(&mut self) -> Answer {
        let mut unreachable = 0;
        loop {
            let placement = match self.find_instance().await {
                Ok(placement) => placement,
                Err(error) => return self.end(error.into()),
            };
            if self.sends > 0 && !self.may_repeat() {
                return self.end(Cause::NoBudget);
            }
            let started = self.state.now();
            match self.send(placement).await {
                TryEnd::Answered(answer) => {
                    self.note_time(started);
                    return self.answered(answer);
                }
                TryEnd::Failed(answer) => self.last_failure = Some(answer),
                TryEnd::Lost(loss) if !self.sent.is_idempotent => return self.end(loss.into()),
                TryEnd::Lost(_) => {}
                TryEnd::NotRun(cause) => unreachable += usize::from(cause == NotRun::Unreachable),
            }
            let is_over = self.may_have_run() && !self.sent.is_idempotent;
            if is_over || !self.has_attempts() || unreachable >= MAX_UNREACHABLE {
                return self.end(Cause::NoAttempts);
            }
        }
    }

    /// Reports whether an instance may have run the request, or may yet run it.
    fn may_have_run(&self) -> bool {
        self.has_run || self.under_way > 0
    }

    fn has_attempts(&self) -> bool {
        self.sends < self.route.max_attempts
    }

    /// Returns how many more instances may get the request, as far as its route
    /// and the budget for repeats allow.
    fn tries_left(&self) -> u32 {
        let left = self.route.max_attempts.saturating_sub(self.sends);
        let known_hosts = self.state.peers.borrow().known_hosts();
        let mut budget = self.state.budget.borrow_mut();
        let may_repeat = budget.allows(self.state.now(), &self.sent.service, known_hosts);
        if may_repeat { left } else { left.min(1) }
    }

    /// Sends the request to an instance. A request that may be repeated and
    /// takes suspiciously long goes to a second instance beside the first.
    async fn send(&mut self, placement: Placement) -> TryEnd {
        let mut first = self.attempt(placement);
        if !self.sent.is_idempotent || !self.has_attempts() {
            return self.finish(first.await);
        }
        let overdue = self.sent.overdue_after();
        if let Ok(end) = tokio::time::timeout(overdue, &mut first).await {
            return self.finish(end);
        }
        let Some(second) = self.place().ok().filter(|_| self.may_repeat()) else {
            return self.finish(first.await);
        };
        let mut second = self.attempt(second);
        let (end, mut other) = tokio::select! {
            end = &mut first => (end, second),
            end = &mut second => (end, first),
        };
        match self.finish(end) {
            TryEnd::Answered(answer) => return TryEnd::Answered(answer),
            TryEnd::Failed(answer) => self.last_failure = Some(answer),
            TryEnd::NotRun(_) | TryEnd::Lost(_) => {}
        }
        let end = (&mut other).await;
        self.finish(end)
    }

    /// Starts a try; it runs while the returned future is polled.
    fn attempt(&mut self, placement: Placement) -> Pin<Box<dyn Future<Output = TryEnd>>> {
        self.tried.push(placement.instance.entry.id.clone());
        self.sends += 1;
        self.under_way += 1;
        let number = self.tried.len();
        let time_left = self.deadline.saturating_duration_since(self.state.now());
        let (state, sent) = (self.state.clone(), self.sent.clone());
        Box::pin(async move { try_instance(&state, &sent, &placement, number, time_left).await })
    }

    /// Records how a try ended. One without a connection counts as none.
    fn finish(&mut self, end: TryEnd) -> TryEnd {
        self.under_way -= 1;
        let TryEnd::NotRun(cause) = end else {
            self.has_run = true;
            return end;
        };
        if cause == NotRun::Unreachable {
            self.sends -= 1;
            if self.sends > 0 {
                let mut budget = self.state.budget.borrow_mut();
                budget.refund(self.state.now(), &self.sent.service);
            }
        }
        end
    }

    /// Finds an instance, and waits a while if all are busy and there is a
    /// prospect of room.
    async fn find_instance(&self) -> Result<Placement, PlacementError> {
        let arrived_at = self.state.now();
        let max_wait = self.route.latency_target.mul_f64(MAX_WAIT_SHARE);
        let give_up_at = arrived_at + max_wait;
        let service = &self.sent.service;
        let waiting = Waiting::join(self.state, service, arrived_at, self.priority);
        loop {
            let freed = self.state.room_freed.notified();
            if waiting.is_first() {
                match self.place() {
                    Err(PlacementError::AllBusy) => {}
                    Ok(placement) => {
                        waiting.note_served();
                        return Ok(placement);
                    }
                    Err(error) => return Err(error),
                }
            }
            let patience = give_up_at.saturating_duration_since(self.state.now());
            if patience.is_zero() || waiting.is_hopeless(patience) {
                return Err(PlacementError::AllBusy);
            }
            // Time-out and wake-up alike lead to another look.
            let _ = tokio::time::timeout(WAIT_STEP, freed).await;
        }
    }

    fn place(&self) -> Result<Placement, PlacementError> {
        let request = PlacementRequest {
            service: &self.sent.service,
            is_idempotent: self.sent.is_idempotent,
            attempts_left: self.tries_left(),
            attempted: &self.tried,
            failure_domain: &self.state.failure_domain,
            priority: self.priority,
            usual_time: self.sent.usual_time,
            latency_target: self.route.latency_target,
        };
        let roster = self.state.roster.borrow();
        let evidence = self.state.evidence.borrow();
        let mut rng = self.state.rng.borrow_mut();
        place(self.state.now(), &roster, &evidence, &request, &mut rng)
    }

    fn may_repeat(&self) -> bool {
        let known_hosts = self.state.peers.borrow().known_hosts();
        let mut budget = self.state.budget.borrow_mut();
        budget.spend(self.state.now(), &self.sent.service, known_hosts)
    }

    fn note_time(&self, started: Instant) {
        let took = self.state.now().saturating_duration_since(started);
        let mut usual_times = self.state.usual_times.borrow_mut();
        let usual = usual_times
            .entry(self.route.name.clone())
            .or_insert(self.sent.usual_time);
        *usual = usual.mul_f64(1.0 - USUAL_TIME_WEIGHT) + took.mul_f64(USUAL_TIME_WEIGHT);
    }

    fn answered(&self, answer: InstanceAnswer) -> Answer {
        // These statuses promise that a request has not run; this one has.
        let is_promise = matches!(answer.status.as_u16(), 408 | 421 | 429 | 503);
        if is_promise && !self.sent.is_idempotent {
            return Answer::own(StatusCode::BAD_GATEWAY, "upstream-status");
        }
        Answer::relay(answer, "answered")
    }

    /// Returns the final answer of a request that is not tried any more.
    fn end(&mut self, cause: Cause) -> Answer {
        if let Some(answer) = self.last_failure.take() {
            if answer.status != StatusCode::SERVICE_UNAVAILABLE {
                return Answer::relay(answer, "upstream-failed");
            }
            return Answer::own(StatusCode::BAD_GATEWAY, "upstream-failed");
        }
        if self.may_have_run() {
            return Answer::own(StatusCode::BAD_GATEWAY, cause.outcome());
        }
        let jitter = 0.5 + self.state.rng.borrow_mut().f64();
        let retry_after = BUSY_RETRY.mul_f64(jitter);
        Answer::refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            cause.outcome(),
            retry_after,
        )
    }

    fn out_of_time(&mut self) -> Answer {
        if self.may_have_run() {
            return Answer::own(StatusCode::GATEWAY_TIMEOUT, "timeout");
        }
        self.end(Cause::NoTime)
    }
}

/// Why a request is not tried any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    NoInstance,
    AllBusy,
    NoBudget,
    NoAttempts,
    NoTime,
    Lost(Loss),
}

impl Cause {
    fn outcome(self) -> &'static str {
        match self {
            Self::NoInstance => "no-instance",
            Self::AllBusy => "all-busy",
            Self::NoBudget => "retry-budget",
            Self::NoAttempts => "attempts-used",
            Self::NoTime => "no-time",
            Self::Lost(Loss::Broken) => "upstream-broken",
            Self::Lost(Loss::Partial) => "upstream-partial",
            Self::Lost(Loss::Crossed) => "upstream-crossed",
            Self::Lost(Loss::Foreign) => "upstream-foreign",
        }
    }
}

impl From<PlacementError> for Cause {
    fn from(error: PlacementError) -> Self {
        match error {
            PlacementError::NoInstance => Self::NoInstance,
            PlacementError::AllBusy => Self::AllBusy,
        }
    }
}

impl From<Loss> for Cause {
    fn from(loss: Loss) -> Self {
        Self::Lost(loss)
    }
}
