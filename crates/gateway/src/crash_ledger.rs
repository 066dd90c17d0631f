//! Quarantine of requests that crash the instances that run them.
//!
//! A caller may retry such a request at any host. Hosts report to each other the
//! request under which the connection to an instance broke; a request that broke
//! the connections of several instances without a success in between is refused.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use waxwingusher_membership::seeded::CrashReport;

/// The number of crashed instances from which a request is refused.
const CRASHES_TO_QUARANTINE: usize = 3;
/// How long a request is refused after its last crash.
const QUARANTINE_DURATION: Duration = Duration::from_secs(120);
/// The number of requests that are kept; the oldest are removed first.
const MAX_RECORDS: usize = 4_096;

/// Records of the requests under which instances crashed.
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
    /// Records a crash and returns whether it is new.
    pub(crate) fn record(&mut self, now: Instant, crash: CrashReport) -> bool {
        self.evict_old_records(now);
        let record = self.records.entry(crash.fingerprint).or_insert(Record {
            instances: HashSet::new(),
            last_at: now,
        });
        record.last_at = now;
        record.instances.insert(crash.instance)
    }

    /// Removes the record of a request that an instance answered.
    pub(crate) fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Returns whether a request must be refused.
    pub(crate) fn is_quarantined(&self, now: Instant, fingerprint: u64) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| {
            record.instances.len() >= CRASHES_TO_QUARANTINE
                && now.saturating_duration_since(record.last_at) < QUARANTINE_DURATION
        })
    }

    fn evict_old_records(&mut self, now: Instant) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|_, record| {
            now.saturating_duration_since(record.last_at) < QUARANTINE_DURATION
        });
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let oldest = self.records.iter().min_by_key(|(_, record)| record.last_at);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }
}
