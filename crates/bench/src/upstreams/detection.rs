//! Detection scenarios: the fleet's detection and common methods on the same
//! faults.

use std::time::Duration;

use waxwingusher_upstreams::{Blame, RequestOrigin, UpstreamResult, UpstreamSettings};

use super::alternatives::{AlternativeFleet, DetectionMethod};
use super::fleet::Fleet;
use super::pool::{
    APPROVAL_DESK, ORDER_SERVICE, PoolShape, instance_id, instance_index, service_name,
};
use crate::{Bound, Measurement, Scenario, ScenarioResult};

const WARM_UP: Duration = Duration::from_secs(60);
const RUNS: u64 = 20;
const FLAPPING_RUNS: u64 = 4;
const ALTERNATIVE_STEP: Duration = Duration::from_millis(5);
const AFFECTED_INSTANCE: usize = 3;
const BASE_FAILURES: f64 = 0.001;
const MEDIAN_LATENCY: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(1);

/// An injected fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// One instance fails a share of its requests and answers probes.
    Failing(f64),
    /// One instance is ten times slower.
    Slow,
    /// One instance alternates between failing and healthy.
    Flapping(Duration),
    /// Requests of one workspace fail everywhere.
    BadWorkspace,
    /// Requests of one route fail everywhere.
    BadRoute,
    /// All instances are ten times slower.
    PoolSlow,
    /// The hosts of one failure domain cannot reach one instance.
    PathCut,
    /// A request crashes each instance that runs it and is known for it.
    CrashingRequest,
}

/// One scenario.
struct DetectionCase {
    name: &'static str,
    shape: PoolShape,
    fault: Fault,
    rate_per_instance: f64,
    length: Duration,
    limit: Option<Duration>,
}

/// Returns the scenarios of detection.
pub fn scenarios() -> Vec<Box<dyn Scenario>> {
    let mut all: Vec<Box<dyn Scenario>> = Vec::new();
    for (shape, names, limits) in [
        (APPROVAL_DESK, CAREFUL_NAMES, [5, 15]),
        (ORDER_SERVICE, FAST_NAMES, [2, 5]),
    ] {
        let limits = limits.map(|seconds| Some(Duration::from_secs(seconds)));
        let faults = [
            (Fault::Failing(1.0), 5.0, 30, limits[0]),
            (Fault::Failing(0.3), 5.0, 60, limits[1]),
            (Fault::Failing(0.1), 5.0, 120, None),
            (Fault::Slow, 5.0, 30, None),
            (Fault::Flapping(Duration::from_secs(1)), 5.0, 60, None),
            (Fault::Flapping(Duration::from_secs(10)), 5.0, 120, None),
            (Fault::Flapping(Duration::from_secs(60)), 5.0, 240, None),
            (Fault::BadWorkspace, 5.0, 60, None),
            (Fault::BadRoute, 5.0, 60, None),
            (Fault::PoolSlow, 5.0, 60, None),
            (Fault::PathCut, 5.0, 60, None),
            (Fault::CrashingRequest, 5.0, 30, None),
            (Fault::Failing(1.0), 2.0, 60, None),
        ];
        for (name, (fault, rate, seconds, limit)) in names.into_iter().zip(faults) {
            all.push(Box::new(DetectionCase {
                name,
                shape,
                fault,
                rate_per_instance: rate,
                length: Duration::from_secs(seconds),
                limit,
            }));
        }
    }
    all
}

const CAREFUL_NAMES: [&str; 13] = [
    "upstreams/careful-failing-100",
    "upstreams/careful-failing-30",
    "upstreams/careful-failing-10",
    "upstreams/careful-slow",
    "upstreams/careful-flapping-1s",
    "upstreams/careful-flapping-10s",
    "upstreams/careful-flapping-60s",
    "upstreams/careful-bad-workspace",
    "upstreams/careful-bad-route",
    "upstreams/careful-pool-slow",
    "upstreams/careful-path-cut",
    "upstreams/careful-crashing-request",
    "upstreams/careful-low-traffic",
];

const FAST_NAMES: [&str; 13] = [
    "upstreams/fast-failing-100",
    "upstreams/fast-failing-30",
    "upstreams/fast-failing-10",
    "upstreams/fast-slow",
    "upstreams/fast-flapping-1s",
    "upstreams/fast-flapping-10s",
    "upstreams/fast-flapping-60s",
    "upstreams/fast-bad-workspace",
    "upstreams/fast-bad-route",
    "upstreams/fast-pool-slow",
    "upstreams/fast-path-cut",
    "upstreams/fast-crashing-request",
    "upstreams/fast-low-traffic",
];

/// The outcome of one run.
#[derive(Debug, Clone, Copy, Default)]
struct RunOutcome {
    detected: Option<Duration>,
    healthy_ejections: u32,
    requests: u32,
    failed: u32,
}

