//! Runs seeded scenarios and checks their bounds.

use std::io::{self, Write};
use std::path::PathBuf;

use argh::FromArgs;
use waxwingusher_bench::{report, runner};

use super::{CmdError, Outcome, print_json};

/// Run seeded scenarios in virtual time, and report the values that fall short
/// of their bounds.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchArgs {
    /// the start of the names of the scenarios to run (all)
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
}

impl BenchArgs {
    pub fn run(&self) -> Result<Outcome, CmdError> {
        let mut scenarios = runner::all_scenarios();
        scenarios.retain(|scenario| self.selects(scenario.name()));
        if scenarios.is_empty() {
            return Err(CmdError::Usage("no scenario has a name that starts so"));
        }
        if self.list {
            let mut out = io::stdout().lock();
            for scenario in &scenarios {
                writeln!(out, "{}", scenario.name())?;
            }
            return Ok(Outcome::Clean);
        }
        let results = runner::run(&scenarios, self.seed, |result, took| {
            eprintln!(
                "bench: {} took {:.1} s.",
                result.scenario,
                took.as_secs_f64()
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
            eprintln!("bench: {name} is {value}, allowed is {bound:?}.");
        }
        Ok(if shortfalls.is_empty() {
            Outcome::Clean
        } else {
            Outcome::Findings
        })
    }

    fn selects(&self, name: &str) -> bool {
        self.names.is_empty() || self.names.iter().any(|start| name.starts_with(start))
    }
}

fn print_table(results: &runner::BenchResults) -> io::Result<()> {
    let mut out = io::stdout().lock();
    for result in &results.results {
        writeln!(out, "{} (seed {})", result.scenario, result.seed)?;
        for measurement in &result.measurements {
            let mark = if measurement.holds() { ' ' } else { '!' };
            writeln!(
                out,
                "{mark} {:<56} {:>16.6} {}",
                measurement.name, measurement.value, measurement.unit
            )?;
        }
    }
    Ok(())
}
