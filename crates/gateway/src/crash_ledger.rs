//! Requests that kill the instances that run them.
//!
//! A caller sends such a request again and again, to any host. Hosts tell each
//! other at which request an instance's connection died; a request that did so
//! at several instances, and never succeeded in between, is not sent any more.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use waxwingusher_membership::seeded::CrashReport;

/// Instances that must have died before a request is refused.
const MAX_DEATHS: usize = 3;
/// How long a request is refused after the last death.
const QUARANTINE: Duration = Duration::from_secs(120);
/// Requests that are remembered; the oldest go first.
const MAX_RECORDS: usize = 4_096;

/// What is known of requests at which instances died.
#[derive(Debug, Default)]
pub(crate) struct CrashLedger {
    records: HashMap<u64, Record>,
}

#[derive(Debug)]
struct Record {
    instances: HashSet<u32>,
    last_at: Instant,
}

impl CrashLedger {
    /// Records a death, and reports whether it was not known yet.
    pub(crate) fn note(&mut self, now: Instant, word: CrashReport) -> bool {
        self.make_room(now);
        let record = self.records.entry(word.fingerprint).or_insert(Record {
            instances: HashSet::new(),
            last_at: now,
        });
        record.last_at = now;
        record.instances.insert(word.instance)
    }

    /// Forgets a request that an instance survived.
    pub(crate) fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Reports whether a request must not be sent.
    pub(crate) fn is_quarantined(&self, now: Instant, fingerprint: u64) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| {
            record.instances.len() >= MAX_DEATHS
                && now.saturating_duration_since(record.last_at) < QUARANTINE
        })
    }

    fn make_room(&mut self, now: Instant) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records
            .retain(|_, record| now.saturating_duration_since(record.last_at) < QUARANTINE);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let oldest = self.records.iter().min_by_key(|(_, record)| record.last_at);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }
}
