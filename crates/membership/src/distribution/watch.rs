//! The watch of one value of the configuration service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_protocol::Stamp;

use super::action::Watch;

/// The first backoff after a failed call.
const MIN_BACKOFF: Duration = Duration::from_secs(1);

/// The longest backoff after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// The interval at which a plain read replaces a watch. It detects a service
/// whose revisions have restarted.
const PLAIN_READ_INTERVAL: Duration = Duration::from_secs(300);

/// The time beyond the wait after which a call counts as failed.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Call {
    ticket: u64,
    issued_at: Instant,
    wait: Duration,
}

/// What the service last confirmed.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    stamp: Stamp,
    at: Instant,
}

/// What the end of a watch without a newer value proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchEnd {
    /// The service had the known revision as its newest.
    Confirmed,
    /// The call ended at a replica with an older revision than the known one.
    Older,
    /// The answer does not name the revision at which the watch ended.
    Unknown,
}

impl WatchEnd {
    fn new(ended_at: Option<u64>, known: Option<u64>) -> Self {
        match (ended_at, known) {
            (Some(ended_at), Some(known)) if ended_at == known => Self::Confirmed,
            (Some(ended_at), Some(known)) if ended_at < known => Self::Older,
            _ => Self::Unknown,
        }
    }
}

/// The state of the watch of one value.
#[derive(Debug)]
pub struct ServiceWatch {
    key: Arc<str>,
    call: Option<Call>,
    revision: Option<u64>,
    next_call_at: Instant,
    backoff: Duration,
    next_plain_read_at: Instant,
    confirmation: Option<Confirmation>,
    answered_at: Option<Instant>,
}

/// A call to make now.
#[derive(Debug)]
pub struct DueCall {
    /// The value's key.
    pub key: Arc<str>,
    /// How to watch; a plain read if there is none.
    pub watch: Option<Watch>,
}

impl ServiceWatch {
    /// Creates the watch of a key.
    pub fn new(key: &str, now: Instant) -> Self {
        Self {
            key: Arc::from(key),
            call: None,
            revision: None,
            next_call_at: now,
            backoff: MIN_BACKOFF,
            next_plain_read_at: now,
            confirmation: None,
            answered_at: None,
        }
    }

    /// Returns the call that is due, and records it under the ticket.
    pub fn due_call(&mut self, ticket: u64, wait: Duration, now: Instant) -> Option<DueCall> {
        if let Some(call) = &self.call {
            if now < call.issued_at + call.wait + CALL_TIMEOUT_MARGIN {
                return None;
            }
            self.fail(now);
        }
        if now < self.next_call_at {
            return None;
        }
        let is_plain = self.revision.is_none() || now >= self.next_plain_read_at;
        if is_plain {
            self.next_plain_read_at = now + PLAIN_READ_INTERVAL;
        }
        let watch = self
            .revision
            .filter(|_| !is_plain)
            .map(|after_revision| Watch {
                after_revision,
                wait,
            });
        self.call = Some(Call {
            ticket,
            issued_at: now,
            wait: watch.map_or(Duration::ZERO, |watch| watch.wait),
        });
        Some(DueCall {
            key: self.key.clone(),
            watch,
        })
    }

    /// Records the value's revision, and returns when the call was issued, if it
    /// is the pending call.
    pub fn on_value(&mut self, ticket: u64, revision: u64, now: Instant) -> Option<Instant> {
        let call = self.take(ticket)?;
        self.revision = Some(revision);
        self.succeed(now);
        Some(call.issued_at)
    }

    /// Handles the end of a watch without a newer value, and returns what it
    /// proves, if it is the pending call.
    pub fn on_unchanged(
        &mut self,
        ticket: u64,
        ended_at_revision: Option<u64>,
        now: Instant,
    ) -> Option<WatchEnd> {
        let call = self.take(ticket)?;
        self.succeed(now);
        // A service that ends watches early must not be called more often.
        self.next_call_at = now.max(call.issued_at + call.wait);
        let end = WatchEnd::new(ended_at_revision, self.revision);
        match (end, &mut self.confirmation) {
            // The service may have read the value at any time since the call was
            // issued.
            (WatchEnd::Confirmed, Some(confirmation)) => confirmation.at = call.issued_at,
            // The next read shows whether the replica has fallen behind or
            // revisions have restarted.
            (WatchEnd::Older, _) => self.next_plain_read_at = now,
            _ => {}
        }
        Some(end)
    }

    /// Handles a failed call, and reports whether it is the pending one.
    pub fn on_error(&mut self, ticket: u64, now: Instant) -> bool {
        if self.take(ticket).is_none() {
            return false;
        }
        self.fail(now);
        true
    }

    /// Records that the service had a version at some time after an instant.
    pub fn confirm(&mut self, stamp: Stamp, at: Instant) {
        self.confirmation = Some(Confirmation { stamp, at });
    }

    /// Removes the confirmation, as the service's value cannot be used.
    pub fn clear_confirmation(&mut self) {
        self.confirmation = None;
    }

    /// Returns when the service last confirmed a version.
    pub fn confirmed_at(&self, stamp: Stamp) -> Option<Instant> {
        self.confirmation
            .filter(|confirmation| confirmation.stamp == stamp)
            .map(|confirmation| confirmation.at)
    }

    /// Returns when the service last answered.
    pub fn answered_at(&self) -> Option<Instant> {
        self.answered_at
    }

    fn take(&mut self, ticket: u64) -> Option<Call> {
        self.call.take_if(|call| call.ticket == ticket)
    }

    fn succeed(&mut self, now: Instant) {
        self.backoff = MIN_BACKOFF;
        self.next_call_at = now;
        self.answered_at = Some(now);
    }

    fn fail(&mut self, now: Instant) {
        self.call = None;
        self.next_call_at = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
