//! The latest changes of the feed, for hosts that do not read it themselves.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use waxwingusher_core::FeedPosition;

use crate::feed_codec::RevisedWireChange;
use crate::feed_source::Change;

/// How long changes are kept for hosts that have missed them.
pub const RETENTION: Duration = Duration::from_secs(10);
/// The most changes that are kept.
pub const MAX_CHANGES: usize = 4_096;

/// A change as it was published, and its revision.
#[derive(Debug, Clone)]
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
    /// The changes.
    pub changes: Vec<RevisedWireChange>,
}

/// The latest changes, without a gap.
#[derive(Debug, Default)]
pub struct FeedLog {
    /// The position before the first change in the log.
    since: FeedPosition,
    until: FeedPosition,
    /// The position up to which a reader has sent the changes to all hosts.
    distributed: FeedPosition,
    changes: VecDeque<(Instant, RevisedWireChange)>,
}

impl FeedLog {
    /// Adds all changes between two positions. Those that the log contains already
    /// are skipped; if some before them are missing, the log starts anew.
    pub fn add(
        &mut self,
        now: Instant,
        since: FeedPosition,
        changes: &[RevisedWireChange],
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

    /// Returns the changes that no reader has sent to all hosts, and counts them as sent;
    /// `None` before the first complete list.
    pub fn take_undistributed(&mut self, now: Instant) -> Option<FeedExcerpt> {
        if self.until == FeedPosition::default() {
            return None;
        }
        self.drop_old(now);
        let since = if self.distributed.era == self.since.era {
            self.distributed.max(self.since)
        } else {
            self.since
        };
        self.distributed = self.until;
        Some(self.excerpt(since))
    }

    /// Records that a reader has sent the changes between two positions to all hosts.
    pub fn record_distributed(&mut self, since: FeedPosition, until: FeedPosition) {
        if self.distributed.covers(since) {
            self.distributed = self.distributed.max(until);
        }
    }

    /// Returns the changes after a position; `None` if some are no longer in the log.
    #[must_use]
    pub fn after(&self, position: FeedPosition) -> Option<FeedExcerpt> {
        position
            .covers(self.since)
            .then(|| self.excerpt(position.min(self.until)))
    }

    fn excerpt(&self, since: FeedPosition) -> FeedExcerpt {
        let changes = self.changes.iter().map(|(_, change)| change);
        let changes = changes.filter(|change| change.revision > since.revision);
        FeedExcerpt {
            since,
            until: self.until,
            changes: changes.cloned().collect(),
        }
    }

    fn drop_old(&mut self, now: Instant) {
        while let Some((learned_at, change)) = self.changes.front() {
            let is_old = now.saturating_duration_since(*learned_at) >= RETENTION;
            if !is_old && self.changes.len() <= MAX_CHANGES {
                return;
            }
            self.since.revision = change.revision;
            self.changes.pop_front();
        }
    }
}
