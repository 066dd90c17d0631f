//! One host's outcomes at one pool, and the evidence of them for the coordinators.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use waxwingusher_protocol::health::{
    Evidence, FailureKind, FailureRow, InstanceKey, InstanceRow, OriginKey, OriginRow,
    OutcomeCounts, ServiceKey, Watch,
};

use crate::latency::LatencyWindow;
use crate::window::Generations;

const HISTORY_SPAN: Duration = Duration::from_secs(8);
const BUCKET_SPAN: Duration = Duration::from_millis(500);
const ORIGIN_SPAN: Duration = Duration::from_secs(2);
const REQUEST_RATE_SPAN: Duration = Duration::from_secs(10);
const POOL_COUNTS_SPAN: Duration = Duration::from_secs(300);
const SUSPICION_TERM: Duration = Duration::from_secs(15);
const MAX_ROWS_PER_REPORT: usize = 48;
const MAX_FAILURES_PER_REPORT: usize = 16;
const MAX_ORIGINS_PER_REPORT: usize = 16;
const MAX_ORIGINS: usize = 512;

/// One outcome that concerns an instance.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// The instance.
    pub instance: InstanceKey,
    /// The workspace of the request.
    pub workspace: OriginKey,
    /// The route of the request.
    pub route: OriginKey,
    /// The latency of a success, or the kind of failure.
    pub result: Result<Duration, FailureKind>,
}

#[derive(Debug, Default)]
struct OutcomeHistory {
    buckets: VecDeque<(Instant, OutcomeCounts)>,
}

impl OutcomeHistory {
    fn current(&mut self, now: Instant) -> &mut OutcomeCounts {
        self.expire(now);
        let is_recent = self
            .buckets
            .back()
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) < BUCKET_SPAN);
        if !is_recent {
            self.buckets.push_back((now, OutcomeCounts::default()));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last].1
    }

    fn sum(&mut self, now: Instant) -> OutcomeCounts {
        self.expire(now);
        let counts = self.buckets.iter().map(|(_, counts)| *counts);
        counts.fold(OutcomeCounts::default(), add)
    }

    fn take(&mut self, now: Instant, instance: InstanceKey) -> Vec<InstanceRow> {
        self.buckets
            .drain(..)
            .map(|(at, counts)| InstanceRow {
                instance,
                age_ds: age_ds(now.saturating_duration_since(at)),
                counts,
            })
            .collect()
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, _)) = self.buckets.front() {
            if now.saturating_duration_since(*at) <= HISTORY_SPAN {
                break;
            }
            self.buckets.pop_front();
        }
    }
}

#[derive(Debug)]
struct OriginHistory {
    ok: Generations<u32>,
    suspect_until: Option<Instant>,
}

/// Collects outcomes and reports the suspicious ones as evidence.
#[derive(Debug)]
pub struct Reporter {
    service: ServiceKey,
    interval: Duration,
    last_flush: Instant,
    histories: BTreeMap<InstanceKey, OutcomeHistory>,
    failures: Vec<FailureRow>,
    origins: BTreeMap<OriginKey, OriginHistory>,
    watched: BTreeMap<InstanceKey, Instant>,
    latencies: LatencyWindow,
    pool_counts: Generations<OutcomeCounts>,
    requests: Generations<u32>,
    is_report_wanted: bool,
    has_unanswered_watch: bool,
}

impl Reporter {
    /// Creates a reporter without outcomes.
    #[must_use]
    pub fn new(service: ServiceKey, now: Instant, interval: Duration) -> Self {
        Self {
            service,
            interval,
            last_flush: now,
            histories: BTreeMap::new(),
            failures: Vec::new(),
            origins: BTreeMap::new(),
            watched: BTreeMap::new(),
            latencies: LatencyWindow::default(),
            pool_counts: Generations::new(now, POOL_COUNTS_SPAN),
            requests: Generations::new(now, REQUEST_RATE_SPAN),
            is_report_wanted: false,
            has_unanswered_watch: false,
        }
    }

    /// Records an outcome.
    pub fn record(&mut self, now: Instant, outcome: &Outcome) {
        *self.requests.current(now) += 1;
        let pool_counts = self.pool_counts.current(now);
        match outcome.result {
            Ok(_) => pool_counts.ok += 1,
            Err(_) => pool_counts.failed += 1,
        }
        let counts = self
            .histories
            .entry(outcome.instance)
            .or_default()
            .current(now);
        match outcome.result {
            Ok(latency) => {
                counts.ok += 1;
                if self.latencies.is_slow(latency) {
                    counts.slow += 1;
                    self.is_report_wanted = true;
                }
                self.latencies.push(latency);
                self.record_origin_success(now, outcome);
            }
            Err(kind) => {
                counts.failed += 1;
                self.record_failure(now, outcome, kind);
            }
        }
    }

    /// Starts to report all outcomes at the instances of a coordinator's watch.
    pub fn on_watch(&mut self, now: Instant, watch: &Watch, term: Duration) {
        for instance in &watch.instances {
            self.watched.insert(*instance, now + term);
        }
        for origin in &watch.origins {
            self.suspect(now, *origin);
        }
        self.is_report_wanted = true;
        self.has_unanswered_watch = true;
    }