impl Scenario for DetectionCase {
    fn name(&self) -> &'static str {
        self.name
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let mut measurements = Vec::new();
        let mut runs: Vec<RunOutcome> = Vec::new();
        for run in 0..self.runs() {
            runs.push(self.run_fleet(seed.wrapping_mul(1_000) + run));
        }
        self.summarise("", &runs, &mut measurements);
        for (label, method) in [
            ("consecutive-", DetectionMethod::ConsecutiveFailures),
            ("probes-", DetectionMethod::ProbesOnly),
        ] {
            let runs: Vec<_> = (0..self.runs())
                .map(|run| self.run_alternative(method, seed.wrapping_mul(1_000) + run))
                .collect();
            self.summarise(label, &runs, &mut measurements);
        }
        ScenarioResult {
            scenario: self.name.into(),
            seed,
            measurements,
        }
    }
}

impl DetectionCase {
    fn has_unhealthy_instance(&self) -> bool {
        matches!(
            self.fault,
            Fault::Failing(_) | Fault::Slow | Fault::Flapping(_)
        )
    }

    fn runs(&self) -> u64 {
        match self.fault {
            Fault::Flapping(_) => FLAPPING_RUNS,
            _ => RUNS,
        }
    }

    fn rate_per_s(&self) -> f64 {
        self.rate_per_instance * self.shape.instances as f64
    }

    /// Draws the result and latency of a request to an instance.
    fn outcome(
        &self,
        since: Duration,
        from: (usize, &RequestOrigin),
        instance: usize,
        rng: &mut fastrand::Rng,
    ) -> (UpstreamResult, Duration) {
        let (host, origin) = from;
        let is_affected = instance == AFFECTED_INSTANCE;
        let error = (UpstreamResult::ErrorStatus, MEDIAN_LATENCY / 4);
        let mut latency = MEDIAN_LATENCY.mul_f64(noise(rng));
        let failing = match self.fault {
            Fault::Failing(share) if is_affected => rng.f64() < share,
            Fault::Flapping(period) if is_affected => {
                (since.as_millis() / period.as_millis()).is_multiple_of(2)
            }
            Fault::BadWorkspace => origin.workspace.as_str() == "workspace-1",
            Fault::BadRoute => origin.route.as_str() == "route-1",
            _ => false,
        };
        if failing || rng.f64() < BASE_FAILURES {
            return error;
        }
        match self.fault {
            Fault::Slow if is_affected => latency *= 10,
            Fault::PoolSlow => latency *= 10,
            Fault::PathCut if is_affected && self.is_cut(host) => {
                return (UpstreamResult::Timeout, DEADLINE);
            }
            Fault::CrashingRequest if rng.f64() < 0.02 => {
                let blame = Blame::Request;
                return (UpstreamResult::ConnectionLost { blame }, MEDIAN_LATENCY);
            }
            _ => {}
        }
        let load = None;
        (UpstreamResult::Success { latency, load }, latency)
    }

    fn is_cut(&self, host: usize) -> bool {
        self.shape.domain(host) == self.shape.domain(AFFECTED_INSTANCE)
    }

    fn run_fleet(&self, seed: u64) -> RunOutcome {
        let mut fleet = Fleet::new(&self.shape, 1, seed, &UpstreamSettings::default());
        let healthy = Self {
            fault: Fault::Failing(0.0),
            ..*self
        };
        let mut outcome = RunOutcome::default();
        let mut elapsed = Duration::ZERO;
        while elapsed < WARM_UP {
            healthy.send_requests(&mut fleet, Duration::ZERO, &mut RunOutcome::default());
            elapsed += fleet.step();
        }
        let mut since = Duration::ZERO;
        let mut were_ejected = vec![false; self.shape.instances];
        while since < self.length {
            self.send_requests(&mut fleet, since, &mut outcome);
            since += fleet.step();
            self.observe(&fleet, since, &mut were_ejected, &mut outcome);
        }
        outcome
    }

    fn send_requests(&self, fleet: &mut Fleet, since: Duration, outcome: &mut RunOutcome) {
        for _ in 0..fleet.arrivals(self.rate_per_s()) {
            let host = fleet.rng.usize(..self.shape.hosts);
            let origin = fleet.origin();
            let from = origin.clone();
            let result = fleet.request(host, &service_name(), origin, |instance, rng| {
                self.outcome(since, (host, &from), instance_index(instance), rng)
            });
            outcome.requests += 1;
            let is_success = matches!(result, Ok(UpstreamResult::Success { .. }));
            outcome.failed += u32::from(!is_success);
        }
    }

    fn observe(
        &self,
        fleet: &Fleet,
        since: Duration,
        were_ejected: &mut [bool],
        outcome: &mut RunOutcome,
    ) {
        let ejected: Vec<_> = fleet
            .sets
            .iter()
            .map(|set| set.ejected(&service_name()))
            .collect();
        let affected = instance_id(AFFECTED_INSTANCE);
        let is_ejected_everywhere = ejected.iter().all(|list| list.contains(&affected));
        if is_ejected_everywhere && outcome.detected.is_none() {
            outcome.detected = Some(since);
        }
        for (index, was_ejected) in were_ejected.iter_mut().enumerate() {
            let id = instance_id(index);
            let is_ejected = ejected.iter().any(|list| list.contains(&id));
            let is_healthy = index != AFFECTED_INSTANCE || !self.has_unhealthy_instance();
            outcome.healthy_ejections += u32::from(is_ejected && !*was_ejected && is_healthy);
            *was_ejected = is_ejected;
        }
    }

