//! A randomized soak: real hosts as processes of their own, faults from outside
//! of them, and the promises checked from what callers and instances see.
//!
//! `SOAK_SEEDS=10..60 SOAK_SECONDS=12 cargo test --release --test soak -- --nocapture`
//! runs other seeds, and for another time, than CI does.

mod callers;
mod hosts;
mod instances;
mod plan;
mod proxy;
mod run;
#[path = "../../platform/tests/testsuite/store.rs"]
#[expect(dead_code, reason = "the adapter's tests use more of the stand-in")]
mod store;

use std::time::Duration;

use crate::run::soak;

/// The seeds that run in CI.
const CI_SEEDS: &str = "1..3";
/// How long a seed runs in CI, in seconds.
const CI_SECONDS: &str = "8";
/// Seeds that failed once, each with the cause.
///
/// - 308: a host that stood still woke up with its buckets full, and its peers
///   ignored what it admitted in the 100 ms after that.
/// - 315: the only seed was restarted as planned and known to nobody afterwards, so
///   two parts of the fleet granted whole rates.
const REGRESSIONS: [u64; 2] = [308, 315];

fn setting(variable: &str, default: &str) -> String {
    std::env::var(variable).unwrap_or_else(|_| default.to_owned())
}

#[test]
fn promises_hold_under_faults() {
    let seeds = setting("SOAK_SEEDS", CI_SEEDS);
    let (first, end) = seeds.split_once("..").expect("a range such as 10..20");
    let first: u64 = first.parse().expect("a number");
    let end: u64 = end.parse().expect("a number");
    let seconds = setting("SOAK_SECONDS", CI_SECONDS)
        .parse()
        .expect("a number");
    let length = Duration::from_secs(seconds);
    let mut failed = Vec::new();
    for seed in (first..end).chain(REGRESSIONS) {
        let report = soak(seed, length);
        println!(
            "seed {seed}: {} of {} served, {report:?}",
            report.served, report.sent
        );
        if !report.broken.is_empty() || report.served == 0 {
            failed.push((seed, report));
        }
    }
    assert!(failed.is_empty(), "failed seeds: {failed:#?}");
}
