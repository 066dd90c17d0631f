//! Compares the answers that callers got with the requests that upstreams ran.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use waxwingusher_standins::UpstreamServer;

use crate::caller::{CallerAnswer, CallerError, Operation};
use crate::plan::WorkspacePlan;

/// Outcomes of the requests of one operation.
#[derive(Debug, Clone, Default)]
struct OperationOutcomes {
    workspace: String,
    is_submission: bool,
    answered: u64,
    not_run: u64,
    unknown: u64,
    broken: u64,
}

/// Counts of the outcomes of one workspace, or of all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Answers of an upstream.
    pub answered: u64,
    /// Refusals with the outcome `not-run`.
    pub not_run: u64,
    /// Refusals with the outcome `unknown`.
    pub unknown: u64,
    /// Requests without a complete answer.
    pub broken: u64,
}

/// The number of refusals with a code.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CodeCount {
    /// The code.
    pub code: String,
    /// The number of refusals.
    pub count: u64,
}

/// A promise that did not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// The promise.
    pub promise: &'static str,
    /// What was observed instead.
    pub seen: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.seen)
    }
}

/// Records the answers that callers got.
#[derive(Debug, Default)]
pub struct Ledger {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    outcomes: BTreeMap<String, OperationOutcomes>,
    codes: BTreeMap<String, u64>,
    breaches: Vec<Breach>,
}

impl Ledger {
    /// Records one answer, or its absence.
    pub fn record(
        &self,
        workspace: &str,
        operation: &Operation,
        result: &Result<CallerAnswer, CallerError>,
    ) {
        let mut inner = self.lock();
        let outcomes = inner
            .outcomes
            .entry(operation.operation_id.clone())
            .or_default();
        workspace.clone_into(&mut outcomes.workspace);
        outcomes.is_submission = operation.body.is_some();
        let Ok(answer) = result else {
            outcomes.broken += 1;
            return;
        };
        if let Some(code) = &answer.code {
            *inner.codes.entry(code.clone()).or_default() += 1;
        }
        let outcomes = inner
            .outcomes
            .entry(operation.operation_id.clone())
            .or_default();
        match answer.outcome.as_deref() {
            None => outcomes.answered += 1,
            Some("not-run") => outcomes.not_run += 1,
            Some(_) => outcomes.unknown += 1,
        }
        let is_whole = answer.status != 200 || is_own(operation, answer);
        if !is_whole {
            let promise = "each caller gets its own whole answer";
            let seen = format!("{}: {:?}", operation.operation_id, answer.body);
            inner.breaches.push(Breach { promise, seen });
        }
    }

    /// Returns the counts of one workspace, or of all.
    #[must_use]
    pub fn tally(&self, workspace: Option<&str>) -> Tally {
        let inner = self.lock();
        let mut tally = Tally::default();
        for outcomes in inner.outcomes.values() {
            if workspace.is_some_and(|name| name != outcomes.workspace) {
                continue;
            }
            tally.answered += outcomes.answered;
            tally.not_run += outcomes.not_run;
            tally.unknown += outcomes.unknown;
            tally.broken += outcomes.broken;
        }
        tally
    }

    /// Returns the codes of refusals with their counts.
    #[must_use]
    pub fn codes(&self) -> Vec<CodeCount> {
        let inner = self.lock();
        let codes = inner.codes.iter();
        codes
            .map(|(code, count)| CodeCount {
                code: code.clone(),
                count: *count,
            })
            .collect()
    }

    /// Returns every promise that did not hold.
    #[must_use]
    pub fn check(
        &self,
        upstreams: &[UpstreamServer],
        workspaces: &[WorkspacePlan],
        elapsed: Duration,
    ) -> Vec<Breach> {
        let inner = self.lock();
        let mut breaches = inner.breaches.clone();
        for (operation, outcomes) in &inner.outcomes {
            let runs = runs_of(upstreams, operation);
            if outcomes.is_submission && runs > 1 {
                let promise = "a non-idempotent request runs at most once";
                let seen = format!("{operation} ran {runs} times");
                breaches.push(Breach { promise, seen });
            }
            let all_not_run = outcomes.answered + outcomes.unknown + outcomes.broken == 0;
            if all_not_run && runs > 0 {
                let promise = "\"not run\" is true";
                let seen = format!("{operation} ran {runs} times");
                breaches.push(Breach { promise, seen });
            }
        }
        drop(inner);
        breaches.extend(key_breaches(upstreams, workspaces));
        breaches.extend(self.rate_breaches(workspaces, elapsed));
        breaches
    }

    fn rate_breaches(&self, workspaces: &[WorkspacePlan], elapsed: Duration) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for workspace in workspaces {
            let answered = self.tally(Some(&workspace.name)).answered;
            let granted = workspace.rate_per_s * elapsed.as_secs_f64();
            let allowed = f64::from(workspace.burst) + granted;
            if answered as f64 <= allowed {
                continue;
            }
            breaches.push(Breach {
                promise: "no workspace exceeds its rate and burst",
                seen: format!(
                    "{} got {answered} answers, {allowed:.0} allowed",
                    workspace.name
                ),
            });
        }
        breaches
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how often an operation ran on any instance.
#[must_use]
pub fn runs_of(upstreams: &[UpstreamServer], operation: &str) -> u64 {
    upstreams.iter().map(|one| one.runs_of(operation)).sum()
}

fn is_own(operation: &Operation, answer: &CallerAnswer) -> bool {
    match &operation.body {
        Some(body) => answer.body == *body,
        None => answer.echoed_target.as_deref() == Some(&*operation.target),
    }
}

fn key_breaches(upstreams: &[UpstreamServer], workspaces: &[WorkspacePlan]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for workspace in workspaces {
        if workspace.key.is_empty() {
            continue;
        }
        for upstream in upstreams {
            if !upstream.has_seen(workspace.key.as_bytes()) {
                continue;
            }
            breaches.push(Breach {
                promise: "no upstream sees a key",
                seen: format!("{} saw the key of {}", upstream.addr(), workspace.name),
            });
        }
    }
    breaches
}
