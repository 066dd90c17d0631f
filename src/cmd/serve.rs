//! Runs one host of the fleet.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use argh::FromArgs;
use log::LevelFilter;
use signal_hook::consts::{SIGINT, SIGTERM};
use waxwingusher_core::SystemClock;
use waxwingusher_host::settings::SettingSource;
use waxwingusher_host::{Host, HostSettings};

use super::{CmdError, Outcome, start_log};

/// How often the process checks for a stop signal or a drain.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Run one host of the fleet. Each flag also has an environment variable, such
/// as WAXWINGUSHER_HOST_ID; the two secrets have a variable only.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeArgs {
    /// the host's name
    #[argh(option)]
    host_id: Option<String>,
    /// the host's failure domain
    #[argh(option)]
    failure_domain: Option<String>,
    /// all failure domains of the fleet, separated by commas
    #[argh(option)]
    failure_domains: Option<String>,
    /// the address for callers (0.0.0.0:8080)
    #[argh(option)]
    caller_addr: Option<String>,
    /// the address for operators (127.0.0.1:8081)
    #[argh(option)]
    operator_addr: Option<String>,
    /// the address for peers (0.0.0.0:8082)
    #[argh(option)]
    peer_addr: Option<String>,
    /// the address of the configuration service
    #[argh(option)]
    config_service: Option<String>,
    /// the address that StatsD metrics are sent to (none)
    #[argh(option)]
    statsd_addr: Option<String>,
    /// the number of threads that forward requests (128)
    #[argh(option)]
    workers: Option<String>,
    /// the maximum number of queued requests of one workspace (64)
    #[argh(option)]
    queue_per_workspace: Option<String>,
    /// the maximum number of open connections of callers (4096)
    #[argh(option)]
    max_connections: Option<String>,
    /// the maximum size of a request body, in bytes (16777216)
    #[argh(option)]
    max_body_bytes: Option<String>,
    /// the memory of the bodies of all requests together, in bytes (268435456)
    #[argh(option)]
    max_total_body_bytes: Option<String>,
    /// how long a drain waits for requests in flight, in milliseconds (30000)
    #[argh(option)]
    drain_timeout_ms: Option<String>,
    /// the term of a loan of rate and burst, in milliseconds (10000)
    #[argh(option)]
    loan_term_ms: Option<String>,
    /// how long a request may wait for a loan, in milliseconds (300)
    #[argh(option)]
    loan_wait_ms: Option<String>,
    /// how long a keyed operation runs at most once, in milliseconds (600000)
    #[argh(option)]
    attempt_window_ms: Option<String>,
    /// when a new fleet opens for the first time, in seconds since 1970 (none)
    #[argh(option)]
    fleet_opens_at: Option<String>,
    /// peers to ask while there is no host list, such as north-1=10.0.0.1:8082
    #[argh(option)]
    seed_peers: Option<String>,
    /// the log level: off, error, warn, info or debug (info)
    #[argh(option, default = "LevelFilter::Info")]
    log_level: LevelFilter,
}

impl SettingSource for ServeArgs {
    fn flag(&self, flag: &str) -> Option<String> {
        let value = match flag {
            "host-id" => &self.host_id,
            "failure-domain" => &self.failure_domain,
            "failure-domains" => &self.failure_domains,
            "caller-addr" => &self.caller_addr,
            "operator-addr" => &self.operator_addr,
            "peer-addr" => &self.peer_addr,
            "config-service" => &self.config_service,
            "statsd-addr" => &self.statsd_addr,
            "workers" => &self.workers,
            "queue-per-workspace" => &self.queue_per_workspace,
            "max-connections" => &self.max_connections,
            "max-body-bytes" => &self.max_body_bytes,
            "max-total-body-bytes" => &self.max_total_body_bytes,
            "drain-timeout-ms" => &self.drain_timeout_ms,
            "loan-term-ms" => &self.loan_term_ms,
            "loan-wait-ms" => &self.loan_wait_ms,
            "attempt-window-ms" => &self.attempt_window_ms,
            "fleet-opens-at" => &self.fleet_opens_at,
            "seed-peers" => &self.seed_peers,
            _ => return None,
        };
        value.clone()
    }

    fn variable(&self, variable: &str) -> Option<String> {
        std::env::var(variable).ok()
    }
}

impl ServeArgs {
    pub fn run(&self) -> Result<Outcome, CmdError> {
        let settings = HostSettings::read(self).map_err(CmdError::Settings)?;
        start_log(self.log_level);
        let is_stop_requested = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, is_stop_requested.clone())?;
        }
        let incarnation = getrandom::u64().map_err(CmdError::Random)?;
        let host = Host::start(settings, Arc::new(SystemClock), incarnation)?;
        while !is_stop_requested.load(Ordering::SeqCst) && !host.is_draining() {
            std::thread::sleep(STOP_CHECK_INTERVAL);
        }
        host.shut_down();
        Ok(Outcome::Clean)
    }
}
