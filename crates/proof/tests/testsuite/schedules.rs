//! Runs schedules from fixed seeds, or from a seed in the environment.

use std::env;

use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestCaseError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::machine::{FleetMachine, Model, REACHED};

/// The number of actions in a schedule.
const ACTIONS: std::ops::Range<usize> = 20..80;
/// The number of schedules in each test, unless the environment sets it.
const CASES: u32 = 6;
/// The variable that sets the number of schedules in each test.
const CASES_VARIABLE: &str = "PROOF_CASES";
/// The variable that replaces the seed of each test. It is combined with the
/// test's own seed, so that tests still differ.
const SEED_VARIABLE: &str = "PROOF_SEED";

/// The variable that sets how many shorter traces are run after a failure.
const SHRINK_VARIABLE: &str = "PROOF_SHRINK";
/// The number of shorter traces after a failure, unless the environment sets
/// it.
const SHRINK_STEPS: u64 = 400;

fn number(variable: &str) -> Option<u64> {
    env::var(variable).ok()?.parse().ok()
}

/// Runs schedules, and fails with the shortest trace that breaks a promise.
fn run(own_seed: u64) {
    let seed = number(SEED_VARIABLE).map_or(own_seed, |seed| seed ^ (own_seed << 32));
    let cases = number(CASES_VARIABLE).and_then(|cases| cases.try_into().ok());
    let shrink_steps = number(SHRINK_VARIABLE).unwrap_or(SHRINK_STEPS);
    let config = Config {
        cases: cases.unwrap_or(CASES),
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: shrink_steps.try_into().unwrap_or(u32::MAX),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let strategy = Model::sequential_strategy(ACTIONS);
    let outcome = runner.run(&strategy, |(model, actions, seen)| {
        FleetMachine::test_sequential(config.clone(), model, actions, seen);
        Ok::<(), TestCaseError>(())
    });
    if let Err(error) = outcome {
        panic!("seed {seed}: {error}");
    }
    let reached = REACHED.take();
    let cases = u64::from(config.cases);
    assert!(
        reached.runs >= 50 * cases,
        "too few requests ran: {reached:?}"
    );
    assert!(
        reached.not_run >= 50 * cases,
        "too few requests were refused: {reached:?}"
    );
    assert!(
        reached.unknown >= cases,
        "too few outcomes are unknown: {reached:?}"
    );
    assert!(
        reached.first_answers >= cases,
        "too few repeats got the first answer: {reached:?}"
    );
    assert!(
        reached.ejected_steps >= cases,
        "too few steps with an ejection: {reached:?}"
    );
}

#[test]
fn promises_hold_1() {
    run(1);
}

#[test]
fn promises_hold_2() {
    run(2);
}

#[test]
fn promises_hold_3() {
    run(3);
}

#[test]
fn promises_hold_4() {
    run(4);
}
