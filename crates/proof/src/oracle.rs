//! Checks the users' promises as invariants over the true time and all hosts.

mod floor;
mod observation;
mod rates;
mod versions;
mod violation;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use waxwingusher_attempts::Outcome;
use waxwingusher_config::Snapshot;
use waxwingusher_core::{HostId, InstanceId, WorkspaceName};
use waxwingusher_protocol::attempt::StoredAnswer;

use crate::call::{Call, CallKind, Operation};
use crate::sample;
use floor::FloorWatch;
pub use observation::{Conditions, Observation};
use rates::RateWatch;
use versions::HostWatch;
pub use violation::Violation;

/// The time within which an accepted configuration must be in force, and a
/// withdrawn key must be refused.
pub const CONFIG_TARGET: Duration = Duration::from_secs(6);
/// The time after which a leaving instance gets no new work.
pub const LEAVING_TARGET: Duration = Duration::from_secs(5);
/// How long a host remembers that an instance answered that it drains.
const DRAIN_MEMORY: Duration = Duration::from_secs(55);

/// One send of a request to an instance.
#[derive(Debug, Clone, Copy)]
pub struct Run<'a> {
    /// The host that sends.
    pub host: &'a HostId,
    /// The instance.
    pub instance: &'a InstanceId,
    /// The workspace that the request is sent for.
    pub workspace: &'a WorkspaceName,
    /// The version in force at the host.
    pub version: u64,
    /// Whether the instance runs the request.
    pub is_run: bool,
    /// The true time since the start of the fleet.
    pub now: Duration,
}

#[derive(Debug, Default)]
struct OperationRuns {
    runs: Vec<Duration>,
    answers: Vec<StoredAnswer>,
}

/// Compares what ran, what is in force and what callers got over the whole
/// fleet with the promises.
#[derive(Debug)]
pub struct Oracle {
    published: BTreeMap<u64, Arc<Snapshot>>,
    accepted_at: BTreeMap<u64, Duration>,
    hosts: BTreeMap<HostId, HostWatch>,
    operations: BTreeMap<Operation, OperationRuns>,
    runs: BTreeMap<u64, u32>,
    reported_not_run: BTreeSet<u64>,
    linked_since: Duration,
    rates: RateWatch,
    floor: FloorWatch,
    violations: Vec<Violation>,
    /// Events so far, to show that schedules reach the cases to be tested.
    pub counts: Counts,
}

/// Counts of the events that a schedule has reached.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that ran.
    pub runs: u64,
    /// Requests that got an answer.
    pub answers: u64,
    /// Requests that were refused as not run.
    pub not_run: u64,
    /// Requests with the outcome `unknown`.
    pub unknown: u64,
    /// Repeats that got the first answer.
    pub first_answers: u64,
    /// Steps in which an instance was ejected somewhere.
    pub ejected_steps: u64,
}

impl Counts {
    /// Adds the counts of another schedule.
    pub fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        self.answers += other.answers;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.first_answers += other.first_answers;
        self.ejected_steps += other.ejected_steps;
    }
}

impl Oracle {
    /// Creates an oracle for a fleet that starts with this configuration.
    #[must_use]
    pub fn new(first: &Arc<Snapshot>) -> Self {
        let mut oracle = Self {
            published: BTreeMap::new(),
            accepted_at: BTreeMap::new(),
            hosts: BTreeMap::new(),
            operations: BTreeMap::new(),
            runs: BTreeMap::new(),
            reported_not_run: BTreeSet::new(),
            linked_since: Duration::ZERO,
            rates: RateWatch::default(),
            floor: FloorWatch::default(),
            violations: Vec::new(),
            counts: Counts::default(),
        };
        oracle.on_published(first);
        oracle
    }

    /// Returns all broken promises.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Records a published configuration.
    pub fn on_published(&mut self, snapshot: &Arc<Snapshot>) {
        self.published.insert(snapshot.version, snapshot.clone());
    }

    /// Records a spent token.
    pub fn on_token(&mut self, workspace: &WorkspaceName, now: Duration) {
        if !self.rates.on_token(workspace, now) {
            self.record_violation(Violation::OverRate(workspace.clone()));
        }
    }

