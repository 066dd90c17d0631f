//! Replaces all hosts of a fleet under load, one at a time.

use std::io::{self, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::HostId;
use waxwingusher_host::Host;

use crate::balancer::{Balancer, Target};
use crate::demo::DemoError;
use crate::fleet::{EmulatorError, Fleet, wait_until};
use crate::plan::{FleetPlan, WorkspacePlan};
use crate::promises::{Breach, CodeCount};
use crate::steady::{SendCounts, SteadyCallers, SteadyCounts, SteadyLoad};

const START_TIMEOUT: Duration = Duration::from_secs(60);
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// How a host is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Replacement {
    /// It stops gracefully and restarts with its name and addresses.
    StoppedSameName,
    /// It stops gracefully once a host with another name is ready.
    StoppedNewName,
    /// It is killed and restarts with its name and addresses.
    Killed,
}

/// The settings of a rolling replacement.
#[derive(Debug, Clone)]
pub struct RollingPlan {
    /// The fleet.
    pub fleet: FleetPlan,
    /// How each host is replaced.
    pub replacement: Replacement,
    /// The maximum number of replaced hosts; `None` replaces all.
    pub max_replaced: Option<usize>,
    /// How long the balancer still sends callers to a host that is no longer
    /// ready.
    pub drop_delay: Duration,
    /// The load of the callers.
    pub load: SteadyLoad,
}

impl RollingPlan {
    /// Creates the plan for a fleet with these failure domains.
    #[must_use]
    pub fn new(replacement: Replacement, domains: &[&str], hosts_per_domain: usize) -> Self {
        let names = domains.iter().map(|name| (*name).to_owned());
        let fleet = FleetPlan {
            failure_domains: names.collect(),
            hosts_per_domain,
            workspaces: vec![
                WorkspacePlan::new("lecturers", 150.0, 60),
                WorkspacePlan::new("payroll", 50.0, 30),
            ],
            attempt_window: Duration::from_secs(300),
            ..FleetPlan::default()
        };
        Self {
            fleet,
            replacement,
            max_replaced: None,
            drop_delay: Duration::from_secs(1),
            load: SteadyLoad {
                callers_per_workspace: 8,
                rate_fraction: 0.6,
            },
        }
    }
}

/// The effects of a rolling replacement on callers.
#[derive(Debug, Clone)]
pub struct RollingReport {
    /// Counts and times of all sends.
    pub counts: SteadyCounts,
    /// Codes of refusals.
    pub codes: Vec<CodeCount>,
    /// The duration of the run.
    pub took: Duration,
    /// Promises that did not hold.
    pub breaches: Vec<Breach>,
}

/// Runs the replacement and returns its effects on callers.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started or changed, or if the
/// report cannot be written.
pub fn run(out: &mut dyn Write, plan: RollingPlan, seed: u64) -> Result<RollingReport, DemoError> {
    let started = Instant::now();
    let mut fleet = Fleet::start(plan.fleet, seed)?;
    fleet.wait_until_ready(START_TIMEOUT)?;
    fleet.wait_until_admitting(START_TIMEOUT)?;
    let balancer = Arc::new(Balancer::start(plan.drop_delay, targets(&fleet)));
    wait_until(
        "readiness of all hosts at the balancer",
        START_TIMEOUT,
        || balancer.callers().len() == fleet.hosts.len(),
    )?;
    let load_started = Instant::now();
    let workspaces = &fleet.plan.workspaces;
    let mut callers = SteadyCallers::start(plan.load, workspaces, balancer.clone(), seed);
    std::thread::sleep(SETTLE_TIME);
    let names: Vec<_> = fleet.hosts.iter().map(|one| one.entry.id.clone()).collect();
    let count = plan.max_replaced.unwrap_or(names.len());
    for (number, name) in names.iter().take(count).enumerate() {
        let began = Instant::now();
        match plan.replacement {
            Replacement::StoppedSameName => replace_in_place(&mut fleet, name)?,
            Replacement::StoppedNewName => replace_renamed(&mut fleet, name, number, &balancer)?,
            Replacement::Killed => replace_killed(&mut fleet, name)?,
        }
        if plan.replacement != Replacement::Killed {
            wait_until_settled(&fleet)?;
        }
        fleet.wait_until_ready(START_TIMEOUT)?;
        let seconds = began.elapsed().as_secs_f64();
        writeln!(out, "{name} was replaced after {seconds:.1} s")?;
    }
    std::thread::sleep(SETTLE_TIME);
    callers.stop();
    let took = started.elapsed();
    let loaded = load_started.elapsed();
    let report = build_report(&fleet, &callers, plan.replacement, loaded, took);
    print(out, &report)?;
    Ok(report)
}

