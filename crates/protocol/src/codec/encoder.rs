//! Encoding and authentication of sent datagrams.

use std::collections::HashMap;

use serde::Serialize;
use waxwingusher_core::HostId;

use super::layout::VersionByte;
use super::{HEADER_BYTES, Layout, MAX_DATAGRAM_BYTES, MAX_PEERS, PeerLayouts, TAG_CONTEXT};
use crate::message::Message;
use crate::secret::FleetSecret;

/// Why a message cannot be sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EncodeError {
    /// The datagram would be too large.
    #[error("the datagram has {len_bytes} bytes, the limit is {MAX_DATAGRAM_BYTES}")]
    TooLarge {
        /// The datagram's size.
        len_bytes: usize,
    },
    /// The message could not be serialised.
    #[error("cannot serialise the message: {0}")]
    Serialise(#[from] postcard::Error),
}

/// Encodes the datagrams that one host sends.
#[derive(Debug)]
pub struct Encoder {
    self_id: HostId,
    incarnation: u64,
    secret: FleetSecret,
    newest: Layout,
    layouts: PeerLayouts,
    next_sequences: HashMap<HostId, u64>,
    first_sequence: u64,
}

#[derive(Serialize)]
struct BodyV1<'a> {
    from: &'a HostId,
    incarnation: u64,
    message: &'a Message,
}

#[derive(Serialize)]
struct BodyV2<'a> {
    from: &'a HostId,
    incarnation: u64,
    sequence: u64,
    message: &'a Message,
}

impl Encoder {
    pub(super) fn new(
        self_id: &HostId,
        incarnation: u64,
        secret: &FleetSecret,
        newest: Layout,
        layouts: PeerLayouts,
    ) -> Self {
        Self {
            self_id: self_id.clone(),
            incarnation,
            secret: secret.clone(),
            newest,
            layouts,
            next_sequences: HashMap::new(),
            first_sequence: 1,
        }
    }

    /// Encodes a message for one receiver, in the newest layout that both hosts
    /// understand.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram would be over [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&mut self, to: &HostId, message: &Message) -> Result<Vec<u8>, EncodeError> {
        let peer_newest = self.layouts.get(to).unwrap_or(self.newest);
        let layout = peer_newest.min(self.newest);
        let body = match layout {
            Layout::V1 => self.body_v1(message)?,
            Layout::V2 => self.body_v2(to, message)?,
        };
        let len_bytes = HEADER_BYTES + body.len();
        if len_bytes > MAX_DATAGRAM_BYTES {
            return Err(EncodeError::TooLarge { len_bytes });
        }
        let version = VersionByte {
            layout,
            senders_newest: self.newest,
        };
        let version = [version.encode()];
        let tag = self
            .secret
            .tag(&[TAG_CONTEXT, &version, to.as_str().as_bytes(), &body]);
        let mut datagram = Vec::with_capacity(len_bytes);
        datagram.extend_from_slice(&version);
        datagram.extend_from_slice(&tag);
        datagram.extend_from_slice(&body);
        Ok(datagram)
    }

    fn body_v1(&self, message: &Message) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(&BodyV1 {
            from: &self.self_id,
            incarnation: self.incarnation,
            message,
        })
    }

    fn body_v2(&mut self, to: &HostId, message: &Message) -> Result<Vec<u8>, postcard::Error> {
        let sequence = self.next_sequence(to);
        postcard::to_stdvec(&BodyV2 {
            from: &self.self_id,
            incarnation: self.incarnation,
            sequence,
            message,
        })
    }

    fn next_sequence(&mut self, to: &HostId) -> u64 {
        if self.next_sequences.len() >= MAX_PEERS && !self.next_sequences.contains_key(to) {
            // Receivers still have the old numbers in their replay windows, so
            // new numbers start above all that are discarded here.
            let highest = self.next_sequences.values().copied().max().unwrap_or(0);
            self.first_sequence = highest + 1;
            self.next_sequences.clear();
        }
        let first = self.first_sequence;
        let next = self.next_sequences.entry(to.clone()).or_insert(first);
        let sequence = *next;
        *next += 1;
        sequence
    }
}
