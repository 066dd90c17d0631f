//! Runs a small fleet with embedded stand-ins, load and faults.

use std::io;
use std::str::FromStr;

use argh::FromArgs;
use log::LevelFilter;
use waxwingusher_emulator::connections;
use waxwingusher_emulator::demo;
use waxwingusher_emulator::rolling::{self, Replacement, RollingPlan};

use super::{CmdError, Outcome, start_log};

/// Failure domains of the fleet in a rolling replacement.
const FAILURE_DOMAINS: [&str; 3] = ["north", "middle", "south"];
const HOSTS_PER_DOMAIN: usize = 2;

/// The faults or restarts that the fleet goes through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DemoScenario {
    Faults,
    Rolling(Replacement),
    Connections,
}

/// The scenario name is unknown.
#[derive(Debug, thiserror::Error)]
#[error("expected one of faults, rolling, rolling-renamed, rolling-killed, connections")]
struct UnknownScenario;

impl FromStr for DemoScenario {
    type Err = UnknownScenario;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "faults" => Ok(Self::Faults),
            "rolling" => Ok(Self::Rolling(Replacement::StoppedSameName)),
            "rolling-renamed" => Ok(Self::Rolling(Replacement::StoppedNewName)),
            "rolling-killed" => Ok(Self::Rolling(Replacement::Killed)),
            "connections" => Ok(Self::Connections),
            _ => Err(UnknownScenario),
        }
    }
}

/// Run a small fleet on loopback ports with load and faults, and check its
/// invariants.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// the scenario: faults, rolling (each host stops and restarts),
    /// rolling-renamed (restarts under another name), rolling-killed (is killed
    /// and restarts) or connections (compares ways to connect to upstreams that
    /// close idle connections)
    #[argh(option, default = "DemoScenario::Faults")]
    scenario: DemoScenario,
    /// the seed of the callers' random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// the level of the hosts' logs on standard error (off)
    #[argh(option, default = "LevelFilter::Off")]
    log_level: LevelFilter,
}

impl DemoArgs {
    pub fn run(&self) -> Result<Outcome, CmdError> {
        start_log(self.log_level);
        let mut out = io::stdout().lock();
        let breaches = match self.scenario {
            DemoScenario::Faults => demo::run(&mut out, self.seed)?,
            DemoScenario::Connections => {
                connections::run(&mut out, self.seed)?;
                Vec::new()
            }
            DemoScenario::Rolling(replacement) => {
                let plan = RollingPlan::new(replacement, &FAILURE_DOMAINS, HOSTS_PER_DOMAIN);
                rolling::run(&mut out, plan, self.seed)?.breaches
            }
        };
        Ok(if breaches.is_empty() {
            Outcome::Clean
        } else {
            Outcome::Findings
        })
    }
}