fn targets(fleet: &Fleet) -> Vec<Target> {
    let hosts = fleet.hosts.iter();
    hosts
        .map(|host| Target {
            caller_addr: host.caller_addr,
            operator_addr: host.operator_addr,
        })
        .collect()
}

fn position(fleet: &Fleet, name: &HostId) -> usize {
    let mut hosts = fleet.hosts.iter();
    let found = hosts.position(|host| &host.entry.id == name);
    found.unwrap_or_default()
}

/// Waits until the fleet can lose another host: all hosts are ready and vouch
/// for attempts.
fn wait_until_settled(fleet: &Fleet) -> Result<(), EmulatorError> {
    fleet.wait_until_ready(START_TIMEOUT)?;
    wait_until("vouching for attempts at all hosts", START_TIMEOUT, || {
        let mut running = fleet.hosts.iter().filter_map(|host| host.host.as_ref());
        running.all(Host::vouches_for_attempts)
    })?;
    Ok(())
}

fn stop(fleet: &mut Fleet, index: usize) -> Result<(), EmulatorError> {
    if fleet.begin_stop(index)?.join().is_err() {
        log::error!("rolling: The thread that stops a host panicked.");
    }
    Ok(())
}

fn replace_in_place(fleet: &mut Fleet, name: &HostId) -> Result<(), EmulatorError> {
    let index = position(fleet, name);
    stop(fleet, index)?;
    fleet.restart_host_in_place(index)
}

fn replace_renamed(
    fleet: &mut Fleet,
    name: &HostId,
    number: usize,
    balancer: &Balancer,
) -> Result<(), EmulatorError> {
    let domain = fleet.hosts[position(fleet, name)]
        .entry
        .failure_domain
        .clone();
    fleet.add_host(HostId::new(&format!("{domain}-new-{number}")), &domain)?;
    balancer.set_targets(targets(fleet));
    wait_until_settled(fleet)?;
    let index = position(fleet, name);
    stop(fleet, index)?;
    fleet.drop_host(index)?;
    balancer.set_targets(targets(fleet));
    Ok(())
}

fn replace_killed(fleet: &mut Fleet, name: &HostId) -> Result<(), EmulatorError> {
    let index = position(fleet, name);
    fleet.kill_host(index);
    fleet.restart_host_in_place(index)
}

fn build_report(
    fleet: &Fleet,
    callers: &SteadyCallers,
    replacement: Replacement,
    loaded: Duration,
    took: Duration,
) -> RollingReport {
    let workspaces = &fleet.plan.workspaces;
    let mut breaches = callers.ledger().check(&fleet.upstreams, workspaces, loaded);
    let counts = callers.counts();
    if replacement != Replacement::Killed {
        breaches.extend(planned_breaches(&counts));
    }
    RollingReport {
        codes: callers.ledger().codes(),
        counts,
        took,
        breaches,
    }
}

/// Returns the breaches of the promises for planned stops: no request is cut,
/// refused within the rate, or left unknown.
fn planned_breaches(counts: &SteadyCounts) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (kind, count) in kinds(counts) {
        let SendCounts {
            broken,
            not_run,
            unknown,
            ..
        } = count;
        let found = [
            (*broken, "planned stops cut nothing"),
            (*not_run, "planned stops refuse nothing within the rate"),
            (*unknown, "planned stops leave nothing unknown"),
        ];
        for (number, promise) in found {
            if number == 0 {
                continue;
            }
            let seen = format!("{number} of {} sends: {kind}", count.sends);
            breaches.push(Breach { promise, seen });
        }
    }
    breaches
}

fn kinds(counts: &SteadyCounts) -> [(&'static str, &SendCounts); 4] {
    [
        ("reads", &counts.reads),
        ("submissions with a key", &counts.keyed),
        ("repeats", &counts.repeats),
        ("submissions without", &counts.unkeyed),
    ]
}

fn print(out: &mut dyn Write, report: &RollingReport) -> io::Result<()> {
    for (kind, count) in kinds(&report.counts) {
        let times = &count.times_us;
        writeln!(
            out,
            "{kind:<22} {:>6} sent, {} answered, {} not run, {} unknown ({:.2}%), {} broken, p99 {} ms, longest {} ms",
            count.sends,
            count.answered,
            count.not_run,
            count.unknown,
            100.0 * count.unknown_share(),
            count.broken,
            times.value_at_quantile(0.99) / 1_000,
            times.max() / 1_000,
        )?;
    }
    for refused in &report.codes {
        writeln!(out, "  {} {}", refused.count, refused.code)?;
    }
    for breach in &report.breaches {
        writeln!(out, "BROKEN PROMISE {breach}")?;
    }
    writeln!(out, "took {:.1} s", report.took.as_secs_f64())
}
