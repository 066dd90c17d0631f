//! Fair queueing of one host's workers between workspaces and services.
//!
//! Eight workspaces send to two services. One workspace may overload the host with
//! requests that occupy workers, and one service may hang, so that its requests
//! take their whole deadline. The scenarios measure the goodput and latency of the
//! others relative to an undisturbed run with the same seed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use waxwingusher_core::{Clock, ManualClock, ServiceName, WorkspaceName};
use waxwingusher_limits::{Dequeued, FairQueue, FairQueueSettings, RequestClass};

use crate::{Bound, Measurement, Scenario, ScenarioResult};

const WORKERS: usize = 128;
const WORKSPACES: usize = 8;
const SERVICES: usize = 2;
/// The service that may hang.
const HANGING_SERVICE: usize = 1;
/// The workspace that may overload the host.
const OVERLOADING_WORKSPACE: usize = 0;
/// Requests per second that reach the host without a disturbance.
const NORMAL_REQUESTS_PER_S: f64 = 300.0;
/// The factor by which the overloading workspace exceeds its normal load.
const OVERLOAD_FACTOR: f64 = 50.0;
/// The mean time for which a request occupies a worker.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// The deadline of a request.
const DEADLINE: Duration = Duration::from_secs(2);
/// The time before the disturbance, which is not measured.
const WARM_UP: Duration = Duration::from_secs(5);
const RUN_TIME: Duration = Duration::from_secs(65);
const STEP: Duration = Duration::from_micros(500);
/// An upper bound on latencies, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// The latency in milliseconds that a disturbance may add to the others' answers:
/// the most that a host may add to a request.
const MAX_ADDED_LATENCY_MS: f64 = 2.7;
/// The share of the undisturbed run's answers that the others must get.
const MIN_GOODPUT: f64 = 0.99;

/// The disturbance of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Disturbance {
    has_overload: bool,
    has_hanging_service: bool,
}

const UNDISTURBED: Disturbance = Disturbance {
    has_overload: false,
    has_hanging_service: false,
};

/// Measures how a host's workers are shared during a disturbance.
pub struct FairWorkers {
    name: &'static str,
    disturbance: Disturbance,
}

/// Returns the scenarios of fair queueing.
#[must_use]
pub fn scenarios() -> Vec<Box<dyn Scenario>> {
    let scenario = |name, has_overload, has_hanging_service| -> Box<dyn Scenario> {
        Box::new(FairWorkers {
            name,
            disturbance: Disturbance {
                has_overload,
                has_hanging_service,
            },
        })
    };
    vec![
        scenario("limits/workers-flood", true, false),
        scenario("limits/workers-hanging-service", false, true),
        scenario("limits/workers-flood-and-hanging", true, true),
    ]
}

impl Scenario for FairWorkers {
    fn name(&self) -> &'static str {
        self.name
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let is_other_class = |class: Class| {
            let causes_overload =
                self.disturbance.has_overload && class.workspace == OVERLOADING_WORKSPACE;
            let is_hanging =
                self.disturbance.has_hanging_service && class.service == HANGING_SERVICE;
            !causes_overload && !is_hanging
        };
        let undisturbed = Host::new(WORKERS, seed).run(UNDISTURBED, is_other_class);
        let disturbed = Host::new(WORKERS, seed).run(self.disturbance, is_other_class);
        // With an unlimited number of workers the queue reserves none.
        let mut unreserved = Host::new(usize::MAX / 2, seed);
        unreserved.workers = WORKERS;
        let unreserved = unreserved.run(self.disturbance, is_other_class);
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements: vec![
                Measurement::new("others-goodput", disturbed.goodput(&undisturbed), "of calm")
                    .bounded(Bound::AtLeast(MIN_GOODPUT)),
                Measurement::new(
                    "others-p99-added",
                    disturbed.p99_ms() - undisturbed.p99_ms(),
                    "ms",
                )
                .bounded(Bound::AtMost(MAX_ADDED_LATENCY_MS)),
                Measurement::new("calm-p99", undisturbed.p99_ms(), "ms"),
                Measurement::new(
                    "unreserved-goodput",
                    unreserved.goodput(&undisturbed),
                    "of calm",
                ),
                Measurement::new(
                    "unreserved-p99-added",
                    unreserved.p99_ms() - undisturbed.p99_ms(),
                    "ms",
                ),
            ],
        }
    }
}

/// The workspace and service of a request, by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    workspace: usize,
    service: usize,
}

/// A queued or running request.
#[derive(Debug, Clone, Copy)]
struct Request {
    class: Class,
    at: Duration,
    work: Duration,
}

/// The outcomes of the measured requests.
struct Outcomes {
    served: u64,
    latencies_us: Histogram<u64>,
}

impl Outcomes {
    fn new() -> Self {
        Self {
            served: 0,
            latencies_us: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds in order"),
        }
    }

    fn goodput(&self, undisturbed: &Self) -> f64 {
        self.served as f64 / undisturbed.served.max(1) as f64
    }

