//! The sequential test on pooled outcomes.
//!
//! For each instance the test keeps a cumulative sum of log-likelihood ratios
//! (CUSUM) of "sick" against "as the rest of the pool". The rest of the pool
//! is the median over instances, and for each failure the rate at which the
//! same workspace or route fails elsewhere.

use std::collections::HashMap;
use std::time::Instant;

use waxwingusher_protocol::health::{FailureKind, InstanceKey, OriginKey};

use crate::casebook::{Case, Casebook, Failure, Vantage};

const MIN_FAILURE_RATE: f64 = 0.02;
const MIN_SLOW_RATE: f64 = 0.05;
const SICK_FAILURE_RATE: f64 = 0.25;
const SICK_SLOW_RATE: f64 = 0.5;
const POOL_FACTOR: f64 = 2.0;
const HOPELESS_RATE: f64 = 0.45;
const ORIGIN_PRIOR: f64 = 0.3;
const UNEXPLAINED_FAILURES: u32 = 2;
const TRIMMED_SHARE: f64 = 0.3;
const MIN_CASE_SAMPLES: u32 = 3;
const CLEAR_PATH_SAMPLES: u32 = 8;

/// What the evidence on an instance says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The instance itself is at fault if the score is high enough.
    Sick,
    /// Only the path from some vantages fails.
    PathCut,
    /// Requests failed on the path, and no other vantage has tried.
    Unclear,
}

/// The test's state for one instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Score {
    /// The instance.
    pub instance: InstanceKey,
    /// The cumulative log-likelihood ratio of failures, without those that
    /// their workspace or route explains.
    pub failure: f64,
    /// The same with all failures.
    pub suspicion: f64,
    /// The cumulative log-likelihood ratio of slow answers.
    pub slow: f64,
    /// The share of failed or slow requests.
    pub bad_share: f64,
    /// The number of requests.
    pub samples: u32,
    /// What a high score means.
    pub verdict: Verdict,
}

/// Scores all instances with evidence. `pool_size` is the number of instances.
#[must_use]
pub fn score_all(book: &mut Casebook, now: Instant, pool_size: usize) -> Vec<Score> {
    let origins = origin_rates(book, now, pool_size);
    let reference = reference_rates(book, now, pool_size);
    book.cases()
        .into_iter()
        .map(|(instance, case)| score_case(instance, case, &origins, reference))
        .collect()
}

#[derive(Debug, Clone, Copy)]
struct Rates {
    failure: f64,
    slow: f64,
}

fn score_case(
    instance: InstanceKey,
    case: &Case,
    origins: &HashMap<OriginKey, f64>,
    reference: Rates,
) -> Score {
    let base = (reference.failure * POOL_FACTOR).max(MIN_FAILURE_RATE);
    let base_slow = (reference.slow * POOL_FACTOR).max(MIN_SLOW_RATE);
    let mut failure = 0.0_f64;
    let mut suspicion = 0.0_f64;
    let mut slow = 0.0_f64;
    for entry in &case.entries {
        let good = f64::from(entry.ok) * ok_step(base, SICK_FAILURE_RATE);
        let bad = entry.failures.len() as f64 * bad_step(base, SICK_FAILURE_RATE);
        suspicion = (suspicion + good + bad).max(0.0);
        let mut step = good;
        for failed in &entry.failures {
            step += bad_step(failure_base(failed, base, origins), SICK_FAILURE_RATE);
        }
        failure = (failure + step).max(0.0);
        let quick = f64::from(entry.ok - entry.slow.min(entry.ok));
        let slow_step = quick * ok_step(base_slow, SICK_SLOW_RATE)
            + f64::from(entry.slow) * bad_step(base_slow, SICK_SLOW_RATE);
        slow = (slow + slow_step).max(0.0);
    }
    let totals = case.totals();
    let samples = totals.ok + totals.failed;
    Score {
        instance,
        failure,
        suspicion,
        slow,
        bad_share: f64::from(totals.failed + totals.slow) / f64::from(samples.max(1)),
        samples,
        verdict: path_verdict(case),
    }
}

fn failure_base(failed: &Failure, base: f64, origins: &HashMap<OriginKey, f64>) -> f64 {
    let rate = |origin| origins.get(&origin).copied().unwrap_or(0.0);
    base.max(rate(failed.workspace)).max(rate(failed.route))
}

