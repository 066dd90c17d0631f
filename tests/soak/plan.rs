//! The fault schedule of a run, drawn from its seed.

use std::time::Duration;

use crate::proxy::PathState;
use crate::store::Mode;

/// The number of failure domains. Hosts and instances are in that of their number
/// modulo this.
pub const DOMAINS: usize = 2;
/// The time for the instances of a failure domain to return, in schedules in series.
pub const COLD_RETURN: Duration = Duration::from_millis(3_500);
/// The time between the upgrades of two hosts.
const UPGRADE_INTERVAL: Duration = Duration::from_millis(700);

/// A fault, or a planned operation such as a restart.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A host gets SIGKILL and is restarted later.
    Kill { host: usize },
    /// A host process is stopped with SIGSTOP for `duration`.
    Pause { host: usize, duration: Duration },
    /// A host gets SIGTERM and is restarted after it has ended.
    Stop { host: usize },
    /// A host gets SIGHUP.
    Reload { host: usize },
    /// A host gets SIGHUP after its settings file has changed.
    ChangeSettings { host: usize },
    /// The proxy of `host` to an instance is disturbed for `duration`. This has an
    /// effect only if the instance is registered at that proxy.
    InstancePath {
        host: usize,
        instance: usize,
        state: PathState,
        duration: Duration,
    },
    /// Connections from one host to the store are disturbed for `duration`.
    StorePath {
        host: usize,
        state: PathState,
        duration: Duration,
    },
    /// The store itself fails for `duration`.
    Store { mode: Mode, duration: Duration },
    /// The store discards its history of changes.
    Compact,
    /// A new configuration replaces the callers' key.
    NewKey,
    /// An instance drains, leaves and is registered again under another id.
    Replace { instance: usize },
    /// An instance ends without notice and starts again under another id; its entry
    /// says that it is cold.
    ColdStart { instance: usize },
    /// An operator orders the evacuation of a failure domain for `duration`. Its
    /// instances are cold afterwards.
    Evacuate { domain: usize, duration: Duration },
    /// A host is stopped and started with the other build, or again with the one under
    /// test. Skipped without another build.
    Upgrade { host: usize },
    /// An instance names the rate that it takes from all hosts together.
    Limit {
        instance: usize,
        rate_per_s: u32,
        duration: Duration,
    },
}

/// Draws evacuations, cold starts and upgrades that overlap with other faults. Orders
/// stand for up to 4 s longer than they take to bind.
pub fn draw_operations(
    rng: &mut fastrand::Rng,
    hosts: usize,
    instances: usize,
    duration: Duration,
) -> Vec<(Duration, Fault)> {
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(rng.u64(100..1_000));
    let mut evacuated_until = Duration::ZERO;
    while at + Duration::from_secs(2) < duration {
        match rng.usize(..4) {
            // Not all domains at once, so that requests are served.
            0 | 1 if at >= evacuated_until => {
                let domain = rng.usize(..DOMAINS);
                let duration = Duration::from_millis(rng.u64(4_000..9_000));
                plan.push((at, Fault::Evacuate { domain, duration }));
                evacuated_until = at + duration;
            }
            0..3 => {
                let instance = rng.usize(..instances);
                plan.push((at, Fault::ColdStart { instance }));
            }
            _ => plan.extend(upgrade_all(at, hosts)),
        }
        at += Duration::from_millis(rng.u64(500..3_000));
    }
    plan
}

/// Returns a schedule without other faults: each failure domain is evacuated and returns
/// while a host restarts, an instance starts cold, and all hosts are upgraded and back.
pub fn operations_in_series(
    rng: &mut fastrand::Rng,
    hosts: usize,
    instances: usize,
) -> Vec<(Duration, Fault)> {
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(500);
    for domain in 0..DOMAINS {
        let duration = Duration::from_millis(7_500);
        plan.push((at, Fault::Evacuate { domain, duration }));
        let restarted_at = at + Duration::from_millis(rng.u64(1_000..6_000));
        plan.push((restarted_at, Fault::Kill { host: domain + 1 }));
        at += duration + COLD_RETURN;
    }
    for _ in 0..2 {
        plan.extend(upgrade_all(at, hosts));
        at += UPGRADE_INTERVAL * 5;
        let instance = rng.usize(..instances);
        plan.push((at, Fault::ColdStart { instance }));
        at += COLD_RETURN;
    }
    plan
}

