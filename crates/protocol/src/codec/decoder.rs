//! Authentication and decoding of received datagrams.

use std::collections::{HashMap, VecDeque};

use serde::Deserialize;
use waxwingusher_core::HostId;

use super::layout::VersionByte;
use super::replay::{Freshness, ReplayWindow};
use super::{
    HEADER_BYTES, Layout, MAX_DATAGRAM_BYTES, MAX_PEERS, PeerLayouts, TAG_CONTEXT, VERSION_BYTES,
};
use crate::message::{Envelope, Message};
use crate::secret::FleetSecret;

// A late datagram of an earlier process is checked against that process's
// replay window.
const MAX_INCARNATIONS_PER_PEER: usize = 4;

/// Why a datagram is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DecodeError {
    /// It is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("the datagram is too large")]
    TooLarge,
    /// It is too short for a header.
    #[error("the datagram is too short")]
    TooShort,
    /// This release does not know its layout.
    #[error("the datagram's layout version is unknown")]
    UnknownVersion,
    /// It was not authenticated with the fleet secret, or not for this host.
    #[error("the datagram's authentication tag does not match")]
    BadTag,
    /// It was received before.
    #[error("the datagram was received before")]
    Replayed,
    /// It names this host as its sender.
    #[error("the datagram names this host as its sender")]
    FromSelf,
    /// Its message is of a kind that only newer releases know.
    #[error("the kind of message is unknown to this release")]
    UnknownMessage,
    /// Its body does not follow the layout.
    #[error("the datagram's body is malformed")]
    Malformed,
}

impl DecodeError {
    /// All causes, in a fixed order.
    pub const ALL: [Self; 8] = [
        Self::TooLarge,
        Self::TooShort,
        Self::UnknownVersion,
        Self::BadTag,
        Self::Replayed,
        Self::FromSelf,
        Self::UnknownMessage,
        Self::Malformed,
    ];
}

#[derive(Debug)]
struct ProcessWindow {
    incarnation: u64,
    window: ReplayWindow,
}

/// Decodes the datagrams that one host receives. No input makes it panic.
#[derive(Debug)]
pub struct Decoder {
    self_id: HostId,
    secret: FleetSecret,
    newest: Layout,
    layouts: PeerLayouts,
    replay_windows: HashMap<HostId, VecDeque<ProcessWindow>>,
}

#[derive(Deserialize)]
struct Origin {
    from: HostId,
    incarnation: u64,
}

impl Decoder {
    pub(super) fn new(
        self_id: &HostId,
        secret: &FleetSecret,
        newest: Layout,
        layouts: PeerLayouts,
    ) -> Self {
        Self {
            self_id: self_id.clone(),
            secret: secret.clone(),
            newest,
            layouts,
            replay_windows: HashMap::new(),
        }
    }

    /// Authenticates and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns why the datagram must be dropped.
    pub fn decode(&mut self, datagram: &[u8]) -> Result<Envelope, DecodeError> {
        let (version, body) = self.authenticate(datagram)?;
        let (origin, rest) = take::<Origin>(body)?;
        if origin.from == self.self_id {
            return Err(DecodeError::FromSelf);
        }
        let rest = match version.layout {
            Layout::V1 => rest,
            Layout::V2 => {
                let (sequence, rest) = take::<u64>(rest)?;
                self.check_replay(&origin, sequence)?;
                rest
            }
        };
        self.layouts.record(&origin.from, version.senders_newest);
        let message = decode_message(rest)?;
        Ok(Envelope {
            from: origin.from,
            incarnation: origin.incarnation,
            message,
        })
    }

    fn authenticate<'a>(&self, datagram: &'a [u8]) -> Result<(VersionByte, &'a [u8]), DecodeError> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::TooLarge);
        }
        if datagram.len() <= HEADER_BYTES {
            return Err(DecodeError::TooShort);
        }
        let (header, body) = datagram.split_at(HEADER_BYTES);
        let (version_byte, tag) = header.split_at(VERSION_BYTES);
        let version = VersionByte::decode(version_byte[0])
            .filter(|version| version.layout <= self.newest)
            .ok_or(DecodeError::UnknownVersion)?;
        let receiver = self.self_id.as_str().as_bytes();
        let parts = [TAG_CONTEXT, version_byte, receiver, body];
        if !self.secret.is_valid_tag(&parts, tag) {
            return Err(DecodeError::BadTag);
        }
        Ok((version, body))
    }

    fn check_replay(&mut self, origin: &Origin, sequence: u64) -> Result<(), DecodeError> {
        if self.replay_windows.len() >= MAX_PEERS && !self.replay_windows.contains_key(&origin.from)
        {
            self.replay_windows.clear();
        }
        let process_windows = self.replay_windows.entry(origin.from.clone()).or_default();
        let known = process_windows
            .iter_mut()
            .find(|process| process.incarnation == origin.incarnation);
        let freshness = match known {
            Some(process) => process.window.accept(sequence),
            None => {
                let mut window = ReplayWindow::default();
                let freshness = window.accept(sequence);
                if process_windows.len() >= MAX_INCARNATIONS_PER_PEER {
                    process_windows.pop_front();
                }
                process_windows.push_back(ProcessWindow {
                    incarnation: origin.incarnation,
                    window,
                });
                freshness
            }
        };
        match freshness {
            Freshness::Fresh => Ok(()),
            Freshness::Replayed => Err(DecodeError::Replayed),
        }
    }
}

fn take<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<(T, &'a [u8]), DecodeError> {
    postcard::take_from_bytes(bytes).map_err(|_| DecodeError::Malformed)
}

fn decode_message(bytes: &[u8]) -> Result<Message, DecodeError> {
    match postcard::take_from_bytes::<Message>(bytes) {
        Ok((message, [])) => Ok(message),
        Ok(_) => Err(DecodeError::Malformed),
        // Derived deserializers report an unknown variant as a custom error.
        Err(postcard::Error::SerdeDeCustom) => Err(DecodeError::UnknownMessage),
        Err(_) => Err(DecodeError::Malformed),
    }
}
