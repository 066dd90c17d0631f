//! The load that retries add in an outage, and the propagation of a quarantine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use waxwingusher_attempts::{
    FailedRequest, Idempotency, LostInstance, Origin, Quarantine, QuarantineSettings, RetryBudget,
    RetrySettings,
};
use waxwingusher_core::{
    BodyDigest, Clock, HostId, InstanceId, ManualClock, RouteName, ServiceName, WorkspaceName,
};
use waxwingusher_protocol::attempt::AttemptMessage;
use waxwingusher_protocol::codec::wire_len_bytes;
use waxwingusher_protocol::{Message, Outgoing};
use waxwingusher_standins::{LinkFaults, Links};

use super::fleet::host_list;
use crate::scenario::{Bound, Measurement, Scenario, ScenarioResult};

const RETRY_HOSTS: usize = 36;
const WORKSPACES: usize = 8;
const NORMAL_TIME_S: usize = 60;
const OUTAGE_TIME_S: usize = 10;
const MAX_OUTAGE_LOAD: f64 = 1.2;

const QUARANTINE_HOSTS: usize = 440;
const DOMAINS: usize = 7;
const MAX_SPREAD_S: f64 = 5.0;
const TICK: Duration = Duration::from_millis(100);

/// Measures the load on a service while half or all of its requests fail.
pub(super) struct RetryOutage;

impl Scenario for RetryOutage {
    fn name(&self) -> &'static str {
        "attempts/retries-in-outage"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let mut measurements = Vec::new();
        for requests_per_s in [100, 400, 3000] {
            for (kind, failing_percent) in [("half", 50), ("total", 100)] {
                let load = load(seed, requests_per_s, failing_percent);
                let name = format!("{kind}/{requests_per_s}-per-s/load");
                let measurement = Measurement::new(&name, load, "first attempts");
                measurements.push(measurement.bounded(Bound::AtMost(MAX_OUTAGE_LOAD)));
            }
        }
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements,
        }
    }
}

/// Returns the requests that a failing service receives per first attempt.
fn load(seed: u64, requests_per_s: usize, failing_percent: u32) -> f64 {
    let clock = ManualClock::new();
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut budgets: Vec<_> = (0..RETRY_HOSTS)
        .map(|_| {
            RetryBudget::new(
                RetrySettings::default(),
                Arc::new(clock.clone()),
                rng.fork(),
            )
        })
        .collect();
    let step = Duration::from_secs(1).div_f64(requests_per_s as f64);
    let normal_requests = NORMAL_TIME_S * requests_per_s;
    let outage_requests = OUTAGE_TIME_S * requests_per_s;
    let mut retries = 0;
    for index in 0..normal_requests + outage_requests {
        clock.advance(step);
        let budget = &mut budgets[rng.usize(..RETRY_HOSTS)];
        let request = request(rng.usize(..WORKSPACES), &clock);
        let mut fails = || rng.u32(..100) < failing_percent;
        if index < normal_requests || !fails() {
            budget.on_first_success(&request.workspace, &request.service);
            continue;
        }
        retries += retry_until_answered(budget, request, fails);
    }
    1.0 + f64::from(retries) / outage_requests as f64
}

fn request(workspace: usize, clock: &ManualClock) -> FailedRequest {
    FailedRequest {
        workspace: WorkspaceName::new(&format!("w{workspace}")),
        service: ServiceName::new("staff-desk"),
        idempotency: Idempotency::Idempotent,
        origin: Origin::Caller,
        retries: 0,
        untried_instances: 10,
        expected_time: Duration::from_millis(20),
        deadline: clock.now() + Duration::from_secs(2),
    }
}

/// Retries a failed request while the retry budget allows and returns the number of
/// retries.
fn retry_until_answered(
    budget: &mut RetryBudget,
    mut request: FailedRequest,
    mut fails: impl FnMut() -> bool,
) -> u32 {
    while budget.spend(&request).is_ok() {
        request.retries += 1;
        if !fails() {
            break;
        }
    }
    request.retries
}

/// Measures how fast a quarantine reaches all hosts and the bytes that it takes.
pub(super) struct QuarantineSpread;

