//! Exchanges updates with peers in datagrams.
//!
//! [`PeerExchange`] decides what is sent to whom; this module owns the socket.

mod exchange;

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
    let peers = state.peers.borrow();
    let targets = datagram.targets.len();
    let local = datagram.targets.iter();
    let local = local.filter(|target| peers.is_local_peer(**target)).count();
    for (scope, count) in [
        (TrafficScope::Local, local),
        (TrafficScope::Remote, targets - local),
    ] {
        if count > 0 {
            let bytes = datagram.bytes.len() * count;
            let metrics = &state.metrics;
            metrics.record_peer_messages(datagram.kind, scope, count, bytes);
        }
    }
}
