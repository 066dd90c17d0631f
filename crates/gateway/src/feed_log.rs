//! The latest changes of the feed, for hosts that do not read it themselves.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use waxwingusher_core::FeedPosition;

use crate::feed_source::Change;

/// How long changes are repeated, so that later updates make up for a lost one.
pub const REPEAT_TIME: Duration = Duration::from_secs(2);
/// The largest encoded changes of one update, below the limit of a datagram. Hosts
/// read larger ones from the feed themselves.
pub const MAX_UPDATE_BYTES: usize = 48_000;

/// A change and its revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RevisedChange {
    /// The revision.
    pub revision: u64,
    /// The change.
    pub change: Change,
}

/// All changes between two positions.
#[derive(Debug, Clone)]
pub struct FeedExcerpt {
    /// The position before the first change.
    pub since: FeedPosition,
    /// The position of the last change.
    pub until: FeedPosition,
    /// The changes, encoded.
    pub changes: Vec<u8>,
}

/// The latest changes, without a gap.
#[derive(Debug, Default)]
pub struct FeedLog {
    /// The position before the first change in the log.
    since: FeedPosition,
    until: FeedPosition,
    changes: VecDeque<(Instant, RevisedChange)>,
}

impl FeedLog {
    /// Adds all changes between two positions. Those that the log contains already
    /// are skipped; if some before them are missing, the log starts anew.
    pub fn add(
        &mut self,
        now: Instant,
        since: FeedPosition,
        changes: &[RevisedChange],
        until: FeedPosition,
    ) {
        if since.era != self.until.era || since > self.until {
            self.since = since;
            self.until = since;
            self.changes.clear();
        }
        let known = self.until.revision;
        let new = changes.iter().filter(|change| change.revision > known);
        self.changes.extend(new.map(|change| (now, change.clone())));
        self.until = self.until.max(until);
        self.drop_old(now);
    }

    /// Returns the excerpt to send now; `None` before the first complete list.
    /// Configurations are sent once, since they may be large.
    pub fn take_excerpt(&mut self, now: Instant) -> Option<FeedExcerpt> {
        if self.until == FeedPosition::default() {
            return None;
        }
        self.drop_old(now);
        let changes: Vec<&RevisedChange> = self.changes.iter().map(|(_, change)| change).collect();
        let encoded = match postcard::to_allocvec(&changes) {
            Ok(encoded) if encoded.len() <= MAX_UPDATE_BYTES => Some(encoded),
            Ok(_) => None,
            Err(error) => {
                log::error!("feed: Cannot encode changes for peers: {error}.");
                None
            }
        };
        let excerpt = match encoded {
            Some(changes) => FeedExcerpt {
                since: self.since,
                until: self.until,
                changes,
            },
            None => FeedExcerpt {
                since: self.until,
                until: self.until,
                changes: Vec::new(),
            },
        };
        self.drop_configurations();
        Some(excerpt)
    }

    fn drop_old(&mut self, now: Instant) {
        while let Some((learned_at, change)) = self.changes.front() {
            if now.saturating_duration_since(*learned_at) < REPEAT_TIME {
                return;
            }
            self.since.revision = change.revision;
            self.changes.pop_front();
        }
    }

    /// Drops the last configuration and all changes before it.
    fn drop_configurations(&mut self) {
        let is_configuration =
            |(_, logged): &(Instant, RevisedChange)| matches!(logged.change, Change::Routing(_));
        let Some(last) = self.changes.iter().rposition(is_configuration) else {
            return;
        };
        for (_, change) in self.changes.drain(..=last) {
            self.since.revision = change.revision;
        }
    }
}
