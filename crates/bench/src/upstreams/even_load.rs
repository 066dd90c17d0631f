//! Waiting and spread of load when many hosts choose instances by delayed reports.
//!
//! The choice is the real one, with a roster shared by all hosts and the evidence of
//! each host. Reports are as old as in the fleet: neighbours get changes in batches,
//! other failure domains with the heartbeat. Instances are reduced to slots, a speed
//! and a queue.

use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use waxwingusher_core::{FailureDomain, FeedPosition, InstanceId, ServiceName};
use waxwingusher_upstreams::{
    Evidence, InstanceReport, LoadSharing, Observation, PlacementRequest, Roster, RosterEntry,
    RosterState, place,
};

use crate::{Bound, Measurement, Scenario, ScenarioResult};

const DOMAINS: usize = 4;
const SLOTS: u32 = 4;
/// An instance refuses requests beyond this number.
const MAX_ACCEPTED: u32 = 3 * SLOTS;
const STEP_MS: u64 = 1;
/// How often a host tries to place its waiting requests.
const RECHECK_INTERVAL_MS: u64 = 5;
const SAMPLE_INTERVAL_MS: u64 = 100;
const MEAN_SERVICE_MS: f64 = 400.0;
const LATENCY_TARGET: Duration = Duration::from_millis(1_200);
/// The share of requests that may be retried.
const IDEMPOTENT_SHARE: f64 = 0.35;
/// Instances differ in speed by up to this share of the mean service time.
const SPEED_SPREAD: f64 = 0.3;
/// The reports of the fleet: see `gateway::peers::exchange`.
const HEARTBEAT_MS: u64 = 400;
const MIN_BATCH_DELAY_MS: u64 = 4;
const MAX_LOCAL_DATAGRAMS_PER_MS: usize = 2;
const MAX_DIRECT_NEIGHBOURS: usize = 32;
const REMOTE_GATHER_MS: u64 = 200;
/// A datagram's headers and the fixed part of a report, and its part for an instance.
const REPORT_BYTES: u64 = 64;
const REPORT_BYTES_PER_INSTANCE: u64 = 12;
/// The mean size of a request and of its answer together.
const MEAN_BODIES_BYTES: f64 = 5_400.0;
/// The instances among which [`Way::FewAtRandom`] chooses.
const FEW: usize = 3;
/// The instances of each host with [`Way::Subset`].
const SUBSET: usize = 8;
/// The time that one choice may take at 250 instances.
const MAX_CHOICE_TIME_US: f64 = 20.0;
const TIMED_CHOICES: u32 = 2_000;
/// How long a free slot belongs to one host with [`Way::SlotsInTurn`].
const TURN_MS: u64 = 20;

/// Runs the ways to choose at one size and several loads.
pub struct EvenLoad {
    name: &'static str,
    hosts: usize,
    instances: usize,
    load_percents: &'static [u32],
    length: Duration,
    skew: f64,
    ways: &'static [Way],
}

/// Returns the scenarios of all sizes.
pub fn scenarios() -> Vec<Box<dyn Scenario>> {
    let main = EvenLoad {
        name: "upstreams/even-load-129",
        hosts: 129,
        instances: 100,
        load_percents: &[50, 80, 95],
        length: Duration::from_secs(10),
        skew: 0.0,
        ways: &Way::ALL,
    };
    let small = EvenLoad {
        name: "upstreams/even-load-32",
        hosts: 32,
        instances: 50,
        ways: &Way::MAIN,
        ..main
    };
    let large = EvenLoad {
        name: "upstreams/even-load-300",
        hosts: 300,
        instances: 250,
        length: Duration::from_secs(4),
        ways: &Way::MAIN,
        ..main
    };
    let skewed = EvenLoad {
        name: "upstreams/even-load-skewed",
        load_percents: &[80],
        skew: 0.4,
        ways: &Way::MAIN,
        ..main
    };
    vec![
        Box::new(main),
        Box::new(small),
        Box::new(large),
        Box::new(skewed),
    ]
}

