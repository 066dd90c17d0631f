//! The share of unknown outcomes per fault, for each plan of choosing witnesses
//! on the same seeds.

use std::thread;
use std::time::Duration;

use waxwingusher_attempts::{AttemptSettings, WitnessPlan};
use waxwingusher_core::{FailureDomain, HostId};

use super::fault::{Fault, Listing};
use super::fleet::{Fleet, FleetSettings};
use super::oracle::Tally;
use super::schedule::warm_up;
use super::traffic::Upstream;
use crate::scenario::{Bound, Measurement, Scenario, ScenarioResult};

const DOMAINS: usize = 4;
const HOSTS_PER_DOMAIN: usize = 9;
const SENDS_PER_S: usize = 40;
const RESTART_INTERVAL: Duration = Duration::from_secs(10);
const REPLACED_AFTER: Duration = Duration::from_secs(2);
const REMOVED_AFTER: Duration = Duration::from_secs(10);

/// The share of unknown outcomes that a planned restart of all hosts may cause.
const MAX_PLANNED_UNKNOWN: f64 = 0.001;

/// The witness plans that are compared.
const PLANS: [(WitnessPlan, &str); 3] = [
    (WitnessPlan::Single, "home"),
    (WitnessPlan::Pair, "pair"),
    (WitnessPlan::Majority, "majority"),
];

/// The fault that is injected into the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Case {
    NoFault,
    HostKilled,
    HostReplaced,
    RackLost,
    DomainCut,
    DomainSilent,
    ListChanged,
    RollingRestart,
    RollingRestartWithHandOff,
    RollingRestartAndLoss,
    RollingReplacementWithHandOff,
}

const CASES: [(Case, &str); 11] = [
    (Case::NoFault, "calm"),
    (Case::HostKilled, "host-killed"),
    (Case::HostReplaced, "host-replaced"),
    (Case::RackLost, "rack-lost"),
    (Case::DomainCut, "domain-cut"),
    (Case::DomainSilent, "domain-silent"),
    (Case::ListChanged, "list-changed"),
    (Case::RollingRestart, "rolling-restart"),
    (
        Case::RollingRestartWithHandOff,
        "rolling-restart-handed-over",
    ),
    (
        Case::RollingRestartAndLoss,
        "rolling-restart-handed-over-and-host-killed",
    ),
    (
        Case::RollingReplacementWithHandOff,
        "rolling-replacement-handed-over",
    ),
];

/// Measures the share of unknown outcomes per fault and witness plan.
pub(super) struct UnknownShare;

impl Scenario for UnknownShare {
    fn name(&self) -> &'static str {
        "attempts/unknown-share"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let measurements = thread::scope(|scope| {
            let threads: Vec<_> = PLANS
                .into_iter()
                .map(|(plan, name)| scope.spawn(move || measure_plan(seed, plan, name)))
                .collect();
            let finished = threads.into_iter().filter_map(|thread| thread.join().ok());
            finished.flatten().collect()
        });
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements,
        }
    }
}

fn measure_plan(seed: u64, plan: WitnessPlan, plan_name: &str) -> Vec<Measurement> {
    let measured = CASES.into_iter().flat_map(|(case, case_name)| {
        let fleet = run_case(seed, case, plan);
        measure(&format!("{case_name}/{plan_name}"), case, plan, &fleet)
    });
    measured.collect()
}

fn measure(name: &str, case: Case, plan: WitnessPlan, fleet: &Fleet) -> Vec<Measurement> {
    let tally = fleet.oracle().tally();
    let violations = fleet.oracle().violations().len() as f64;
    let first = Measurement::new(
        &format!("{name}/first-unknown"),
        first_share(&tally),
        "share",
    );
    let planned = [Case::NoFault, Case::RollingRestartWithHandOff];
    let first = if plan == WitnessPlan::Majority && planned.contains(&case) {
        first.bounded(Bound::AtMost(MAX_PLANNED_UNKNOWN))
    } else {
        first
    };
    let repeat = Measurement::new(
        &format!("{name}/repeat-unknown"),
        repeat_share(&tally),
        "share",
    );
    let broken = Measurement::new(&format!("{name}/broken-promises"), violations, "count");
    vec![first, repeat, broken.bounded(Bound::AtMost(0.0))]
}

fn first_share(tally: &Tally) -> f64 {
    tally.first_unknown as f64 / tally.first_sends.max(1) as f64
}

fn repeat_share(tally: &Tally) -> f64 {
    tally.repeat_unknown as f64 / tally.repeats.max(1) as f64
}

