//! Checks the teams' files as one configuration.

use std::io::{self, Write};
use std::path::PathBuf;

use argh::FromArgs;
use serde::Serialize;
use waxwingusher_config::{CheckReport, Finding};

use super::sources::check_paths;
use super::{CmdError, Outcome, print_json};

/// Check the teams' files as one configuration and report all errors at once.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// print the findings as JSON
    #[argh(switch)]
    json: bool,

    /// files, or directories that are searched for `waxwingusher.toml` and
    /// `*.waxwingusher.toml`
    #[argh(positional)]
    files: Vec<PathBuf>,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Report<'a> {
    accepted: bool,
    files: usize,
    findings: &'a [Finding],
}

impl CheckArgs {
    pub fn run(&self) -> Result<Outcome, CmdError> {
        if self.files.is_empty() {
            return Err(CmdError::Usage("check: name at least one file"));
        }
        let (files, report) = check_paths(&self.files)?;
        if self.json {
            print_json(&Report {
                accepted: report.is_accepted(),
                files,
                findings: &report.findings,
            })?;
            return Ok(outcome(&report));
        }
        print_findings(&report)?;
        let snapshot = &report.snapshot;
        writeln!(
            io::stdout(),
            "{files} files, {} services, {} routes, {} workspaces: {}",
            snapshot.services.len(),
            snapshot.routes.len(),
            snapshot.workspaces.len(),
            if report.is_accepted() {
                "accepted"
            } else {
                "not accepted"
            },
        )?;
        Ok(outcome(&report))
    }
}

/// Prints one finding per line.
pub fn print_findings(report: &CheckReport) -> Result<(), CmdError> {
    let mut out = io::stdout().lock();
    for finding in &report.findings {
        writeln!(out, "{finding}")?;
    }
    Ok(())
}

/// Returns the outcome of a check. Warnings alone do not count as findings.
pub fn outcome(report: &CheckReport) -> Outcome {
    if report.is_accepted() {
        return Outcome::Clean;
    }
    Outcome::Findings
}