impl Scenario for EvenLoad {
    fn name(&self) -> &'static str {
        self.name
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let mut measurements = Vec::new();
        for load_percent in self.load_percents {
            for way in self.ways {
                let shape = Shape {
                    hosts: self.hosts,
                    instances: self.instances,
                    load_percent: *load_percent,
                    length: self.length,
                    skew: self.skew,
                };
                measurements.extend(measure(shape, *way, seed));
            }
        }
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements,
        }
    }
}

/// Returns the measurements of one run.
fn measure(shape: Shape, way: Way, seed: u64) -> Vec<Measurement> {
    let mut simulation = Simulation::new(shape, way, seed);
    simulation.run();
    let mut measurements = simulation.figures.measurements(&shape, way);
    if matches!(way, Way::Current | Way::Shared) {
        let name = format!("{}-percent/{}/choice", shape.load_percent, way.label());
        let choice = Measurement::new(&name, simulation.choice_time_us(), "us").timed();
        measurements.push(if way == Way::Shared {
            choice.bounded(Bound::AtMost(MAX_CHOICE_TIME_US))
        } else {
            choice
        });
    }
    measurements
}

/// How a host chooses an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// The choice of the fleet.
    Current,
    /// Any instance of the own failure domain.
    Random,
    /// The least loaded instance by its true load, of the own domain while it has a
    /// free slot.
    Omniscient,
    /// The least reported load.
    LeastReported,
    /// The least reported load among a few instances drawn at random.
    FewAtRandom,
    /// A free slot that belongs to this host for some milliseconds.
    SlotsInTurn,
    /// The least reported load in a fixed subset for each host.
    Subset,
    /// The choice of the fleet with load sharing.
    Shared,
    /// The choice of the fleet, with requests that wait at hosts instead of in queues.
    WaitAtHost,
}

impl Way {
    const ALL: [Self; 9] = [
        Self::Current,
        Self::Random,
        Self::Omniscient,
        Self::Shared,
        Self::LeastReported,
        Self::FewAtRandom,
        Self::SlotsInTurn,
        Self::Subset,
        Self::WaitAtHost,
    ];

    /// The ways that are compared at all sizes.
    const MAIN: [Self; 3] = [Self::Current, Self::Omniscient, Self::Shared];

    fn label(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Random => "random",
            Self::Omniscient => "omniscient",
            Self::Shared => "shared",
            Self::LeastReported => "least-reported",
            Self::FewAtRandom => "few-at-random",
            Self::SlotsInTurn => "slots-in-turn",
            Self::Subset => "subset",
            Self::WaitAtHost => "wait-at-host",
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Shape {
    hosts: usize,
    instances: usize,
    load_percent: u32,
    length: Duration,
    /// The share by which the demand of the first two failure domains is above, and
    /// that of the others below, the mean.
    skew: f64,
}

/// A request of a caller.
#[derive(Debug, Clone, Copy)]
struct Request {
    arrived_ms: u64,
    is_idempotent: bool,
}

struct SimulatedHost {
    addr: SocketAddr,
    domain: usize,
    evidence: Evidence,
    /// Requests that found no instance.
    waiting: VecDeque<Request>,
    /// Instances whose changes neighbours do not know yet.
    local_changes: BTreeSet<usize>,
    remote_changes: BTreeSet<usize>,
    flush_at_ms: Option<u64>,
    heartbeat_phase_ms: u64,
}

/// A request at an instance.
#[derive(Debug, Clone, Copy)]
struct Accepted {
    request: Request,
    host: usize,
    sent_ms: u64,
}

struct SimulatedInstance {
    id: InstanceId,
    domain: usize,
    /// The ratio of its service times to the mean.
    slowness: f64,
    busy: u32,
    queue: VecDeque<Accepted>,
}

impl SimulatedInstance {
    fn has_free_slot(&self) -> bool {
        self.busy < SLOTS
    }

    /// Returns the requests that it processes or has queued.
    fn accepted(&self) -> u32 {
        self.busy + u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }
}

/// Something that happens later, ordered by time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at_ms: std::cmp::Reverse<u64>,
    number: u64,
    kind: EventKind,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Completion {
        instance: usize,
        host: usize,
        sent_ms: u64,
    },
    Delivery {
        sender: usize,
        is_remote: bool,
        index: usize,
    },
}

struct Simulation {
    shape: Shape,
    way: Way,
    start: Instant,
    now_ms: u64,
    roster: Roster,
    service: ServiceName,
    domains: Vec<FailureDomain>,
    hosts: Vec<SimulatedHost>,
    instances: Vec<SimulatedInstance>,
    events: BinaryHeap<Event>,
    event_number: u64,
    /// Reports under way, by index.
    reports: Vec<Vec<(usize, InstanceReport)>>,
    rng: fastrand::Rng,
    figures: Figures,
}

/// What is measured after the warm-up.
struct Figures {
    waits_ms: Histogram<u64>,
    arrivals: u64,
    queued_while_idle: u64,
    remote: u64,
    refused: u64,
    spread_sum: f64,
    samples: u64,
    messages: u64,
    report_bytes_between_domains: u64,
}

impl Figures {
    fn new() -> Self {
        Self {
            waits_ms: Histogram::new(3).expect("three digits are valid"),
            arrivals: 0,
            queued_while_idle: 0,
            remote: 0,
            refused: 0,
            spread_sum: 0.0,
            samples: 0,
            messages: 0,
            report_bytes_between_domains: 0,
        }
    }

