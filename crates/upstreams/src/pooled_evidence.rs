//! The evidence on one pool that a coordinator has received from all hosts.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::HostId;
use waxwingusher_protocol::health::{Evidence, FailureKind, InstanceKey, OriginKey, OutcomeCounts};

use crate::window::Generations;

const EVIDENCE_WINDOW: Duration = Duration::from_secs(20);
const ORIGIN_SPAN: Duration = Duration::from_secs(4);
const OTHERS_SPAN: Duration = Duration::from_secs(10);
const MERGE_SPAN: Duration = Duration::from_millis(200);
const MIN_USUAL_SAMPLES: f64 = 500.0;
const MAX_REPORTS: usize = 512;
const MAX_ORIGINS: usize = 512;

/// Where the requests of a report were sent from: a failure domain, or one host
/// if the fleet has a single failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct VantagePoint(pub Arc<str>);

/// One failed request.
#[derive(Debug, Clone, Copy)]
pub struct Failure {
    /// How the request failed.
    pub kind: FailureKind,
    /// The workspace of the request.
    pub workspace: OriginKey,
    /// The route of the request.
    pub route: OriginKey,
}

/// The outcomes at one instance in one report.
#[derive(Debug, Clone)]
pub struct ReportedOutcomes {
    /// The time of the requests, by the age that the report states.
    pub at: Instant,
    /// Where the requests were sent from.
    pub vantage_point: VantagePoint,
    /// Successful requests, including slow ones.
    pub ok: u32,
    /// Slow successful requests.
    pub slow: u32,
    /// Failed requests.
    pub failures: Vec<Failure>,
}

/// All evidence on one instance.
#[derive(Debug, Default)]
pub struct InstanceEvidence {
    /// The reports in the order of their times.
    pub reports: VecDeque<ReportedOutcomes>,
    /// The start and end of the watch, during which all hosts report all outcomes at
    /// the instance.
    pub watch: Option<(Instant, Instant)>,
}

impl InstanceEvidence {
    /// Returns the sums over all reports.
    #[must_use]
    pub fn totals(&self) -> OutcomeCounts {
        let mut sum = OutcomeCounts::default();
        for report in &self.reports {
            sum.ok += report.ok;
            sum.slow += report.slow;
            sum.failed += report.failures.len() as u32;
        }
        sum
    }

    /// Reports whether the instance is watched and all hosts have had `answer_time`
    /// to answer.
    #[must_use]
    pub fn is_watched(&self, now: Instant, answer_time: Duration) -> bool {
        self.watch
            .is_some_and(|(since, until)| now >= since + answer_time && now < until)
    }

    /// Inserts a report in the order of time, or merges it with one from the same
    /// vantage point and within [`MERGE_SPAN`].
    fn insert(&mut self, report: ReportedOutcomes) {
        let position = self.reports.partition_point(|known| known.at <= report.at);
        let before = position
            .checked_sub(1)
            .map(|index| &mut self.reports[index]);
        if let Some(known) = before
            && known.vantage_point == report.vantage_point
            && report.at.saturating_duration_since(known.at) < MERGE_SPAN
        {
            known.ok += report.ok;
            known.slow += report.slow;
            known.failures.extend(report.failures);
            return;
        }
        self.reports.insert(position, report);
    }

    fn expire(&mut self, now: Instant) {
        while let Some(first) = self.reports.front() {
            let is_old = now.saturating_duration_since(first.at) > EVIDENCE_WINDOW;
            if !is_old && self.reports.len() <= MAX_REPORTS {
                break;
            }
            self.reports.pop_front();
        }
    }
}

/// The evidence on all instances of one pool.
#[derive(Debug)]
pub struct PooledEvidence {
    instances: BTreeMap<InstanceKey, InstanceEvidence>,
    origins: BTreeMap<OriginKey, Generations<u32>>,
    others: Generations<OutcomeCounts>,
    usual: BTreeMap<HostId, OutcomeCounts>,
}

