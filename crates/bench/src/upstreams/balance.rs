//! Queueing and latency by load balancing policy and load.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{Clock, ManualClock};
use waxwingusher_upstreams::{
    BalancePolicy, ChoiceId, ChooseRequest, RequestOrigin, UpstreamResult, UpstreamSet,
    UpstreamSettings,
};

use super::pool::{APPROVAL_DESK, ORDER_SERVICE, PoolShape, host_id, instance_id, service_name};
use crate::{Measurement, Scenario, ScenarioResult};

const STEP: Duration = Duration::from_micros(500);
const SERVICE_TIME: Duration = Duration::from_millis(20);
const LENGTH: Duration = Duration::from_secs(40);
const WARM_UP: Duration = Duration::from_secs(5);
const MAX_ATTEMPTS: usize = 400;
const MISREPORTING_INSTANCE: usize = 2;

/// Runs each policy at three loads for both users, also with an instance that
/// reports a false load.
pub struct Balance;

impl Scenario for Balance {
    fn name(&self) -> &'static str {
        "upstreams/balance"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let mut measurements = Vec::new();
        for (user, shape) in [("6-slots", APPROVAL_DESK), ("3-slots", ORDER_SERVICE)] {
            for percent in [50, 80, 95] {
                for (label, policy, misreports_load) in [
                    ("round-robin", BalancePolicy::RoundRobin, false),
                    ("local", BalancePolicy::LocalInFlight, false),
                    ("answers", BalancePolicy::ReportedLoad, false),
                    ("answers-lying", BalancePolicy::ReportedLoad, true),
                ] {
                    let mut simulation = Simulation::new(shape, policy, misreports_load, seed);
                    simulation.run(f64::from(percent) / 100.0);
                    let name = format!("{user}-{percent}-{label}");
                    measurements.extend(simulation.measurements(&name));
                }
            }
        }
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements,
        }
    }
}

struct Request {
    host: usize,
    arrived: Instant,
    attempts: usize,
}

struct RunningRequest {
    request: Request,
    choice_id: ChoiceId,
    sent: Instant,
}

#[derive(Default)]
struct Server {
    busy: u32,
    queue: VecDeque<RunningRequest>,
}

struct Simulation {
    shape: PoolShape,
    misreports_load: bool,
    clock: ManualClock,
    sets: Vec<UpstreamSet>,
    servers: Vec<Server>,
    finishing: BTreeMap<(Instant, u64), (usize, RunningRequest)>,
    waiting: VecDeque<Request>,
    latencies: Vec<Duration>,
    queued: u64,
    refused: u64,
    sequence: u64,
    rng: fastrand::Rng,
}

impl Simulation {
    fn new(shape: PoolShape, policy: BalancePolicy, misreports_load: bool, seed: u64) -> Self {
        let clock = ManualClock::new();
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = UpstreamSettings {
            balance: policy,
            ..UpstreamSettings::default()
        };
        let sets = (0..shape.hosts)
            .map(|index| {
                let shared: Arc<dyn Clock> = Arc::new(clock.clone());
                let domain = shape.domain(index);
                let settings = settings.clone();
                let mut set =
                    UpstreamSet::new(host_id(index), domain, 1, shared, rng.u64(..), settings);
                set.apply_host_list(&shape.host_list());
                set.apply_snapshot(&shape.snapshot(1));
                set
            })
            .collect();
        Self {
            shape,
            misreports_load,
            clock,
            sets,
            servers: (0..shape.instances).map(|_| Server::default()).collect(),
            finishing: BTreeMap::new(),
            waiting: VecDeque::new(),
            latencies: Vec::new(),
            queued: 0,
            refused: 0,
            sequence: 0,
            rng,
        }
    }

    fn run(&mut self, load: f64) {
        let slots = f64::from(self.shape.slots) * self.shape.instances as f64;
        let per_step = load * slots * STEP.as_secs_f64() / SERVICE_TIME.as_secs_f64();
        while self.clock.elapsed() < LENGTH {
            self.clock.advance(STEP);
            let now = self.clock.now();
            self.finish(now);
            for _ in 0..self.waiting.len() {
                let Some(request) = self.waiting.pop_front() else {
                    break;
                };
                self.send(request, now);
            }
            let mut left = per_step;
            loop {
                left += self.rng.f64().max(f64::MIN_POSITIVE).ln();
                if left < 0.0 {
                    break;
                }
                let host = self.rng.usize(..self.shape.hosts);
                let request = Request {
                    host,
                    arrived: now,
                    attempts: 0,
                };
                self.send(request, now);
            }
        }
    }

    fn send(&mut self, mut request: Request, now: Instant) {
        let choose_request = ChooseRequest {
            is_idempotent: true,
            exclude: &[],
            deadline: now + Duration::from_secs(5),
        };
        let Ok(choice) = self.sets[request.host].choose(&service_name(), &choose_request) else {
            request.attempts += 1;
            if request.attempts < MAX_ATTEMPTS {
                self.waiting.push_back(request);
            } else {
                self.refused += 1;
            }
            return;
        };
        let index = (0..self.shape.instances)
            .find(|index| instance_id(*index) == choice.instance)
            .unwrap_or_default();
        let running = RunningRequest {
            request,
            choice_id: choice.id,
            sent: now,
        };
        if self.servers[index].busy < self.shape.slots {
            self.start(index, running, now);
        } else {
            self.queued += u64::from(self.clock.elapsed() > WARM_UP);
            self.servers[index].queue.push_back(running);
        }
    }

    fn start(&mut self, index: usize, running: RunningRequest, now: Instant) {
        self.servers[index].busy += 1;
        let factor = -self.rng.f64().max(f64::MIN_POSITIVE).ln();
        self.sequence += 1;
        let done = now + SERVICE_TIME.mul_f64(factor);
        self.finishing
            .insert((done, self.sequence), (index, running));
    }

    fn finish(&mut self, now: Instant) {
        while let Some(entry) = self.finishing.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (index, running) = entry.remove();
            self.servers[index].busy -= 1;
            if let Some(next) = self.servers[index].queue.pop_front() {
                self.start(index, next, now);
            }
            self.answer(index, &running, now);
        }
    }

    fn answer(&mut self, index: usize, running: &RunningRequest, now: Instant) {
        let server = &self.servers[index];
        let load = server.busy + server.queue.len() as u32;
        let reported_load = if self.misreports_load && index == MISREPORTING_INSTANCE {
            0
        } else {
            load
        };
        let origin = RequestOrigin {
            workspace: "workspace".into(),
            route: "route".into(),
        };
        let result = UpstreamResult::Success {
            latency: now - running.sent,
            load: Some(reported_load),
        };
        self.sets[running.request.host].report(running.choice_id, &origin, result);
        if self.clock.elapsed() > WARM_UP {
            self.latencies.push(now - running.request.arrived);
        }
    }

    fn measurements(&mut self, name: &str) -> Vec<Measurement> {
        self.latencies.sort_unstable();
        let index = self.latencies.len() * 99 / 100;
        let p99 = self.latencies.get(index).copied().unwrap_or_default();
        let total = (self.latencies.len() as f64).max(1.0);
        vec![
            Measurement::new(&format!("{name}-p99"), p99.as_secs_f64() * 1_000.0, "ms"),
            Measurement::new(
                &format!("{name}-queued"),
                self.queued as f64 / total,
                "share",
            ),
            Measurement::new(&format!("{name}-refused"), self.refused as f64, "requests"),
        ]
    }
}
