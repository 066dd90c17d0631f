//! Sends open-loop load, alternately directly to an instance and through a host:
//! requests start at fixed times, whether or not earlier ones were answered.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::{Caller, Operation};
use crate::fleet::{EmulatorError, Fleet, wait_until};
use crate::plan::{FleetPlan, WorkspacePlan};

const START_TIMEOUT: Duration = Duration::from_secs(60);
const WARM_UP: Duration = Duration::from_secs(2);
/// The number of concurrent callers; each has its own connections.
const CALLERS: u32 = 16;
const PARTIAL_REQUEST: &[u8] =
    b"POST /desk/echo HTTP/1.1\r\nhost: slow\r\ncontent-length: 1000\r\n\r\nhalf";
const SIGNIFICANT_DIGITS: u8 = 3;
const MAX_RECORDED_US: u64 = 60_000_000;

/// The load to send.
#[derive(Debug, Clone, Copy)]
pub struct LoadPlan {
    /// Requests per second on each of the two paths.
    pub rate_per_s: u32,
    /// The duration of the load.
    pub duration: Duration,
    /// How long an instance takes for a request.
    pub service_time: Duration,
    /// The number of callers that send half a body to the host and then stall.
    pub slow_callers: usize,
}

/// Counts and latencies of one path.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PathTimes {
    /// Complete answers of the upstream.
    pub answered: u64,
    /// All other requests.
    pub failed: u64,
    /// The median latency in microseconds, from the planned start of a request.
    pub p50_us: u64,
    /// The 99th percentile of the latency in microseconds.
    pub p99_us: u64,
}

/// Both paths, measured in the same run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// Directly to an instance.
    pub direct: PathTimes,
    /// Through a host.
    pub through_host: PathTimes,
    /// The CPU time of the process per pair of requests, in microseconds. It
    /// includes the callers and the instances.
    pub cpu_us_per_pair: f64,
}

/// Starts an emulated fleet and sends the load on both paths.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started.
pub fn run(load: &LoadPlan, seed: u64) -> Result<LoadReport, EmulatorError> {
    let rate = f64::from(load.rate_per_s) * 2.0;
    let plan = FleetPlan {
        service_time: load.service_time,
        slots: 64,
        workers: 64,
        workspaces: vec![WorkspacePlan::new("load", rate * 4.0, load.rate_per_s * 4)],
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan, seed)?;
    let key = fleet.plan.workspaces[0].key.clone();
    let host = fleet.caller_addrs()[0];
    let instance = fleet.upstreams[0].addr();
    let caller = Caller::new();
    wait_until("a first answer", START_TIMEOUT, || {
        let operation = Operation::read("/desk/echo", &key, "warm-up");
        caller
            .send(host, &operation)
            .is_ok_and(|answer| answer.status == 200)
    })?;
    let warm_up = LoadPlan {
        duration: WARM_UP,
        ..*load
    };
    drop(send_on_both_paths(&warm_up, host, instance, &key));
    let slow = open_slow_callers(host, load.slow_callers)?;
    let cpu_before = cpu_time();
    let paths = send_on_both_paths(load, host, instance, &key);
    drop(slow);
    let cpu = cpu_time().saturating_sub(cpu_before);
    let pairs = f64::from(load.rate_per_s) * load.duration.as_secs_f64();
    Ok(LoadReport {
        direct: paths.direct.times(),
        through_host: paths.through_host.times(),
        cpu_us_per_pair: cpu.as_secs_f64() * 1e6 / pairs,
    })
}

/// Opens connections that send half a request and then stall.
fn open_slow_callers(host: SocketAddr, count: usize) -> Result<Vec<TcpStream>, EmulatorError> {
    let mut slow = Vec::with_capacity(count);
    for _ in 0..count {
        let mut stream = TcpStream::connect(host)?;
        stream.write_all(PARTIAL_REQUEST)?;
        slow.push(stream);
    }
    Ok(slow)
}

struct PathSamples {
    histogram: Histogram<u64>,
    failed: u64,
}

impl PathSamples {
    fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS);
        Self {
            // The bounds are constants that the library accepts.
            histogram: histogram.unwrap_or_else(|_| unreachable!("bounds are valid")),
            failed: 0,
        }
    }

    fn record(&mut self, time: Duration, is_answered: bool) {
        if !is_answered {
            self.failed += 1;
            return;
        }
        let time_us = u64::try_from(time.as_micros()).unwrap_or(MAX_RECORDED_US);
        self.histogram.saturating_record(time_us.max(1));
    }

    fn times(&self) -> PathTimes {
        PathTimes {
            answered: self.histogram.len(),
            failed: self.failed,
            p50_us: self.histogram.value_at_quantile(0.5),
            p99_us: self.histogram.value_at_quantile(0.99),
        }
    }
}

struct BothPaths {
    direct: PathSamples,
    through_host: PathSamples,
}

fn send_on_both_paths(
    load: &LoadPlan,
    host: SocketAddr,
    instance: SocketAddr,
    key: &str,
) -> BothPaths {
    let paths = Mutex::new(BothPaths {
        direct: PathSamples::new(),
        through_host: PathSamples::new(),
    });
    let interval = Duration::from_secs(1) * CALLERS / load.rate_per_s.max(1);
    let count = load.rate_per_s * u32::try_from(load.duration.as_secs()).unwrap_or(1) / CALLERS;
    let start = Instant::now();
    std::thread::scope(|scope| {
        for index in 0..CALLERS {
            let paths = &paths;
            scope.spawn(move || {
                let caller = Caller::new();
                let offset = interval * index / CALLERS;
                for turn in 0..count {
                    let planned = start + offset + interval * turn;
                    // The paths alternate, so that neither is always first.
                    let is_host_first = (turn + index) % 2 == 0;
                    for is_through_host in [is_host_first, !is_host_first] {
                        let addr = if is_through_host { host } else { instance };
                        let at = if is_through_host == is_host_first {
                            planned
                        } else {
                            planned + interval / 2
                        };
                        std::thread::sleep(at.saturating_duration_since(Instant::now()));
                        let operation = Operation::read("/desk/echo?load", key, "load");
                        let answer = caller.send(addr, &operation);
                        let is_answered = answer.is_ok_and(|answer| answer.status == 200);
                        let mut paths = paths.lock().unwrap_or_else(PoisonError::into_inner);
                        let path = if is_through_host {
                            &mut paths.through_host
                        } else {
                            &mut paths.direct
                        };
                        path.record(at.elapsed(), is_answered);
                    }
                }
            });
        }
    });
    paths.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the CPU time of the process, or zero where `/proc/self/stat` is not
/// available.
fn cpu_time() -> Duration {
    const TICKS_PER_S: u64 = 100;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<u64>().ok());
    let total = ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0);
    Duration::from_millis(total * 1_000 / TICKS_PER_S)
}