impl Scenario for QuarantineSpread {
    fn name(&self) -> &'static str {
        "attempts/quarantine-spread"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let mut measurements = Vec::new();
        for (name, loss) in [("clean", 0.0), ("lossy", 0.05)] {
            let spread = SpreadRun::new(seed, loss).run();
            let seconds = Measurement::new(&format!("{name}/all-hosts"), spread.seconds, "s");
            let bytes = Measurement::new(&format!("{name}/sent"), spread.bytes, "bytes/host");
            measurements.push(seconds.bounded(Bound::AtMost(MAX_SPREAD_S)));
            measurements.push(bytes);
        }
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements,
        }
    }
}

struct SpreadResult {
    seconds: f64,
    bytes: f64,
}

struct SpreadRun {
    clock: ManualClock,
    links: Links<AttemptMessage>,
    hosts: BTreeMap<HostId, Quarantine>,
    bytes: usize,
}

impl SpreadRun {
    fn new(seed: u64, loss: f64) -> Self {
        let clock = ManualClock::new();
        let list = host_list(QUARANTINE_HOSTS, DOMAINS);
        let mut rng = fastrand::Rng::with_seed(seed);
        let hosts = list.hosts.iter().map(|entry| {
            let own: Arc<dyn Clock> = Arc::new(clock.clone());
            let settings = QuarantineSettings::default();
            let mut quarantine = Quarantine::new(entry.id.clone(), own, rng.fork(), settings);
            quarantine.apply_host_list(&list);
            (entry.id.clone(), quarantine)
        });
        let faults = LinkFaults {
            loss,
            ..LinkFaults::default()
        };
        Self {
            hosts: hosts.collect(),
            links: Links::new(seed, faults),
            bytes: 0,
            clock,
        }
    }

    /// Reports two lost instances and measures when all hosts refuse the request.
    fn run(mut self) -> SpreadResult {
        let body = BodyDigest::of_request("POST", "/leaves", b"poison");
        let poison = Quarantine::fingerprint(&"staff".into(), &RouteName::new("leaves"), &body);
        let reporters: Vec<_> = self.hosts.keys().take(2).cloned().collect();
        for (index, host) in reporters.iter().enumerate() {
            let lost = LostInstance {
                service: ServiceName::new("approval-desk"),
                instance: InstanceId::new(&format!("approval-{index}")),
                in_flight: vec![poison],
            };
            let outgoing = self.hosts.get_mut(host).map(|q| q.on_instance_lost(&lost));
            self.send(host, outgoing.unwrap_or_default());
        }
        let start = self.clock.now();
        let mut reached_at = None;
        while self.clock.now() < start + Duration::from_secs(20) {
            self.step();
            let all = self
                .hosts
                .values_mut()
                .all(|host| host.is_quarantined(&poison));
            if all && reached_at.is_none() {
                reached_at = Some(self.clock.now());
            }
        }
        let reached = reached_at.map(|at| at.saturating_duration_since(start));
        SpreadResult {
            seconds: reached.map_or(f64::INFINITY, |time| time.as_secs_f64()),
            bytes: self.bytes as f64 / self.hosts.len() as f64,
        }
    }

    fn step(&mut self) {
        self.clock.advance(TICK);
        let names: Vec<_> = self.hosts.keys().cloned().collect();
        for name in names {
            let outgoing = self.hosts.get_mut(&name).map(Quarantine::tick);
            self.send(&name, outgoing.unwrap_or_default());
        }
        while let Some(delivery) = self.links.receive(self.clock.now()) {
            let AttemptMessage::Quarantine(message) = delivery.message else {
                continue;
            };
            let to = self.hosts.get_mut(&delivery.to);
            let outgoing = to.map(|host| host.on_message(message));
            self.send(&delivery.to, outgoing.unwrap_or_default());
        }
    }

    fn send(&mut self, from: &HostId, outgoing: Vec<Outgoing<AttemptMessage>>) {
        for Outgoing { to, message } in outgoing {
            self.bytes += wire_len_bytes(from, u64::MAX, &Message::Attempt(message.clone()));
            self.links.send(self.clock.now(), from, &to, message);
        }
    }
}
