//! What a peer has admitted since it was last heard.
//!
//! A peer tells totals, so that a lost message is made up for by the next one.
//! What it admitted while it was not heard was paid by refills that the listener
//! left out meanwhile, or before the listener's own buckets were made. So the
//! first message after a silence only says where counting goes on, and so do all
//! messages that waited for a listener that stood still. Its clock may have stood
//! still, too; therefore no more is taken within a second than what the peer
//! admitted lately.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::replicated::Admissions;

/// The silence after which a peer's counts start anew; from then on a listener
/// leaves the peer out of its refills, too.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_600);

/// The span within which no more is taken than what a peer admitted lately; the
/// least span of [`Admissions::recent`].
const DEBIT_WINDOW: Duration = Duration::from_secs(1);

/// The totals that one process of a peer has told.
#[derive(Debug, Default)]
pub struct PeerCounts {
    last_received_at: Option<Instant>,
    /// By the short name of the workspace.
    workspaces: HashMap<u32, WorkspaceCount>,
}

#[derive(Debug)]
struct WorkspaceCount {
    total: u32,
    /// What was taken since `span_started_at`.
    debited: u32,
    window_started_at: Instant,
}

impl PeerCounts {
    /// Creates the counts of a process that has just taken the place of another
    /// one, so that all it admitted is new.
    #[must_use]
    pub fn after_restart(now: Instant) -> Self {
        Self {
            last_received_at: Some(now),
            ..Self::default()
        }
    }

    /// Takes one message of a peer, and returns what is to be taken from the
    /// bucket of each workspace for it. `is_catching_up` tells that the message may
    /// have waited for this host.
    pub fn record(
        &mut self,
        now: Instant,
        may_be_delayed: bool,
        message: impl IntoIterator<Item = (u32, Admissions)>,
    ) -> Vec<(u32, u32)> {
        let is_reachable = |at: Instant| now.saturating_duration_since(at) < SILENT_AFTER;
        let is_baseline_only = may_be_delayed || !self.last_received_at.is_some_and(is_reachable);
        self.last_received_at = Some(now);
        let mut new_admissions = Vec::new();
        for (workspace, reported) in message {
            let count = self.count_new(now, workspace, reported, is_baseline_only);
            if count > 0 {
                new_admissions.push((workspace, count));
            }
        }
        new_admissions
    }

    fn count_new(
        &mut self,
        now: Instant,
        workspace: u32,
        reported: Admissions,
        is_baseline_only: bool,
    ) -> u32 {
        let entry = self.workspaces.entry(workspace);
        let last = entry.or_insert_with(|| WorkspaceCount {
            total: reported.total - reported.recent.min(reported.total),
            debited: 0,
            window_started_at: now,
        });
        // A late message holds a smaller total, a refund makes one, too.
        let Some(new_admissions) = reported.total.checked_sub(last.total) else {
            return 0;
        };
        last.total = reported.total;
        if is_baseline_only {
            return 0;
        }
        if now.saturating_duration_since(last.window_started_at) >= DEBIT_WINDOW {
            last.window_started_at = now;
            last.debited = 0;
        }
        let new_admissions = new_admissions.min(reported.recent.saturating_sub(last.debited));
        last.debited += new_admissions;
        new_admissions
    }
}