    fn measurements(&self, shape: &Shape, way: Way) -> Vec<Measurement> {
        let prefix = format!("{}-percent/{}", shape.load_percent, way.label());
        let share = |count: u64| count as f64 / self.arrivals.max(1) as f64;
        let measured_s = shape.length.as_secs_f64() * (1.0 - WARM_UP_SHARE);
        let new = |name: &str, value: f64, unit: &str| {
            Measurement::new(&format!("{prefix}/{name}"), value, unit)
        };
        let wait_ms = |quantile: f64| self.waits_ms.value_at_quantile(quantile) as f64;
        vec![
            new("mean-wait", self.waits_ms.mean(), "ms"),
            new("median-wait", wait_ms(0.5), "ms"),
            new("p99-wait", wait_ms(0.99), "ms"),
            new("queued-while-idle", share(self.queued_while_idle), "share"),
            new(
                "spread",
                self.spread_sum / self.samples.max(1) as f64,
                "occupancy",
            ),
            new("remote", share(self.remote), "share"),
            new("refused", share(self.refused), "share"),
            new("messages", self.messages as f64 / measured_s, "1/s"),
            new(
                "report-bytes-between-domains",
                self.report_bytes_between_domains as f64 / measured_s,
                "B/s",
            ),
            new(
                "body-bytes-between-domains",
                self.remote as f64 * MEAN_BODIES_BYTES / measured_s,
                "B/s",
            ),
        ]
    }
}

/// The share of a run before the measurements start.
const WARM_UP_SHARE: f64 = 0.3;

impl Simulation {
    fn new(shape: Shape, way: Way, seed: u64) -> Self {
        let start = Instant::now();
        let mut rng = fastrand::Rng::with_seed(seed);
        let service = ServiceName::new("svc");
        let domains: Vec<FailureDomain> = (0..DOMAINS)
            .map(|number| FailureDomain::new(&format!("domain-{number}")))
            .collect();
        let instances: Vec<SimulatedInstance> = (0..shape.instances)
            .map(|number| SimulatedInstance {
                id: InstanceId::new(&format!("instance-{number:03}")),
                domain: number % DOMAINS,
                slowness: 1.0 + SPEED_SPREAD * (2.0 * rng.f64() - 1.0),
                busy: 0,
                queue: VecDeque::new(),
            })
            .collect();
        let entries = instances.iter().map(|instance| RosterEntry {
            id: instance.id.clone(),
            incarnation: 1,
            service: service.clone(),
            addr: SocketAddr::from(([10, 1, 0, 1], 80)),
            failure_domain: domains[instance.domain].clone(),
            software: Arc::from("v1"),
            slots: SLOTS,
            state: RosterState::Ready,
            cold_for: Duration::ZERO,
        });
        let mut roster = Roster::default();
        roster.replace(start, entries.collect(), FeedPosition::new(0, 1));
        let hosts = (0..shape.hosts)
            .map(|number| SimulatedHost {
                addr: SocketAddr::from((
                    [10, 0, 0, 1],
                    u16::try_from(number).expect("there are fewer hosts than ports"),
                )),
                domain: number % DOMAINS,
                evidence: Evidence::default(),
                waiting: VecDeque::new(),
                local_changes: BTreeSet::new(),
                remote_changes: BTreeSet::new(),
                flush_at_ms: None,
                heartbeat_phase_ms: rng.u64(..HEARTBEAT_MS),
            })
            .collect();
        Self {
            shape,
            way,
            start,
            now_ms: 0,
            roster,
            service,
            domains,
            hosts,
            instances,
            events: BinaryHeap::new(),
            event_number: 0,
            reports: Vec::new(),
            rng,
            figures: Figures::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn is_measured(&self) -> bool {
        let warm_up = self.shape.length.mul_f64(WARM_UP_SHARE);
        self.now_ms >= u64::try_from(warm_up.as_millis()).unwrap_or(u64::MAX)
    }

    fn run(&mut self) {
        let end_ms = u64::try_from(self.shape.length.as_millis()).unwrap_or(u64::MAX);
        let capacity_per_ms: f64 = self
            .instances
            .iter()
            .map(|instance| f64::from(SLOTS) / (MEAN_SERVICE_MS * instance.slowness))
            .sum();
        let rate_per_ms = capacity_per_ms * f64::from(self.shape.load_percent) / 100.0;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.run_events();
            for host in 0..self.hosts.len() {
                self.send_due_reports(host);
                if !self.now_ms.is_multiple_of(RECHECK_INTERVAL_MS) {
                    continue;
                }
                for _ in 0..self.hosts[host].waiting.len() {
                    let Some(request) = self.hosts[host].waiting.pop_front() else {
                        break;
                    };
                    if !self.send(host, request, false) {
                        break;
                    }
                }
            }
            for _ in 0..self.arrivals(rate_per_ms) {
                let host = self.draw_host();
                let request = Request {
                    arrived_ms: self.now_ms,
                    is_idempotent: self.rng.f64() < IDEMPOTENT_SHARE,
                };
                self.send(host, request, true);
            }
            if self.now_ms.is_multiple_of(SAMPLE_INTERVAL_MS) && self.is_measured() {
                self.sample();
            }
        }
    }

    /// Draws how many requests arrive in one step at a rate.
    fn arrivals(&mut self, rate_per_ms: f64) -> usize {
        let mut left = rate_per_ms * STEP_MS as f64;
        let mut count = 0;
        loop {
            left += self.rng.f64().max(f64::MIN_POSITIVE).ln();
            if left < 0.0 {
                return count;
            }
            count += 1;
        }
    }

    fn draw_host(&mut self) -> usize {
        loop {
            let host = self.rng.usize(..self.hosts.len());
            let is_high = self.hosts[host].domain < DOMAINS / 2;
            let weight = if is_high {
                1.0 + self.shape.skew
            } else {
                1.0 - self.shape.skew
            };
            if self.rng.f64() * (1.0 + self.shape.skew) < weight {
                return host;
            }
        }
    }

    /// Sends a request from a host, or queues it there, and reports whether it was
    /// sent.
    fn send(&mut self, host: usize, request: Request, is_new: bool) -> bool {
        let domain = self.hosts[host].domain;
        let has_free = self.instances.iter().any(|instance| {
            instance.domain == domain && instance.has_free_slot() && instance.queue.is_empty()
        });
        let chosen = self.choose(host, request);
        let measured = self.is_measured();
        if is_new && measured {
            self.figures.arrivals += 1;
            let queues = chosen.is_none_or(|chosen| !self.instances[chosen].has_free_slot());
            self.figures.queued_while_idle += u64::from(queues && has_free);
        }
        let Some(chosen) = chosen else {
            self.hosts[host].waiting.push_front(request);
            return false;
        };
        let now = self.now();
        let id = self.instances[chosen].id.clone();
        self.hosts[host].evidence.record_start(now, &id);
        if self.instances[chosen].accepted() >= MAX_ACCEPTED {
            self.hosts[host]
                .evidence
                .record_end(now, &id, Observation::Full);
            self.figures.refused += u64::from(measured);
            self.hosts[host].waiting.push_front(request);
            return false;
        }
        self.figures.remote += u64::from(measured && self.instances[chosen].domain != domain);
        self.note_change(host, chosen);
        let accepted = Accepted {
            request,
            host,
            sent_ms: self.now_ms,
        };
        self.instances[chosen].queue.push_back(accepted);
        self.start_queued(chosen);
        true
    }

    fn start_queued(&mut self, index: usize) {
        while self.instances[index].has_free_slot() {
            let instance = &mut self.instances[index];
            let Some(accepted) = instance.queue.pop_front() else {
                return;
            };
            instance.busy += 1;
            // A fixed part and an exponentially distributed one.
            let factor = 0.3 - 0.7 * (1.0 - self.rng.f64()).ln();
            let service_ms = (MEAN_SERVICE_MS * instance.slowness * factor).round() as u64;
            let wait_ms = self.now_ms - accepted.request.arrived_ms;
            if self.is_measured() {
                let _ = self.figures.waits_ms.record(wait_ms);
            }
            let kind = EventKind::Completion {
                instance: index,
                host: accepted.host,
                sent_ms: accepted.sent_ms,
            };
            self.schedule(service_ms.max(1), kind);
        }
    }

    fn schedule(&mut self, after_ms: u64, kind: EventKind) {
        self.event_number += 1;
        self.events.push(Event {
            at_ms: std::cmp::Reverse(self.now_ms + after_ms),
            number: self.event_number,
            kind,
        });
    }

    fn run_events(&mut self) {
        while let Some(event) = self.events.peek() {
            if event.at_ms.0 > self.now_ms {
                return;
            }
            let Some(event) = self.events.pop() else {
                return;
            };
            match event.kind {
                EventKind::Completion {
                    instance,
                    host,
                    sent_ms,
                } => self.complete(instance, host, sent_ms),
                EventKind::Delivery {
                    sender,
                    is_remote,
                    index,
                } => self.deliver(sender, is_remote, index),
            }
        }
    }

    fn complete(&mut self, index: usize, host: usize, sent_ms: u64) {
        let took_ms = (self.now_ms - sent_ms) as f64;
        let observation = Observation::Success {
            slowness: took_ms / MEAN_SERVICE_MS,
        };
        let now = self.now();
        let id = self.instances[index].id.clone();
        self.hosts[host].evidence.record_end(now, &id, observation);
        self.note_change(host, index);
        self.instances[index].busy -= 1;
        self.start_queued(index);
    }

    /// Returns the number of neighbours of a host.
    fn neighbours(&self) -> usize {
        (self.shape.hosts / DOMAINS).saturating_sub(1)
    }

    fn uses_collectors(&self) -> bool {
        self.neighbours() > MAX_DIRECT_NEIGHBOURS
    }

    fn batch_delay_ms(&self) -> u64 {
        let delay_ms = self.neighbours() / MAX_LOCAL_DATAGRAMS_PER_MS;
        MIN_BATCH_DELAY_MS.max(delay_ms as u64)
    }

    fn note_change(&mut self, host: usize, instance: usize) {
        let delay_ms = if self.uses_collectors() {
            MIN_BATCH_DELAY_MS
        } else {
            self.batch_delay_ms()
        };
        let now_ms = self.now_ms;
        let host = &mut self.hosts[host];
        host.local_changes.insert(instance);
        host.remote_changes.insert(instance);
        host.flush_at_ms.get_or_insert(now_ms + delay_ms);
    }

    fn send_due_reports(&mut self, sender: usize) {
        let is_flush_due = self.hosts[sender]
            .flush_at_ms
            .take_if(|at_ms| *at_ms <= self.now_ms)
            .is_some();
        if is_flush_due {
            let changes = std::mem::take(&mut self.hosts[sender].local_changes);
            let delay_ms = if self.uses_collectors() {
                self.batch_delay_ms()
            } else {
                0
            };
            self.send_report(sender, changes, false, delay_ms);
        }
        let phase_ms = self.hosts[sender].heartbeat_phase_ms;
        if self.now_ms % HEARTBEAT_MS == phase_ms {
            let changes = std::mem::take(&mut self.hosts[sender].remote_changes);
            let delay_ms = if self.uses_collectors() {
                REMOTE_GATHER_MS
            } else {
                0
            };
            self.send_report(sender, changes, true, delay_ms);
        }
    }

    fn send_report(
        &mut self,
        sender: usize,
        changes: BTreeSet<usize>,
        is_remote: bool,
        delay_ms: u64,
    ) {
        if self.is_measured() {
            let relays = (DOMAINS - 1) as u64;
            let neighbours = self.neighbours() as u64;
            let bytes = REPORT_BYTES + REPORT_BYTES_PER_INSTANCE * changes.len() as u64;
            if is_remote {
                self.figures.messages += relays * (1 + neighbours);
                self.figures.report_bytes_between_domains += relays * bytes;
            } else {
                self.figures.messages += neighbours;
            }
        }
        let now = self.now();
        let evidence = &self.hosts[sender].evidence;
        let items = changes.into_iter().map(|instance| {
            let report = evidence.own_report(now, &self.instances[instance].id);
            (instance, report)
        });
        let index = self.reports.len();
        self.reports.push(items.collect());
        let kind = EventKind::Delivery {
            sender,
            is_remote,
            index,
        };
        self.schedule(delay_ms + 1, kind);
    }

    fn deliver(&mut self, sender: usize, is_remote: bool, index: usize) {
        let items = std::mem::take(&mut self.reports[index]);
        let now = self.now();
        let (addr, domain) = (self.hosts[sender].addr, self.hosts[sender].domain);
        for (number, host) in self.hosts.iter_mut().enumerate() {
            if number == sender || (host.domain != domain) != is_remote {
                continue;
            }
            for (instance, report) in &items {
                let id = &self.instances[*instance].id;
                host.evidence.record_peer_report(now, addr, id, *report);
            }
        }
    }

    fn sample(&mut self) {
        let occupancies = self
            .instances
            .iter()
            .map(|instance| f64::from(instance.accepted()) / f64::from(SLOTS));
        let count = self.instances.len() as f64;
        let (sum, squares) = occupancies.fold((0.0, 0.0), |(sum, squares), occupancy| {
            (sum + occupancy, squares + occupancy * occupancy)
        });
        let mean = sum / count;
        self.figures.spread_sum += (squares / count - mean * mean).max(0.0).sqrt();
        self.figures.samples += 1;
    }

    /// Chooses an instance for a request.
    fn choose(&mut self, host: usize, request: Request) -> Option<usize> {
        let own_domain = self.hosts[host].domain;
        let local: Vec<usize> = (0..self.instances.len())
            .filter(|index| self.instances[*index].domain == own_domain)
            .collect();
        let all: Vec<usize> = (0..self.instances.len()).collect();
        match self.way {
            Way::Current | Way::Shared => self.place(host, request),
            Way::Random => self.rng.choice(local),
            Way::Omniscient => {
                let loads: Vec<u32> = self
                    .instances
                    .iter()
                    .map(SimulatedInstance::accepted)
                    .collect();
                self.least_loaded(&loads, &[&local, &all])
            }
            Way::LeastReported => self.least_reported(host, &[&local, &all]),
            Way::FewAtRandom => {
                let few_local = self.rng.choose_multiple(local, FEW);
                let few = self.rng.choose_multiple(all, FEW);
                self.least_reported(host, &[&few_local, &few])
            }
            Way::SlotsInTurn => {
                let turn = self.now_ms / TURN_MS;
                let hosts = (self.shape.hosts / DOMAINS) as u64;
                let own_number = (host / DOMAINS) as u64;
                let mine: Vec<usize> = local
                    .iter()
                    .copied()
                    .filter(|index| {
                        let free = SLOTS.saturating_sub(self.reported(host, *index));
                        (0..free).any(|slot| hash(&(index, slot, turn)) % hosts == own_number)
                    })
                    .collect();
                self.least_reported(host, &[&mine, &local, &all])
            }
            Way::Subset => {
                let mut subset = local.clone();
                subset.sort_by_key(|index| hash(&(index, host)));
                subset.truncate(SUBSET);
                self.least_reported(host, &[&subset, &local, &all])
            }
            Way::WaitAtHost => {
                let chosen = self.place(host, request)?;
                (self.reported(host, chosen) < SLOTS).then_some(chosen)
            }
        }
    }

    /// Returns the requests of an instance that a host knows.
    fn reported(&self, host: usize, index: usize) -> u32 {
        let health = self.hosts[host]
            .evidence
            .health(self.now(), &self.instances[index].id);
        health.in_flight
    }

    fn least_reported(&mut self, host: usize, groups: &[&Vec<usize>]) -> Option<usize> {
        let loads: Vec<u32> = (0..self.instances.len())
            .map(|index| self.reported(host, index))
            .collect();
        self.least_loaded(&loads, groups)
    }

    /// Returns the least loaded instance of the first group in which one has a free
    /// slot, else of the last group. Equal loads are drawn at random.
    fn least_loaded(&mut self, loads: &[u32], groups: &[&Vec<usize>]) -> Option<usize> {
        let mut chosen = None;
        for group in groups {
            let keyed = group
                .iter()
                .map(|index| (loads[*index], self.rng.u32(..), *index));
            chosen = keyed.min().map(|(_, _, index)| index);
            if chosen.is_some_and(|index| loads[index] < SLOTS) {
                break;
            }
        }
        chosen
    }

    /// Returns the mean time of one choice of one host.
    fn choice_time_us(&mut self) -> f64 {
        let request = Request {
            arrived_ms: self.now_ms,
            is_idempotent: false,
        };
        let started = Instant::now();
        for _ in 0..TIMED_CHOICES {
            std::hint::black_box(self.place(0, request));
        }
        started.elapsed().as_secs_f64() * 1e6 / f64::from(TIMED_CHOICES)
    }

    /// Chooses by the real placement.
    fn place(&mut self, host: usize, request: Request) -> Option<usize> {
        let now = self.now();
        let local_hosts = self.neighbours() + 1;
        // The current way allows for no requests of other hosts.
        let sharing_hosts = if self.way == Way::Shared {
            local_hosts
        } else {
            1
        };
        let load_sharing = LoadSharing::for_hosts(sharing_hosts);
        let host = &self.hosts[host];
        let request = PlacementRequest {
            refused_share: 0.0,
            allowed_domains: None,
            room: None,
            service: &self.service,
            is_idempotent: request.is_idempotent,
            attempts_left: 2,
            attempted: &[],
            failure_domain: &self.domains[host.domain],
            priority: 0,
            usual_time: Duration::from_millis(MEAN_SERVICE_MS as u64),
            latency_target: LATENCY_TARGET,
            load_sharing,
        };
        let placement = place(now, &self.roster, &host.evidence, &request, &mut self.rng).ok()?;
        let id = &placement.instance.entry.id;
        let index = self
            .instances
            .binary_search_by(|instance| instance.id.cmp(id));
        index.ok()
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
