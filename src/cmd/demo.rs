//! Runs a small fleet with embedded stand-ins, load and faults.

use std::io;

use argh::FromArgs;
use log::LevelFilter;
use waxwingusher_emulator::demo;

use super::{CmdError, Outcome, start_log};

/// Run a small fleet on loopback ports with load and faults, and check what
/// must always hold.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// the seed of the callers' choices
    #[argh(option, default = "1")]
    seed: u64,
    /// how much of the hosts' logs goes to the standard error (off)
    #[argh(option, default = "LevelFilter::Off")]
    log_level: LevelFilter,
}

impl DemoArgs {
    pub fn run(&self) -> Result<Outcome, CmdError> {
        start_log(self.log_level);
        let breaches = demo::run(&mut io::stdout().lock(), self.seed)?;
        Ok(if breaches.is_empty() {
            Outcome::Clean
        } else {
            Outcome::Findings
        })
    }
}
