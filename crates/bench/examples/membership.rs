//! Runs the scenarios of failure detection and prints their measurements.

use std::io::{self, Write};

use waxwingusher_bench::membership::scenarios;

const DEFAULT_SEED: u64 = 1;

fn main() -> io::Result<()> {
    let mut args = std::env::args().skip(1);
    let filter = args.next().unwrap_or_default();
    let seed = args.next().and_then(|arg| arg.parse().ok());
    let mut out = io::stdout().lock();
    for scenario in scenarios() {
        if !scenario.name().contains(&filter) {
            continue;
        }
        let result = scenario.run(seed.unwrap_or(DEFAULT_SEED));
        writeln!(out, "{} seed {}", result.scenario, result.seed)?;
        for measurement in result.measurements {
            let verdict = if measurement.is_within_bound() {
                ""
            } else {
                "  OUT OF BOUND"
            };
            let (name, value, unit) = (&measurement.name, measurement.value, &measurement.unit);
            writeln!(out, "  {name}: {value:.6} {unit}{verdict}")?;
        }
    }
    Ok(())
}
