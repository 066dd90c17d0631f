//! Runs a fleet under load and faults, prints the events and checks the users'
//! promises.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use waxwingusher_core::CancelToken;
use waxwingusher_standins::{Faults, GrayFailure, GrayKind, ServiceMode};

use crate::caller::{Caller, CallerAnswer, CallerError, Operation};
use crate::fleet::{EmulatorError, Fleet};
use crate::plan::FleetPlan;
use crate::promises::{Breach, Ledger, Tally};

/// The time within which a configuration change must be in force at all hosts.
pub const CONFIG_TIMEOUT: Duration = Duration::from_secs(6);

const START_TIMEOUT: Duration = Duration::from_secs(30);
const CALLERS: usize = 8;
const CALL_INTERVAL: Duration = Duration::from_millis(25);
const MAX_SENDS: usize = 3;
/// The delay after which a balancer stops sending callers to a host that is not
/// ready.
const BALANCER_DELAY: Duration = Duration::from_secs(1);
const PHASE_TIME: Duration = Duration::from_secs(2);

/// A demonstration failed.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The fleet could not be started or changed.
    #[error(transparent)]
    Emulator(#[from] EmulatorError),
    /// The report could not be written.
    #[error("cannot write the report: {0}")]
    Output(#[from] io::Error),
}

/// Runs the demonstration, and returns the promises that did not hold.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started or changed, or if the
/// report cannot be written.
pub fn run(out: &mut dyn Write, seed: u64) -> Result<Vec<Breach>, DemoError> {
    let started = Instant::now();
    let mut fleet = Fleet::start(FleetPlan::default(), seed)?;
    writeln!(
        out,
        "started {} hosts in {} failure domains before {} instances",
        fleet.hosts.len(),
        fleet.plan.failure_domains.len(),
        fleet.upstreams.len()
    )?;
    fleet.wait_for_config(1, START_TIMEOUT)?;
    fleet.wait_until_admitting(START_TIMEOUT)?;
    writeln!(
        out,
        "all hosts admitted requests after {:.1} s",
        started.elapsed().as_secs_f64()
    )?;
    let load = Load::start(&fleet, seed);
    let mut breaches = Vec::new();
    std::thread::sleep(PHASE_TIME);
    report(out, "calm", &load)?;
    inject_gray_failure(out, &fleet, &load)?;
    breaches.extend(stop_gracefully(out, &mut fleet, &load)?);
    replace_killed(out, &mut fleet, &load)?;
    interrupt_config_service(out, &fleet, &load)?;
    breaches.extend(withdraw_key(out, &mut fleet, &load)?);
    let ledger = load.stop();
    breaches.extend(low_traffic_breach(&ledger));
    breaches.extend(ledger.check(&fleet.upstreams, &fleet.plan.workspaces, started.elapsed()));
    print_summary(out, &ledger, &breaches)?;
    Ok(breaches)
}

/// Callers on background threads.
struct Load {
    shared: Arc<LoadShared>,
    threads: Vec<JoinHandle<()>>,
}

struct LoadShared {
    ledger: Ledger,
    addrs: RwLock<Vec<SocketAddr>>,
    sequence: AtomicU64,
    stop: CancelToken,
    keys: Vec<(String, String)>,
}

impl Load {
    fn start(fleet: &Fleet, seed: u64) -> Self {
        let workspaces = fleet.plan.workspaces.iter();
        let shared = Arc::new(LoadShared {
            ledger: Ledger::default(),
            addrs: RwLock::new(fleet.caller_addrs()),
            sequence: AtomicU64::new(0),
            stop: CancelToken::new(),
            keys: workspaces
                .map(|workspace| (workspace.name.clone(), workspace.key.clone()))
                .collect(),
        });
        let threads = (0..CALLERS)
            .map(|index| {
                let shared = shared.clone();
                let rng = fastrand::Rng::with_seed(seed ^ index as u64);
                std::thread::spawn(move || shared.call_until_stopped(rng))
            })
            .collect();
        Self { shared, threads }
    }

    fn set_addrs(&self, addrs: Vec<SocketAddr>) {
        let current = self.shared.addrs.write();
        *current.unwrap_or_else(PoisonError::into_inner) = addrs;
    }

    fn tally(&self) -> Tally {
        self.shared.ledger.tally(None)
    }

    fn stop(self) -> Arc<LoadLedger> {
        self.shared.stop.cancel();
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("demo: A caller thread panicked.");
            }
        }
        Arc::new(LoadLedger(self.shared))
    }
}

