//! How long the source of the feed may hold a call, and when a host calls it again after one
//! that failed.
//!
//! Every delay is jittered, so that hosts that lost the source at the same time do not
//! return to it at the same time.

use std::time::Duration;

/// The longest time for which the source holds a watch without changes. It bounds
/// how long a host without reachable peers waits on a dead connection.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(10);
/// The same for a host that reads for others, which must notice soon when its
/// connection is dead.
const READER_WATCH_WAIT: Duration = Duration::from_secs(1);
/// How long the source holds the first watch after it was lost. That watch may be
/// lost, too, so it must time out soon.
const RECOVERY_WATCH_WAIT: Duration = Duration::from_millis(500);
/// How long the source holds the call of a host that has missed changes.
pub const CATCH_UP_WAIT: Duration = Duration::from_millis(20);
/// How long an answer may take beyond the time for which the source holds the
/// watch.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The delay before the next watch, so that changes in quick succession come in
/// one answer.
pub const BATCH_DELAY: Duration = Duration::from_millis(300);
/// The first delay after the source failed; it doubles with each failure.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// The longest delay after the source refused a call; each call is charged.
const MAX_REFUSED_BACKOFF: Duration = Duration::from_millis(1_000);
/// The longest delay after the source was unreachable, which is not charged. A host
/// must learn of removals again soon after its path to the source is back.
const MAX_UNREACHABLE_BACKOFF: Duration = Duration::from_millis(350);

/// Why a call got no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The source could not be reached, or its answer was lost.
    Unreachable,
    /// The source refused to answer.
    Refused,
}

/// The calls of one host.
#[derive(Debug)]
pub struct FeedCalls {
    /// Whether the last call failed.
    is_lost: bool,
    backoff: Duration,
}

impl Default for FeedCalls {
    fn default() -> Self {
        Self {
            is_lost: false,
            backoff: INITIAL_BACKOFF,
        }
    }
}

impl FeedCalls {
    /// Reports whether the last call failed, so that the source counts as lost.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Returns how long the source should hold the next watch. The time is
    /// jittered, so that hosts that started together do not all wait on dead
    /// connections: the first one to watch again gets ahead, and the others
    /// reconnect when they see its position.
    pub fn watch_wait(&self, is_alone: bool, rng: &mut fastrand::Rng) -> Duration {
        if self.is_lost {
            return RECOVERY_WATCH_WAIT;
        }
        let longest = if is_alone {
            MAX_WATCH_WAIT
        } else {
            READER_WATCH_WAIT
        };
        longest.mul_f64(1.0 - 0.5 * rng.f64())
    }

    /// Records that the source answered, or that readers pass its changes on. Reports whether
    /// it had been lost.
    pub fn record_answer(&mut self) -> bool {
        self.backoff = INITIAL_BACKOFF;
        std::mem::take(&mut self.is_lost)
    }

    /// Records a call that failed. Returns the delay before the next one.
    pub fn record_failure(&mut self, failure: CallFailure, rng: &mut fastrand::Rng) -> Duration {
        self.is_lost = true;
        let longest = match failure {
            CallFailure::Unreachable => MAX_UNREACHABLE_BACKOFF,
            CallFailure::Refused => MAX_REFUSED_BACKOFF,
        };
        let delay = jittered(self.backoff.min(longest), rng);
        self.backoff = (self.backoff * 2).min(MAX_REFUSED_BACKOFF);
        delay
    }
}

/// Returns a delay between half and one and a half of a length.
pub fn jittered(length: Duration, rng: &mut fastrand::Rng) -> Duration {
    length.mul_f64(0.5 + rng.f64())
}
