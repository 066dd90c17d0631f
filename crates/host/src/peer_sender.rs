//! Sends the messages of the decision logic to other hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use waxwingusher_core::{HostId, HostList};
use waxwingusher_protocol::socket::{DropCause, PeerSocket, SendError};
use waxwingusher_protocol::{Message, Outgoing};

/// A shared handle for sending to all peers.
#[derive(Clone)]
pub(crate) struct PeerSender {
    socket: Arc<PeerSocket>,
}

impl PeerSender {
    pub(crate) fn new(socket: PeerSocket) -> Self {
        Self {
            socket: Arc::new(socket),
        }
    }

    pub(crate) fn set_hosts(&self, list: &HostList) {
        self.socket.set_hosts(list);
    }

    /// Returns the address of a host, if it is known.
    pub(crate) fn address_of(&self, host: &HostId) -> Option<SocketAddr> {
        self.socket.address_of(host)
    }

    /// Returns how many messages the cap on sent bytes has dropped.
    pub(crate) fn capped_messages(&self) -> u64 {
        self.socket.counters().dropped(DropCause::RateCap)
    }

    /// Wraps and sends all messages. Logs those that cannot be sent.
    pub(crate) fn send_all<M>(&self, outgoing: Vec<Outgoing<M>>, wrap: fn(M) -> Message) {
        for Outgoing { to, message } in outgoing {
            match self.socket.send(&to, &wrap(message)) {
                Ok(()) => {}
                Err(e @ SendError::RateCap) => {
                    log::warn!("peers: Cannot send a message to {to}: {e}.");
                }
                Err(e) => log::debug!("peers: Cannot send a message to {to}: {e}."),
            }
        }
    }
}
