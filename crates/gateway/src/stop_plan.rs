//! When a host that stops closes its listeners, and which requests it still serves.

use std::time::{Duration, Instant};

/// The share of the grace during which connections are still accepted.
const ACCEPT_SHARE: f64 = 0.5;
/// The longest time during which connections are still accepted. A balancer that checks
/// readiness once a second and needs two failed checks sends none later.
const MAX_ACCEPT_TIME: Duration = Duration::from_secs(3);
/// The end of the grace that is reserved for writing the last answers.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);
/// The end of the grace that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// How much earlier than the last answers instances end their work, so that their own
/// answers arrive.
const INSTANCE_MARGIN: Duration = Duration::from_millis(100);
/// The share of the grace that must be left for an attempt that may outlast the grace.
const MIN_TIME_LEFT_SHARE: f64 = 1.0 / 3.0;
/// How many times the usual latency must be left for an attempt that may outlast the grace.
const LATENCY_FACTOR: u32 = 3;

/// The times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// When the stop began.
    pub began_at: Instant,
    /// When the host accepts no more connections.
    pub accept_until: Instant,
    /// When all requests get their final answers.
    pub answers_due_at: Instant,
    /// When the process ends, whatever is under way.
    pub exit_at: Instant,
    /// When instances and peers end their work.
    instances_end_at: Instant,
    /// The time left at which no more attempts start that may outlast the grace.
    min_time_left: Duration,
}

impl StopPlan {
    /// Plans a stop that begins now and must end within `grace`.
    #[must_use]
    pub fn new(now: Instant, grace: Duration) -> Self {
        let answers_due_at = now + grace.saturating_sub(ANSWER_MARGIN);
        let accept_time = grace.mul_f64(ACCEPT_SHARE).min(MAX_ACCEPT_TIME);
        Self {
            began_at: now,
            accept_until: (now + accept_time).min(answers_due_at),
            answers_due_at,
            exit_at: now + grace.saturating_sub(EXIT_MARGIN),
            instances_end_at: now + grace.saturating_sub(ANSWER_MARGIN + INSTANCE_MARGIN),
            min_time_left: grace.mul_f64(MIN_TIME_LEFT_SHARE),
        }
    }

    /// Decides whether an attempt may start. One that ends before the last answers are due may;
    /// one with a later deadline only if it is likely to end before.
    #[must_use]
    pub fn allows_attempt(&self, now: Instant, deadline: Instant, usual_latency: Duration) -> bool {
        if deadline <= self.answers_due_at {
            return true;
        }
        let time_left = self.answers_due_at.saturating_duration_since(now);
        time_left >= self.min_time_left.max(usual_latency * LATENCY_FACTOR)
    }

    /// Returns when an instance or a peer must end its work on a request.
    #[must_use]
    pub fn limit_attempt(&self, deadline: Instant) -> Instant {
        deadline.min(self.instances_end_at)
    }
}
