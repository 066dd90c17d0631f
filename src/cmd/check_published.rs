//! Checks a configuration in the platform's format before it is published.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use argh::{FromArgValue, FromArgs};
use serde::Serialize;
use waxwingusher_config::routing::EntryKind;
use waxwingusher_config::routing::review::{Mistake, changes_between, review};
use waxwingusher_config::{Diff, Severity};
use waxwingusher_platform::{PublishedDocument, parse_published};

use super::{CmdError, Outcome, print_json};

/// Check a configuration in the platform's format before it is published. The exit code
/// is 0 without findings, 1 with any, also warnings, and 2 if the file cannot be read.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check-published")]
pub struct CheckPublishedArgs {
    /// also show what changes for callers since the configuration in this file; changes
    /// alone do not affect the exit code
    #[argh(option)]
    against: Option<PathBuf>,

    /// the format of the output, `text` (default) or `json`
    #[argh(option, default = "Format::Text")]
    format: Format,

    /// the file with the configuration
    #[argh(positional)]
    file: PathBuf,
}

/// The format of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Format {
    Text,
    Json,
}

impl FromArgValue for Format {
    fn from_arg_value(value: &str) -> Result<Self, String> {
        match value {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("allowed are `text` and `json`".to_owned()),
        }
    }
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Report<'a> {
    version: u64,
    findings: Vec<ReportedFinding<'a>>,
    /// `null` without a configuration to compare with.
    changes: Option<&'a Diff>,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct ReportedFinding<'a> {
    severity: Severity,
    line: usize,
    column: usize,
    entry: Option<&'static str>,
    name: &'a str,
    message: String,
    #[serde(flatten)]
    mistake: &'a Mistake,
}

impl CheckPublishedArgs {
    pub fn run(&self) -> Result<Outcome, CmdError> {
        let published = read_published(&self.file)?;
        let former = self.against.as_deref().map(read_published).transpose()?;
        let former = former.as_ref().map(|former| &former.document);
        let document = &published.document;
        let findings = review(document, former);
        let changes = former.map(|former| changes_between(former, document));
        let outcome = if findings.is_empty() {
            Outcome::Clean
        } else {
            Outcome::Findings
        };
        if self.format == Format::Json {
            let reported = findings.iter().map(|finding| {
                let position = published.position(finding.place);
                ReportedFinding {
                    severity: finding.mistake.severity(),
                    line: position.line,
                    column: position.column,
                    entry: finding.entry.map(EntryKind::as_str),
                    name: &finding.name,
                    message: finding.mistake.to_string(),
                    mistake: &finding.mistake,
                }
            });
            print_json(&Report {
                version: document.version,
                findings: reported.collect(),
                changes: changes.as_ref(),
            })?;
            return Ok(outcome);
        }
        let mut out = io::stdout().lock();
        let file = self.file.display();
        for finding in &findings {
            let position = published.position(finding.place);
            writeln!(
                out,
                "{file}:{}:{}: {finding}",
                position.line, position.column
            )?;
        }
        if let Some(changes) = changes {
            write!(out, "{changes}")?;
        }
        let (routes, services) = (document.routes.len(), document.services.len());
        writeln!(
            out,
            "version r{}, {routes} routes, {services} services, {} workspaces: {} findings",
            document.version,
            document.workspaces.len(),
            findings.len()
        )?;
        Ok(outcome)
    }
}

fn read_published(path: &Path) -> Result<PublishedDocument, CmdError> {
    let text = fs::read_to_string(path).map_err(|source| CmdError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse_published(&text).map_err(|source| CmdError::Published {
        path: path.to_owned(),
        source,
    })
}
