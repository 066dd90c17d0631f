//! The codec of datagrams.
//!
//! A datagram is a version byte, a truncated HMAC-SHA-256 and a postcard body:
//!
//! ```text
//! version 1 byte | tag 16 bytes | from | incarnation | sequence (V2) | message
//! ```
//!
//! The tag covers the version byte, the receiver's name, which is not sent, and
//! the body. Another host therefore rejects a datagram that was not made for it.

mod decoder;
mod encoder;
mod layout;
mod replay;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use waxwingusher_core::HostId;

pub use decoder::{DecodeError, Decoder};
pub use encoder::{EncodeError, Encoder};
pub use layout::Layout;
pub use replay::{Freshness, ReplayWindow};

use crate::message::{Envelope, Message};
use crate::secret::{FleetSecret, TAG_BYTES};

/// The largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The length of the headers of IPv4 and UDP, in bytes.
pub const UDP_OVERHEAD_BYTES: usize = 28;

const VERSION_BYTES: usize = 1;
const HEADER_BYTES: usize = VERSION_BYTES + TAG_BYTES;
const TAG_CONTEXT: &[u8] = b"waxwingusher datagram";
const MAX_PEERS: usize = 4_096;
const TYPICAL_SEQUENCE_BYTES: usize = 2;

/// Returns the bytes of a datagram on the wire, including the headers of IPv4
/// and UDP.
#[must_use]
pub fn wire_len_bytes(from: &HostId, incarnation: u64, message: &Message) -> usize {
    let envelope = Envelope {
        from: from.clone(),
        incarnation,
        message: message.clone(),
    };
    let body = postcard::experimental::serialized_size(&envelope).unwrap_or(MAX_DATAGRAM_BYTES);
    UDP_OVERHEAD_BYTES + HEADER_BYTES + TYPICAL_SEQUENCE_BYTES + body
}

/// Creates the encoder and the decoder of one host.
#[must_use]
pub fn pair(self_id: &HostId, incarnation: u64, secret: &FleetSecret) -> (Encoder, Decoder) {
    pair_with_newest(self_id, incarnation, secret, Layout::NEWEST)
}

/// Creates the codec of a release whose newest layout is `newest`.
#[must_use]
pub fn pair_with_newest(
    self_id: &HostId,
    incarnation: u64,
    secret: &FleetSecret,
    newest: Layout,
) -> (Encoder, Decoder) {
    let layouts = PeerLayouts::default();
    let encoder = Encoder::new(self_id, incarnation, secret, newest, layouts.clone());
    let decoder = Decoder::new(self_id, secret, newest, layouts);
    (encoder, decoder)
}

/// The newest layout that each peer understands, as far as known.
#[derive(Debug, Clone, Default)]
struct PeerLayouts {
    by_host: Arc<Mutex<HashMap<HostId, Layout>>>,
}

impl PeerLayouts {
    fn record(&self, host: &HostId, layout: Layout) {
        let mut by_host = self.by_host.lock().unwrap_or_else(PoisonError::into_inner);
        if by_host.get(host) == Some(&layout) {
            return;
        }
        if by_host.len() >= MAX_PEERS {
            by_host.clear();
        }
        by_host.insert(host.clone(), layout);
    }

    fn get(&self, host: &HostId) -> Option<Layout> {
        let by_host = self.by_host.lock().unwrap_or_else(PoisonError::into_inner);
        by_host.get(host).copied()
    }
}