    /// Returns the evidence that is due. All outcomes at `ejected` instances are
    /// reported.
    #[must_use]
    pub fn flush(&mut self, now: Instant, ejected: &[InstanceKey]) -> Option<Evidence> {
        let age = now.saturating_duration_since(self.last_flush);
        if age < self.interval && !self.has_unanswered_watch {
            return None;
        }
        self.watched.retain(|_, until| now < *until);
        if !self.is_report_wanted && self.watched.is_empty() && ejected.is_empty() {
            return None;
        }
        let (instances, others) = self.take_rows(now, ejected);
        let is_empty = instances.is_empty() && self.failures.is_empty();
        if is_empty && !self.has_unanswered_watch {
            return None;
        }
        let origins = self.take_origins(now);
        self.is_report_wanted = false;
        self.has_unanswered_watch = false;
        self.last_flush = now;
        let (before, lately) = self.pool_counts.generations(now);
        let pool_counts = add(*before, *lately);
        Some(Evidence {
            service: self.service,
            instances,
            failures: std::mem::take(&mut self.failures),
            origins,
            others,
            usual: pool_counts,
        })
    }

    /// Returns the median latency of the pool, once there are enough samples.
    #[must_use]
    pub fn median_latency(&self) -> Option<Duration> {
        self.latencies.median()
    }

    /// Returns this host's requests per second to the pool.
    #[must_use]
    pub fn requests_per_s(&mut self, now: Instant) -> f64 {
        let (before, lately) = self.requests.generations(now);
        f64::from(*before + *lately) / (1.5 * REQUEST_RATE_SPAN.as_secs_f64())
    }

    fn record_failure(&mut self, now: Instant, outcome: &Outcome, kind: FailureKind) {
        self.is_report_wanted = true;
        self.suspect(now, outcome.workspace);
        self.suspect(now, outcome.route);
        if self.failures.len() == MAX_FAILURES_PER_REPORT {
            return;
        }
        self.failures.push(FailureRow {
            instance: outcome.instance,
            kind,
            workspace: outcome.workspace,
            route: outcome.route,
        });
    }

    fn record_origin_success(&mut self, now: Instant, outcome: &Outcome) {
        for origin in [outcome.workspace, outcome.route] {
            if let Some(history) = self.origin(now, origin) {
                *history.ok.current(now) += 1;
            }
        }
    }

    fn suspect(&mut self, now: Instant, origin: OriginKey) {
        if let Some(history) = self.origin(now, origin) {
            history.suspect_until = Some(now + SUSPICION_TERM);
        }
    }

    fn origin(&mut self, now: Instant, origin: OriginKey) -> Option<&mut OriginHistory> {
        if self.origins.len() >= MAX_ORIGINS && !self.origins.contains_key(&origin) {
            self.origins.retain(|_, history| {
                *history.ok.current(now) > 0 || history.suspect_until.is_some()
            });
            if self.origins.len() >= MAX_ORIGINS {
                return None;
            }
        }
        Some(self.origins.entry(origin).or_insert_with(|| OriginHistory {
            ok: Generations::new(now, ORIGIN_SPAN),
            suspect_until: None,
        }))
    }

    fn take_rows(
        &mut self,
        now: Instant,
        ejected: &[InstanceKey],
    ) -> (Vec<InstanceRow>, OutcomeCounts) {
        let mut taken = Vec::new();
        let mut others = OutcomeCounts::default();
        for (instance, history) in &mut self.histories {
            let sum = history.sum(now);
            let is_wanted = self.watched.contains_key(instance) || ejected.contains(instance);
            if !is_wanted && sum.failed + sum.slow == 0 {
                others = add(others, sum);
                continue;
            }
            if taken.len() + history.buckets.len() > MAX_ROWS_PER_REPORT {
                continue;
            }
            taken.extend(history.take(now, *instance));
        }
        taken.sort_by_key(|row| (row.instance, std::cmp::Reverse(row.age_ds)));
        (taken, others)
    }

    /// Takes the successes of suspect origins, and those of the busiest other origins
    /// while an instance is watched.
    fn take_origins(&mut self, now: Instant) -> Vec<OriginRow> {
        let is_watching = !self.watched.is_empty();
        let mut found = Vec::new();
        for (origin, history) in &mut self.origins {
            let is_suspect = history.suspect_until.is_some_and(|until| now < until);
            if !is_suspect {
                history.suspect_until = None;
            }
            let (old, new) = history.ok.generations(now);
            let ok = old + new;
            if ok > 0 && (is_suspect || is_watching) {
                found.push((is_suspect, ok, *origin));
            }
        }
        found.sort_unstable_by(|a, b| b.cmp(a));
        found.truncate(MAX_ORIGINS_PER_REPORT);
        for (_, _, origin) in &found {
            if let Some(history) = self.origins.get_mut(origin) {
                history.ok.take(now);
            }
        }
        let rows = found.into_iter();
        rows.map(|(_, ok, origin)| OriginRow { origin, ok })
            .collect()
    }
}

fn age_ds(age: Duration) -> u8 {
    u8::try_from(age.as_millis() / 100).unwrap_or(u8::MAX)
}

fn add(a: OutcomeCounts, b: OutcomeCounts) -> OutcomeCounts {
    OutcomeCounts {
        ok: a.ok + b.ok,
        slow: a.slow + b.slow,
        failed: a.failed + b.failed,
    }
}
