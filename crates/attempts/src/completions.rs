//! Fingerprints of recently completed requests, in bounded memory.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use waxwingusher_protocol::attempt::AttemptKey;

use crate::quarantine::QuarantineSettings;

/// Fingerprints of requests with the time of their last completion.
pub(crate) struct Completions {
    retention: Duration,
    capacity: usize,
    last_completed: HashMap<AttemptKey, Instant>,
    order: VecDeque<(Instant, AttemptKey)>,
}

impl Completions {
    pub(crate) fn new(settings: &QuarantineSettings) -> Self {
        Self {
            retention: settings.completion_retention,
            capacity: settings.max_completions,
            last_completed: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    pub(crate) fn insert(&mut self, fingerprint: AttemptKey, now: Instant) {
        self.expire(now);
        if self.order.len() >= self.capacity {
            self.pop();
        }
        self.last_completed.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
    }

    pub(crate) fn contains(&self, fingerprint: &AttemptKey, now: Instant) -> bool {
        let last_completed = self.last_completed.get(fingerprint);
        last_completed.is_some_and(|at| now.saturating_duration_since(*at) <= self.retention)
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((at, _)) = self.order.front() {
            if now.saturating_duration_since(*at) <= self.retention {
                break;
            }
            self.pop();
        }
    }

    fn pop(&mut self) {
        let Some((at, fingerprint)) = self.order.pop_front() else {
            return;
        };
        if self.last_completed.get(&fingerprint) == Some(&at) {
            self.last_completed.remove(&fingerprint);
        }
    }
}
