//! Drives the periodic work of the decision logic.

use std::time::Duration;

use waxwingusher_protocol::Message;

use crate::state::HostState;

/// The time between two ticks.
const TICK: Duration = Duration::from_millis(10);

/// Runs until the host stops.
pub(crate) fn run(state: &HostState) {
    while !state.stop.wait(TICK) {
        tick(state);
    }
}

fn tick(state: &HostState) {
    let loans = state.limits.lock().tick();
    state.limits.notify();
    state.peers.send_all(loans, Message::Loan);
    let peers = &state.peers;
    state
        .attempts
        .with(peers, waxwingusher_attempts::AttemptRegistry::tick);
    let health = state.lock_upstreams().tick();
    state.peers.send_all(health, Message::Health);
}
