//! Runs one gateway host on the users' platform.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use argh::FromArgs;
use log::LevelFilter;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use waxwingusher_core::SystemClock;
use waxwingusher_gateway::{Command, Gateway};
use waxwingusher_platform::{PlatformSettings, StoreSource, dialect};

use crate::cmd::{CmdError, Outcome, start_log};

/// How often the settings file is checked; it may change without a signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Serve callers on the platform, with the settings file that the platform
/// wrote.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayArgs {
    /// the settings file (default: the path that the platform provides)
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

impl GatewayArgs {
    /// Serves until SIGTERM or SIGINT.
    pub fn run(&self) -> Result<Outcome, CmdError> {
        let path = match &self.settings {
            Some(path) => path.clone(),
            None => PlatformSettings::default_path()?,
        };
        let settings = PlatformSettings::read(&path)?;
        if self.check {
            return Ok(Outcome::Clean);
        }
        start_log(LevelFilter::Warn);
        let source = StoreSource::new(settings.store_addr);
        // A signal that arrives once the sockets are bound must not end the process at once.
        let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
        let gateway = Gateway::bind(settings.gateway)?;
        let (sender, commands) = unbounded_channel();
        let watched_path = path.clone();
        let file_sender = sender.clone();
        std::thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || forward_signals(signals, &path, &sender))?;
        std::thread::Builder::new()
            .name("settings".to_owned())
            .spawn(move || watch_file(&watched_path, &file_sender))?;
        let incarnation = getrandom::u64().map_err(CmdError::Random)?;
        let clock = Arc::new(SystemClock);
        gateway.run(dialect(), source, clock, incarnation, commands)?;
        Ok(Outcome::Clean)
    }
}

/// Sends a command to the gateway for each signal: a reload on SIGHUP, otherwise
/// a stop.
fn forward_signals(mut signals: Signals, path: &Path, commands: &UnboundedSender<Command>) {
    for signal in signals.forever() {
        if signal == SIGHUP {
            reload(path, commands);
            continue;
        }
        if commands.send(Command::Stop).is_err() {
            return;
        }
    }
}

/// Reloads the settings when the modification time of the file has changed.
fn watch_file(path: &Path, commands: &UnboundedSender<Command>) {
    let mut last_modified = modified(path);
    while !commands.is_closed() {
        std::thread::sleep(FILE_CHECK_INTERVAL);
        let modified_at = modified(path);
        if modified_at.is_some() && modified_at != last_modified {
            last_modified = modified_at;
            reload(path, commands);
        }
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}

/// Reads the settings and sends them to the gateway. An invalid file leaves the
/// settings in force.
fn reload(path: &Path, commands: &UnboundedSender<Command>) {
    match PlatformSettings::read(path) {
        // Sending fails only when the process ends.
        Ok(settings) => drop(commands.send(Command::Reload(settings.reloadable()))),
        Err(error) => log::error!("settings: Settings file ignored: {error}."),
    }
}
