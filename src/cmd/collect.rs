//! Collects the teams' files into a publication.

use std::io::{self, Write};
use std::path::PathBuf;

use argh::FromArgs;
use serde::Serialize;
use waxwingusher_config::{Finding, WriteSummary, write_publication};

use super::check::print_findings;
use super::sources::check_paths;
use super::{CmdError, Outcome, print_json};

/// Collect the teams' files and write the values to publish. Nothing is written
/// unless all files are accepted.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "collect")]
pub struct CollectArgs {
    /// the directory of the publication; the version follows from the previous
    /// publication in it
    #[argh(option)]
    out: PathBuf,

    /// print the result as JSON
    #[argh(switch)]
    json: bool,

    /// directories that are searched for `waxwingusher.toml` and
    /// `*.waxwingusher.toml`
    #[argh(positional)]
    dirs: Vec<PathBuf>,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Report<'a> {
    accepted: bool,
    files: usize,
    collected: Option<WriteSummary>,
    findings: &'a [Finding],
}

impl CollectArgs {
    pub fn run(&self) -> Result<Outcome, CmdError> {
        if self.dirs.is_empty() {
            return Err(CmdError::Usage("collect: name at least one directory"));
        }
        let (files, report) = check_paths(&self.dirs)?;
        if files == 0 {
            return Err(CmdError::Usage("collect: no team files found"));
        }
        let mut collected = None;
        if report.is_accepted() {
            collected = Some(write_publication(&self.out, &report.snapshot)?);
        }
        if self.json {
            print_json(&Report {
                accepted: report.is_accepted(),
                files,
                collected,
                findings: &report.findings,
            })?;
        } else {
            print_findings(&report)?;
            print_collected(files, collected)?;
        }
        Ok(super::check::outcome(&report))
    }
}

fn print_collected(files: usize, collected: Option<WriteSummary>) -> Result<(), CmdError> {
    let mut out = io::stdout().lock();
    let Some(collected) = collected else {
        writeln!(out, "{files} files: not accepted, nothing written")?;
        return Ok(());
    };
    if !collected.is_new {
        writeln!(
            out,
            "{files} files: version {} is unchanged",
            collected.version
        )?;
        return Ok(());
    }
    writeln!(
        out,
        "{files} files: version {}, {} of {} packs are new, {} bytes",
        collected.version, collected.packs_written, collected.packs, collected.bytes_written
    )?;
    Ok(())
}
