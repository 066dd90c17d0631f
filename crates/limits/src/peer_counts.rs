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
const TAKEN_SPAN: Duration = Duration::from_secs(1);

/// The totals that one process of a peer has told.
#[derive(Debug, Default)]
pub struct PeerCounts {
    heard_at: Option<Instant>,
    /// By the short name of the workspace.
    workspaces: HashMap<u32, WorkspaceCount>,
}

#[derive(Debug)]
struct WorkspaceCount {
    total: u32,
    /// What was taken since `span_started_at`.
    taken: u32,
    span_started_at: Instant,
}

impl PeerCounts {
    /// Creates the counts of a process that has just taken the place of another
    /// one, so that all it admitted is new.
    #[must_use]
    pub fn after_restart(now: Instant) -> Self {
        Self {
            heard_at: Some(now),
            ..Self::default()
        }
    }

    /// Takes one message of a peer, and returns what is to be taken from the
    /// bucket of each workspace for it. `is_catching_up` tells that the message may
    /// have waited for this host.
    pub fn record(
        &mut self,
        now: Instant,
        is_catching_up: bool,
        message: impl IntoIterator<Item = (u32, Admissions)>,
    ) -> Vec<(u32, u32)> {
        let is_heard = |at: Instant| now.saturating_duration_since(at) < SILENT_AFTER;
        let is_old = is_catching_up || !self.heard_at.is_some_and(is_heard);
        self.heard_at = Some(now);
        let mut fresh = Vec::new();
        for (workspace, told) in message {
            let count = self.count(now, workspace, told, is_old);
            if count > 0 {
                fresh.push((workspace, count));
            }
        }
        fresh
    }

    fn count(&mut self, now: Instant, workspace: u32, told: Admissions, is_old: bool) -> u32 {
        let entry = self.workspaces.entry(workspace);
        let known = entry.or_insert_with(|| WorkspaceCount {
            total: told.total - told.recent.min(told.total),
            taken: 0,
            span_started_at: now,
        });
        // A late message holds a smaller total, a refund makes one, too.
        let Some(fresh) = told.total.checked_sub(known.total) else {
            return 0;
        };
        known.total = told.total;
        if is_old {
            return 0;
        }
        if now.saturating_duration_since(known.span_started_at) >= TAKEN_SPAN {
            known.span_started_at = now;
            known.taken = 0;
        }
        let fresh = fresh.min(told.recent.saturating_sub(known.taken));
        known.taken += fresh;
        fresh
    }
}
