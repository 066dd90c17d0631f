//! The fault schedule of a run, drawn from its seed.

use std::time::Duration;

use crate::proxy::PathState;
use crate::store::Mode;

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
    /// An instance names the rate that it takes from all hosts together.
    Limit {
        instance: usize,
        rate_per_s: u32,
        duration: Duration,
    },
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
