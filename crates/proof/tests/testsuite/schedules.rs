//! Schedules from fixed seeds, or from a seed of the environment.

use std::env;

use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestCaseError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::machine::{FleetMachine, Model, REACHED};

/// Actions of one schedule.
const ACTIONS: std::ops::Range<usize> = 20..80;
/// Schedules of each test, unless the environment asks for more.
const CASES: u32 = 6;
/// Sets the number of schedules of each test.
const CASES_VARIABLE: &str = "PROOF_CASES";
/// Sets the seed of each test in place of its own.
const SEED_VARIABLE: &str = "PROOF_SEED";

/// Sets how many shorter traces are tried after a failure.
const SHRINK_VARIABLE: &str = "PROOF_SHRINK";
/// The same, unless the environment says otherwise.
const SHRINK_STEPS: u64 = 400;

fn number(variable: &str) -> Option<u64> {
    env::var(variable).ok()?.parse().ok()
}

/// Runs schedules, and prints the shortest trace that breaks a promise.
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
        "too few were refused: {reached:?}"
    );
    assert!(reached.unknown >= cases, "too few are unknown: {reached:?}");
    assert!(
        reached.first_answers >= cases,
        "too few repeats: {reached:?}"
    );
    assert!(
        reached.ejected_steps >= cases,
        "too few ejections: {reached:?}"
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
