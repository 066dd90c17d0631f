//! Exchanges updates with peers in datagrams.
//!
//! [`PeerExchange`] decides what is sent to whom; this module owns the socket.

mod exchange;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use self::exchange::{OutgoingDatagram, PeerExchange};
use crate::metrics::TrafficScope;
use crate::state::State;

/// The interval at which all changes are sent, also to remote failure domains.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// The largest message that is received.
const MAX_MESSAGE_BYTES: usize = 60_000;

/// The kinds of messages, in the order of the variants of
/// [`waxwingusher_membership::seeded::PeerMessage`].
const MESSAGE_KINDS: [&str; 14] = [
    "hello",
    "members",
    "report",
    "departed",
    "leaving",
    "profile",
    "collect",
    "batch",
    "feed",
    "configuration-request",
    "configuration",
    "rate-limits",
    "permit-request",
    "permit-reply",
];

/// Exchanges updates until the host stops.
pub(crate) async fn run(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut exchange = PeerExchange::new(state.clone());
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        send_outgoing(&state, &exchange, &socket);
        let next_timer = exchange.next_timer();
        let timer = async {
            match next_timer {
                Some(at) => tokio::time::sleep_until(at.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // An error here concerns a datagram that was sent earlier.
                if let Ok((length, from)) = received {
                    exchange.receive(&buffer[..length], from);
                }
            }
            () = state.outbox.changed.notified() => exchange.schedule(),
            () = state.outbox.permit_requested.notified() => exchange.send_permit_requests(),
            () = timer => exchange.run_timers(),
            _ = heartbeat.tick() => exchange.heartbeat(),
        }
    }
}

fn send_outgoing(state: &State, exchange: &PeerExchange, socket: &UdpSocket) {
    while let Some(datagram) = exchange.take_outgoing() {
        record_sent(state, &datagram);
        for target in &datagram.targets {
            // A datagram that the socket does not take is treated as lost; the
            // next report makes up for it.
            let _ = socket.try_send_to(&datagram.bytes, *target);
        }
    }
}

/// Counts a message by kind and by whether its targets are in this failure domain.
fn record_sent(state: &State, datagram: &OutgoingDatagram) {
    let kind = message_kind(&datagram.bytes);
    let peers = state.peers.borrow();
    let neighbours: HashSet<SocketAddr> = peers.local_peers().collect();
    for target in &datagram.targets {
        let scope = TrafficScope::from_is_local(neighbours.contains(target));
        state
            .metrics
            .record_peer_message(kind, scope, datagram.bytes.len());
    }
}

/// Returns the kind of an encoded message, which starts with the position of its variant
/// in [`waxwingusher_membership::seeded::PeerMessage`].
fn message_kind(bytes: &[u8]) -> &'static str {
    let variant = bytes.first().copied().unwrap_or(u8::MAX);
    MESSAGE_KINDS
        .get(usize::from(variant))
        .copied()
        .unwrap_or("other")
}