    fn run_alternative(&self, method: DetectionMethod, seed: u64) -> RunOutcome {
        let (hosts, instances) = (self.shape.hosts, self.shape.instances);
        let mut fleet = AlternativeFleet::new(method, hosts, instances, seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut outcome = RunOutcome::default();
        let mut were_ejected = vec![false; instances];
        let mut since = Duration::ZERO;
        let mut due = 0.0;
        while since < self.length {
            due += self.rate_per_s() * ALTERNATIVE_STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.send_alternative_request(&mut fleet, since, &mut rng, &mut outcome);
            }
            since += ALTERNATIVE_STEP;
            let is_path_cut = self.fault == Fault::PathCut;
            fleet.probe(since, |host, instance| {
                !(is_path_cut && instance == AFFECTED_INSTANCE && self.is_cut(host))
            });
            self.observe_alternative(&fleet, since, &mut were_ejected, &mut outcome);
        }
        outcome
    }

    fn send_alternative_request(
        &self,
        fleet: &mut AlternativeFleet,
        since: Duration,
        rng: &mut fastrand::Rng,
        outcome: &mut RunOutcome,
    ) {
        let host = rng.usize(..self.shape.hosts);
        let instance = fleet.choose(host, since);
        let origin = RequestOrigin {
            workspace: format!("workspace-{}", rng.usize(..8)).as_str().into(),
            route: format!("route-{}", rng.usize(..5)).as_str().into(),
        };
        let (result, _) = self.outcome(since, (host, &origin), instance, rng);
        let is_success = matches!(result, UpstreamResult::Success { .. });
        outcome.requests += 1;
        outcome.failed += u32::from(!is_success);
        fleet.report(host, instance, is_success, since);
    }

    fn observe_alternative(
        &self,
        fleet: &AlternativeFleet,
        since: Duration,
        were_ejected: &mut [bool],
        outcome: &mut RunOutcome,
    ) {
        let hosts = self.shape.hosts;
        let is_ejected_everywhere =
            (0..hosts).all(|host| fleet.is_ejected(host, AFFECTED_INSTANCE, since));
        if is_ejected_everywhere && outcome.detected.is_none() {
            outcome.detected = Some(since);
        }
        for (index, was_ejected) in were_ejected.iter_mut().enumerate() {
            let is_ejected = (0..hosts).any(|host| fleet.is_ejected(host, index, since));
            let is_healthy = index != AFFECTED_INSTANCE || !self.has_unhealthy_instance();
            outcome.healthy_ejections += u32::from(is_ejected && !*was_ejected && is_healthy);
            *was_ejected = is_ejected;
        }
    }

    fn summarise(&self, label: &str, runs: &[RunOutcome], out: &mut Vec<Measurement>) {
        let name = |text: &str| format!("{label}{text}");
        if self.has_unhealthy_instance() {
            let mut times: Vec<Duration> = runs.iter().filter_map(|run| run.detected).collect();
            times.sort_unstable();
            let undetected_runs = runs.len() - times.len();
            let median = times.get(times.len() / 2).copied().unwrap_or_default();
            let slowest = times.last().copied().unwrap_or_default();
            let seconds = median.as_secs_f64();
            out.push(Measurement::new(
                &name("out-everywhere-median"),
                seconds,
                "s",
            ));
            let mut worst =
                Measurement::new(&name("out-everywhere-slowest"), slowest.as_secs_f64(), "s");
            let mut undetected =
                Measurement::new(&name("not-detected"), undetected_runs as f64, "runs");
            if let (Some(limit), "") = (self.limit, label) {
                worst = worst.bounded(Bound::AtMost(limit.as_secs_f64()));
                undetected = undetected.bounded(Bound::AtMost(0.0));
            }
            if let Some(limit) = self.limit {
                let within = times.iter().filter(|time| **time <= limit).count();
                let share = within as f64 / runs.len() as f64;
                out.push(Measurement::new(&name("within-limit"), share, "share"));
            }
            out.extend([worst, undetected]);
        }
        let ejections: u32 = runs.iter().map(|run| run.healthy_ejections).sum();
        let mut healthy = Measurement::new(
            &name("healthy-ejections"),
            f64::from(ejections),
            "ejections",
        );
        if label.is_empty() {
            healthy = healthy.bounded(Bound::AtMost(0.0));
        }
        let requests: u32 = runs.iter().map(|run| run.requests).sum();
        let failed: u32 = runs.iter().map(|run| run.failed).sum();
        let share = f64::from(failed) / f64::from(requests.max(1));
        out.push(healthy);
        out.push(Measurement::new(&name("failed-requests"), share, "share"));
    }
}

/// Draws a latency factor around one with a right tail.
fn noise(rng: &mut fastrand::Rng) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    (0.5 * normal).exp()
}