fn run_case(seed: u64, case: Case, plan: WitnessPlan) -> Fleet {
    let settings = FleetSettings {
        domains: DOMAINS,
        hosts_per_domain: HOSTS_PER_DOMAIN,
        max_drift_ppm: 100,
        read_interval: Duration::from_secs(1),
        upstream: Upstream::Reliable,
        attempt: AttemptSettings {
            plan,
            ..AttemptSettings::default()
        },
    };
    let mut fleet = Fleet::new(seed, settings);
    fleet.run_for(warm_up(&settings.attempt));
    let active_time = schedule_faults(&mut fleet, case);
    schedule_sends(&mut fleet, seed, active_time);
    fleet.run_for(active_time + Duration::from_secs(35));
    fleet
}

/// Schedules sends at a steady rate and a repeat of every fifth.
fn schedule_sends(fleet: &mut Fleet, seed: u64, active_time: Duration) {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5e4d);
    let sends = usize::try_from(active_time.as_secs()).unwrap_or_default() * SENDS_PER_S;
    for operation in 0..sends {
        let first = active_time.mul_f64(rng.f64());
        fleet.schedule_send(first, operation);
        if operation % 5 == 0 {
            let after = Duration::from_millis(rng.u64(200..30_000));
            fleet.schedule_send(first + after, operation);
        }
    }
}

/// Schedules the faults of a case and returns how long it lasts.
fn schedule_faults(fleet: &mut Fleet, case: Case) -> Duration {
    let fault_after = Duration::from_secs(10);
    let hosts = fleet.hosts();
    let domain = FailureDomain::new("d1");
    match case {
        Case::NoFault => {}
        Case::HostKilled => fleet.schedule_fault(fault_after, kill(&hosts[1], None)),
        Case::HostReplaced => {
            fleet.schedule_fault(fault_after, kill(&hosts[1], Some(REPLACED_AFTER)));
        }
        Case::RackLost => {
            for index in [1, 5, 9] {
                let back = Some(Duration::from_secs(30));
                fleet.schedule_fault(fault_after, kill(&hosts[index], back));
            }
        }
        Case::DomainCut | Case::DomainSilent => {
            let cut = Fault::CutDomain {
                domain,
                both_ways: case == Case::DomainCut,
                time: Duration::from_secs(100),
            };
            fleet.schedule_fault(fault_after, cut);
        }
        Case::ListChanged => {
            fleet.schedule_fault(fault_after, Fault::Add { domain });
            let delist = Fault::Delist {
                host: hosts[2].clone(),
                time: Duration::from_secs(3600),
            };
            fleet.schedule_fault(2 * fault_after, delist);
        }
        Case::RollingRestart => return restart_all(fleet, &hosts, false, Listing::Kept),
        Case::RollingRestartWithHandOff => {
            return restart_all(fleet, &hosts, true, Listing::Kept);
        }
        Case::RollingRestartAndLoss => {
            fleet.schedule_fault(10 * fault_after, kill(&hosts[0], None));
            return restart_all(fleet, &hosts[1..], true, Listing::Kept);
        }
        Case::RollingReplacementWithHandOff => {
            return replace_all(fleet, &hosts);
        }
    }
    Duration::from_secs(120)
}

fn kill(host: &HostId, replaced_after: Option<Duration>) -> Fault {
    let listing = if replaced_after.is_some() {
        Listing::Kept
    } else {
        Listing::RemovedAfter(REMOVED_AFTER)
    };
    Fault::Kill {
        host: host.clone(),
        replaced_after,
        listing,
    }
}

fn restart_all(
    fleet: &mut Fleet,
    hosts: &[HostId],
    hands_off_records: bool,
    listing: Listing,
) -> Duration {
    let mut after = Duration::ZERO;
    for host in hosts {
        let stop = Fault::Stop {
            host: host.clone(),
            hands_off_records,
            replaced_after: Some(REPLACED_AFTER),
            listing,
        };
        fleet.schedule_fault(after, stop);
        after += RESTART_INTERVAL;
    }
    after + Duration::from_secs(30)
}

/// Replaces each host by one with a different name.
fn replace_all(fleet: &mut Fleet, hosts: &[HostId]) -> Duration {
    let mut after = Duration::ZERO;
    for (index, host) in hosts.iter().enumerate() {
        let domain = FailureDomain::new(&format!("d{}", index % DOMAINS));
        fleet.schedule_fault(after, Fault::Add { domain });
        let stop = Fault::Stop {
            host: host.clone(),
            hands_off_records: true,
            replaced_after: None,
            listing: Listing::RemovedAfter(Duration::from_secs(5)),
        };
        fleet.schedule_fault(after, stop);
        after += 2 * RESTART_INTERVAL;
    }
    after + Duration::from_secs(30)
}
