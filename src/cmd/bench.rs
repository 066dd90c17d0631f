//! Runs seeded scenarios and checks their bounds.

use std::io::{self, Write};
use std::path::PathBuf;

use argh::FromArgs;
use waxwingusher_bench::baseline::{Baseline, Regression};
use waxwingusher_bench::{report, runner};

use super::{CmdError, Outcome, print_json};

/// Run seeded scenarios in virtual time, and report the measurements that miss
/// their bounds or are worse than in a baseline.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchArgs {
    /// prefixes of the names of the scenarios to run (all)
    #[argh(positional)]
    names: Vec<String>,
    /// the seed (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// print the names of the scenarios and run none
    #[argh(switch)]
    list: bool,
    /// write results.json, report.html and plots into this directory
    #[argh(option)]
    out: Option<PathBuf>,
    /// print the results as JSON
    #[argh(switch)]
    json: bool,
    /// compare with the baseline in this file
    #[argh(option)]
    baseline: Option<PathBuf>,
    /// write the results to this file, replacing those of the same scenarios
    /// and seed
    #[argh(option)]
    write_baseline: Option<PathBuf>,
}

impl BenchArgs {
    pub fn run(&self) -> Result<Outcome, CmdError> {
        let mut scenarios = runner::all_scenarios();
        scenarios.retain(|scenario| self.selects(scenario.name()));
        if scenarios.is_empty() {
            return Err(CmdError::Usage(
                "bench: no scenario name starts with a given prefix",
            ));
        }
        if self.list {
            let mut out = io::stdout().lock();
            for scenario in &scenarios {
                writeln!(out, "{}", scenario.name())?;
            }
            return Ok(Outcome::Clean);
        }
        let results = runner::run(&scenarios, self.seed, |result, elapsed| {
            eprintln!(
                "bench: {} took {:.1} s.",
                result.scenario,
                elapsed.as_secs_f64()
            );
        });
        if let Some(dir) = &self.out {
            report::write(&results, dir)?;
        }
        if self.json {
            print_json(&results)?;
        } else {
            print_table(&results)?;
        }
        let shortfalls = results.shortfalls();
        for shortfall in &shortfalls {
            let runner::Shortfall { name, value, bound } = shortfall;
            eprintln!("bench: {name} is {value}, the bound is {bound:?}.");
        }
        let has_no_regression = self.compare(&results)?;
        if let Some(path) = &self.write_baseline {
            let mut baseline = if path.exists() {
                Baseline::read(path)?
            } else {
                Baseline::default()
            };
            baseline.update(&results);
            baseline.write(path)?;
        }
        Ok(if shortfalls.is_empty() && has_no_regression {
            Outcome::Clean
        } else {
            Outcome::Findings
        })
    }

    /// Compares with the baseline, if one is given, and reports whether no
    /// measurement is worse or missing.
    fn compare(&self, results: &runner::BenchResults) -> Result<bool, CmdError> {
        let Some(path) = &self.baseline else {
            return Ok(true);
        };
        let comparison = Baseline::read(path)?.compare(results);
        for regression in &comparison.regressions {
            let Regression {
                name,
                seed,
                before,
                now,
            } = regression;
            eprintln!("bench: {name} (seed {seed}) is {now}, the baseline has {before}.");
        }
        for name in &comparison.missing {
            eprintln!("bench: {name} is in the baseline but was not measured.");
        }
        eprintln!(
            "bench: {} values equal the baseline, {} differ, {} are worse, {} are new.",
            comparison.equal,
            comparison.changed,
            comparison.regressions.len(),
            comparison.new
        );
        Ok(comparison.passes())
    }

    fn selects(&self, name: &str) -> bool {
        self.names.is_empty() || self.names.iter().any(|prefix| name.starts_with(prefix))
    }
}

fn print_table(results: &runner::BenchResults) -> io::Result<()> {
    let mut out = io::stdout().lock();
    for result in &results.results {
        writeln!(out, "{} (seed {})", result.scenario, result.seed)?;
        for measurement in &result.measurements {
            let mark = if measurement.is_within_bound() {
                ' '
            } else {
                '!'
            };
            writeln!(
                out,
                "{mark} {:<56} {:>16.6} {}",
                measurement.name, measurement.value, measurement.unit
            )?;
        }
    }
    Ok(())
}
