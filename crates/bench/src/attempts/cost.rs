//! The cost of attempt records: bytes and messages per request with an idempotency
//! key, bytes without requests, and memory.

use std::sync::Arc;
use std::time::Duration;

use waxwingusher_attempts::{
    AttemptRegistry, AttemptRequest, AttemptResult, AttemptSettings, Permission, WitnessPlan,
};
use waxwingusher_core::{Clock, HostId, HostList, ManualClock};
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::attempt::AttemptMessage;

use super::fleet::{Fleet, FleetSettings};
use super::schedule::warm_up;
use super::traffic::{self, Upstream};
use crate::scenario::{Bound, Measurement, Scenario, ScenarioResult};

/// The hosts and failure domains of the design size.
const DOMAINS: usize = 7;
const HOSTS_PER_DOMAIN: usize = 63;

const REQUESTS: usize = 2000;
const REQUEST_TIME: Duration = Duration::from_secs(20);
const IDLE_TIME: Duration = Duration::from_secs(60);

/// The bytes per second that a host without requests may send.
const MAX_IDLE_BYTES_PER_S: f64 = 10.0;

/// The requests per second that each host receives.
const REQUESTS_PER_HOST_PER_S: usize = 300;

/// The share of the memory for control that records may use, in megabytes.
const MAX_MEMORY_MB: f64 = 64.0;

const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Measures messages and bytes at the design size.
pub(super) struct Messages;

impl Scenario for Messages {
    fn name(&self) -> &'static str {
        "attempts/messages"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let plans = [
            (WitnessPlan::Single, "home"),
            (WitnessPlan::Pair, "pair"),
            (WitnessPlan::Majority, "majority"),
        ];
        let measurements = plans
            .into_iter()
            .flat_map(|(plan, name)| measure_messages(seed, plan, name));
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements: measurements.collect(),
        }
    }
}

fn measure_messages(seed: u64, plan: WitnessPlan, name: &str) -> Vec<Measurement> {
    let settings = design_size(plan);
    let mut fleet = Fleet::new(seed, settings);
    fleet.run_for(warm_up(&settings.attempt));
    fleet.count_bytes();
    fleet.run_for(IDLE_TIME);
    let hosts = (DOMAINS * HOSTS_PER_DOMAIN) as f64;
    let idle = fleet.sent_bytes() as f64 / IDLE_TIME.as_secs_f64() / hosts;
    fleet.count_bytes();
    let mut rng = fastrand::Rng::with_seed(seed);
    for operation in 0..REQUESTS {
        fleet.schedule_send(REQUEST_TIME.mul_f64(rng.f64()), operation);
    }
    fleet.run_for(REQUEST_TIME + Duration::from_secs(5));
    let runs = fleet.oracle().tally().runs as f64;
    let measurement = |what: &str, value: f64, unit: &str| {
        Measurement::new(&format!("{name}/{what}"), value, unit)
    };
    vec![
        measurement("runs", runs, "count").bounded(Bound::AtLeast(REQUESTS as f64)),
        measurement(
            "messages-per-request",
            fleet.sent_messages() as f64 / runs,
            "count",
        ),
        measurement(
            "bytes-per-request",
            fleet.sent_bytes() as f64 / runs,
            "bytes",
        ),
        measurement("idle", idle, "bytes/s").bounded(Bound::AtMost(MAX_IDLE_BYTES_PER_S)),
    ]
}

fn design_size(plan: WitnessPlan) -> FleetSettings {
    FleetSettings {
        domains: DOMAINS,
        hosts_per_domain: HOSTS_PER_DOMAIN,
        max_drift_ppm: 100,
        read_interval: Duration::from_secs(2),
        upstream: Upstream::Reliable,
        attempt: AttemptSettings {
            plan,
            ..AttemptSettings::default()
        },
    }
}

/// Measures the memory of a witness when every request has an idempotency key.
pub(super) struct Memory;

impl Scenario for Memory {
    fn name(&self) -> &'static str {
        "attempts/memory"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements: measure_requests(REQUESTS_PER_HOST_PER_S, seed),
        }
    }
}