/// The ledger of callers after they have stopped.
struct LoadLedger(Arc<LoadShared>);

impl std::ops::Deref for LoadLedger {
    type Target = Ledger;

    fn deref(&self) -> &Ledger {
        &self.0.ledger
    }
}

impl LoadShared {
    fn call_until_stopped(&self, mut rng: fastrand::Rng) {
        let caller = Caller::new();
        while !self.stop.wait(CALL_INTERVAL) {
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
            let (workspace, key) = &self.keys[rng.usize(..self.keys.len())];
            let id = format!("op-{sequence}");
            let target = format!("/desk/echo?op={sequence}");
            if rng.u8(..4) == 0 {
                let operation = Operation::submission(&target, key, &id);
                self.submit(&caller, &mut rng, workspace, &operation);
            } else {
                let operation = Operation::read(&target, key, &id);
                // The ledger records the result.
                drop(self.send(&caller, &mut rng, workspace, &operation));
            }
        }
    }

    /// Sends a submission and retries it with the same idempotency key until an
    /// answer of the upstream arrives.
    fn submit(
        &self,
        caller: &Caller,
        rng: &mut fastrand::Rng,
        workspace: &str,
        operation: &Operation,
    ) {
        for _ in 0..MAX_SENDS {
            let result = self.send(caller, rng, workspace, operation);
            if result.is_ok_and(|answer| answer.is_from_upstream()) {
                return;
            }
        }
    }

    fn send(
        &self,
        caller: &Caller,
        rng: &mut fastrand::Rng,
        workspace: &str,
        operation: &Operation,
    ) -> Result<CallerAnswer, CallerError> {
        let addrs = self.addrs.read().unwrap_or_else(PoisonError::into_inner);
        let addr = addrs[rng.usize(..addrs.len())];
        drop(addrs);
        let result = caller.send(addr, operation);
        self.ledger.record(workspace, operation, &result);
        result
    }
}

fn report(out: &mut dyn Write, phase: &str, load: &Load) -> io::Result<()> {
    let tally = load.tally();
    writeln!(
        out,
        "  callers after {phase}: {} answered, {} not run, {} unknown, {} broken",
        tally.answered, tally.not_run, tally.unknown, tally.broken
    )?;
    for refused in load.shared.ledger.codes() {
        writeln!(out, "    {} {}", refused.count, refused.code)?;
    }
    Ok(())
}

fn inject_gray_failure(out: &mut dyn Write, fleet: &Fleet, load: &Load) -> Result<(), DemoError> {
    let upstream = &fleet.upstreams[0];
    writeln!(
        out,
        "fault: desk-0 answers its health checks and fails all real work"
    )?;
    upstream.set_faults(Faults {
        gray: Some(GrayFailure {
            share_percent: 100,
            kind: GrayKind::Errors,
        }),
        ..Faults::default()
    });
    std::thread::sleep(PHASE_TIME * 2);
    let before = upstream.runs();
    std::thread::sleep(PHASE_TIME);
    let late = upstream.runs() - before;
    writeln!(
        out,
        "  desk-0 got {late} requests in {} s after {} s",
        PHASE_TIME.as_secs(),
        2 * PHASE_TIME.as_secs()
    )?;
    upstream.set_faults(Faults::default());
    report(out, "the gray failure", load)?;
    Ok(())
}

fn stop_gracefully(
    out: &mut dyn Write,
    fleet: &mut Fleet,
    load: &Load,
) -> Result<Vec<Breach>, DemoError> {
    let index = 0;
    let id = fleet.hosts[index].entry.id.clone();
    writeln!(out, "planned: {id} stops and is replaced")?;
    let broken_before = load.tally().broken;
    let stopping = fleet.begin_stop(index)?;
    // Requests keep arriving until the balancer notices that the host is not
    // ready.
    std::thread::sleep(BALANCER_DELAY);
    load.set_addrs(fleet.caller_addrs());
    if stopping.join().is_err() {
        log::error!("demo: The thread that stops a host panicked.");
    }
    let broken = load.tally().broken - broken_before;
    replace(out, fleet, load, index)?;
    std::thread::sleep(PHASE_TIME);
    report(out, "the planned stop", load)?;
    let mut breaches = Vec::new();
    if broken > 0 {
        let promise = "planned stops cut nothing";
        let seen = format!("{broken} requests were cut");
        breaches.push(Breach { promise, seen });
    }
    Ok(breaches)
}

