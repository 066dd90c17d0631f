//! Dispatches the messages of peers to the logic that handles them.

use std::sync::mpsc::Receiver;

use waxwingusher_protocol::attempt::AttemptMessage;
use waxwingusher_protocol::{Envelope, Message};

use crate::state::HostState;

/// Runs until the socket is closed.
pub(crate) fn run(state: &HostState, envelopes: &Receiver<Envelope>) {
    for envelope in envelopes {
        handle(state, envelope);
    }
}

fn handle(state: &HostState, envelope: Envelope) {
    let Envelope {
        from,
        incarnation,
        message,
    } = envelope;
    match message {
        Message::Loan(loan) => {
            let replies = state.limits.lock().on_message(&from, incarnation, loan);
            state.limits.notify();
            state.peers.send_all(replies, Message::Loan);
        }
        Message::Attempt(AttemptMessage::Quarantine(message)) => {
            let replies = state.quarantine.lock().on_message(message);
            state.peers.send_all(replies, Message::Attempt);
        }
        Message::Attempt(attempt) => {
            state.attempts.with(&state.peers, |registry| {
                registry.on_message(&from, incarnation, attempt)
            });
        }
        Message::Health(health) => {
            let replies = state
                .lock_upstreams()
                .on_message(&from, incarnation, &health);
            state.peers.send_all(replies, Message::Health);
        }
        Message::Gossip(gossip) => {
            let replies = state
                .lock_liveness()
                .on_message(&from, incarnation, &gossip);
            state.peers.send_all(replies, Message::Gossip);
        }
        Message::Config(config) => {
            state
                .config
                .with(state, |agent| agent.on_message(&from, incarnation, &config));
        }
    }
}
