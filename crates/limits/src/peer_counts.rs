//! What a peer has admitted since it was last heard.
//!
//! A peer tells totals, so that a lost message is made up for by the next one.
//! What it admitted while it was not heard was paid by refills that the listener
//! left out meanwhile, or before the listener's own buckets were made. So the
//! first message after a silence only says where counting goes on. The listener's
//! clock may have stood still with the listener; therefore no more is ever taken
//! than what the peer admitted lately.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::replicated::Admissions;

/// The silence after which a peer's counts start anew; from then on a listener
/// leaves the peer out of its refills, too.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_600);

/// The totals that one process of a peer has told.
#[derive(Debug, Default)]
pub struct PeerCounts {
    heard_at: Option<Instant>,
    /// By the short name of the workspace.
    totals: HashMap<u32, u32>,
}

impl PeerCounts {
    /// Creates the counts of a process that has just taken the place of another
    /// one, so that all it admitted is new.
    #[must_use]
    pub fn of_restarted(now: Instant) -> Self {
        Self {
            heard_at: Some(now),
            totals: HashMap::new(),
        }
    }

    /// Takes one message of a peer, and returns what is to be taken from the
    /// bucket of each workspace for it.
    pub fn take(
        &mut self,
        now: Instant,
        message: impl IntoIterator<Item = (u32, Admissions)>,
    ) -> Vec<(u32, u32)> {
        let is_heard = |at: Instant| now.saturating_duration_since(at) < SILENT_AFTER;
        let was_silent = !self.heard_at.is_some_and(is_heard);
        self.heard_at = Some(now);
        let mut fresh = Vec::new();
        for (workspace, told) in message {
            let count = self.count(workspace, told);
            if count > 0 && !was_silent {
                fresh.push((workspace, count));
            }
        }
        fresh
    }

    fn count(&mut self, workspace: u32, told: Admissions) -> u32 {
        let Some(total) = self.totals.get_mut(&workspace) else {
            self.totals.insert(workspace, told.total);
            return told.recent;
        };
        // A late message holds a smaller total, a refund makes one, too.
        let Some(fresh) = told.total.checked_sub(*total) else {
            return 0;
        };
        *total = told.total;
        fresh.min(told.recent)
    }
}
