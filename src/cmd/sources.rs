//! Finds and reads the teams' files.

use std::ffi::OsStr;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_config::{CheckReport, TeamText, check};
use waxwingusher_core::{Clock, SystemClock};

use super::CmdError;

/// The name of a team's file, alone or after a dot.
const FILE_NAME: &str = "waxwingusher.toml";

/// The shortest time between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Prints progress lines on standard error, at most one per second.
pub struct Progress {
    clock: Arc<dyn Clock>,
    last_report: Instant,
}

impl Progress {
    pub fn new() -> Self {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let last_report = clock.now();
        Self { clock, last_report }
    }

    /// Prints a line unless another one was printed within the interval.
    pub fn report(&mut self, line: &str) {
        let now = self.clock.now();
        if now.duration_since(self.last_report) < PROGRESS_INTERVAL {
            return;
        }
        self.last_report = now;
        let _ = writeln!(io::stderr(), "{line}");
    }
}

/// Reads all team files of a list of files and directories, and checks them.
pub fn check_paths(paths: &[PathBuf]) -> Result<(usize, CheckReport), CmdError> {
    let mut progress = Progress::new();
    let mut files = Vec::new();
    for path in paths {
        find_team_files(path, &mut files)?;
    }
    files.sort();
    files.dedup();
    let mut texts = Vec::with_capacity(files.len());
    for path in &files {
        texts.push(read_team_file(path)?);
        progress.report(&format!("read {} of {} files", texts.len(), files.len()));
    }
    progress.report(&format!("checking {} files", texts.len()));
    Ok((texts.len(), check(&texts, 1)))
}

fn read_team_file(path: &Path) -> Result<TeamText, CmdError> {
    let text = fs::read_to_string(path).map_err(|source| CmdError::Read {
        path: path.to_owned(),
        source,
    })?;
    Ok(TeamText {
        path: path.to_owned(),
        text,
    })
}

/// Adds a file, or all team files below a directory; hidden directories are
/// skipped.
fn find_team_files(path: &Path, files: &mut Vec<PathBuf>) -> Result<(), CmdError> {
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    let read_error = |source| CmdError::Read {
        path: path.to_owned(),
        source,
    };
    for entry in fs::read_dir(path).map_err(read_error)? {
        let entry = entry.map_err(read_error)?;
        let name = entry.file_name();
        let entry_type = entry.file_type().map_err(read_error)?;
        if entry_type.is_dir() && !name.as_encoded_bytes().starts_with(b".") {
            find_team_files(&entry.path(), files)?;
        } else if entry_type.is_file() && is_team_file(&name) {
            files.push(entry.path());
        }
    }
    Ok(())
}

fn is_team_file(name: &OsStr) -> bool {
    let name = name.to_string_lossy();
    name.strip_suffix(FILE_NAME)
        .is_some_and(|stem| stem.is_empty() || stem.ends_with('.'))
}
