//! The sequential test on pooled outcomes.
//!
//! For each instance the test keeps a cumulative sum of log-likelihood ratios
//! (CUSUM) of "faulty" against "like the rest of the pool". The rate of the rest of
//! the pool is the median over instances, and for each failure at least the rate at
//! which the same workspace or route fails at other instances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use waxwingusher_protocol::health::{FailureKind, InstanceKey, OriginKey};

use crate::pooled_evidence::{Failure, InstanceEvidence, PooledEvidence, VantagePoint};
use crate::settings::TestThresholds;
use crate::steps::TestSteps;

/// The failure rate of a pool with too few samples.
const UNKNOWN_FAILURE_RATE: f64 = 0.005;
/// The share of the slowness threshold that makes an instance a suspect.
pub const SUSPICION_THRESHOLD_SHARE: f64 = 0.55;
const ORIGIN_PRIOR_COUNT: f64 = 0.3;
const MIN_SPREAD_FAILURES: u32 = 2;
const MAX_SPREAD_FACTOR: f64 = 4.0;
const UNINFORMATIVE_RATE: f64 = 0.5;
const MAX_IGNORED_ORIGIN_FAILURES: u32 = 2;
const MAX_SUSPECT_SHARE: f64 = 0.3;
const MIN_INSTANCE_SAMPLES: u32 = 3;
const MIN_OTHER_PATH_SAMPLES: u32 = 6;
const MIN_PATH_FAILURES: u32 = 2;
const MIN_PATH_FAILURE_SHARE: f64 = 0.15;

/// What the failures at an instance indicate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The instance itself is faulty if its score is high enough.
    InstanceFault,
    /// Only the paths from some vantage points fail.
    PathFault,
    /// Requests failed on the path, and there are too few from other vantage points.
    Unclear,
}

/// The scores of all instances, and the threshold of the failure score.
#[derive(Debug, Clone, Default)]
pub struct Scores {
    /// One score for each instance with evidence.
    pub scores: Vec<Score>,
    /// The failure score from which an instance is ejected.
    pub failure_threshold: f64,
}

/// The result of the test for one instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Score {
    /// The instance.
    pub instance: InstanceKey,
    /// The cumulative log-likelihood ratio of failures, without those that their
    /// workspace or route explains.
    pub failure: f64,
    /// The same with all failures.
    pub suspicion: f64,
    /// The cumulative log-likelihood ratio of slow successes.
    pub slow: f64,
    /// The share of failed or slow requests.
    pub bad_share: f64,
    /// The number of requests.
    pub samples: u32,
    /// What a high score indicates.
    pub verdict: Verdict,
}

/// The inputs of the scores apart from the evidence.
#[derive(Debug, Clone, Copy)]
pub struct ScoringContext {
    /// The time.
    pub now: Instant,
    /// The number of instances.
    pub pool_size: usize,
    /// The expected requests per second of an instance, as hosts report successes
    /// only of watched instances.
    pub expected_per_s: f64,
    /// The thresholds of the service.
    pub thresholds: TestThresholds,
}

/// Scores all instances with evidence.
#[must_use]
pub fn score_all(pooled: &mut PooledEvidence, context: &ScoringContext) -> Scores {
    let reference = reference_rates(pooled, context.now, context.pool_size);
    let steps = TestSteps::for_failures(reference.failure);
    let usual = pooled
        .usual_failure_rate(suspect_failures(pooled, context.pool_size))
        .unwrap_or(UNKNOWN_FAILURE_RATE);
    let usual = usual.max(reference.failure);
    let no_origins = BTreeMap::new();
    let mut suspects: Vec<(InstanceKey, f64)> = pooled
        .instances()
        .into_iter()
        .map(|(instance, evidence)| {
            score_instance(instance, evidence, &no_origins, reference, context)
        })
        .filter(|score| score.suspicion >= context.thresholds.suspicion)
        .map(|score| (score.instance, score.suspicion))
        .collect();
    suspects.sort_by(|a, b| b.1.total_cmp(&a.1));
    suspects.truncate(((context.pool_size as f64 * MAX_SUSPECT_SHARE) as usize).max(1));
    let suspects: BTreeSet<InstanceKey> = suspects.into_iter().map(|(key, _)| key).collect();
    let origins = origin_rates(pooled, context.now, &suspects);
    let instances = pooled.instances().into_iter();
    Scores {
        scores: instances
            .map(|(instance, evidence)| {
                score_instance(instance, evidence, &origins, reference, context)
            })
            .collect(),
        failure_threshold: steps.threshold(context.thresholds.failure, usual),
    }
}