/// Measures the memory of a witness at a number of requests with an idempotency key
/// per second and host.
pub(crate) fn measure_requests(requests_per_s: usize, seed: u64) -> Vec<Measurement> {
    let mut three_hosts = ThreeHosts::new(seed);
    three_hosts.warm_up();
    three_hosts.run_for(AttemptSettings::default().retention(), requests_per_s);
    let report = three_hosts.hosts[0].report();
    let records = report.records as f64;
    let memory_mb = report.memory_bytes as f64 / BYTES_PER_MB;
    let refused = three_hosts.refused as f64;
    let without_answers = (report.memory_bytes - report.answer_bytes) as f64;
    vec![
        Measurement::new("records", records, "count"),
        Measurement::new("bytes-per-record", without_answers / records, "bytes"),
        Measurement::new("memory", memory_mb, "MB").bounded(Bound::AtMost(MAX_MEMORY_MB)),
        Measurement::new("refused", refused, "count").bounded(Bound::AtMost(0.0)),
    ]
}

/// Three hosts without network delays, loaded like hosts of a large fleet.
struct ThreeHosts {
    clock: ManualClock,
    hosts: Vec<AttemptRegistry>,
    names: Vec<HostId>,
    list: HostList,
    operation: usize,
    refused: usize,
}

impl ThreeHosts {
    fn new(seed: u64) -> Self {
        let clock = ManualClock::new();
        let list = super::fleet::host_list(3, 3);
        let names: Vec<_> = list.hosts.iter().map(|entry| entry.id.clone()).collect();
        let start = |name: &HostId| {
            let clock: Arc<dyn Clock> = Arc::new(clock.clone());
            AttemptRegistry::new(name.clone(), seed, clock, seed, AttemptSettings::default())
        };
        Self {
            hosts: names.iter().map(start).collect(),
            names,
            list,
            operation: 0,
            refused: 0,
            clock,
        }
    }

    fn warm_up(&mut self) {
        let settings = AttemptSettings::default();
        let until = self.clock.now() + settings.coverage() + settings.list_settle;
        while self.clock.now() <= until {
            self.tick();
            self.clock.advance(Duration::from_secs(1));
        }
    }

    fn run_for(&mut self, time: Duration, requests_per_s: usize) {
        let until = self.clock.now() + time;
        while self.clock.now() < until {
            self.tick();
            for _ in 0..self.hosts.len() * requests_per_s {
                self.run_one();
            }
            self.clock.advance(Duration::from_secs(1));
        }
    }

    fn tick(&mut self) {
        for host in &mut self.hosts {
            host.apply_host_list(&self.list);
            host.confirm_host_list(self.list.version);
            host.tick();
        }
    }

    fn run_one(&mut self) {
        self.operation += 1;
        let host = self.operation % self.hosts.len();
        let request = AttemptRequest {
            workspace: traffic::workspace_of(self.operation),
            idempotency_key: traffic::key_of(self.operation),
            body_digest: traffic::body_of(self.operation),
            deadline: self.clock.now() + Duration::from_secs(3),
        };
        let (ticket, outgoing) = self.hosts[host].begin(&request);
        self.deliver(host, outgoing);
        let decisions = self.hosts[host].take_decisions();
        let runs = decisions.first().map(|decision| &decision.permission) == Some(&Permission::Run);
        if !runs || self.hosts[host].check_before_dispatch(ticket).is_err() {
            self.refused += 1;
            return;
        }
        let answer = traffic::answer_of(self.operation, 1);
        let outgoing = self.hosts[host].finish(ticket, AttemptResult::Answered(answer));
        self.deliver(host, outgoing);
    }

    fn deliver(&mut self, from: usize, outgoing: Vec<Outgoing<AttemptMessage>>) {
        for Outgoing { to, message } in outgoing {
            let Some(receiver) = self.names.iter().position(|name| *name == to) else {
                continue;
            };
            let name = self.names[from].clone();
            let replies = self.hosts[receiver].on_message(&name, 1, message);
            self.deliver(receiver, replies);
        }
    }
}