impl PooledEvidence {
    /// Creates empty evidence.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            instances: BTreeMap::new(),
            origins: BTreeMap::new(),
            others: Generations::new(now, OTHERS_SPAN),
            usual: BTreeMap::new(),
        }
    }

    /// Adds a host's report.
    pub fn add(&mut self, now: Instant, vantage_point: &VantagePoint, evidence: &Evidence) {
        for (index, row) in evidence.instances.iter().enumerate() {
            let next = evidence.instances.get(index + 1);
            let is_newest_row = next.is_none_or(|next| next.instance != row.instance);
            let failures = if is_newest_row {
                failures_of(row.instance, evidence)
            } else {
                Vec::new()
            };
            let age = Duration::from_millis(100 * u64::from(row.age_ds));
            let known = self.instances.entry(row.instance).or_default();
            known.insert(ReportedOutcomes {
                at: now.checked_sub(age).unwrap_or(now),
                vantage_point: vantage_point.clone(),
                ok: row.counts.ok,
                slow: row.counts.slow,
                failures,
            });
            known.expire(now);
        }
        let others = self.others.current(now);
        others.ok += evidence.others.ok;
        others.slow += evidence.others.slow;
        others.failed += evidence.others.failed;
        for row in &evidence.origins {
            if self.origins.len() >= MAX_ORIGINS && !self.origins.contains_key(&row.origin) {
                continue;
            }
            *self
                .origins
                .entry(row.origin)
                .or_insert_with(|| Generations::new(now, ORIGIN_SPAN))
                .current(now) += row.ok;
        }
    }

    /// Discards evidence that is too old.
    pub fn expire(&mut self, now: Instant) {
        self.instances.retain(|_, evidence| {
            evidence.expire(now);
            !evidence.reports.is_empty()
        });
        self.origins.retain(|_, ok| {
            let (old, new) = ok.generations(now);
            old + new > 0
        });
    }

    /// Discards all evidence on one instance.
    pub fn clear(&mut self, instance: InstanceKey) {
        self.instances.remove(&instance);
    }

    /// Returns the instances with evidence, ordered by key.
    #[must_use]
    pub fn instances(&self) -> Vec<(InstanceKey, &InstanceEvidence)> {
        let mut instances: Vec<_> = self
            .instances
            .iter()
            .map(|(key, evidence)| (*key, evidence))
            .collect();
        instances.sort_by_key(|(key, _)| *key);
        instances
    }

    /// Returns the evidence on one instance for modification.
    pub fn instance_mut(&mut self, instance: InstanceKey) -> Option<&mut InstanceEvidence> {
        self.instances.get_mut(&instance)
    }

    /// Reports whether there is no evidence on any instance.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Returns the successes of an origin at all instances.
    pub fn origin_ok(&mut self, now: Instant, origin: OriginKey) -> u32 {
        self.origins.get_mut(&origin).map_or(0, |ok| {
            let (old, new) = ok.generations(now);
            old + new
        })
    }

    /// Records a host's outcomes at the whole pool over several minutes.
    pub fn set_usual(&mut self, host: &HostId, usual: OutcomeCounts) {
        self.usual.insert(host.clone(), usual);
    }

    /// Returns an upper estimate of the usual failure rate of the pool without
    /// `exceptional` failures, if there are enough samples.
    #[must_use]
    pub fn usual_failure_rate(&self, exceptional: u32) -> Option<f64> {
        let failed: u32 = self.usual.values().map(|counts| counts.failed).sum();
        let ok: u32 = self.usual.values().map(|counts| counts.ok).sum();
        let samples = f64::from(ok + failed);
        if samples < MIN_USUAL_SAMPLES {
            return None;
        }
        let failed = f64::from(failed.saturating_sub(exceptional));
        Some((failed + 2.0 * failed.sqrt() + 2.0) / samples)
    }

    /// Returns the outcomes at the instances that were not reported individually.
    pub fn others(&mut self, now: Instant) -> OutcomeCounts {
        let (old, new) = self.others.generations(now);
        OutcomeCounts {
            ok: old.ok + new.ok,
            slow: old.slow + new.slow,
            failed: old.failed + new.failed,
        }
    }
}

fn failures_of(instance: InstanceKey, evidence: &Evidence) -> Vec<Failure> {
    let failures = evidence.failures.iter();
    failures
        .filter(|failure| failure.instance == instance)
        .map(|failure| Failure {
            kind: failure.kind,
            workspace: failure.workspace,
            route: failure.route,
        })
        .collect()
}
