//! Counters and latency histograms in the text exposition format.
//!
//! Labels come from bounded sets: routes, outcomes and causes; never a key, a
//! path or the identity of a request.

use std::fmt::Error;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use waxwingusher_limits::FleetView;
use waxwingusher_upstreams::ScarcityLevel;

/// The bounds of the latency histograms start at 1 ms and double.
const FIRST_BUCKET_S: f64 = 0.001;
const BUCKET_COUNT: u16 = 15;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    route: String,
    outcome: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    service: String,
    outcome: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FindingLabels {
    entry: String,
    effect: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LevelLabels {
    service: String,
    level: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DecisionLabels {
    service: String,
    decision: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ChangeLabels {
    change: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct InstanceChangeLabels {
    change: &'static str,
    source: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrafficLabels {
    kind: &'static str,
    domain: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EvictionLabels {
    resource: &'static str,
    end: &'static str,
}

/// What a host holds when its metrics are rendered.
#[derive(Debug, Clone, Copy)]
pub struct HostLoad {
    /// Requests without an answer.
    pub in_flight: usize,
    /// Open connections of callers and peers.
    pub connections: usize,
    /// The bytes that connections hold.
    pub memory_charged_bytes: usize,
    /// The bytes that they may hold.
    pub memory_account_bytes: usize,
}

/// Whether traffic stays in this host's failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficScope {
    /// The destination is in the same failure domain.
    Local,
    /// The destination is in another failure domain, or its domain is not known.
    Remote,
}

impl TrafficScope {
    /// Returns the scope of a destination by whether it is known to be local.
    #[must_use]
    pub fn from_is_local(is_local: bool) -> Self {
        if is_local { Self::Local } else { Self::Remote }
    }

    fn label(self) -> &'static str {
        match self {
            Self::Local => "local",
            Self::Remote => "remote",
        }
    }
}

/// The metrics of one host.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    request_time: Family<RequestLabels, Histogram>,
    attempts: Family<AttemptLabels, Counter>,
    attempt_time: Family<AttemptLabels, Histogram>,
    permits: Family<OutcomeLabels, Counter>,
    takeovers: Family<OutcomeLabels, Counter>,
    findings: Family<FindingLabels, Counter>,
    evacuations: Family<ChangeLabels, Counter>,
    cold_instances: Family<ChangeLabels, Counter>,
    instance_changes: Family<InstanceChangeLabels, Counter>,
    scarcity_changes: Family<LevelLabels, Counter>,
    load_decisions: Family<DecisionLabels, Counter>,
    peer_bytes: Family<TrafficLabels, Counter>,
    peer_datagrams: Family<TrafficLabels, Counter>,
    instance_bytes: Family<TrafficLabels, Counter>,
    resource_refusals: Family<CauseLabels, Counter>,
    evictions: Family<EvictionLabels, Counter>,
    config_version: Gauge,
    in_flight: Gauge,
    connections: Gauge,
    memory_charged: Gauge,
    memory_account: Gauge,
    reachable_hosts: Gauge,
    known_hosts: Gauge,
}

impl Metrics {
    /// Registers all metrics.
    #[must_use]
    pub fn new() -> Self {
        let histogram = || Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT));
        let requests = Family::default();
        let request_time = Family::new_with_constructor(histogram as fn() -> Histogram);
        let attempts = Family::default();
        let attempt_time = Family::new_with_constructor(histogram as fn() -> Histogram);
        let permits = Family::default();
        let takeovers = Family::default();
        let findings = Family::default();
        let evacuations = Family::default();
        let cold_instances = Family::default();
        let instance_changes = Family::default();
        let scarcity_changes = Family::default();
        let load_decisions = Family::default();
        let peer_bytes = Family::default();
        let peer_datagrams = Family::default();
        let instance_bytes = Family::default();
        let resource_refusals = Family::default();
        let evictions = Family::default();
        let config_version = Gauge::default();
        let in_flight = Gauge::default();
        let connections = Gauge::default();
        let memory_charged = Gauge::default();
        let memory_account = Gauge::default();
        let reachable_hosts = Gauge::default();
        let known_hosts = Gauge::default();
        let mut registry = Registry::with_prefix("waxwingusher");
        registry.register(
            "requests",
            "Requests that were answered or given up",
            requests.clone(),
        );
        registry.register(
            "request_seconds",
            "Time until requests were answered or given up",
            request_time.clone(),
        );
        registry.register("attempts", "Tries at instances", attempts.clone());
        registry.register("attempt_seconds", "Time of a try", attempt_time.clone());
        registry.register(
            "permits",
            "Permits asked for requests to instances that limit their rate or are cold",
            permits.clone(),
        );
        registry.register(
            "takeovers",
            "Requests that peers were asked to take over",
            takeovers.clone(),
        );
        registry.register(
            "config_findings",
            "Entries of configurations that could not be used as published",
            findings.clone(),
        );
        registry.register(
            "evacuations",
            "Orders to evacuate a failure domain that came into force or were taken back",
            evacuations.clone(),
        );
        registry.register(
            "cold_instances",
            "Instances that began or ceased to limit requests as they were cold",
            cold_instances.clone(),
        );
        registry.register(
            "instance_changes",
            "Changes of instances, by how this host learned of them",
            instance_changes.clone(),
        );
        registry.register(
            "scarcity_changes",
            "Changes of how short of capacity a service is, by the new level",
            scarcity_changes.clone(),
        );
        registry.register(
            "load_decisions",
            "Requests that were treated differently since a service is short of capacity",
            load_decisions.clone(),
        );
        registry.register(
            "peer_bytes",
            "Bytes of messages to other hosts, without headers of datagrams",
            peer_bytes.clone(),
        );
        registry.register(
            "peer_datagrams",
            "Messages to other hosts",
            peer_datagrams.clone(),
        );
        registry.register(
            "instance_bytes",
            "Bytes of bodies and headers of requests to instances and of their answers",
            instance_bytes.clone(),
        );
        registry.register(
            "resource_refusals",
            "Requests and connections that were refused for lack of memory or sockets",
            resource_refusals.clone(),
        );
        registry.register(
            "evictions",
            "Connections that ended for the sake of others",
            evictions.clone(),
        );
        registry.register(
            "connections",
            "Open connections of callers and peers",
            connections.clone(),
        );
        registry.register(
            "memory_charged_bytes",
            "Bytes that connections hold",
            memory_charged.clone(),
        );
        registry.register(
            "memory_account_bytes",
            "Bytes that connections may hold",
            memory_account.clone(),
        );
        registry.register(
            "config_version",
            "Configuration in force",
            config_version.clone(),
        );
        registry.register(
            "requests_in_flight",
            "Requests without answer",
            in_flight.clone(),
        );
        registry.register("heard_hosts", "Hosts heard lately", reachable_hosts.clone());
        registry.register(
            "known_hosts",
            "Hosts that are thought to be there",
            known_hosts.clone(),
        );
        Self {
            registry,
            requests,
            request_time,
            attempts,
            attempt_time,
            permits,
            takeovers,
            findings,
            evacuations,
            cold_instances,
            instance_changes,
            scarcity_changes,
            load_decisions,
            peer_bytes,
            peer_datagrams,
            instance_bytes,
            resource_refusals,
            evictions,
            config_version,
            in_flight,
            connections,
            memory_charged,
            memory_account,
            reachable_hosts,
            known_hosts,
        }
    }

    /// Records a request that was answered or given up.
    pub fn record_request(&self, route: &str, outcome: &str, took: Duration) {
        let labels = RequestLabels {
            route: route.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
        self.request_time
            .get_or_create(&labels)
            .observe(took.as_secs_f64());
    }

    /// Records an attempt at an instance.
    pub fn record_attempt(&self, service: &str, outcome: &str, took: Duration) {
        let labels = AttemptLabels {
            service: service.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.attempts.get_or_create(&labels).inc();
        self.attempt_time
            .get_or_create(&labels)
            .observe(took.as_secs_f64());
    }

    /// Records the outcome of asking for a permit.
    pub fn record_permit(&self, outcome: &str) {
        let outcome = outcome.to_owned();
        self.permits.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Records the outcome of asking a peer to take over a request.
    pub fn record_takeover(&self, outcome: &str) {
        let outcome = outcome.to_owned();
        let labels = OutcomeLabels { outcome };
        self.takeovers.get_or_create(&labels).inc();
    }

    /// Records an entry of a configuration that cannot be used as published.
    pub fn record_finding(&self, entry: &str, effect: &str) {
        let labels = FindingLabels {
            entry: entry.to_owned(),
            effect: effect.to_owned(),
        };
        self.findings.get_or_create(&labels).inc();
    }

    /// Records that an order to evacuate a failure domain came into force or was taken
    /// back.
    pub fn record_evacuation(&self, change: &str) {
        let change = change.to_owned();
        self.evacuations
            .get_or_create(&ChangeLabels { change })
            .inc();
    }

    /// Records that an instance began or ceased to limit requests as it was cold.
    pub fn record_cold_instance(&self, change: &str) {
        let change = change.to_owned();
        self.cold_instances
            .get_or_create(&ChangeLabels { change })
            .inc();
    }

    /// Records a change of an instance and how this host learned of it.
    pub fn record_instance_change(&self, change: &'static str, source: &'static str) {
        let labels = InstanceChangeLabels { change, source };
        self.instance_changes.get_or_create(&labels).inc();
    }

    /// Records a change of how short of capacity a service is.
    pub fn record_scarcity(&self, service: &str, level: ScarcityLevel) {
        let labels = LevelLabels {
            service: service.to_owned(),
            level: level.as_str(),
        };
        self.scarcity_changes.get_or_create(&labels).inc();
    }

    /// Records a decision on a request to a service that is short of capacity.
    pub fn record_load_decision(&self, service: &str, decision: &'static str) {
        let labels = DecisionLabels {
            service: service.to_owned(),
            decision,
        };
        self.load_decisions.get_or_create(&labels).inc();
    }

    /// Records messages of a kind that were sent to peers, and their bytes together.
    pub fn record_peer_messages(
        &self,
        kind: &'static str,
        scope: TrafficScope,
        count: usize,
        bytes: usize,
    ) {
        let domain = scope.label();
        let labels = TrafficLabels { kind, domain };
        self.peer_datagrams
            .get_or_create(&labels)
            .inc_by(count as u64);
        self.peer_bytes.get_or_create(&labels).inc_by(bytes as u64);
    }

    /// Records the bytes of a request to an instance or of its answer.
    pub fn record_instance_bytes(&self, kind: &'static str, scope: TrafficScope, bytes: usize) {
        let domain = scope.label();
        let labels = TrafficLabels { kind, domain };
        self.instance_bytes
            .get_or_create(&labels)
            .inc_by(bytes as u64);
    }

    /// Records a request or a connection that was refused for lack of memory or sockets.
    pub fn record_resource_refusal(&self, cause: &'static str) {
        let labels = CauseLabels { cause };
        self.resource_refusals.get_or_create(&labels).inc();
    }

    /// Records a connection that ended for the sake of others: how, and what they needed.
    pub fn record_eviction(&self, resource: &'static str, end: &'static str) {
        let labels = EvictionLabels { resource, end };
        self.evictions.get_or_create(&labels).inc();
    }

    /// Sets the gauges and renders all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error if a value cannot be formatted.
    pub fn render(&self, version: u64, load: HostLoad, fleet: FleetView) -> Result<String, Error> {
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        let counts = [
            (&self.in_flight, load.in_flight),
            (&self.connections, load.connections),
            (&self.memory_charged, load.memory_charged_bytes),
            (&self.memory_account, load.memory_account_bytes),
        ];
        for (gauge, count) in counts {
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        self.reachable_hosts
            .set(i64::try_from(fleet.reachable_hosts).unwrap_or(i64::MAX));
        self.known_hosts
            .set(i64::try_from(fleet.known_hosts).unwrap_or(i64::MAX));
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
