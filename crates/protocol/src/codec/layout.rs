//! The version byte of a datagram: its layout, and the newest layout that its
//! sender understands.

/// The layout of a datagram's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Layout {
    /// Sender, incarnation and message.
    V1 = 1,
    /// As [`Layout::V1`], with a sequence number for replay protection.
    V2 = 2,
}

impl Layout {
    /// The layout that this release sends to hosts which understand it.
    pub const NEWEST: Self = Self::V2;

    /// The layout that the previous release sends.
    pub const PREVIOUS: Self = Self::V1;

    fn from_number(number: u8) -> Option<Self> {
        match number {
            1 => Some(Self::V1),
            2 => Some(Self::V2),
            _ => None,
        }
    }
}

/// The version byte: the datagram's layout in the low four bits, the newest
/// layout that the sender understands in the high four bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct VersionByte {
    pub(super) layout: Layout,
    pub(super) senders_newest: Layout,
}

impl VersionByte {
    pub(super) fn encode(self) -> u8 {
        (self.senders_newest as u8) << 4 | self.layout as u8
    }

    /// Returns `None` if this release does not know the datagram's layout. The
    /// sender may understand newer layouts than this release.
    pub(super) fn decode(byte: u8) -> Option<Self> {
        let layout = Layout::from_number(byte & 0x0f)?;
        let newest = (byte >> 4).min(Layout::NEWEST as u8);
        let senders_newest = Layout::from_number(newest)?;
        if senders_newest < layout {
            return None;
        }
        Some(Self {
            layout,
            senders_newest,
        })
    }
}
