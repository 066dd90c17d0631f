//! Positions in the feed of published changes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The bits of [`FeedPosition`]'s wire form that hold the revision.
const REVISION_BITS: u32 = 48;

/// A position in the feed of published changes.
///
/// The service that publishes may lose its last changes when it is restored from a
/// backup; it then assigns their revisions again and counts up its era. Revisions
/// therefore compare only within one era, and the order of positions is that of
/// eras first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(into = "u64", from = "u64")]
pub struct FeedPosition {
    /// How often the service was restored from a backup; 0 if it does not say.
    pub era: u16,
    /// The revision of the last change.
    pub revision: u64,
}

impl FeedPosition {
    /// Creates a position.
    #[must_use]
    pub fn new(era: u16, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Reports whether a host at this position has applied all changes up to
    /// `other`. Positions of different eras say nothing about each other.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        self.era == other.era && self.revision >= other.revision
    }
}

impl From<u64> for FeedPosition {
    fn from(wire: u64) -> Self {
        let era = (wire >> REVISION_BITS) as u16;
        Self {
            era,
            revision: wire & ((1 << REVISION_BITS) - 1),
        }
    }
}

impl From<FeedPosition> for u64 {
    fn from(position: FeedPosition) -> Self {
        let revision = position.revision.min((1 << REVISION_BITS) - 1);
        (Self::from(position.era) << REVISION_BITS) | revision
    }
}

impl fmt::Display for FeedPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}
