//! The scenarios of failure detection.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use waxwingusher_core::HostId;
use waxwingusher_membership::liveness::PeerState;
use waxwingusher_standins::LinkFaults;

use crate::scenario::{Bound, Measurement, Scenario, ScenarioResult};

use super::fleet::{LivenessFleet, ObservedChange, list};
use super::meters::{ChangeCounts, Meter, Times};

pub(super) use super::fleet::Sizes;

const WARM_UP_TIME_S: u64 = 60;
const TRIALS: usize = 20;
const PAUSE_TIME_S: u64 = 10;
const RECOVERY_TIME_S: u64 = 30;
const LOSS_TIME_S: u64 = 600;
const PARTITION_TIME_S: u64 = 300;
// Ten times the restarts of an ordinary day at the design size.
const RESTART_INTERVAL_S: u64 = 23;
const RESTARTS: usize = 20;
const S_PER_HOUR: f64 = 3_600.0;

macro_rules! sized_scenario {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        pub(super) struct $name {
            name: &'static str,
            sizes: Sizes,
        }

        impl $name {
            pub(super) fn new(name: &'static str, sizes: Sizes) -> Self {
                Self { name, sizes }
            }
        }
    };
}

sized_scenario!(
    /// Hosts are killed one after another, without notifying their peers.
    DeadHost
);
sized_scenario!(
    /// Hosts are paused for ten seconds, one after another.
    PausedHost
);
sized_scenario!(
    /// Hosts are restarted, ten times as often as on an ordinary day.
    HostRestarts
);
sized_scenario!(
    /// The fleet is partitioned into two halves.
    PartitionedFleet
);

/// Every link loses messages.
pub(super) struct LossyLinks {
    name: &'static str,
    sizes: Sizes,
    loss: f64,
}

impl LossyLinks {
    pub(super) fn new(name: &'static str, sizes: Sizes, loss: f64) -> Self {
        Self { name, sizes, loss }
    }
}

impl Scenario for DeadHost {
    fn name(&self) -> &'static str {
        self.name
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let mut fleet = warm_fleet(self.sizes, seed, LinkFaults::default());
        let (mut unusable, mut dead) = (Times::default(), Times::default());
        let mut false_changes = ChangeCounts::default();
        let meter = Meter::begin(&fleet);
        for _ in 0..TRIALS {
            let killed = fleet.random_id();
            fleet.fleet.kill(&killed);
            let killed_at = fleet.elapsed();
            while fleet.elapsed() < killed_at + Duration::from_secs(RECOVERY_TIME_S) {
                fleet.fleet.step();
                let since = fleet.elapsed() - killed_at;
                for change in fleet.take_changes() {
                    if change.event.host != killed {
                        count(&change, &mut false_changes);
                        continue;
                    }
                    if change.event.from.is_usable() && !change.event.to.is_usable() {
                        unusable.push(since);
                    }
                    if change.event.to == PeerState::Dead {
                        dead.push(since);
                    }
                }
            }
            fleet.start(&killed);
            fleet.run_s(RECOVERY_TIME_S);
            fleet.take_changes();
        }
        let mut measurements = unusable.measurements("not-usable-at-a-host");
        measurements.extend(dead.measurements("dead-at-a-host"));
        measurements.extend(false_counts(&false_changes));
        measurements.extend(meter.measurements(&fleet));
        result(self.name, seed, measurements)
    }
}

impl Scenario for LossyLinks {
    fn name(&self) -> &'static str {
        self.name
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let faults = LinkFaults {
            loss: self.loss,
            ..LinkFaults::default()
        };
        let mut fleet = warm_fleet(self.sizes, seed, faults);
        let meter = Meter::begin(&fleet);
        let started_at = fleet.elapsed();
        let mut false_changes = ChangeCounts::default();
        let mut views = WrongViews::default();
        while fleet.elapsed() < started_at + Duration::from_secs(LOSS_TIME_S) {
            fleet.fleet.step();
            let now = fleet.elapsed();
            for change in fleet.take_changes() {
                count(&change, &mut false_changes);
                views.take(&change, now);
            }
        }
        let host_hours = self.sizes.hosts as f64 * LOSS_TIME_S as f64 / S_PER_HOUR;
        let view_s = (self.sizes.hosts * (self.sizes.hosts - 1)) as f64 * LOSS_TIME_S as f64;
        let mut measurements = vec![
            Measurement::new(
                "false-suspicions-per-host-hour",
                views.started as f64 / host_hours,
                "1/h",
            ),
            Measurement::new("wrong-views", views.sum_s / view_s, "share"),
        ];
        measurements.extend(false_counts(&false_changes));
        measurements.extend(meter.measurements(&fleet));
        result(self.name, seed, measurements)
    }
}

impl Scenario for PausedHost {
    fn name(&self) -> &'static str {
        self.name
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let mut fleet = warm_fleet(self.sizes, seed, LinkFaults::default());
        let meter = Meter::begin(&fleet);
        let mut usable_again = Times::default();
        let (mut by_resumed, mut of_others) = (0, 0);
        for _ in 0..TRIALS {
            let paused = fleet.random_id();
            fleet.fleet.pause(&paused);
            fleet.run_s(PAUSE_TIME_S);
            fleet.fleet.resume(&paused);
            let resumed_at = fleet.elapsed();
            let mut last_wrong_at = resumed_at;
            while fleet.elapsed() < resumed_at + Duration::from_secs(RECOVERY_TIME_S) {
                fleet.fleet.step();
                if fleet.count_views(&paused, |_| true, |state| !state.is_usable()) > 0 {
                    last_wrong_at = fleet.elapsed();
                }
            }
            usable_again.push(last_wrong_at - resumed_at);
            for change in fleet.take_changes() {
                let is_suspicion = !change.event.to.is_usable();
                by_resumed += u64::from(is_suspicion && change.observer == paused);
                of_others += u64::from(is_suspicion && change.event.host != paused);
            }
        }
        let zero = Bound::AtMost(0.0);
        let mut measurements = usable_again.measurements("usable-again-everywhere");
        measurements.extend([
            Measurement::new("accused-by-the-woken", by_resumed as f64, "count").bounded(zero),
            Measurement::new("others-accused", of_others as f64, "count").bounded(zero),
        ]);
        measurements.extend(meter.measurements(&fleet));
        result(self.name, seed, measurements)
    }
}

