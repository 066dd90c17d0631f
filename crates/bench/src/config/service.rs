//! A simulated configuration service in virtual time.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_config::publication::{HOSTS_KEY, MANIFEST_KEY};
use waxwingusher_config::{Pack, Publication};
use waxwingusher_core::{HostId, HostList};
use waxwingusher_membership::distribution::ServiceRead;

/// The time that a call takes besides waiting for a newer value.
const CALL_TIME: Duration = Duration::from_millis(4);

/// Which values the service serves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ServiceMode {
    /// Serves the latest values.
    #[default]
    Current,
    /// Serves the values as they were when the mode was set.
    Stale,
    /// Fails all calls.
    Unavailable,
}

#[derive(Debug, Clone)]
struct Value {
    revision: u64,
    bytes: Arc<[u8]>,
}

#[derive(Debug)]
struct PendingCall {
    host: HostId,
    read: ServiceRead,
    answer_at: Instant,
    watch_ends_at: Instant,
}

/// The outcome of a call.
#[derive(Debug, Clone)]
pub enum Answer {
    /// The value.
    Value {
        /// The value's revision.
        revision: u64,
        /// The value's bytes.
        bytes: Arc<[u8]>,
    },
    /// The watch ended without a newer value.
    Unchanged {
        /// The value's revision, if the service returns it.
        revision: Option<u64>,
    },
    /// The key has no value, or the service is unreachable.
    Error,
}

/// An answered call.
#[derive(Debug, Clone)]
pub struct AnsweredCall {
    /// The host that called.
    pub host: HostId,
    /// The ticket that identifies the call.
    pub ticket: u64,
    /// The outcome.
    pub answer: Answer,
}

/// The values of an earlier moment, as a stale replica holds them.
#[derive(Debug, Clone)]
pub struct OldValues(BTreeMap<String, Value>);

/// A simulated configuration service in virtual time.
#[derive(Debug, Default)]
pub struct FakeService {
    values: BTreeMap<String, Value>,
    stale: Option<BTreeMap<String, Value>>,
    mode: ServiceMode,
    revision: u64,
    cut_off: HashSet<HostId>,
    pending: Vec<PendingCall>,
    calls: u64,
    current_second: Option<(Instant, u64)>,
    peak_calls: u64,
    hides_revisions: bool,
    max_wait: Option<Duration>,
}

impl FakeService {
    /// Sets a value.
    pub fn put(&mut self, key: &str, bytes: Arc<[u8]>) {
        self.revision += 1;
        let revision = self.revision;
        self.values
            .insert(key.to_owned(), Value { revision, bytes });
    }

    /// Removes a value.
    pub fn remove(&mut self, key: &str) {
        self.values.remove(key);
    }

    /// Sets the values of a publication, packs first.
    pub fn publish(&mut self, publication: &Publication) {
        self.put_packs(&publication.packs);
        self.put(MANIFEST_KEY, publication.manifest.clone());
    }

    /// Sets the values of packs that are new or have changed.
    pub fn put_packs(&mut self, packs: &[Pack]) {
        for pack in packs {
            let key = Pack::service_key(&pack.digest);
            let current = self.values.get(&key);
            if current.is_none_or(|value| value.bytes != pack.bytes) {
                self.put(&key, pack.bytes.clone());
            }
        }
    }

    /// Sets the host list.
    pub fn put_hosts(&mut self, list: &HostList) {
        let bytes = serde_json::to_vec(list).unwrap_or_default();
        self.put(HOSTS_KEY, bytes.into());
    }

    /// Sets which values are served.
    pub fn set_mode(&mut self, mode: ServiceMode) {
        self.mode = mode;
        self.stale = match mode {
            ServiceMode::Stale => self.stale.take().or_else(|| Some(self.values.clone())),
            ServiceMode::Current | ServiceMode::Unavailable => None,
        };
    }

    /// Returns a copy of the current values.
    #[must_use]
    pub fn snapshot(&self) -> OldValues {
        OldValues(self.values.clone())
    }

    /// Serves old values to all hosts, even if they have read newer ones.
    pub fn serve_old(&mut self, values: &OldValues) {
        self.mode = ServiceMode::Stale;
        self.stale = Some(values.0.clone());
    }

    /// Sets whether a watch that ends without a newer value omits the revision.
    pub fn set_hides_revisions(&mut self, hides_revisions: bool) {
        self.hides_revisions = hides_revisions;
    }

    /// Sets the longest time for which the service holds a watch.
    pub fn set_longest_wait(&mut self, limit: Duration) {
        self.max_wait = Some(limit);
    }

    /// Cuts a host off from the service.
    pub fn cut(&mut self, host: &HostId) {
        self.cut_off.insert(host.clone());
    }

    /// Reconnects a host to the service.
    pub fn heal(&mut self, host: &HostId) {
        self.cut_off.remove(host);
    }

    /// Reconnects all hosts to the service.
    pub fn heal_all(&mut self) {
        self.cut_off.clear();
    }

    /// Reports whether the service serves current values to a host.
    #[must_use]
    pub fn serves(&self, host: &HostId) -> bool {
        self.mode == ServiceMode::Current && !self.cut_off.contains(host)
    }

    /// Returns the number of calls; a watch counts once.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Returns the largest number of calls that began within one second.
    #[must_use]
    pub fn peak_calls(&self) -> u64 {
        self.peak_calls
    }

    /// Drops the pending calls of a host that has stopped.
    pub fn drop_calls(&mut self, host: &HostId) {
        self.pending.retain(|call| call.host != *host);
    }

    /// Accepts a call of a host.
    pub fn call(&mut self, host: &HostId, read: ServiceRead, now: Instant) {
        self.calls += 1;
        let (start, count) = self
            .current_second
            .filter(|(start, _)| now < *start + Duration::from_secs(1))
            .unwrap_or((now, 0));
        self.current_second = Some((start, count + 1));
        self.peak_calls = self.peak_calls.max(count + 1);
        let wait = read.watch.map_or(Duration::ZERO, |watch| watch.wait);
        let wait = wait.min(self.max_wait.unwrap_or(wait));
        self.pending.push(PendingCall {
            host: host.clone(),
            read,
            answer_at: now + CALL_TIME,
            watch_ends_at: now + CALL_TIME + wait,
        });
    }

    /// Removes and returns the calls that are answered by `now`.
    pub fn answers(&mut self, now: Instant) -> Vec<AnsweredCall> {
        let mut answered = Vec::new();
        let mut waiting = Vec::new();
        for call in std::mem::take(&mut self.pending) {
            match self.answer(&call, now) {
                Some(answer) => answered.push(AnsweredCall {
                    host: call.host,
                    ticket: call.read.ticket,
                    answer,
                }),
                None => waiting.push(call),
            }
        }
        self.pending = waiting;
        answered
    }

    fn answer(&self, call: &PendingCall, now: Instant) -> Option<Answer> {
        if now < call.answer_at {
            return None;
        }
        if self.mode == ServiceMode::Unavailable || self.cut_off.contains(&call.host) {
            return Some(Answer::Error);
        }
        let values = self.stale.as_ref().unwrap_or(&self.values);
        let Some(value) = values.get(&*call.read.key) else {
            return Some(Answer::Error);
        };
        let after = call.read.watch.map_or(0, |watch| watch.after_revision);
        if value.revision > after {
            return Some(Answer::Value {
                revision: value.revision,
                bytes: value.bytes.clone(),
            });
        }
        let revision = (!self.hides_revisions).then_some(value.revision);
        (now >= call.watch_ends_at).then_some(Answer::Unchanged { revision })
    }
}
