//! Counts the runs of each operation, and checks what callers were told.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use waxwingusher_attempts::{Permission, UnknownCause};
use waxwingusher_protocol::attempt::StoredAnswer;

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// An operation ran twice within the window.
    Doubled {
        /// The operation.
        operation: usize,
        /// The time between the runs.
        gap: Duration,
    },
    /// A caller was told "not run" although the operation had run.
    FalseNotRun {
        /// The operation.
        operation: usize,
    },
    /// A caller got the answer of another operation, or one that never was.
    Crossed {
        /// The operation.
        operation: usize,
    },
}

/// What callers were told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Runs at the upstream.
    pub runs: u64,
    /// First sends of an operation.
    pub first_sends: u64,
    /// First sends that ended as unknown without having been dispatched.
    pub first_unknown: u64,
    /// Repeats of an operation.
    pub repeats: u64,
    /// Repeats that got the first answer.
    pub first_answers: u64,
    /// Repeats that ended as unknown.
    pub repeat_unknown: u64,
    /// Sends refused since another one was running.
    pub in_progress: u64,
    /// Sends that were told "not run".
    pub not_run: u64,
}

#[derive(Debug, Default)]
struct Operation {
    runs: Vec<Instant>,
    answers: Vec<StoredAnswer>,
    sends: u64,
}

/// The truth about all operations of a fleet.
#[derive(Debug)]
pub struct Oracle {
    window: Duration,
    operations: BTreeMap<usize, Operation>,
    violations: Vec<Violation>,
    tally: Tally,
}

impl Oracle {
    /// Creates an oracle for a window.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            operations: BTreeMap::new(),
            violations: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// Returns all broken promises.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns what callers were told.
    #[must_use]
    pub const fn tally(&self) -> Tally {
        self.tally
    }

    /// Notes a send, and returns whether it is the operation's first.
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

    /// Notes that an upstream began to run an operation.
    pub fn on_run(&mut self, operation: usize, now: Instant) {
        let entry = self.operations.entry(operation).or_default();
        if let Some(last) = entry.runs.last() {
            let gap = now.saturating_duration_since(*last);
            if gap < self.window {
                self.violations.push(Violation::Doubled { operation, gap });
            }
        }
        entry.runs.push(now);
        self.tally.runs += 1;
    }

    /// Notes the answer of a run.
    pub fn on_answer(&mut self, operation: usize, answer: StoredAnswer) {
        let entry = self.operations.entry(operation).or_default();
        entry.answers.push(answer);
    }

    /// Notes that a caller was told "not run".
    pub fn on_not_run(&mut self, operation: usize, now: Instant) {
        self.tally.not_run += 1;
        let entry = self.operations.entry(operation).or_default();
        let ran = |run: &Instant| now.saturating_duration_since(*run) < self.window;
        if entry.runs.iter().any(ran) {
            self.violations.push(Violation::FalseNotRun { operation });
        }
    }

    /// Notes a decision that ends an attempt.
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
                    self.violations.push(Violation::Crossed { operation });
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