/// Starts a host again and sends callers to it once it is ready.
fn replace(
    out: &mut dyn Write,
    fleet: &mut Fleet,
    load: &Load,
    index: usize,
) -> Result<(), DemoError> {
    fleet.restart_host(index)?;
    let took = fleet.wait_until_ready(START_TIMEOUT)?;
    let seconds = took.as_secs_f64();
    writeln!(out, "  the new process was ready after {seconds:.1} s")?;
    load.set_addrs(fleet.caller_addrs());
    Ok(())
}

fn replace_killed(out: &mut dyn Write, fleet: &mut Fleet, load: &Load) -> Result<(), DemoError> {
    let index = fleet.hosts.len() - 1;
    writeln!(
        out,
        "fault: {} is killed without notice",
        fleet.hosts[index].entry.id
    )?;
    fleet.kill_host(index);
    load.set_addrs(fleet.caller_addrs());
    std::thread::sleep(PHASE_TIME);
    replace(out, fleet, load, index)?;
    report(out, "the loss", load)?;
    Ok(())
}

fn interrupt_config_service(
    out: &mut dyn Write,
    fleet: &Fleet,
    load: &Load,
) -> Result<(), DemoError> {
    writeln!(
        out,
        "fault: the configuration service is unavailable for {} s",
        PHASE_TIME.as_secs()
    )?;
    fleet.service.set_mode(ServiceMode::Unavailable);
    std::thread::sleep(PHASE_TIME);
    fleet.service.set_mode(ServiceMode::Current);
    report(out, "the outage", load)?;
    Ok(())
}

fn withdraw_key(
    out: &mut dyn Write,
    fleet: &mut Fleet,
    load: &Load,
) -> Result<Vec<Breach>, DemoError> {
    let last = fleet.plan.workspaces.len() - 1;
    let key = std::mem::take(&mut fleet.plan.workspaces[last].key);
    let name = fleet.plan.workspaces[last].name.clone();
    writeln!(out, "change: the key of {name} is withdrawn")?;
    let version = fleet.publish_config()?;
    let took = fleet.wait_for_config(version, CONFIG_TIMEOUT)?;
    writeln!(out, "  in force everywhere after {} ms", took.as_millis())?;
    let mut breaches = Vec::new();
    let caller = Caller::new();
    for addr in fleet.caller_addrs() {
        let operation = Operation::read("/desk/echo", &key, "after-withdrawal");
        let answer = caller.send(addr, &operation);
        if answer.as_ref().is_ok_and(|answer| answer.status == 401) {
            continue;
        }
        let promise = "a withdrawn key is refused within seconds";
        let seen = format!("{addr} answered {answer:?}");
        breaches.push(Breach { promise, seen });
    }
    fleet.plan.workspaces[last].key = key;
    report(out, "the withdrawal", load)?;
    Ok(breaches)
}

/// Reports a breach if at most half of the requests were answered, as the other
/// checks would then prove nothing.
fn low_traffic_breach(ledger: &Ledger) -> Option<Breach> {
    let tally = ledger.tally(None);
    let refused = tally.not_run + tally.unknown + tally.broken;
    (tally.answered <= refused).then(|| Breach {
        promise: "most requests are answered",
        seen: format!("{} answered, {refused} not", tally.answered),
    })
}

fn print_summary(out: &mut dyn Write, ledger: &Ledger, breaches: &[Breach]) -> io::Result<()> {
    let tally = ledger.tally(None);
    writeln!(
        out,
        "total: {} answered, {} not run, {} unknown, {} broken",
        tally.answered, tally.not_run, tally.unknown, tally.broken
    )?;
    for breach in breaches {
        writeln!(out, "BROKEN PROMISE {breach}")?;
    }
    if breaches.is_empty() {
        writeln!(out, "all checked promises held")?;
    }
    Ok(())
}