/// The failures of an origin at instances that are no suspects.
#[derive(Debug, Clone, Copy)]
struct OriginRate {
    rate: f64,
    failed: u32,
}

#[derive(Debug, Clone, Copy)]
struct ReferenceRates {
    failure: f64,
    slow: f64,
}

fn score_instance(
    instance: InstanceKey,
    evidence: &InstanceEvidence,
    origins: &BTreeMap<OriginKey, OriginRate>,
    reference: ReferenceRates,
    context: &ScoringContext,
) -> Score {
    let own = failures_by_origin(evidence);
    let explained = ExplainedRates {
        own: &own,
        origins,
        pool_size: context.pool_size,
    };
    let is_watched = evidence.is_watched(context.now, Duration::ZERO);
    let unreported_per_s = if is_watched {
        0.0
    } else {
        context.expected_per_s
    };
    let mut last_at = None;
    let base = TestSteps::failure_base(reference.failure);
    let failure_steps = TestSteps::for_failures(reference.failure);
    let slow_steps = TestSteps::for_slow(reference.slow);
    let mut failure = 0.0_f64;
    let mut suspicion = 0.0_f64;
    let mut slow = 0.0_f64;
    for report in &evidence.reports {
        let good = f64::from(report.ok) * failure_steps.good;
        let bad = report.failures.len() as f64 * failure_steps.bad;
        let gap = last_at.map_or(Duration::ZERO, |last| {
            report.at.saturating_duration_since(last)
        });
        let unreported = gap.as_secs_f64() * unreported_per_s * failure_steps.good;
        last_at = Some(report.at);
        suspicion = ((suspicion + unreported).max(0.0) + good + bad).max(0.0);
        let mut step = good;
        for failed in &report.failures {
            step += TestSteps::failure_at(explained.base(failed, base));
        }
        failure = (failure + step).max(0.0);
        let quick = f64::from(report.ok.saturating_sub(report.slow));
        let slow_step = quick * slow_steps.good + f64::from(report.slow) * slow_steps.bad;
        slow = (slow + slow_step).max(0.0);
    }
    let totals = evidence.totals();
    let samples = totals.ok + totals.failed;
    Score {
        instance,
        failure,
        suspicion,
        slow,
        bad_share: f64::from(totals.failed + totals.slow) / f64::from(samples.max(1)),
        samples,
        verdict: path_verdict(evidence),
    }
}

/// The failure rates that are explained by the origins of an instance's failures.
struct ExplainedRates<'a> {
    own: &'a BTreeMap<OriginKey, u32>,
    origins: &'a BTreeMap<OriginKey, OriginRate>,
    pool_size: usize,
}

impl ExplainedRates<'_> {
    fn base(&self, failed: &Failure, base: f64) -> f64 {
        base.max(self.rate(failed.workspace))
            .max(self.rate(failed.route))
    }

    /// Returns the rate at which an origin fails at other instances, or a half if its
    /// failures are spread over the pool.
    fn rate(&self, origin: OriginKey) -> f64 {
        let Some(record) = self.origins.get(&origin) else {
            return 0.0;
        };
        let own = f64::from(self.own.get(&origin).copied().unwrap_or(0));
        let even = f64::from(record.failed) / (self.pool_size.max(2) - 1) as f64;
        if record.failed >= MIN_SPREAD_FAILURES && own <= MAX_SPREAD_FACTOR * even + 1.0 {
            return UNINFORMATIVE_RATE;
        }
        record.rate
    }
}

/// Returns the recent failures of the instances that fail most, which do not count
/// towards the usual rate of the pool.
fn suspect_failures(pooled: &PooledEvidence, pool_size: usize) -> u32 {
    let instances = pooled.instances();
    let mut failed: Vec<u32> = instances
        .iter()
        .map(|(_, evidence)| evidence.totals().failed)
        .collect();
    failed.sort_unstable_by(|a, b| b.cmp(a));
    let most = ((pool_size as f64 * MAX_SUSPECT_SHARE) as usize).max(1);
    failed.iter().take(most).sum()
}

