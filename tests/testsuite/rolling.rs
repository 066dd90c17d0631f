//! Replacement of hosts under load.

use waxwingusher_emulator::rolling::{self, Replacement, RollingPlan, RollingReport};
use waxwingusher_emulator::steady::SteadyLoad;

const FAILURE_DOMAINS: [&str; 2] = ["north", "south"];
const HOSTS_PER_DOMAIN: usize = 2;

fn replace_one(replacement: Replacement, rate_fraction: f64) -> RollingReport {
    let plan = RollingPlan::new(replacement, &FAILURE_DOMAINS, HOSTS_PER_DOMAIN);
    let plan = RollingPlan {
        max_replaced: Some(1),
        load: SteadyLoad {
            rate_fraction,
            ..plan.load
        },
        ..plan
    };
    rolling::run(&mut std::io::sink(), plan, 5).expect("the fleet runs")
}

#[test]
fn a_planned_stop_cuts_nothing_and_leaves_nothing_unknown() {
    let report = replace_one(Replacement::StoppedSameName, 0.4);
    let counts = &report.counts;
    for count in [
        &counts.reads,
        &counts.keyed,
        &counts.repeats,
        &counts.unkeyed,
    ] {
        assert!(count.answered > 0);
        assert_eq!((count.broken, count.unknown), (0, 0), "{report:?}");
    }
    // Refusals within the rate depend on the load of the machine, so they are not
    // checked here; `demo` counts them.
    let is_refusal = |promise: &str| promise.contains("refuse");
    let mut breaches = report.breaches.iter();
    assert!(
        breaches.all(|breach| is_refusal(breach.promise)),
        "{report:?}"
    );
}

#[test]
fn a_killed_holder_neither_exceeds_the_rate_nor_runs_a_request_twice() {
    let report = replace_one(Replacement::Killed, 2.0);
    assert_eq!(report.breaches, []);
    let counts = &report.counts;
    assert!(counts.reads.answered > 0 && counts.reads.not_run > 0);
}
