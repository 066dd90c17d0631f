//! What may still begin while the edge drains, and until when it is answered;
//! decisions without sockets or a clock.

use std::time::{Duration, Instant};

use super::EdgeSettings;

/// How long before the end work is ended, so that its callers get an answer.
const MAX_LAST_ANSWERS_TIME: Duration = Duration::from_millis(300);
/// Less than this part of the drain is too little for work that may not end in it.
const MIN_PART_LEFT: u32 = 3;
/// Work is likely to end within this many times its usual duration.
const LIKELY_DURATIONS: u32 = 3;

/// The times of one graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainPlan {
    duration: Duration,
    last_answers_at: Instant,
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
            duration,
            last_answers_at: ends_at - last_answers_time,
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
        if deadline <= self.last_answers_at {
            return true;
        }
        let left = self.last_answers_at.saturating_duration_since(now);
        let is_likely_to_end = usual_duration
            .is_some_and(|usual_duration| left >= usual_duration.saturating_mul(LIKELY_DURATIONS));
        left >= self.duration / MIN_PART_LEFT && is_likely_to_end
    }

    /// Returns when work that has not ended is cancelled and answered by those
    /// who know whether it may have run.
    #[must_use]
    pub fn last_answers_at(&self) -> Instant {
        self.last_answers_at
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
