//! Runs the periodic work of the decision logic.

use std::time::{Duration, Instant};

use waxwingusher_attempts::AttemptRegistry;
use waxwingusher_protocol::Message;

use super::membership_ticker::MembershipTicker;
use crate::state::HostState;

/// The time between two ticks of the attempt records while an attempt is open.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(10);
/// The time between two ticks of the attempt records while none is open. It is
/// longer, since a wake-up costs time even if nothing is due.
const IDLE_INTERVAL: Duration = Duration::from_millis(25);
/// The time between two ticks of the limiter. A request that needs a loan ticks
/// the limiter itself instead of waiting for this.
const LIMIT_INTERVAL: Duration = Duration::from_millis(25);
/// The time between two ticks of the upstream instances.
const HEALTH_INTERVAL: Duration = Duration::from_millis(50);
/// The time between two ticks of the quarantine.
const QUARANTINE_INTERVAL: Duration = Duration::from_millis(250);

/// Runs until the host stops.
pub(crate) fn run(state: &HostState) {
    let now = state.clock.now();
    let mut limit_timer = PeriodicTimer::new(LIMIT_INTERVAL, now);
    let mut health_timer = PeriodicTimer::new(HEALTH_INTERVAL, now);
    let mut quarantine_timer = PeriodicTimer::new(QUARANTINE_INTERVAL, now);
    let mut membership = MembershipTicker::new(now);
    while !state.stop.wait(attempt_interval(state)) {
        let now = state.clock.now();
        state.attempts.with(&state.peers, AttemptRegistry::tick);
        if limit_timer.is_due(now) {
            tick_limits(state);
        }
        if health_timer.is_due(now) {
            let messages = state.lock_upstreams().tick();
            state.peers.send_all(messages, Message::Health);
        }
        if quarantine_timer.is_due(now) {
            tick_quarantine(state);
        }
        membership.run_if_due(state, now);
    }
}

/// Schedules periodic work.
pub(super) struct PeriodicTimer {
    interval: Duration,
    next_at: Instant,
}

impl PeriodicTimer {
    pub(super) fn new(interval: Duration, now: Instant) -> Self {
        Self {
            interval,
            next_at: now,
        }
    }

    /// Reports whether the work is due, and if so schedules its next run.
    pub(super) fn is_due(&mut self, now: Instant) -> bool {
        if now < self.next_at {
            return false;
        }
        self.next_at = now + self.interval;
        true
    }
}

fn attempt_interval(state: &HostState) -> Duration {
    let is_open = state.attempts.lock().registry.next_tick().is_some();
    if is_open {
        ATTEMPT_INTERVAL
    } else {
        IDLE_INTERVAL
    }
}

fn tick_limits(state: &HostState) {
    let loans = state.limits.lock().tick();
    state.limits.notify();
    state.peers.send_all(loans, Message::Loan);
}

fn tick_quarantine(state: &HostState) {
    let mut quarantine = state.quarantine.lock();
    let notices = quarantine.tick();
    let crashed = quarantine.take_attributed_crashes();
    drop(quarantine);
    state.peers.send_all(notices, Message::Attempt);
    for instance in crashed {
        log::info!(
            "quarantine: The crash of instance {instance} is attributed to a quarantined request."
        );
    }
}
