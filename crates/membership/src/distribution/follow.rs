//! The host that this host follows: it repeatedly sends what it has in force, so
//! that one request has many answers.

use std::time::{Duration, Instant};

use waxwingusher_core::HostId;
use waxwingusher_protocol::{ConfigSummary, ConfigUpdate};

/// The time after which a host renews its follow request.
const RENEW_INTERVAL: Duration = Duration::from_secs(30);

/// The interval between attempts to follow a host.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// The silence after which a followed host counts as unreachable.
const SILENT_AFTER: Duration = Duration::from_secs(6);

/// The divisor that gives the part of a time measured by another host's clock
/// that is not counted, as that clock may run fast.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// The requests that are due.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct FollowRequests {
    /// The host to follow.
    pub follow: Option<HostId>,
    /// The host to poll once, as its release may not support following.
    pub poll: Option<HostId>,
}

/// The content of an update, with the stamps of the answer that it refers to.
#[derive(Debug, Clone, Copy)]
pub struct TimedSummary {
    /// An instant no later than when the update was sent.
    pub at: Instant,
    /// What the sender has.
    pub summary: ConfigSummary,
}

#[derive(Debug)]
struct FollowedHost {
    host: HostId,
    nonce: u32,
    requested_at: Instant,
    /// The last answer, whose stamps the updates repeat in short form.
    last_answer: Option<ConfigSummary>,
    alive_until: Instant,
}

/// The host that this host follows.
#[derive(Debug)]
pub struct Follow {
    parent: Option<HostId>,
    current: Option<FollowedHost>,
    next_at: Instant,
    failures: u32,
}

impl Follow {
    /// Creates the state without a host to follow.
    pub fn new(now: Instant) -> Self {
        Self {
            parent: None,
            current: None,
            next_at: now,
            failures: 0,
        }
    }

    /// Sets the preferred host to follow.
    pub fn set_parent(&mut self, parent: Option<HostId>, now: Instant) {
        if parent == self.parent {
            return;
        }
        self.parent = parent;
        self.current = None;
        self.next_at = now;
        self.failures = 0;
    }

    /// Returns the preferred host to follow.
    pub fn parent(&self) -> Option<&HostId> {
        self.parent.as_ref()
    }

    /// Reports whether a message of the followed host arrived recently.
    pub fn is_alive(&self, now: Instant) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| now < current.alive_until)
    }

    /// Reports whether a request is due.
    pub fn is_due(&self, now: Instant) -> bool {
        self.parent.is_some() && now >= self.next_at.min(self.silent_at())
    }

    /// Returns the next requests. A host that does not answer is replaced by
    /// `other` in every second attempt.
    pub fn next_requests(&mut self, other: Option<HostId>) -> FollowRequests {
        let current = self.current.as_ref();
        if current.is_some_and(|current| current.last_answer.is_none()) {
            self.failures += 1;
        }
        let uses_other = !self.failures.is_multiple_of(2);
        match other.filter(|_| uses_other) {
            Some(other) => FollowRequests {
                follow: Some(other),
                poll: self.parent.clone(),
            },
            None => FollowRequests {
                follow: self.parent.clone(),
                poll: None,
            },
        }
    }

    /// Returns when a host that has answered counts as silent.
    fn silent_at(&self) -> Instant {
        let answered = self
            .current
            .as_ref()
            .filter(|current| current.last_answer.is_some());
        answered.map_or(self.next_at, |current| current.alive_until)
    }

    /// Records a follow request.
    pub fn on_requested(&mut self, host: &HostId, nonce: u32, now: Instant) {
        self.next_at = now + RETRY_INTERVAL;
        self.current = Some(FollowedHost {
            host: host.clone(),
            nonce,
            requested_at: now,
            last_answer: None,
            alive_until: now,
        });
    }

    /// Handles an answer, if it is one to the last request.
    pub fn on_answer(&mut self, from: &HostId, nonce: u32, summary: ConfigSummary, now: Instant) {
        let Some(current) = self.followed(from, nonce) else {
            return;
        };
        let is_first = current.last_answer.is_none();
        current.last_answer = Some(summary);
        current.alive_until = now + SILENT_AFTER;
        if is_first {
            self.next_at = now + RENEW_INTERVAL;
            self.failures = 0;
        }
    }

    /// Handles an update, and returns its content if it refers to the stamps of
    /// the last answer. Otherwise the follow request is renewed.
    pub fn on_update(
        &mut self,
        from: &HostId,
        update: &ConfigUpdate,
        now: Instant,
    ) -> Option<TimedSummary> {
        let current = self.followed(from, update.nonce)?;
        let last_answer = current
            .last_answer
            .filter(|last_answer| update.has_stamps_of(last_answer));
        let Some(last_answer) = last_answer else {
            self.next_at = now;
            return None;
        };
        current.alive_until = now + SILENT_AFTER;
        let after = Duration::from_millis(u64::from(update.after_ms));
        let at = current.requested_at + (after - after / CLOCK_DRIFT_DIVISOR);
        Some(TimedSummary {
            // A wrong clock of the sender must not give an instant in the future.
            at: at.min(now),
            summary: ConfigSummary {
                seen_hosts_version: update.seen_hosts_version,
                service_age_ms: update.service_age_ms,
                hosts_age_ms: update.hosts_age_ms,
                ..last_answer
            },
        })
    }

    fn followed(&mut self, from: &HostId, nonce: u32) -> Option<&mut FollowedHost> {
        let current = self.current.as_mut()?;
        (current.host == *from && current.nonce == nonce).then_some(current)
    }
}