    /// Records that a request was sent to an instance.
    pub fn on_sent(&mut self, call: &Call, run: &Run<'_>) {
        self.check_key(call, run);
        self.check_leaving(run);
        if run.is_run {
            self.on_run(call, run.now);
        }
    }

    /// Records that an instance answered a host that it drains.
    pub fn on_drains(&mut self, host: &HostId, instance: &InstanceId, now: Duration) {
        let watch = self.hosts.entry(host.clone()).or_default();
        watch.drains_since.entry(instance.clone()).or_insert(now);
    }

    /// Records the answer that is stored for an operation.
    pub fn on_stored(&mut self, operation: Operation, answer: StoredAnswer) {
        let entry = self.operations.entry(operation).or_default();
        entry.answers.push(answer);
    }

    /// Records that a repeat got the first answer.
    pub fn on_first_answer(&mut self, call: &Call, answer: &StoredAnswer) {
        self.counts.first_answers += 1;
        let known = call.operation().and_then(|one| self.operations.get(&one));
        if !known.is_some_and(|known| known.answers.contains(answer)) {
            self.record_violation(Violation::CrossedAnswer(call.id));
        }
    }

    /// Records an answer to a caller.
    pub fn on_answer(&mut self, _call: &Call) {
        self.counts.answers += 1;
    }

    /// Records a refusal. After the attempt records were asked, "not run" also
    /// covers earlier attempts with the same idempotency key.
    pub fn on_refusal(&mut self, call: &Call, outcome: Outcome, has_asked: bool, now: Duration) {
        if outcome == Outcome::Unknown {
            self.counts.unknown += 1;
            return;
        }
        self.counts.not_run += 1;
        self.reported_not_run.insert(call.id);
        let has_run = self.runs.get(&call.id).is_some_and(|runs| *runs > 0);
        let operation = call.operation().filter(|_| has_asked);
        let earlier = operation.and_then(|one| self.operations.get(&one));
        let is_recent = |run: &Duration| now - *run < sample::ATTEMPT_WINDOW;
        let has_earlier = earlier.is_some_and(|known| known.runs.iter().any(is_recent));
        if has_run || has_earlier {
            self.record_violation(Violation::FalseNotRun(call.id));
        }
    }

    /// Checks the state of all processes.
    pub fn observe(&mut self, observations: &[Observation], conditions: Conditions, now: Duration) {
        self.linked_since = conditions.linked_since;
        for observation in observations {
            self.observe_version(observation, observations, conditions, now);
        }
        let newest = self.published.values().cloned().collect::<Vec<_>>();
        let in_force = |version: u64| newest.iter().find(|one| one.version == version).cloned();
        let violations = self.rates.observe(observations, in_force, now);
        self.violations.extend(violations);
        if observations
            .iter()
            .any(|observation| !observation.ejected.is_empty())
        {
            self.counts.ejected_steps += 1;
        }
        let settled = self.settled(observations, now);
        let hosts = &self.hosts;
        let is_closed = |host: &HostId, instance: &InstanceId| {
            let watch = hosts.get(host);
            watch.is_some_and(|watch| watch.is_closed(instance))
        };
        let settled = settled.as_deref();
        let violations = self.floor.observe(observations, settled, is_closed, now);
        self.violations.extend(violations);
    }

    fn on_run(&mut self, call: &Call, now: Duration) {
        self.counts.runs += 1;
        if self.reported_not_run.contains(&call.id) {
            self.record_violation(Violation::FalseNotRun(call.id));
        }
        let runs = self.runs.entry(call.id).or_default();
        *runs += 1;
        let is_repeated = *runs > 1 && call.method() == "POST";
        if is_repeated {
            self.record_violation(Violation::DoubledRequest(call.id));
        }
        let CallKind::Keyed(_) = call.kind else {
            return;
        };
        let Some(operation) = call.operation() else {
            return;
        };
        let entry = self.operations.entry(operation).or_default();
        let gap = entry.runs.last().map(|last| now - *last);
        entry.runs.push(now);
        if let Some(gap) = gap.filter(|gap| *gap < sample::ATTEMPT_WINDOW) {
            self.record_violation(Violation::DoubledOperation { operation, gap });
        }
    }

    fn record_violation(&mut self, violation: Violation) {
        self.violations.push(violation);
    }
}
