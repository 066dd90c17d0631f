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
const HANGING: usize = 1;
/// The workspace that may overload the host.
const FLOODING: usize = 0;
/// Requests per second that reach the host without a disturbance.
const CALM_PER_S: f64 = 300.0;
/// The factor by which the overloading workspace exceeds its normal load.
const FLOOD_FACTOR: f64 = 50.0;
/// The mean time for which a request occupies a worker.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// The deadline of a request.
const DEADLINE: Duration = Duration::from_secs(2);
/// The time before the disturbance, which is not measured.
const WARM_UP: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(65);
const STEP: Duration = Duration::from_micros(500);
/// An upper bound on latencies, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// The latency in milliseconds that a disturbance may add to the others' answers:
/// the most that a host may add to a request.
const MOST_ADDED_MS: f64 = 2.7;
/// The share of the undisturbed run's answers that the others must get.
const LEAST_GOODPUT: f64 = 0.99;

/// The disturbance of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Disturbance {
    floods: bool,
    hangs: bool,
}

const CALM: Disturbance = Disturbance {
    floods: false,
    hangs: false,
};

/// Measures how a host's workers are shared during a disturbance.
pub struct FairWorkers {
    name: &'static str,
    disturbance: Disturbance,
}

/// Returns the scenarios of fair queueing.
#[must_use]
pub fn scenarios() -> Vec<Box<dyn Scenario>> {
    let scenario = |name, floods, hangs| -> Box<dyn Scenario> {
        Box::new(FairWorkers {
            name,
            disturbance: Disturbance { floods, hangs },
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
        let others = |class: Class| {
            let floods = self.disturbance.floods && class.workspace == FLOODING;
            let hangs = self.disturbance.hangs && class.service == HANGING;
            !floods && !hangs
        };
        let calm = Host::new(WORKERS, seed).run(CALM, others);
        let shared = Host::new(WORKERS, seed).run(self.disturbance, others);
        // With an unlimited number of workers the queue reserves none.
        let mut unreserved = Host::new(usize::MAX / 2, seed);
        unreserved.workers = WORKERS;
        let unreserved = unreserved.run(self.disturbance, others);
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements: vec![
                Measurement::new("others-goodput", shared.goodput(&calm), "of calm")
                    .bounded(Bound::AtLeast(LEAST_GOODPUT)),
                Measurement::new("others-p99-added", shared.p99_ms() - calm.p99_ms(), "ms")
                    .bounded(Bound::AtMost(MOST_ADDED_MS)),
                Measurement::new("calm-p99", calm.p99_ms(), "ms"),
                Measurement::new("unreserved-goodput", unreserved.goodput(&calm), "of calm"),
                Measurement::new(
                    "unreserved-p99-added",
                    unreserved.p99_ms() - calm.p99_ms(),
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
struct Sent {
    class: Class,
    at: Duration,
    work: Duration,
}

/// The outcomes of the measured requests.
struct Tally {
    served: u64,
    latencies_us: Histogram<u64>,
}

impl Tally {
    fn new() -> Self {
        Self {
            served: 0,
            latencies_us: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds in order"),
        }
    }

    fn goodput(&self, calm: &Self) -> f64 {
        self.served as f64 / calm.served.max(1) as f64
    }

    fn p99_ms(&self) -> f64 {
        self.latencies_us.value_at_quantile(0.99) as f64 / 1000.0
    }
}

/// One host whose workers call services with random service times.
struct Host {
    clock: ManualClock,
    queue: FairQueue<Sent>,
    workers: usize,
    running: BinaryHeap<Reverse<(Duration, Class)>>,
    calm_rng: fastrand::Rng,
    flood_rng: fastrand::Rng,
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
            calm_rng: fastrand::Rng::with_seed(seed),
            flood_rng: fastrand::Rng::with_seed(seed ^ 1),
            classes: (0..WORKSPACES).map(of_workspace).collect(),
        }
    }

    /// Runs the load and returns the outcomes of the measured requests after the
    /// disturbance began.
    fn run(mut self, disturbance: Disturbance, counts: impl Fn(Class) -> bool) -> Tally {
        let mut tally = Tally::new();
        while self.clock.elapsed() < LENGTH {
            let now = self.clock.elapsed();
            let disturbance = if now < WARM_UP { CALM } else { disturbance };
            self.finish_until(now);
            self.arrive(disturbance, now);
            while self.running.len() < self.workers {
                let Some(next) = self.queue.pop() else {
                    break;
                };
                self.start(&next, disturbance, now, &counts, &mut tally);
            }
            self.clock.advance(STEP);
        }
        tally
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

    fn arrive(&mut self, disturbance: Disturbance, now: Duration) {
        let calm_per_step = CALM_PER_S * STEP.as_secs_f64();
        // Makes the same draws with and without a disturbance.
        if self.calm_rng.f64() < calm_per_step {
            let workspace = self.calm_rng.usize(0..WORKSPACES);
            let sent = draw(&mut self.calm_rng, workspace, now);
            self.push(sent);
        }
        if !disturbance.floods {
            return;
        }
        let extra_per_step = calm_per_step / WORKSPACES as f64 * (FLOOD_FACTOR - 1.0);
        if self.flood_rng.f64() < extra_per_step {
            let mut sent = draw(&mut self.flood_rng, FLOODING, now);
            // A request over the rate first waits for a token and occupies its worker meanwhile.
            sent.work += SERVICE_TIME * 15;
            self.push(sent);
        }
    }

    fn push(&mut self, sent: Sent) {
        let class = &self.classes[sent.class.workspace][sent.class.service];
        let deadline = self.clock.now() + DEADLINE;
        // A refused request is answered at once and needs no further work.
        let _ = self.queue.push(class, deadline, sent);
    }

    fn start(
        &mut self,
        next: &Dequeued<Sent>,
        disturbance: Disturbance,
        now: Duration,
        counts: &impl Fn(Class) -> bool,
        tally: &mut Tally,
    ) {
        let (sent, expired) = match next {
            Dequeued::Run(sent) => (*sent, false),
            Dequeued::Expired(sent) => (*sent, true),
        };
        let hangs = disturbance.hangs && sent.class.service == HANGING;
        let ends_by = sent.at + DEADLINE;
        let end = match (expired, hangs) {
            (true, _) => now,
            (false, true) => ends_by,
            (false, false) => (now + sent.work).min(ends_by),
        };
        self.running.push(Reverse((end, sent.class)));
        let is_served = !expired && !hangs && now + sent.work < ends_by;
        if is_served && sent.at >= WARM_UP && counts(sent.class) {
            tally.served += 1;
            let latency = end.saturating_sub(sent.at);
            let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            tally.latencies_us.saturating_record(latency_us);
        }
    }
}

/// Draws the service of a request and the time for which it occupies a worker.
fn draw(rng: &mut fastrand::Rng, workspace: usize, at: Duration) -> Sent {
    let service = rng.usize(0..SERVICES);
    let work = SERVICE_TIME.mul_f64(-(1.0 - rng.f64()).ln());
    Sent {
        class: Class { workspace, service },
        at,
        work,
    }
}