/// Upgrades all hosts, one after the other.
fn upgrade_all(at: Duration, hosts: usize) -> impl Iterator<Item = (Duration, Fault)> {
    let times = std::iter::successors(Some(at), |at| Some(*at + UPGRADE_INTERVAL));
    times.zip((0..hosts).map(|host| Fault::Upgrade { host }))
}

/// Draws a schedule without faults: hosts stop and start, up to all of them at once, while
/// settings and the configuration change and instances are replaced.
pub fn draw_planned_work(
    rng: &mut fastrand::Rng,
    hosts: usize,
    instances: usize,
    duration: Duration,
) -> Vec<(Duration, Fault)> {
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(300);
    while at + Duration::from_secs(2) < duration {
        let host = rng.usize(..hosts);
        plan.push((at, Fault::Stop { host }));
        for _ in 0..rng.usize(1..=3) {
            let change = match rng.usize(..4) {
                0 => Fault::ChangeSettings { host },
                1 => Fault::ChangeSettings {
                    host: rng.usize(..hosts),
                },
                2 => Fault::NewKey,
                _ => Fault::Replace {
                    instance: rng.usize(..instances),
                },
            };
            plan.push((at + Duration::from_millis(rng.u64(..3_500)), change));
        }
        at += Duration::from_millis(rng.u64(300..2_000));
    }
    plan
}

/// Draws a schedule in which a fault repeats up to three times in a row, with
/// others in between. Faults may overlap.
pub fn draw_faults(
    rng: &mut fastrand::Rng,
    hosts: usize,
    instances: usize,
    duration: Duration,
) -> Vec<(Duration, Fault)> {
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(500);
    while at + Duration::from_secs(2) < duration {
        let repetitions = rng.usize(1..=3);
        let fault = draw_fault(rng, hosts, instances);
        for _ in 0..repetitions {
            plan.push((at, fault));
            at += Duration::from_millis(rng.u64(20..400));
            if rng.bool() {
                plan.push((at, draw_fault(rng, hosts, instances)));
            }
        }
        at += Duration::from_millis(rng.u64(100..900));
    }
    plan
}

/// Draws limits that instances name meanwhile, most of them for longer than the time from
/// which on they bind.
pub fn draw_limits(
    rng: &mut fastrand::Rng,
    instances: usize,
    duration: Duration,
) -> Vec<(Duration, Fault)> {
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(rng.u64(200..1_500));
    while at + Duration::from_secs(4) < duration {
        let fault = Fault::Limit {
            instance: rng.usize(..instances),
            rate_per_s: rng.u32(1..12),
            duration: Duration::from_millis(rng.u64(2_000..9_000)),
        };
        plan.push((at, fault));
        at += Duration::from_millis(rng.u64(500..3_000));
    }
    plan
}

fn draw_fault(rng: &mut fastrand::Rng, hosts: usize, instances: usize) -> Fault {
    let host = rng.usize(..hosts);
    let instance = rng.usize(..instances);
    let duration = Duration::from_millis(rng.u64(100..1_500));
    let states = [
        PathState::Delayed,
        PathState::Reset,
        PathState::CutForward,
        PathState::CutBackward,
        PathState::Silent,
    ];
    let state = states[rng.usize(..states.len())];
    let modes = [Mode::Refusing, Mode::Silent, Mode::Resetting];
    match rng.usize(..10) {
        0 => Fault::Kill { host },
        1 => Fault::Pause { host, duration },
        2 => Fault::Stop { host },
        3 => Fault::Reload { host },
        4 | 5 => Fault::InstancePath {
            host,
            instance,
            state,
            duration,
        },
        6 => Fault::StorePath {
            host,
            state,
            duration,
        },
        7 => Fault::Store {
            mode: modes[rng.usize(..modes.len())],
            duration,
        },
        8 => {
            if rng.bool() {
                Fault::Compact
            } else {
                Fault::NewKey
            }
        }
        _ => Fault::Replace { instance },
    }
}
