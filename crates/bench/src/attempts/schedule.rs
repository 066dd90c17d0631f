//! Random schedules of faults and repeated sends, each determined by a seed.

use std::time::Duration;

use waxwingusher_attempts::{AttemptSettings, WitnessPlan};
use waxwingusher_core::{FailureDomain, HostId};
use waxwingusher_standins::LinkFaults;

use super::fault::{Fault, Listing};
use super::fleet::{Fleet, FleetSettings};
use super::traffic::Upstream;

/// The time during which faults and first sends begin.
const ACTIVE_TIME: Duration = Duration::from_secs(60);

/// The time after that during which repeats still arrive.
const REPEAT_TIME: Duration = Duration::from_secs(20);

/// The number of operations in a schedule.
const OPERATIONS: usize = 40;

/// Returns settings with a window short enough for a schedule to span several.
#[must_use]
pub fn short_settings(plan: WitnessPlan) -> AttemptSettings {
    AttemptSettings {
        window: Duration::from_secs(15),
        permit_term: Duration::from_secs(1),
        list_lag: Duration::from_millis(200),
        list_fence: Duration::from_secs(2),
        list_settle: Duration::from_millis(1200),
        buckets: 64,
        plan,
        ..AttemptSettings::default()
    }
}

/// Returns how long a fleet runs before its hosts vouch for attempts.
#[must_use]
pub fn warm_up(settings: &AttemptSettings) -> Duration {
    settings.coverage() + settings.list_settle + Duration::from_secs(2)
}

/// Runs a schedule of random faults.
#[must_use]
pub fn run_schedule(seed: u64, plan: WitnessPlan) -> Fleet {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5ced);
    let settings = FleetSettings {
        domains: rng.usize(1..=4),
        hosts_per_domain: rng.usize(1..=3),
        max_drift_ppm: 10_000,
        read_interval: Duration::from_millis(300),
        upstream: Upstream::Unreliable,
        attempt: short_settings(plan),
    };
    let mut fleet = Fleet::new(seed, settings);
    fleet.run_for(warm_up(&settings.attempt));
    for _ in 0..rng.usize(2..14) {
        let fault = random_fault(&mut rng, &fleet);
        fleet.schedule_fault(up_to(&mut rng, ACTIVE_TIME), fault);
    }
    for operation in 0..OPERATIONS {
        let first = up_to(&mut rng, ACTIVE_TIME);
        fleet.schedule_send(first, operation);
        for _ in 0..rng.usize(1..5) {
            fleet.schedule_send(first + repeat_after(&mut rng), operation);
        }
    }
    fleet.run_for(ACTIVE_TIME + REPEAT_TIME);
    fleet
}

/// Draws the delay of a repeat: almost none, up to 1.5 s, or up to beyond the
/// window.
fn repeat_after(rng: &mut fastrand::Rng) -> Duration {
    match rng.u32(..4) {
        0 => Duration::from_micros(rng.u64(..5000)),
        1 => Duration::from_millis(rng.u64(..1500)),
        _ => Duration::from_millis(rng.u64(..18_000)),
    }
}

fn random_fault(rng: &mut fastrand::Rng, fleet: &Fleet) -> Fault {
    let hosts = fleet.hosts();
    let host = random_host(rng, &hosts);
    let domain = FailureDomain::new(&format!("d{}", rng.usize(..fleet.settings.domains)));
    let time = Duration::from_millis(rng.u64(100..30_000));
    match rng.u32(..14) {
        0 | 1 => Fault::Kill {
            host,
            replaced_after: replacement(rng),
            listing: listing(rng),
        },
        2 | 3 => Fault::Stop {
            host,
            hands_off_records: rng.u32(..4) > 0,
            replaced_after: replacement(rng),
            listing: listing(rng),
        },
        4 => Fault::Pause { host, time },
        5 => Fault::Suspend { host, time },
        6 | 7 => Fault::CutLink {
            from: host,
            to: random_host(rng, &hosts),
            time,
        },
        8 => Fault::CutDomain {
            domain,
            both_ways: rng.bool(),
            time,
        },
        9 => Fault::FaultyLinks {
            faults: random_link_faults(rng),
            time,
        },
        10 => Fault::ListUnavailable { time },
        11 => Fault::ReadsFail { host, time },
        12 => Fault::Delist { host, time },
        _ => Fault::Add { domain },
    }
}

fn replacement(rng: &mut fastrand::Rng) -> Option<Duration> {
    let after = Duration::from_millis(rng.u64(0..5000));
    (rng.u32(..4) > 0).then_some(after)
}

fn listing(rng: &mut fastrand::Rng) -> Listing {
    if rng.bool() {
        return Listing::Kept;
    }
    Listing::RemovedAfter(Duration::from_millis(rng.u64(..6000)))
}

fn random_link_faults(rng: &mut fastrand::Rng) -> LinkFaults {
    LinkFaults {
        min_delay: Duration::from_micros(500),
        max_delay: Duration::from_millis(rng.u64(2..2000)),
        loss: rng.f64() / 4.0,
        duplication: rng.f64() / 4.0,
    }
}

fn random_host(rng: &mut fastrand::Rng, hosts: &[HostId]) -> HostId {
    hosts[rng.usize(..hosts.len())].clone()
}

fn up_to(rng: &mut fastrand::Rng, longest: Duration) -> Duration {
    longest.mul_f64(rng.f64())
}
