//! Whether a host may rely on its configuration after its process was paused.
//!
//! A process that was paused does not know the versions that came in force
//! meanwhile, such as one that withdraws a key. It polls peers before it relies on
//! its own version again.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use waxwingusher_core::Clock;

/// The time without a tick above which the process counts as paused. Together with
/// the time that a change takes to spread, it stays below the time within which a
/// change must be in force everywhere.
const PAUSE_LIMIT: Duration = Duration::from_secs(3);
/// The time after which a host relies on its configuration again even though too
/// few peers have answered.
const CHECK_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval between rounds of polls to peers.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Reports at any time whether the configuration may be relied on. The last check
/// of a request reads it without waiting for the distribution.
pub struct ConfigTrust {
    clock: Arc<dyn Clock>,
    state: Mutex<TrustState>,
}

#[derive(Debug, Clone, Copy)]
struct TrustState {
    ticked_at: Instant,
    ticked_wall: SystemTime,
    is_checking: bool,
}

impl ConfigTrust {
    /// The time within which a host that reaches peers has polled them.
    pub const CHECK_TIME: Duration = Duration::from_secs(1);

    /// Creates the state of a process that has just started.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let state = TrustState {
            ticked_at: clock.now(),
            ticked_wall: clock.wall(),
            is_checking: false,
        };
        Self {
            clock,
            state: Mutex::new(state),
        }
    }

    /// Reports whether the process has run without a long pause, or has polled
    /// peers since.
    #[must_use]
    pub fn is_trusted(&self) -> bool {
        let state = self.lock();
        !state.is_checking && !self.was_paused(&state)
    }

    /// Records a tick, and reports whether a pause preceded it.
    pub(super) fn tick(&self) -> bool {
        let mut state = self.lock();
        let was_paused = self.was_paused(&state);
        state.ticked_at = self.clock.now();
        state.ticked_wall = self.clock.wall();
        state.is_checking |= was_paused;
        was_paused
    }

    /// Records that the check after a pause is over.
    pub(super) fn restore(&self) {
        self.lock().is_checking = false;
    }

    /// A suspension of the machine shows on the wall clock only.
    fn was_paused(&self, state: &TrustState) -> bool {
        let monotonic = self.clock.now().saturating_duration_since(state.ticked_at);
        let wall = self.clock.wall().duration_since(state.ticked_wall);
        monotonic.max(wall.unwrap_or_default()) > PAUSE_LIMIT
    }

    fn lock(&self) -> MutexGuard<'_, TrustState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The polls to peers after a pause.
#[derive(Debug)]
pub(super) struct TrustCheck {
    /// When the pause ended.
    pub(super) since: Instant,
    polled: usize,
    next_poll_at: Instant,
}

impl TrustCheck {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            since: now,
            polled: 0,
            next_poll_at: now,
        }
    }

    /// Reports whether peers should be polled now, and schedules the next round.
    pub(super) fn is_due(&mut self, now: Instant) -> bool {
        if now < self.next_poll_at {
            return false;
        }
        self.next_poll_at = now + POLL_INTERVAL;
        true
    }

    /// Records how many peers were polled in a round.
    pub(super) fn on_polled(&mut self, peers: usize) {
        self.polled = self.polled.max(peers);
    }

    /// Reports whether half of the peers polled in a round have answered, or the
    /// check has timed out.
    pub(super) fn is_over(&self, answered: usize, now: Instant) -> bool {
        let enough = self.polled > 0 && answered * 2 >= self.polled;
        enough || now >= self.since + CHECK_TIMEOUT
    }
}