impl Scenario for HostRestarts {
    fn name(&self) -> &'static str {
        self.name
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let mut fleet = warm_fleet(self.sizes, seed, LinkFaults::default());
        let meter = Meter::begin(&fleet);
        let mut false_changes = ChangeCounts::default();
        for _ in 0..RESTARTS {
            let id = fleet.random_id();
            fleet.start(&id);
            fleet.run_s(RESTART_INTERVAL_S);
            for change in fleet.take_changes() {
                count(&change, &mut false_changes);
            }
        }
        let mut measurements = false_counts(&false_changes);
        measurements.extend(meter.measurements(&fleet));
        result(self.name, seed, measurements)
    }
}

impl Scenario for PartitionedFleet {
    fn name(&self) -> &'static str {
        self.name
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let mut fleet = warm_fleet(self.sizes, seed, LinkFaults::default());
        let half = self.sizes.hosts / 2;
        for i in 0..half {
            for j in half..self.sizes.hosts {
                let (a, b) = (fleet.id(i), fleet.id(j));
                fleet.fleet.cut(&a, &b);
                fleet.fleet.cut(&b, &a);
            }
        }
        let meter = Meter::begin(&fleet);
        fleet.run_s(PARTITION_TIME_S);
        let mut measurements = meter.measurements(&fleet);
        let not_usable_share = share_of_remote_views(&fleet, half, |state| !state.is_usable());
        measurements.push(Measurement::new(
            "far-half-not-usable",
            not_usable_share,
            "share",
        ));
        fleet.fleet.heal_all();
        fleet.run_s(PARTITION_TIME_S);
        let usable_share = share_of_remote_views(&fleet, half, PeerState::is_usable);
        measurements.push(Measurement::new(
            "far-half-usable-after",
            usable_share,
            "share",
        ));
        result(self.name, seed, measurements)
    }
}

/// The number and total duration of false suspicions of running hosts in all views.
#[derive(Default)]
struct WrongViews {
    started: u64,
    sum_s: f64,
    since: BTreeMap<(HostId, HostId), Duration>,
    last_suspected: BTreeMap<HostId, Duration>,
}

impl WrongViews {
    fn take(&mut self, change: &ObservedChange, now: Duration) {
        let view = (change.observer.clone(), change.event.host.clone());
        if change.event.to.is_usable() {
            let since = self.since.remove(&view);
            self.sum_s += since.map_or(0.0, |since| (now - since).as_secs_f64());
            return;
        }
        self.since.entry(view).or_insert(now);
        // Counts a suspicion once, however many hosts share it.
        let last = self.last_suspected.insert(change.event.host.clone(), now);
        let is_same = last.is_some_and(|last| now - last < Duration::from_secs(PAUSE_TIME_S));
        self.started += u64::from(!is_same);
    }
}

/// Measures failure detection in a healthy fleet of a size.
pub(super) fn measure_hosts(hosts: usize, seed: u64) -> Vec<Measurement> {
    let sizes = Sizes {
        hosts,
        ..Sizes::DESIGN
    };
    let mut fleet = warm_fleet(sizes, seed, LinkFaults::default());
    let meter = Meter::begin(&fleet);
    fleet.run_s(WARM_UP_TIME_S);
    meter.measurements(&fleet)
}

fn warm_fleet(sizes: Sizes, seed: u64, faults: LinkFaults) -> LivenessFleet {
    let mut fleet = LivenessFleet::new(list(sizes), seed, faults);
    fleet.run_s(WARM_UP_TIME_S);
    fleet.take_changes();
    fleet
}

fn count(change: &ObservedChange, false_changes: &mut ChangeCounts) {
    match change.event.to {
        PeerState::Suspect { .. } => false_changes.suspected += 1,
        PeerState::Dead => false_changes.died += 1,
        PeerState::Alive | PeerState::Unknown => {}
    }
}

fn false_counts(false_changes: &ChangeCounts) -> Vec<Measurement> {
    vec![
        Measurement::new(
            "views-false-suspect",
            false_changes.suspected as f64,
            "count",
        ),
        Measurement::new("views-false-dead", false_changes.died as f64, "count"),
    ]
}

// The share of hosts in each half whose view of one host in the other half fits.
fn share_of_remote_views(
    fleet: &LivenessFleet,
    half: usize,
    matches_state: impl Fn(PeerState) -> bool + Copy,
) -> f64 {
    let (first, last, middle) = (fleet.id(0), fleet.id(2 * half - 1), fleet.id(half));
    let of_first = fleet.count_views(&first, |observer| *observer >= middle, matches_state);
    let of_last = fleet.count_views(&last, |observer| *observer < middle, matches_state);
    (of_first + of_last) as f64 / (2 * half) as f64
}

fn result(name: &str, seed: u64, measurements: Vec<Measurement>) -> ScenarioResult {
    ScenarioResult {
        scenario: Arc::from(name),
        seed,
        measurements,
    }
}