fn sick_rate(base: f64, sick: f64) -> f64 {
    if base * POOL_FACTOR < sick { sick } else { 0.9 }
}

fn bad_step(base: f64, sick: f64) -> f64 {
    if base > HOPELESS_RATE {
        return 0.0;
    }
    (sick_rate(base, sick) / base).ln()
}

fn ok_step(base: f64, sick: f64) -> f64 {
    if base > HOPELESS_RATE {
        return -1.0;
    }
    ((1.0 - sick_rate(base, sick)) / (1.0 - base)).ln()
}

/// Returns the median over instances of their rates; instances without a case
/// have the rate of all others together.
fn reference_rates(book: &mut Casebook, now: Instant, pool_size: usize) -> Rates {
    let others = book.others(now);
    let others_total = f64::from((others.ok + others.failed).max(1));
    let calm = Rates {
        failure: f64::from(others.failed) / others_total,
        slow: f64::from(others.slow) / others_total,
    };
    let mut failure = Vec::with_capacity(pool_size);
    let mut slow = Vec::with_capacity(pool_size);
    for (_, case) in book.cases() {
        let totals = case.totals();
        let samples = totals.ok + totals.failed;
        if samples < MIN_CASE_SAMPLES {
            continue;
        }
        failure.push(f64::from(totals.failed) / f64::from(samples));
        slow.push(f64::from(totals.slow) / f64::from(samples));
    }
    failure.resize(pool_size.max(failure.len()), calm.failure);
    slow.resize(pool_size.max(slow.len()), calm.slow);
    Rates {
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

/// Returns for each origin with repeated failures the rate at which it fails,
/// without the instances at which it fails most. With no success elsewhere the
/// rate is a half, which lets its failures say nothing of the instance.
fn origin_rates(book: &mut Casebook, now: Instant, pool_size: usize) -> HashMap<OriginKey, f64> {
    let mut failed: HashMap<OriginKey, Vec<u32>> = HashMap::new();
    for (_, case) in book.cases() {
        for (origin, count) in failures_by_origin(case) {
            failed.entry(origin).or_default().push(count);
        }
    }
    let trimmed = ((pool_size as f64 * TRIMMED_SHARE) as usize).max(1);
    let mut rates = HashMap::with_capacity(failed.len());
    for (origin, mut counts) in failed {
        counts.sort_unstable_by(|a, b| b.cmp(a));
        if counts.iter().sum::<u32>() <= UNEXPLAINED_FAILURES {
            continue;
        }
        let elsewhere = f64::from(counts.iter().skip(trimmed).sum::<u32>());
        let ok = f64::from(book.origin_ok(now, origin));
        let rate = (elsewhere + ORIGIN_PRIOR) / (elsewhere + ok + 2.0 * ORIGIN_PRIOR);
        rates.insert(origin, rate);
    }
    rates
}

fn failures_by_origin(case: &Case) -> HashMap<OriginKey, u32> {
    let mut counts = HashMap::new();
    for entry in &case.entries {
        for failure in &entry.failures {
            *counts.entry(failure.workspace).or_insert(0) += 1;
            *counts.entry(failure.route).or_insert(0) += 1;
        }
    }
    counts
}

/// Tells a cut path from a sick instance: a vantage from which many
/// requests succeed and none fails has a path to an instance that is well.
fn path_verdict(case: &Case) -> Verdict {
    let mut vantages: HashMap<&Vantage, (u32, u32)> = HashMap::new();
    let mut path_failures = 0;
    let mut instance_failures = 0;
    for entry in &case.entries {
        let (ok, failed) = vantages.entry(&entry.vantage).or_default();
        *ok += entry.ok;
        *failed += entry.failures.len() as u32;
        let on_path = entry
            .failures
            .iter()
            .filter(|failure| failure.kind == FailureKind::Path)
            .count();
        path_failures += on_path;
        instance_failures += entry.failures.len() - on_path;
    }
    if path_failures <= instance_failures {
        return Verdict::Sick;
    }
    let clear = vantages
        .values()
        .any(|(ok, failed)| *failed == 0 && *ok >= CLEAR_PATH_SAMPLES);
    let failing = vantages.values().filter(|(_, failed)| *failed > 0).count();
    if clear || (failing < 2 && vantages.len() > 1) {
        return Verdict::PathCut;
    }
    if failing < 2 {
        return Verdict::Unclear;
    }
    Verdict::Sick
}
