//! Shows what a publication would change.

use std::io::{self, Write};
use std::path::{Path, PathBuf};

use argh::FromArgs;
use waxwingusher_config::{Diff, Snapshot, read_publication};

use super::check::print_findings;
use super::sources::check_paths;
use super::{CmdError, Outcome, print_json};

/// Show what a publication would change. The exit code is 1 if there is a
/// difference.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// compare the teams' files with the publication in this directory
    #[argh(option)]
    against: Option<PathBuf>,

    /// print the differences as JSON
    #[argh(switch)]
    json: bool,

    /// the old and the new publication; with `--against`, directories with
    /// teams' files
    #[argh(positional)]
    dirs: Vec<PathBuf>,
}

impl DiffArgs {
    pub fn run(&self) -> Result<Outcome, CmdError> {
        let diff = match (&self.against, &*self.dirs) {
            (Some(_), []) => return Err(CmdError::Usage("diff: name at least one directory")),
            (Some(published), dirs) => {
                let (_, report) = check_paths(dirs)?;
                if !report.is_accepted() {
                    print_findings(&report)?;
                    return Ok(Outcome::Findings);
                }
                let old = read_publication(published)?.unwrap_or_default();
                Diff::between(&old, &report.snapshot)
            }
            (None, [old, new]) => Diff::between(&read_required(old)?, &read_required(new)?),
            (None, _) => {
                return Err(CmdError::Usage(
                    "diff: name the old and the new publication",
                ));
            }
        };
        if self.json {
            print_json(&diff)?;
        } else {
            write!(io::stdout(), "{diff}")?;
        }
        Ok(if diff.is_empty() {
            Outcome::Clean
        } else {
            Outcome::Findings
        })
    }
}

fn read_required(dir: &Path) -> Result<Snapshot, CmdError> {
    read_publication(dir)?.ok_or_else(|| CmdError::NoPublication {
        dir: dir.to_owned(),
    })
}
