//! The scenarios of attempt records.

use std::ops::Range;
use std::thread;

use waxwingusher_attempts::WitnessPlan;

use super::cost::{Memory, Messages};
use super::oracle::Violation;
use super::resilience::{QuarantineSpread, RetryOutage};
use super::schedule::run_schedule;
use super::unknown_share::UnknownShare;
use crate::scenario::{Bound, Measurement, Scenario, ScenarioResult};

/// The number of schedules in one run.
const SCHEDULES: u64 = 10_000;

/// The number of threads that run the schedules.
const THREADS: u64 = 4;

/// Returns all scenarios of attempt records.
#[must_use]
pub fn scenarios() -> Vec<Box<dyn Scenario>> {
    vec![
        Box::new(Schedules),
        Box::new(UnknownShare),
        Box::new(Messages),
        Box::new(Memory),
        Box::new(RetryOutage),
        Box::new(QuarantineSpread),
    ]
}

/// Runs random schedules of faults and counts the violations that the oracle finds.
struct Schedules;

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    schedules: u64,
    duplicate_runs: u64,
    false_not_run: u64,
    wrong_answers: u64,
    runs: u64,
    repeats: u64,
}

impl Scenario for Schedules {
    fn name(&self) -> &'static str {
        "attempts/schedules"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let first = seed.wrapping_mul(SCHEDULES);
        let share = SCHEDULES / THREADS;
        let counts = thread::scope(|scope| {
            let starts = (0..THREADS).map(|thread| first.wrapping_add(thread * share));
            let threads: Vec<_> = starts
                .map(|start| scope.spawn(move || count(start..start.wrapping_add(share))))
                .collect();
            let finished = threads.into_iter().filter_map(|thread| thread.join().ok());
            finished.fold(Counts::default(), Counts::add)
        });
        let never = Bound::AtMost(0.0);
        let count = |name: &str, value: u64| Measurement::new(name, value as f64, "count");
        let measurements = vec![
            count("schedules", counts.schedules).bounded(Bound::AtLeast(SCHEDULES as f64)),
            count("doubled", counts.duplicate_runs).bounded(never),
            count("false-not-run", counts.false_not_run).bounded(never),
            count("crossed", counts.wrong_answers).bounded(never),
            count("runs", counts.runs).bounded(Bound::AtLeast(SCHEDULES as f64)),
            count("repeats", counts.repeats),
        ];
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements,
        }
    }
}

impl Counts {
    fn add(self, other: Self) -> Self {
        Self {
            schedules: self.schedules + other.schedules,
            duplicate_runs: self.duplicate_runs + other.duplicate_runs,
            false_not_run: self.false_not_run + other.false_not_run,
            wrong_answers: self.wrong_answers + other.wrong_answers,
            runs: self.runs + other.runs,
            repeats: self.repeats + other.repeats,
        }
    }
}

fn count(seeds: Range<u64>) -> Counts {
    let mut counts = Counts::default();
    for seed in seeds {
        let fleet = run_schedule(seed, WitnessPlan::Majority);
        let tally = fleet.oracle().tally();
        counts.schedules += 1;
        counts.runs += tally.runs;
        counts.repeats += tally.repeats;
        for violation in fleet.oracle().violations() {
            log::error!("schedules: seed {seed} violates a guarantee: {violation:?}");
            match violation {
                Violation::DuplicateRun { .. } => counts.duplicate_runs += 1,
                Violation::FalseNotRun { .. } => counts.false_not_run += 1,
                Violation::WrongAnswer { .. } => counts.wrong_answers += 1,
            }
        }
    }
    counts
}