    fn p99_ms(&self) -> f64 {
        self.latencies_us.value_at_quantile(0.99) as f64 / 1000.0
    }
}

/// One host whose workers call services with random service times.
struct Host {
    clock: ManualClock,
    queue: FairQueue<Request>,
    workers: usize,
    running: BinaryHeap<Reverse<(Duration, Class)>>,
    normal_rng: fastrand::Rng,
    overload_rng: fastrand::Rng,
    classes: Vec<Vec<RequestClass>>,
}

impl Host {
    fn new(workers: usize, seed: u64) -> Self {
        let clock = ManualClock::new();
        let settings = FairQueueSettings {
            workers,
            ..FairQueueSettings::default()
        };
        let class = |workspace: usize, service: usize| RequestClass {
            workspace: WorkspaceName::new(&format!("workspace-{workspace}")),
            service: ServiceName::new(&format!("service-{service}")),
            weight: 1,
        };
        let of_workspace = |workspace| (0..SERVICES).map(|at| class(workspace, at)).collect();
        Self {
            queue: FairQueue::new(Arc::new(clock.clone()), settings),
            clock,
            workers,
            running: BinaryHeap::new(),
            normal_rng: fastrand::Rng::with_seed(seed),
            overload_rng: fastrand::Rng::with_seed(seed ^ 1),
            classes: (0..WORKSPACES).map(of_workspace).collect(),
        }
    }

    /// Runs the load and returns the outcomes of the measured requests after the
    /// disturbance began.
    fn run(mut self, disturbance: Disturbance, is_measured: impl Fn(Class) -> bool) -> Outcomes {
        let mut outcomes = Outcomes::new();
        while self.clock.elapsed() < RUN_TIME {
            let now = self.clock.elapsed();
            let disturbance = if now < WARM_UP {
                UNDISTURBED
            } else {
                disturbance
            };
            self.finish_until(now);
            self.generate_requests(disturbance, now);
            while self.running.len() < self.workers {
                let Some(next) = self.queue.pop() else {
                    break;
                };
                self.start(&next, disturbance, now, &is_measured, &mut outcomes);
            }
            self.clock.advance(STEP);
        }
        outcomes
    }

    fn finish_until(&mut self, now: Duration) {
        while let Some(Reverse((at, class))) = self.running.peek().copied() {
            if at > now {
                return;
            }
            self.running.pop();
            self.queue
                .finish(&self.classes[class.workspace][class.service]);
        }
    }

    fn generate_requests(&mut self, disturbance: Disturbance, now: Duration) {
        let normal_per_step = NORMAL_REQUESTS_PER_S * STEP.as_secs_f64();
        // Makes the same draws with and without a disturbance.
        if self.normal_rng.f64() < normal_per_step {
            let workspace = self.normal_rng.usize(0..WORKSPACES);
            let request = draw(&mut self.normal_rng, workspace, now);
            self.push(request);
        }
        if !disturbance.has_overload {
            return;
        }
        let extra_per_step = normal_per_step / WORKSPACES as f64 * (OVERLOAD_FACTOR - 1.0);
        if self.overload_rng.f64() < extra_per_step {
            let mut request = draw(&mut self.overload_rng, OVERLOADING_WORKSPACE, now);
            // A request over the rate first waits for a token and occupies its
            // worker meanwhile.
            request.work += SERVICE_TIME * 15;
            self.push(request);
        }
    }

    fn push(&mut self, request: Request) {
        let class = &self.classes[request.class.workspace][request.class.service];
        let deadline = self.clock.now() + DEADLINE;
        // A refused request is answered at once and needs no further work.
        let _ = self.queue.push(class, deadline, request);
    }

    fn start(
        &mut self,
        next: &Dequeued<Request>,
        disturbance: Disturbance,
        now: Duration,
        is_measured: &impl Fn(Class) -> bool,
        outcomes: &mut Outcomes,
    ) {
        let (request, expired) = match next {
            Dequeued::Run(request) => (*request, false),
            Dequeued::Expired(request) => (*request, true),
        };
        let is_hanging =
            disturbance.has_hanging_service && request.class.service == HANGING_SERVICE;
        let ends_by = request.at + DEADLINE;
        let end = match (expired, is_hanging) {
            (true, _) => now,
            (false, true) => ends_by,
            (false, false) => (now + request.work).min(ends_by),
        };
        self.running.push(Reverse((end, request.class)));
        let is_served = !expired && !is_hanging && now + request.work < ends_by;
        if is_served && request.at >= WARM_UP && is_measured(request.class) {
            outcomes.served += 1;
            let latency = end.saturating_sub(request.at);
            let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            outcomes.latencies_us.saturating_record(latency_us);
        }
    }
}

/// Draws the service of a request and the time for which it occupies a worker.
fn draw(rng: &mut fastrand::Rng, workspace: usize, at: Duration) -> Request {
    let service = rng.usize(0..SERVICES);
    let work = SERVICE_TIME.mul_f64(-(1.0 - rng.f64()).ln());
    Request {
        class: Class { workspace, service },
        at,
        work,
    }
}
