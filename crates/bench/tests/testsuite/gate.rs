//! Runs quick scenarios and checks them against their bounds and the baseline.

use std::path::Path;

use waxwingusher_bench::baseline::Baseline;
use waxwingusher_bench::runner;

/// Scenarios that take a few seconds in a debug build.
const QUICK: [&str; 6] = [
    "attempts/quarantine-spread",
    "attempts/retries-in-outage",
    "membership/dead-host-40",
    "membership/loss-1-percent-40",
    "membership/loss-20-percent-40",
    "membership/pause-10-s-40",
];

#[test]
fn quick_scenarios_keep_their_bounds_and_the_baseline() {
    let mut scenarios = runner::all_scenarios();
    scenarios.retain(|scenario| QUICK.contains(&scenario.name()));
    assert_eq!(scenarios.len(), QUICK.len(), "a quick scenario is missing");
    let results = runner::run(&scenarios, 1, |_, _| {});
    assert_eq!(results.shortfalls(), []);
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("baseline.json");
    let baseline = Baseline::read(&path).expect("the baseline is committed");
    let comparison = baseline.compare(&results);
    assert!(comparison.passes(), "{comparison:?}");
    assert_eq!(comparison.new, 0, "the baseline lacks values");
}

#[test]
fn the_same_seed_gives_the_same_result() {
    let mut scenarios = runner::all_scenarios();
    scenarios.retain(|scenario| scenario.name() == "membership/loss-1-percent-40");
    let run = || runner::run(&scenarios, 3, |_, _| {});
    let first = run();
    assert!(!first.results.is_empty());
    assert_eq!(run(), first);
}
