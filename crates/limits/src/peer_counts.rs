//! The requests that a peer has admitted since its last message.
//!
//! A peer reports totals, so that the next message makes up for a lost one.
//! Requests that it admitted while it was unreachable need no debit: this host
//! refilled less meanwhile, or its own buckets did not exist yet. So the first
//! message after a silence only sets the baseline, and so do all messages that
//! were queued while this process was paused. If its clock was stopped as well,
//! the pause goes unnoticed; therefore the debit within a second never exceeds
//! the peer's recent admissions.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::replicated::Admissions;

/// The time without a message after which a peer's counts restart from a new
/// baseline. After the same time the peer no longer counts towards the refill.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_600);

/// The window within which the debit is bounded by the peer's recent admissions;
/// the shortest time that [`Admissions::recent`] covers.
const DEBIT_WINDOW: Duration = Duration::from_secs(1);

/// The totals that one process of a peer has reported.
#[derive(Debug, Default)]
pub struct PeerCounts {
    last_received_at: Option<Instant>,
    /// By the hash of the workspace's name.
    workspaces: HashMap<u32, WorkspaceCount>,
}

#[derive(Debug)]
struct WorkspaceCount {
    total: u32,
    /// The debit since `window_started_at`.
    debited: u32,
    window_started_at: Instant,
}

impl PeerCounts {
    /// Creates the counts of a peer's process that has just replaced another one,
    /// so that all its admissions are new.
    #[must_use]
    pub fn after_restart(now: Instant) -> Self {
        Self {
            last_received_at: Some(now),
            ..Self::default()
        }
    }

    /// Records one message of a peer and returns how many tokens to debit from
    /// the bucket of each workspace. `may_be_delayed` states that the message may
    /// have been queued while this process was paused.
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
        // The total is smaller in a late message and after a refund.
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
