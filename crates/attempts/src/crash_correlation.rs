//! Correlates the crashes of a service's instances with the requests that were
//! in flight on them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use waxwingusher_core::{InstanceId, ServiceName};
use waxwingusher_protocol::attempt::{AttemptKey, CrashReport};

use crate::quarantine::QuarantineSettings;

/// The fewest crashed instances for which a request is quarantined.
const MIN_INSTANCES: usize = 2;

/// The most crashes that are kept for one service.
const MAX_CRASHES: usize = 64;

/// The most requests that are kept for one crash.
const MAX_SUSPECTS: usize = 128;

/// A request to quarantine.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct CrashFinding {
    pub(crate) fingerprint: AttemptKey,
    pub(crate) instances: Vec<InstanceId>,
    pub(crate) term: Duration,
}

#[derive(Debug)]
struct Crash {
    instance: InstanceId,
    at: Instant,
    suspects: BTreeSet<AttemptKey>,
    explained_by: Option<AttemptKey>,
}

#[derive(Debug, Default)]
struct ServiceCrashes {
    evaluate_at: Option<Instant>,
    crashes: Vec<Crash>,
    completing: BTreeMap<AttemptKey, Instant>,
}

#[derive(Debug)]
struct QuarantineRecord {
    at: Instant,
    term: Duration,
}

/// Correlates the crashes of the services that are assigned to one host.
pub(crate) struct CrashCorrelator {
    settings: QuarantineSettings,
    services: BTreeMap<ServiceName, ServiceCrashes>,
    quarantines: BTreeMap<AttemptKey, QuarantineRecord>,
}

impl CrashCorrelator {
    pub(crate) const fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            services: BTreeMap::new(),
            quarantines: BTreeMap::new(),
        }
    }

    /// Adds a report. It is evaluated after a delay, so that the reports of other
    /// hosts on the same crash arrive first, and those on other instances if a
    /// network cut disconnected them all.
    pub(crate) fn on_report(&mut self, report: &CrashReport, now: Instant) {
        self.expire(now);
        let service = self.services.entry(report.service.clone()).or_default();
        service.add(report, now, self.settings.merge_time);
        let evaluate_at = now + self.settings.collection_time;
        service.evaluate_at.get_or_insert(evaluate_at);
    }

    /// Returns the requests to quarantine, of services whose delay is over.
    pub(crate) fn take_findings(&mut self, now: Instant) -> Vec<CrashFinding> {
        let mut explained = Vec::new();
        for service in self.services.values_mut() {
            if service.evaluate_at.is_none_or(|at| now < at) {
                continue;
            }
            service.evaluate_at = None;
            let known = service.previously_quarantined(&self.quarantines);
            let Some(fingerprint) = known.or_else(|| service.best_explanation()) else {
                continue;
            };
            explained.push((fingerprint, service.explain(fingerprint)));
        }
        let findings = explained
            .into_iter()
            .map(|(fingerprint, instances)| CrashFinding {
                fingerprint,
                instances,
                term: self.record_quarantine(fingerprint, now),
            });
        findings.collect()
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        let retention = self.settings.crash_retention;
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= retention;
        for service in self.services.values_mut() {
            service.crashes.retain(|crash| is_recent(crash.at));
            service.completing.retain(|_, at| is_recent(*at));
        }
        self.services
            .retain(|_, service| !service.crashes.is_empty());
        self.quarantines
            .retain(|_, quarantine| is_recent(quarantine.at + quarantine.term));
    }

    pub(crate) fn len(&self) -> usize {
        let crashes = self.services.values().map(|service| service.crashes.len());
        crashes.sum()
    }

    /// Records a quarantine, and returns how long it lasts from now. A request
    /// that crashes an instance after its quarantine gets twice the last term.
    fn record_quarantine(&mut self, fingerprint: AttemptKey, now: Instant) -> Duration {
        let mut quarantine = QuarantineRecord {
            at: now,
            term: self.settings.term,
        };
        if let Some(former) = self.quarantines.get(&fingerprint) {
            let end = former.at + former.term;
            if now < end {
                return end.saturating_duration_since(now);
            }
            quarantine.term = (2 * former.term).min(self.settings.max_term);
        }
        let term = quarantine.term;
        self.quarantines.insert(fingerprint, quarantine);
        term
    }
}

impl ServiceCrashes {
    /// Adds a report; reports of several hosts on one instance within the merge
    /// time are one crash.
    fn add(&mut self, report: &CrashReport, now: Instant, merge_time: Duration) {
        let position = self.crashes.iter().position(|crash| {
            crash.instance == report.instance
                && now.saturating_duration_since(crash.at) <= merge_time
        });
        let index = position.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(Crash {
                instance: report.instance.clone(),
                at: now,
                suspects: BTreeSet::new(),
                explained_by: None,
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        for suspect in &report.suspects {
            if suspect.completes {
                self.completing.insert(suspect.fingerprint, now);
                continue;
            }
            if crash.suspects.len() < MAX_SUSPECTS {
                crash.suspects.insert(suspect.fingerprint);
            }
        }
    }

    /// Returns a request that was quarantined before and was in flight on an
    /// instance whose crash is unexplained.
    fn previously_quarantined(
        &self,
        quarantines: &BTreeMap<AttemptKey, QuarantineRecord>,
    ) -> Option<AttemptKey> {
        let suspects = self.unexplained().flat_map(|crash| &crash.suspects);
        let mut known = suspects.filter(|suspect| quarantines.contains_key(*suspect));
        known.next().copied()
    }

    /// Returns the request that was in flight on more of the instances with
    /// unexplained crashes than any other: on at least two, and on at least half
    /// of them.
    fn best_explanation(&self) -> Option<AttemptKey> {
        let mut instances: BTreeMap<AttemptKey, BTreeSet<&InstanceId>> = BTreeMap::new();
        let mut crashed = BTreeSet::new();
        for crash in self.unexplained() {
            crashed.insert(&crash.instance);
            for suspect in &crash.suspects {
                if self.completing.contains_key(suspect) {
                    continue;
                }
                let entry = instances.entry(*suspect).or_default();
                entry.insert(&crash.instance);
            }
        }
        let most = instances.values().map(BTreeSet::len).max()?;
        if most < MIN_INSTANCES || 2 * most < crashed.len() {
            return None;
        }
        let mut best = instances
            .iter()
            .filter(|(_, crashed_on)| crashed_on.len() == most);
        let (fingerprint, _) = best.next()?;
        if best.next().is_some() {
            return None;
        }
        Some(*fingerprint)
    }

    /// Marks the crashes that a request explains, and returns the instances.
    fn explain(&mut self, fingerprint: AttemptKey) -> Vec<InstanceId> {
        let mut instances = BTreeSet::new();
        for crash in &mut self.crashes {
            if crash.explained_by.is_some() || !crash.suspects.contains(&fingerprint) {
                continue;
            }
            crash.explained_by = Some(fingerprint);
            instances.insert(crash.instance.clone());
        }
        instances.into_iter().collect()
    }

    fn unexplained(&self) -> impl Iterator<Item = &Crash> {
        self.crashes
            .iter()
            .filter(|crash| crash.explained_by.is_none())
    }
}
