//! Runs a small fleet with embedded stand-ins, load and faults.

use std::io;
use std::str::FromStr;

use argh::FromArgs;
use log::LevelFilter;
use waxwingusher_emulator::connections;
use waxwingusher_emulator::demo;
use waxwingusher_emulator::rolling::{self, Replacement, RollingPlan};

use super::{CmdError, Outcome, start_log};

/// The failure domains of a rolling replacement.
const DOMAINS: [&str; 3] = ["north", "middle", "south"];
/// The hosts of each of them.
const HOSTS_PER_DOMAIN: usize = 2;

/// What happens to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DemoScenario {
    Faults,
    Rolling(Replacement),
    Connections,
}

/// The name of a scenario is not known.
#[derive(Debug, thiserror::Error)]
#[error("allowed are faults, rolling, rolling-renamed, rolling-killed and connections")]
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

/// Run a small fleet on loopback ports with load and faults, and check what
/// must always hold.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// what happens: faults, rolling (every host stops and comes back),
    /// rolling-renamed (under another name) or rolling-killed (by crashes), or
    /// connections (ways to connect to upstreams that close idle connections)
    #[argh(option, default = "DemoScenario::Faults")]
    scenario: DemoScenario,
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
        let mut out = io::stdout().lock();
        let breaches = match self.scenario {
            DemoScenario::Faults => demo::run(&mut out, self.seed)?,
            DemoScenario::Connections => {
                connections::run(&mut out, self.seed)?;
                Vec::new()
            }
            DemoScenario::Rolling(replacement) => {
                let plan = RollingPlan::new(replacement, &DOMAINS, HOSTS_PER_DOMAIN);
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
