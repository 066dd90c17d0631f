//! The cost of a spent token and of a configured workspace.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_config::{RateLimit, Snapshot};
use waxwingusher_core::{
    FailureDomain, HostEntry, HostId, HostList, HostState, ManualClock, WorkspaceName,
};
use waxwingusher_limits::{Limiter, LimiterSettings, SpendDecision};

use super::fleet::{WARM_UP, snapshot, workspace_names};
use super::load::Demand;
use crate::{Bound, Measurement, Scenario, ScenarioResult};

/// Workspaces at the design size.
const WORKSPACES: usize = 13_000;
/// Workspaces that are in use at one host.
const ACTIVE_WORKSPACES: usize = 100;
/// The tokens that one batch spends.
const BATCH_TOKENS: u32 = 10_000;
/// The number of batches. The fastest counts, because other processes share the
/// machine.
const BATCHES: usize = 50;
/// The size of a page of memory, in bytes.
const PAGE_BYTES: u64 = 4096;

/// Measures the cost of a token spent from a share, and of 13,000 workspaces.
pub struct Cost;

impl Scenario for Cost {
    fn name(&self) -> &'static str {
        "limits/cost"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let names = workspace_names(WORKSPACES);
        let demand = Demand {
            limit: RateLimit {
                rate_millis_per_s: 1_000_000_000,
                burst: 1_000_000,
            },
            per_s: 0.0,
        };
        let snapshot = snapshot(&names, &vec![demand; WORKSPACES]);
        let before = resident_bytes();
        let clock = ManualClock::new();
        let mut limiter = sole_holder(&snapshot, &clock);
        let bytes = resident_bytes().saturating_sub(before) / WORKSPACES as u64;
        let spend = spend_cost(&mut limiter, &names[..ACTIVE_WORKSPACES], &clock);
        let tick = tick_cost(&mut limiter);
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements: vec![
                Measurement::new("local-spend", spend, "ns")
                    .bounded(Bound::AtMost(1000.0))
                    .timed(),
                Measurement::new("tick-with-100-active", tick, "ns").timed(),
                Measurement::new("memory-per-workspace", bytes as f64, "bytes").timed(),
            ],
        }
    }
}

/// Returns the limiter of a fleet with a single host.
fn sole_holder(snapshot: &Snapshot, clock: &ManualClock) -> Limiter {
    let domain = FailureDomain::new("domain");
    let id = HostId::new("host");
    let settings = LimiterSettings::new(vec![domain.clone()]);
    let mut limiter = Limiter::new(id.clone(), 1, Arc::new(clock.clone()), settings);
    let entry = HostEntry {
        id,
        peer_addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: domain,
        state: HostState::Live,
    };
    let list = HostList {
        version: 1,
        hosts: vec![entry],
    };
    limiter.apply_snapshot(snapshot);
    limiter.apply_host_list(&list);
    for _ in 0..WARM_UP.as_secs() {
        clock.advance(Duration::from_secs(1));
        confirm(&mut limiter, clock);
        limiter.tick();
    }
    limiter
}

fn confirm(limiter: &mut Limiter, clock: &ManualClock) {
    use waxwingusher_core::Clock;
    limiter.confirm_host_list(1, clock.now());
}

/// Returns the time to spend one token, in nanoseconds.
fn spend_cost(limiter: &mut Limiter, names: &[WorkspaceName], clock: &ManualClock) -> f64 {
    let mut fastest = Duration::MAX;
    for _ in 0..BATCHES {
        clock.advance(Duration::from_millis(100));
        confirm(limiter, clock);
        let mut spent = 0;
        let start = Instant::now();
        for i in 0..BATCH_TOKENS {
            let name = &names[i as usize % names.len()];
            let decision = black_box(limiter.spend(name));
            spent += u32::from(decision == SpendDecision::Spent);
        }
        let elapsed = start.elapsed();
        if spent == BATCH_TOKENS {
            fastest = fastest.min(elapsed);
        }
    }
    fastest.as_nanos() as f64 / f64::from(BATCH_TOKENS)
}

/// Returns the time of one tick, in nanoseconds.
fn tick_cost(limiter: &mut Limiter) -> f64 {
    let mut fastest = Duration::MAX;
    for _ in 0..BATCHES {
        let start = Instant::now();
        black_box(limiter.tick());
        fastest = fastest.min(start.elapsed());
    }
    fastest.as_nanos() as f64
}

/// Returns the resident memory of this process, or zero where it cannot be read.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}
