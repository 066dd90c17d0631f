//! What may still begin while the edge drains, and until when it is answered;
//! decisions without sockets or a clock.

use std::time::{Duration, Instant};

use waxwingusher_core::WorkWindow;

use super::EdgeSettings;

/// How long before the end work is ended, so that its callers get an answer.
const MAX_LAST_ANSWERS_TIME: Duration = Duration::from_millis(300);

/// The times of one graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainPlan {
    window: WorkWindow,
    edge_answers_at: Instant,
    ends_at: Instant,
}

impl DrainPlan {
    /// Plans a drain that begins now.
    #[must_use]
    pub fn new(now: Instant, settings: &EdgeSettings) -> Self {
        let duration = settings.drain_notice + settings.drain_timeout;
        let ends_at = now + duration;
        let last_answers_time = MAX_LAST_ANSWERS_TIME.min(duration / 4);
        Self {
            window: WorkWindow::new(
                duration,
                now + settings.drain_notice,
                ends_at - last_answers_time,
            ),
            edge_answers_at: ends_at - last_answers_time / 3,
            ends_at,
        }
    }

    /// Reports whether work may begin: it must be over before the last answers
    /// are due, or be likely to end by then.
    #[must_use]
    pub fn may_start(
        &self,
        now: Instant,
        deadline: Instant,
        usual_duration: Option<Duration>,
    ) -> bool {
        self.window.allows(now, deadline, usual_duration)
    }

    /// Returns when work that has not ended is cancelled and answered by those
    /// who know whether it may have run.
    #[must_use]
    pub fn last_answers_at(&self) -> Instant {
        self.window.ends_at()
    }

    /// Returns when the edge itself answers what no worker has answered.
    pub(super) fn edge_answers_at(&self) -> Instant {
        self.edge_answers_at
    }

    /// Returns when all connections are closed.
    pub(super) fn ends_at(&self) -> Instant {
        self.ends_at
    }
}
