//! The latest changes that this host has read, for hosts that do not read the feed.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use waxwingusher_core::FeedPosition;
use waxwingusher_membership::seeded::FeedUpdate;

use crate::feed::Change;

/// How long changes are repeated, so that later updates make up for a lost one.
const REPEAT_TIME: Duration = Duration::from_secs(2);
/// The largest encoded changes of one update, below the limit of a datagram. Hosts
/// read larger ones from the feed themselves.
const MAX_UPDATE_BYTES: usize = 48_000;
/// Changes of this size are not repeated. Hosts that miss them read the feed.
const MAX_REPEATED_BYTES: usize = 4_000;

/// A change and its position within the era of the update.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RevisedChange {
    pub(crate) revision: u64,
    pub(crate) change: Change,
}

#[derive(Debug)]
struct LoggedChange {
    learned_at: Instant,
    bytes: usize,
    change: RevisedChange,
}

/// The latest changes that this host has read.
#[derive(Debug, Default)]
pub(crate) struct FeedLog {
    /// The position before the first change in the log.
    since: FeedPosition,
    until: FeedPosition,
    changes: VecDeque<LoggedChange>,
}

impl FeedLog {
    /// Starts the log anew at a position that was reached without single changes.
    pub(crate) fn restart(&mut self, position: FeedPosition) {
        self.since = position;
        self.until = position;
        self.changes.clear();
    }

    /// Adds changes up to `position`.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        changes: impl IntoIterator<Item = RevisedChange>,
        position: FeedPosition,
    ) {
        for change in changes {
            let bytes = postcard::to_allocvec(&change).map_or(MAX_UPDATE_BYTES, |it| it.len());
            self.changes.push_back(LoggedChange {
                learned_at: now,
                bytes,
                change,
            });
        }
        self.until = position;
    }

    /// Returns the update to send now; `None` before the first complete list.
    pub(crate) fn update(&mut self, now: Instant) -> Option<FeedUpdate> {
        if self.until == FeedPosition::default() {
            return None;
        }
        let is_old =
            |logged: &LoggedChange| now.saturating_duration_since(logged.learned_at) >= REPEAT_TIME;
        while let Some(first) = self.changes.front().filter(|first| is_old(first)) {
            self.since.revision = first.change.revision;
            self.changes.pop_front();
        }
        let revised: Vec<&RevisedChange> =
            self.changes.iter().map(|logged| &logged.change).collect();
        let encoded = postcard::to_allocvec(&revised).unwrap_or_else(|error| {
            log::error!("feed: Cannot encode changes for peers: {error}.");
            Vec::new()
        });
        let is_sendable = !encoded.is_empty() && encoded.len() <= MAX_UPDATE_BYTES;
        let update = FeedUpdate {
            since: if is_sendable { self.since } else { self.until },
            until: self.until,
            changes: if is_sendable { encoded } else { Vec::new() },
            ..empty_update()
        };
        self.forget_large();
        Some(update)
    }

    /// Drops large changes and all before them.
    fn forget_large(&mut self) {
        let is_large = |logged: &LoggedChange| logged.bytes > MAX_REPEATED_BYTES;
        let Some(last) = self.changes.iter().rposition(is_large) else {
            return;
        };
        for logged in self.changes.drain(..=last) {
            self.since.revision = logged.change.revision;
        }
    }
}

/// Returns an update without changes, whose sender fills in the rest.
fn empty_update() -> FeedUpdate {
    FeedUpdate {
        reader: ([0, 0, 0, 0], 0).into(),
        relay: false,
        since: FeedPosition::default(),
        until: FeedPosition::default(),
        is_gapless: false,
        changes: Vec::new(),
    }
}
