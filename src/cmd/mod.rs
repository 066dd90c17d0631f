//! The subcommands. Each module holds its arguments and `run`.

pub mod bench;
pub mod check;
pub mod check_published;
pub mod collect;
pub mod demo;
pub mod diff;
pub mod explain;
pub mod gateway;
pub mod key;
pub mod load;
pub mod serve;
pub mod status;

mod operator_client;
mod sources;

use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use crate::cmd::operator_client::OperatorError;
use log::LevelFilter;
use serde::Serialize;
use simplelog::{ConfigBuilder, WriteLogger};
use waxwingusher_bench::baseline::BaselineError;
use waxwingusher_bench::report::ReportError;
use waxwingusher_config::DirectoryError;
use waxwingusher_emulator::EmulatorError;
use waxwingusher_emulator::demo::DemoError;
use waxwingusher_gateway::GatewayError;
use waxwingusher_host::HostError;
use waxwingusher_host::settings::SettingError;
use waxwingusher_platform::{ParseError, SettingsError};

/// The exit code for findings or differences, and for failures.
pub const EXIT_FINDINGS: u8 = 1;

/// The exit code for a wrong command line.
pub const EXIT_USAGE: u8 = 2;

/// What a subcommand found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// There are no errors and no differences.
    Clean,
    /// There are errors or differences, which are printed.
    Findings,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Clean => Self::SUCCESS,
            Outcome::Findings => Self::from(EXIT_FINDINGS),
        }
    }
}

/// The failure of a subcommand.
#[derive(Debug, thiserror::Error)]
pub enum CmdError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The output cannot be written.
    #[error("the output cannot be written: {0}")]
    Output(#[from] io::Error),
    /// A publication cannot be read or written.
    #[error(transparent)]
    Directory(#[from] DirectoryError),
    /// A directory holds no publication.
    #[error("{}: no publication found", dir.display())]
    NoPublication {
        /// The directory.
        dir: PathBuf,
    },
    /// The operating system gives no random numbers.
    #[error("the operating system gives no random numbers: {0}")]
    Random(getrandom::Error),
    /// Settings are missing or not allowed.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\nwaxwingusher: "))]
    Settings(Vec<SettingError>),
    /// The host could not start.
    #[error(transparent)]
    Host(#[from] HostError),
    /// The settings file of the platform cannot be used.
    #[error(transparent)]
    Platform(#[from] SettingsError),
    /// A file holds no configuration in the platform's format.
    #[error("{}: {source}", path.display())]
    Published {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: ParseError,
    },
    /// The gateway could not start or stopped with an error.
    #[error(transparent)]
    Gateway(#[from] GatewayError),
    /// A host gave no usable response to an operator.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// The emulated fleet could not be started.
    #[error(transparent)]
    Emulator(#[from] EmulatorError),
    /// A report could not be written.
    #[error(transparent)]
    Report(#[from] ReportError),
    /// A baseline could not be read or written.
    #[error(transparent)]
    Baseline(#[from] BaselineError),
    /// The demonstration could not be run.
    #[error(transparent)]
    Demo(#[from] DemoError),
    /// An argument is missing or not allowed.
    #[error("{0}")]
    Usage(&'static str),
}

impl CmdError {
    /// Returns the exit code.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_)
            | Self::Read { .. }
            | Self::Published { .. }
            | Self::Settings(_)
            | Self::Platform(_) => ExitCode::from(EXIT_USAGE),
            _ => ExitCode::from(EXIT_FINDINGS),
        }
    }
}

/// Writes a value as one line of JSON to standard output.
fn print_json<T: Serialize>(value: &T) -> Result<(), CmdError> {
    let mut out = io::stdout().lock();
    serde_json::to_writer(&mut out, value).map_err(io::Error::from)?;
    writeln!(out)?;
    Ok(())
}

/// Starts logging to standard error; records of other projects' crates are left
/// out.
fn start_log(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_time_format_rfc3339()
        .add_filter_allow_str("waxwingusher")
        .build();
    // A logger that is already set stays in use.
    let _ = WriteLogger::init(level, config, io::stderr());
}