/// Returns the median rates over instances. Instances without enough evidence count
/// with the combined rate of all outcomes that were not reported individually.
fn reference_rates(pooled: &mut PooledEvidence, now: Instant, pool_size: usize) -> ReferenceRates {
    let others = pooled.others(now);
    let others_total = f64::from((others.ok + others.failed).max(1));
    let unwatched = ReferenceRates {
        failure: f64::from(others.failed) / others_total,
        slow: f64::from(others.slow) / others_total,
    };
    let mut failure = Vec::with_capacity(pool_size);
    let mut slow = Vec::with_capacity(pool_size);
    for (_, evidence) in pooled.instances() {
        let totals = evidence.totals();
        let samples = totals.ok + totals.failed;
        if samples < MIN_INSTANCE_SAMPLES {
            continue;
        }
        failure.push(f64::from(totals.failed) / f64::from(samples));
        slow.push(f64::from(totals.slow) / f64::from(samples));
    }
    failure.resize(pool_size.max(failure.len()), unwatched.failure);
    slow.resize(pool_size.max(slow.len()), unwatched.slow);
    ReferenceRates {
        failure: median(&mut failure),
        slow: median(&mut slow),
    }
}

fn median(values: &mut [f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let middle = (values.len() - 1) / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}

/// Returns the rate at which each origin with repeated failures fails at instances
/// that are no suspects. Without a success there the rate is a half, so that its
/// failures do not count against an instance.
fn origin_rates(
    pooled: &mut PooledEvidence,
    now: Instant,
    suspects: &BTreeSet<InstanceKey>,
) -> BTreeMap<OriginKey, OriginRate> {
    let mut failed: BTreeMap<OriginKey, (u32, u32)> = BTreeMap::new();
    for (instance, evidence) in pooled.instances() {
        for (origin, count) in failures_by_origin(evidence) {
            let (all, elsewhere) = failed.entry(origin).or_default();
            *all += count;
            if !suspects.contains(&instance) {
                *elsewhere += count;
            }
        }
    }
    let mut rates = BTreeMap::new();
    for (origin, (all, elsewhere)) in failed {
        if all <= MAX_IGNORED_ORIGIN_FAILURES {
            continue;
        }
        let count = elsewhere;
        let elsewhere = f64::from(elsewhere);
        let ok = f64::from(pooled.origin_ok(now, origin));
        let rate = (elsewhere + ORIGIN_PRIOR_COUNT) / (elsewhere + ok + 2.0 * ORIGIN_PRIOR_COUNT);
        let record = OriginRate {
            rate,
            failed: count,
        };
        rates.insert(origin, record);
    }
    rates
}

fn failures_by_origin(evidence: &InstanceEvidence) -> BTreeMap<OriginKey, u32> {
    let mut counts = BTreeMap::new();
    for report in &evidence.reports {
        for failure in &report.failures {
            *counts.entry(failure.workspace).or_insert(0) += 1;
            *counts.entry(failure.route).or_insert(0) += 1;
        }
    }
    counts
}

/// Distinguishes a path fault from an instance fault. If most failures are on the
/// path, the instance is at fault only if the requests from the vantage points other
/// than the worst fail on the path too.
fn path_verdict(evidence: &InstanceEvidence) -> Verdict {
    let mut vantage_points: BTreeMap<&VantagePoint, (u32, u32)> = BTreeMap::new();
    let mut path_failures = 0;
    let mut instance_failures = 0;
    for report in &evidence.reports {
        let on_path = report
            .failures
            .iter()
            .filter(|failure| failure.kind == FailureKind::Path)
            .count() as u32;
        let (all, failed) = vantage_points.entry(&report.vantage_point).or_default();
        *all += report.ok + on_path;
        *failed += on_path;
        path_failures += on_path;
        instance_failures += report.failures.len() as u32 - on_path;
    }
    if path_failures <= instance_failures {
        return Verdict::InstanceFault;
    }
    let worst = vantage_points.values().max_by_key(|(_, failed)| *failed);
    let Some((worst_all, worst_failed)) = worst.copied() else {
        return Verdict::Unclear;
    };
    let all: u32 = vantage_points.values().map(|(all, _)| *all).sum();
    let elsewhere = all - worst_all;
    let failed_elsewhere = path_failures - worst_failed;
    let share = f64::from(failed_elsewhere) / f64::from(elsewhere.max(1));
    if failed_elsewhere >= MIN_PATH_FAILURES && share >= MIN_PATH_FAILURE_SHARE {
        return Verdict::InstanceFault;
    }
    if elsewhere >= MIN_OTHER_PATH_SAMPLES {
        return Verdict::PathFault;
    }
    Verdict::Unclear
}
