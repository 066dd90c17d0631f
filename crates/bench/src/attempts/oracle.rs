//! Records the runs of each operation and checks the answers of callers against
//! them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use waxwingusher_attempts::{Permission, UnknownCause};
use waxwingusher_protocol::attempt::StoredAnswer;

/// A violation of a guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// An operation ran twice within the window.
    DuplicateRun {
        /// The operation.
        operation: usize,
        /// The time between the runs.
        gap: Duration,
    },
    /// A caller got the outcome "not run" although the operation had run.
    FalseNotRun {
        /// The operation.
        operation: usize,
    },
    /// A caller got the answer of another operation, or one that was never given.
    WrongAnswer {
        /// The operation.
        operation: usize,
    },
}

/// Counts of runs, sends and their outcomes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Runs at the upstream.
    pub runs: u64,
    /// First sends of an operation.
    pub first_sends: u64,
    /// First sends with an unknown outcome that were not dispatched.
    pub first_unknown: u64,
    /// Repeats of an operation.
    pub repeats: u64,
    /// Repeats that got the recorded answer of the first run.
    pub first_answers: u64,
    /// Repeats with an unknown outcome.
    pub repeat_unknown: u64,
    /// Sends that were refused because another one was in progress.
    pub in_progress: u64,
    /// Sends with the outcome "not run".
    pub not_run: u64,
}

#[derive(Debug, Default)]
struct Operation {
    runs: Vec<Instant>,
    answers: Vec<StoredAnswer>,
    sends: u64,
}

/// The true history of all operations of a fleet.
#[derive(Debug)]
pub struct Oracle {
    window: Duration,
    operations: BTreeMap<usize, Operation>,
    violations: Vec<Violation>,
    tally: Tally,
}

impl Oracle {
    /// Creates an oracle that checks for duplicate runs within a window.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            operations: BTreeMap::new(),
            violations: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// Returns all violations.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the counts of runs, sends and outcomes.
    #[must_use]
    pub const fn tally(&self) -> Tally {
        self.tally
    }

    /// Records a send and returns whether it is the operation's first.
    pub fn on_send(&mut self, operation: usize) -> bool {
        let entry = self.operations.entry(operation).or_default();
        entry.sends += 1;
        if entry.sends == 1 {
            self.tally.first_sends += 1;
        } else {
            self.tally.repeats += 1;
        }
        entry.sends == 1
    }

    /// Records that an upstream started to run an operation.
    pub fn on_run(&mut self, operation: usize, now: Instant) {
        let entry = self.operations.entry(operation).or_default();
        if let Some(last) = entry.runs.last() {
            let gap = now.saturating_duration_since(*last);
            if gap < self.window {
                self.violations
                    .push(Violation::DuplicateRun { operation, gap });
            }
        }
        entry.runs.push(now);
        self.tally.runs += 1;
    }

    /// Records the answer of a run.
    pub fn on_answer(&mut self, operation: usize, answer: StoredAnswer) {
        let entry = self.operations.entry(operation).or_default();
        entry.answers.push(answer);
    }

    /// Records that a caller got the outcome "not run".
    pub fn on_not_run(&mut self, operation: usize, now: Instant) {
        self.tally.not_run += 1;
        let entry = self.operations.entry(operation).or_default();
        let ran = |run: &Instant| now.saturating_duration_since(*run) < self.window;
        if entry.runs.iter().any(ran) {
            self.violations.push(Violation::FalseNotRun { operation });
        }
    }

    /// Records a decision; all but [`Permission::Run`] end the attempt.
    pub fn on_decision(
        &mut self,
        operation: usize,
        is_first: bool,
        permission: &Permission,
        now: Instant,
    ) {
        match permission {
            Permission::Run => {}
            Permission::FirstAnswer(answer) => {
                self.tally.first_answers += 1;
                let entry = self.operations.entry(operation).or_default();
                if !entry.answers.contains(answer) {
                    self.violations.push(Violation::WrongAnswer { operation });
                }
            }
            Permission::InProgress { .. } => self.tally.in_progress += 1,
            Permission::Unknown(cause) => self.on_unknown(is_first, *cause),
            Permission::Misuse => self.on_not_run(operation, now),
        }
    }

    fn on_unknown(&mut self, is_first: bool, _cause: UnknownCause) {
        if is_first {
            self.tally.first_unknown += 1;
        } else {
            self.tally.repeat_unknown += 1;
        }
    }
}
