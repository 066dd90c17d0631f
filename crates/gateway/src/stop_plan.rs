//! When a host that stops closes its listeners, and which requests it still serves.

use std::time::{Duration, Instant};

use waxwingusher_core::WorkWindow;

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

/// The times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// When the stop began.
    pub began_at: Instant,
    /// When the process ends, whatever is under way.
    pub exit_at: Instant,
    /// When instances and peers end their work.
    instances_end_at: Instant,
    /// In which attempts start; at its end all requests get their final answers.
    window: WorkWindow,
}

impl StopPlan {
    /// Plans a stop that begins now and must end within `grace`.
    #[must_use]
    pub fn new(now: Instant, grace: Duration) -> Self {
        let answers_due_at = now + grace.saturating_sub(ANSWER_MARGIN);
        let accept_time = grace.mul_f64(ACCEPT_SHARE).min(MAX_ACCEPT_TIME);
        Self {
            began_at: now,
            exit_at: now + grace.saturating_sub(EXIT_MARGIN),
            instances_end_at: now + grace.saturating_sub(ANSWER_MARGIN + INSTANCE_MARGIN),
            window: WorkWindow::new(
                grace,
                (now + accept_time).min(answers_due_at),
                answers_due_at,
            ),
        }
    }

    /// Returns when the host accepts no more connections.
    #[must_use]
    pub fn accept_until(&self) -> Instant {
        self.window.accept_until()
    }

    /// Returns when all requests get their final answers.
    #[must_use]
    pub fn answers_due_at(&self) -> Instant {
        self.window.ends_at()
    }

    /// Decides whether an attempt may start.
    #[must_use]
    pub fn allows_attempt(&self, now: Instant, deadline: Instant, usual_latency: Duration) -> bool {
        self.window.allows(now, deadline, Some(usual_latency))
    }

    /// Returns when an instance or a peer must end its work on a request.
    #[must_use]
    pub fn limit_attempt(&self, deadline: Instant) -> Instant {
        deadline.min(self.instances_end_at)
    }
}
