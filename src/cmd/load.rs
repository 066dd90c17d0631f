//! Measures the latency that a host adds, relative to direct calls in the same
//! run.

use std::io::{self, Write};
use std::time::Duration;

use argh::FromArgs;
use waxwingusher_emulator::load::{self, LoadPlan, PathTimes};

use super::{CmdError, Outcome, print_json};

/// The largest p99 latency that a host may add, in microseconds.
const MAX_ADDED_P99_US: u64 = 2_700;

/// Send requests to an emulated fleet, directly and through a host, and report
/// the latency that the host adds. It exits with 1 if that is over 2.7 ms at
/// p99.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// requests per second on each of the two paths (300)
    #[argh(option, default = "300")]
    rate: u32,
    /// how long requests are sent, in seconds (10)
    #[argh(option, default = "10")]
    seconds: u64,
    /// the time that an instance takes for a request, in milliseconds (2)
    #[argh(option, default = "2")]
    service_ms: u64,
    /// callers of the host that send half a body and then stall (0)
    #[argh(option, default = "0")]
    slow_callers: usize,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

impl LoadArgs {
    pub fn run(&self) -> Result<Outcome, CmdError> {
        if !(1..=5_000).contains(&self.rate) || !(1..=600).contains(&self.seconds) {
            return Err(CmdError::Usage(
                "load: the rate must be 1 to 5000 and the duration 1 to 600 seconds",
            ));
        }
        let plan = LoadPlan {
            rate_per_s: self.rate,
            duration: Duration::from_secs(self.seconds),
            service_time: Duration::from_millis(self.service_ms),
            slow_callers: self.slow_callers,
        };
        let report = load::run(&plan, 1)?;
        let added_p99_us = report
            .through_host
            .p99_us
            .saturating_sub(report.direct.p99_us);
        if self.json {
            print_json(&report)?;
        } else {
            print_latencies("direct", &report.direct)?;
            print_latencies("through a host", &report.through_host)?;
            let added_p50_us = report
                .through_host
                .p50_us
                .saturating_sub(report.direct.p50_us);
            let mut out = io::stdout().lock();
            writeln!(
                out,
                "added           p50 {added_p50_us:>6} us  p99 {added_p99_us:>6} us"
            )?;
            writeln!(
                out,
                "CPU time of callers, host and instances {:.0} us per pair of requests",
                report.cpu_us_per_pair
            )?;
        }
        let is_within_bound = added_p99_us <= MAX_ADDED_P99_US && report.through_host.failed == 0;
        Ok(if is_within_bound {
            Outcome::Clean
        } else {
            Outcome::Findings
        })
    }
}

fn print_latencies(name: &str, times: &PathTimes) -> io::Result<()> {
    writeln!(
        io::stdout().lock(),
        "{name:<15} p50 {:>6} us  p99 {:>6} us  answered {}  failed {}",
        times.p50_us,
        times.p99_us,
        times.answered,
        times.failed
    )
}
