//! Distribution of reports in a large failure domain through collectors.
//!
//! A host of a small domain sends each report to all neighbours. In a large one that
//! would cost each host time in proportion to its neighbours' requests, so it sends
//! the report to a collector instead, which gathers the reports of all hosts and
//! distributes them in batches. A batch that contains a host's report acknowledges
//! it. A host that misses the acknowledgement sends the report to all neighbours
//! itself, and avoids a collector that misses it repeatedly.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::seeded::message::HostReport;

/// The most neighbours to which a host sends its reports itself.
pub const MAX_DIRECT_NEIGHBOURS: usize = 32;
/// The collectors of a failure domain that are in use at the same time.
const COLLECTORS: usize = 2;
/// How long the acknowledgement of a report may take: several batches.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(150);
/// The reports in succession that a collector may leave unacknowledged; single
/// datagrams get lost.
const MAX_MISSES: u32 = 2;
/// How long a collector is avoided.
const AVOID_TIME: Duration = Duration::from_secs(5);

/// A host that may collect reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Its address.
    pub addr: SocketAddr,
    /// How much traffic it can take on, relative to other hosts.
    pub capacity: u16,
}

/// A host's choice of its collector, and the reports that it has not acknowledged.
#[derive(Debug, Default)]
pub struct CollectorLink {
    unacknowledged: Option<Unacknowledged>,
    misses: u32,
    avoided: BTreeMap<SocketAddr, Instant>,
}

#[derive(Debug)]
struct Unacknowledged {
    collector: SocketAddr,
    report: HostReport,
    first_sent_at: Instant,
}

impl CollectorLink {
    /// Returns the collector that a host uses, which may be itself. Hosts with the
    /// same candidates share a few of them: those with the largest capacity.
    pub fn choose(
        &mut self,
        now: Instant,
        own_addr: SocketAddr,
        candidates: &[Candidate],
    ) -> Option<SocketAddr> {
        self.avoided.retain(|_, until| now < *until);
        let usable = candidates
            .iter()
            .filter(|candidate| !self.avoided.contains_key(&candidate.addr));
        let mut usable: Vec<Candidate> = usable.copied().collect();
        usable.sort_by_key(|candidate| {
            (
                std::cmp::Reverse(candidate.capacity),
                addr_hash(candidate.addr),
            )
        });
        usable.truncate(COLLECTORS);
        if let Some(own) = usable.iter().find(|candidate| candidate.addr == own_addr) {
            return Some(own.addr);
        }
        let count = u64::try_from(usable.len())
            .ok()
            .filter(|count| *count > 0)?;
        let index = usize::try_from(addr_hash(own_addr) % count).unwrap_or(0);
        usable.get(index).map(|candidate| candidate.addr)
    }

    /// Records that a report was sent to a collector.
    pub fn record_sent(&mut self, now: Instant, collector: SocketAddr, report: HostReport) {
        match &mut self.unacknowledged {
            Some(pending) if pending.report.incarnation == report.incarnation => {
                pending.collector = collector;
                pending.report.merge(report);
            }
            _ => {
                self.unacknowledged = Some(Unacknowledged {
                    collector,
                    report,
                    first_sent_at: now,
                });
            }
        }
    }

    /// Records that a batch contained this host's report with `sequence`.
    pub fn record_acknowledged(&mut self, sequence: u32) {
        self.misses = 0;
        let pending = self.unacknowledged.as_ref();
        if pending.is_some_and(|pending| pending.report.sequence <= sequence) {
            self.unacknowledged = None;
        }
    }

    /// Returns when the acknowledgement of the oldest report is overdue.
    #[must_use]
    pub fn overdue_at(&self) -> Option<Instant> {
        let pending = self.unacknowledged.as_ref();
        pending.map(|pending| pending.first_sent_at + ACKNOWLEDGE_TIMEOUT)
    }

    /// Returns the content of the reports whose acknowledgement is overdue; the host
    /// then distributes it itself.
    pub fn take_overdue(&mut self, now: Instant) -> Option<HostReport> {
        if self.overdue_at().is_none_or(|at| now < at) {
            return None;
        }
        let overdue = self.unacknowledged.take()?;
        self.misses += 1;
        if self.misses >= MAX_MISSES {
            self.misses = 0;
            self.avoided.insert(overdue.collector, now + AVOID_TIME);
        }
        Some(overdue.report)
    }
}

/// The reports that a collector has gathered for one group of receivers.
#[derive(Debug, Default)]
pub struct Gatherer {
    reports: BTreeMap<SocketAddr, HostReport>,
}

impl Gatherer {
    /// Adds a report, which replaces what an earlier process of its host reported.
    pub fn add(&mut self, report: HostReport) {
        match self.reports.get_mut(&report.origin) {
            Some(known) if known.incarnation == report.incarnation => {
                if known.sequence < report.sequence {
                    known.merge(report);
                } else {
                    let later = std::mem::replace(known, report);
                    known.merge(later);
                }
            }
            _ => {
                self.reports.insert(report.origin, report);
            }
        }
    }

    /// Reports whether nothing was gathered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Takes all reports.
    pub fn take(&mut self) -> Vec<HostReport> {
        std::mem::take(&mut self.reports).into_values().collect()
    }
}

fn addr_hash(addr: SocketAddr) -> u64 {
    xxh3_64(addr.to_string().as_bytes())
}
