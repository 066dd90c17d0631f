//! Traces one request through the logs of all hosts.
//!
//! Each step comes with the state of its host at that time: the configuration in
//! force, the known and reachable hosts, lost dependencies, and the last change of
//! the instance of the attempt.

use std::collections::BTreeMap;
use std::fmt;
use std::io;

use serde::Deserialize;
use waxwingusher_upstreams::placement::Exclusions;

use crate::journal::Arrival;

/// One step of a request at a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// When the line was written, by the clock of its host.
    pub unix_ms: u64,
    /// The host.
    pub host: String,
    /// What happened.
    pub description: String,
    /// The state of the host at that time, as one fact per entry.
    pub context: Vec<String>,
}

/// The steps of one request, and what the logs lack.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Explanation {
    /// The steps in the order of their times.
    pub steps: Vec<Step>,
    /// The number of lines that are not records of a host.
    pub unreadable_lines: usize,
    /// The number of records that hosts report as suppressed. Records of the
    /// request may be among them.
    pub suppressed_records: u64,
}

/// Collects the steps of a request from log lines, which must be in order for each
/// host. Text before a record, such as a collector's prefix, is skipped.
///
/// # Errors
///
/// Returns an error if the lines cannot be read.
pub fn explain(
    request_id: &str,
    lines: impl IntoIterator<Item = io::Result<String>>,
) -> io::Result<Explanation> {
    let mut explanation = Explanation::default();
    let mut hosts: BTreeMap<String, HostContext> = BTreeMap::new();
    for line in lines {
        let line = line?;
        let record = line.find('{').and_then(|start| line.get(start..));
        let record = record.and_then(|text| serde_json::from_str::<Record>(text).ok());
        let Some(record) = record else {
            explanation.unreadable_lines += 1;
            continue;
        };
        let context = hosts.entry(record.host.clone()).or_default();
        explanation.suppressed_records += context.apply(&record);
        if record.event.request() != Some(request_id) {
            continue;
        }
        explanation.steps.push(Step {
            unix_ms: record.unix_ms,
            context: context.facts(&record),
            description: record.event.to_string(),
            host: record.host,
        });
    }
    explanation.steps.sort_by_key(|step| step.unix_ms);
    Ok(explanation)
}

#[derive(Debug, Deserialize)]
struct Record {
    unix_ms: u64,
    host: String,
    #[serde(flatten)]
    event: LoggedEvent,
}

/// The records of [`Event`](crate::journal::Event) that describe a request or the
/// state that affects it.
#[derive(Debug, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
enum LoggedEvent {
    Attempt {
        request: String,
        number: usize,
        instance: String,
        /// Older builds do not write it.
        choice: Option<String>,
        risk: f64,
        load: u32,
        #[serde(rename = "word_age_ms")]
        outcome_age_ms: Option<u64>,
        /// Older builds write neither this nor the slowness.
        attempt_age_ms: Option<u64>,
        slowness: Option<f64>,
        outcome: String,
        took_ms: u64,
    },
    Takeover {
        request: String,
        peer: String,
        outcome: String,
        took_ms: u64,
    },
    Request {
        request: String,
        route: String,
        workspace: String,
        version: u64,
        status: u16,
        outcome: String,
        #[serde(rename = "tries")]
        attempts: usize,
        took_ms: u64,
        left_ms: u64,
        tokens: Option<f64>,
        #[serde(flatten)]
        arrival: Arrival,
    },
    Unplaced {
        request: String,
        service: String,
        #[serde(flatten)]
        exclusions: Exclusions,
    },
    QueueRefusal {
        request: String,
        service: String,
        level: String,
        priority: u32,
        occupancy: Option<f64>,
        measured_age_ms: Option<u64>,
        waited_ms: u64,
        ahead: usize,
        served_per_s: f64,
        window_ms: u64,
        retry_after_ms: u64,
    },
    OverShare {
        request: String,
        service: String,
        workspace: String,
        used_slots: f64,
        share_slots: f64,
        share_age_ms: u64,
        capacity_slots: u32,
        measured_age_ms: u64,
        reachable_share: f64,
    },
    Retry {
        request: String,
        service: String,
        outcome: String,
        priority: u32,
        time_left_ms: u64,
        success_chance: f64,
        worth: f64,
        least_worth: f64,
        spent_part: f64,
        known_hosts: usize,
    },
    PermitDenied {
        request: String,
        instance: String,
        issuer: String,
        cause: String,
        /// Older builds write neither this nor the rate.
        #[serde(default)]
        reason: String,
        rate_per_s: Option<f64>,
        retry_after_ms: u64,
    },
    ResourceRefusal {
        request: String,
        cause: String,
        bytes: usize,
        charged_bytes: usize,
        account_bytes: usize,
        connections: usize,
    },
    Eviction {
        request: String,
        resource: String,
        end: String,
        held_bytes: usize,
        delay_ms: u64,
        charged_bytes: usize,
        account_bytes: usize,
        connections: usize,
    },
    ColdInstance {
        instance: String,
        change: String,
        cause: String,
        rate_per_s: f64,
    },
    Started,
    Stopping,
    Configuration {
        version: u64,
        outcome: String,
    },
    Peers {
        #[serde(rename = "heard")]
        reachable_hosts: usize,
        #[serde(rename = "known")]
        known_hosts: usize,
    },
    Dependency {
        name: String,
        state: String,
        cause: String,
    },
    Instance {
        instance: String,
        change: String,
        /// Older builds write neither this nor the age of the feed.
        #[serde(default)]
        source: String,
        feed_age_ms: Option<u64>,
    },
    RateLimit {
        instance: String,
        rate_per_s: Option<f64>,
    },
    Suppressed {
        beyond_rate: u64,
        ring_full: u64,
    },
    #[serde(other)]
    Other,
}

impl LoggedEvent {
    fn request(&self) -> Option<&str> {
        match self {
            Self::Attempt { request, .. }
            | Self::Unplaced { request, .. }
            | Self::QueueRefusal { request, .. }
            | Self::OverShare { request, .. }
            | Self::Retry { request, .. }
            | Self::PermitDenied { request, .. }
            | Self::Takeover { request, .. }
            | Self::ResourceRefusal { request, .. }
            | Self::Eviction { request, .. }
            | Self::Request { request, .. } => Some(request),
            _ => None,
        }
    }
}

impl fmt::Display for LoggedEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Attempt {
                number,
                instance,
                choice,
                risk,
                load,
                outcome_age_ms,
                attempt_age_ms,
                slowness,
                outcome,
                took_ms,
                ..
            } => {
                write!(
                    f,
                    "attempt {number} at {instance}: {outcome} after {took_ms} ms"
                )?;
                f.write_str(" (")?;
                if let Some(choice) = choice {
                    write!(f, "chosen as {choice}, ")?;
                }
                write!(f, "risk {risk}, {load} requests in flight there, ")?;
                match outcome_age_ms {
                    Some(age_ms) => write!(f, "last outcome {age_ms} ms before")?,
                    None => f.write_str("no outcome yet")?,
                }
                if let Some(age_ms) = attempt_age_ms {
                    write!(f, ", last attempt of any host {age_ms} ms before")?;
                }
                if let Some(slowness) = slowness {
                    write!(f, ", {slowness} times the usual time")?;
                }
                f.write_str(")")
            }
            Self::Unplaced {
                service,
                exclusions,
                ..
            } => {
                write!(f, "no instance of {service}: ")?;
                let Exclusions {
                    attempted,
                    leaving,
                    evacuated,
                    other_region,
                    back_off,
                    rate_limited,
                    cold,
                    paused,
                    suspect,
                    full,
                } = exclusions;
                write!(f, "{attempted} attempted, {leaving} leaving, ")?;
                if *evacuated > 0 {
                    write!(f, "{evacuated} in evacuated failure domains, ")?;
                }
                if *other_region > 0 {
                    write!(f, "{other_region} outside the home regions, ")?;
                }
                if *cold > 0 {
                    write!(f, "{cold} cold without a permit, ")?;
                }
                write!(f, "{back_off} that asked for no requests, ")?;
                write!(f, "{rate_limited} at their rate limits, {paused} paused, ")?;
                write!(f, "{suspect} suspects, {full} full")
            }
            Self::QueueRefusal {
                service,
                level,
                priority,
                occupancy,
                measured_age_ms,
                waited_ms,
                ahead,
                served_per_s,
                window_ms,
                retry_after_ms,
                ..
            } => {
                write!(f, "no slot of {service} in time for priority {priority}: ")?;
                write!(
                    f,
                    "waited {waited_ms} ms, {ahead} ahead, {served_per_s} served a "
                )?;
                write!(f, "second over {window_ms} ms; the service is {level}")?;
                if let (Some(occupancy), Some(age_ms)) = (occupancy, measured_age_ms) {
                    write!(f, ", {occupancy} requests for each slot {age_ms} ms before")?;
                }
                write!(f, "; caller told to return in {retry_after_ms} ms")
            }
            Self::OverShare {
                service,
                workspace,
                used_slots,
                share_slots,
                share_age_ms,
                capacity_slots,
                measured_age_ms,
                reachable_share,
                ..
            } => {
                write!(f, "'{workspace}' is above its share of {service}: ")?;
                write!(f, "it needs {used_slots} slots of {share_slots} ")?;
                write!(
                    f,
                    "({share_age_ms} ms before; {capacity_slots} slots in all "
                )?;
                write!(f, "{measured_age_ms} ms before; admissions of ")?;
                write!(f, "{reachable_share} of the fleet are known)")
            }
            Self::Retry {
                service,
                outcome,
                priority,
                time_left_ms,
                success_chance,
                worth,
                least_worth,
                spent_part,
                known_hosts,
                ..
            } => {
                write!(
                    f,
                    "retry at {service}: {outcome}, worth {worth} of {least_worth} "
                )?;
                write!(f, "(priority {priority}, {time_left_ms} ms to the target, ")?;
                write!(
                    f,
                    "success chance {success_chance}); {spent_part} of this host's "
                )?;
                write!(f, "part for {known_hosts} hosts was spent")
            }
            Self::PermitDenied {
                instance,
                issuer,
                cause,
                reason,
                rate_per_s,
                retry_after_ms,
                ..
            } => {
                if reason == "cold" {
                    write!(f, "skipped {instance} as cold")?;
                    if let Some(rate_per_s) = rate_per_s {
                        write!(f, " ({rate_per_s} requests a second)")?;
                    }
                    f.write_str(": ")?;
                }
                write!(f, "no permit for {instance} from {issuer}: {cause}")?;
                write!(f, ", next request there in {retry_after_ms} ms")
            }
            Self::ResourceRefusal {
                cause,
                bytes,
                charged_bytes,
                account_bytes,
                connections,
                ..
            } => {
                write!(
                    f,
                    "no memory for {bytes} bytes: {cause} ({charged_bytes} of "
                )?;
                write!(
                    f,
                    "{account_bytes} bytes held by {connections} connections)"
                )
            }
            Self::Eviction {
                resource,
                end,
                held_bytes,
                delay_ms,
                charged_bytes,
                account_bytes,
                connections,
                ..
            } => {
                write!(f, "connection {end}, as others need {resource}: it held ")?;
                write!(f, "{held_bytes} bytes and was {delay_ms} ms behind ")?;
                write!(f, "({charged_bytes} of {account_bytes} bytes held by ")?;
                write!(f, "{connections} connections)")
            }
            Self::Takeover {
                peer,
                outcome,
                took_ms,
                ..
            } => write!(f, "passed on to {peer}: {outcome} after {took_ms} ms"),
            Self::Request {
                route,
                workspace,
                version,
                status,
                outcome,
                attempts,
                took_ms,
                left_ms,
                tokens,
                arrival,
                ..
            } => {
                match status {
                    0 => write!(f, "no answer, {outcome}, after {took_ms} ms")?,
                    _ => write!(f, "answer {status}, {outcome}, after {took_ms} ms")?,
                }
                write!(f, " and {attempts} attempts, {left_ms} ms left")?;
                write!(f, " (route '{route}', workspace '{workspace}'")?;
                write!(f, ", configuration {version}")?;
                match tokens {
                    Some(tokens) => write!(f, ", {tokens:.1} tokens)")?,
                    None => f.write_str(")")?,
                }
                write_arrival(f, arrival)?;
                f.write_str(describe_end(outcome, *status, *attempts))
            }
            _ => f.write_str("not a step of a request"),
        }
    }
}

fn write_arrival(f: &mut fmt::Formatter<'_>, arrival: &Arrival) -> fmt::Result {
    if let Some(since_stop_ms) = arrival.since_stop_ms {
        let phase = arrival.phase.as_deref().unwrap_or("stopping");
        write!(
            f,
            "; read {since_stop_ms} ms after the stop began ({phase})"
        )?;
    }
    if let Some(read_ms) = arrival.read_ms {
        write!(f, "; its bytes took {read_ms} ms to arrive")?;
    }
    if let Some(ahead) = arrival.ahead {
        write!(f, "; behind {ahead} unanswered on its connection")?;
    }
    Ok(())
}

/// Describes the end of a request that was refused at a stop, or that got no answer.
fn describe_end(outcome: &str, status: u16, attempts: usize) -> &'static str {
    match (outcome, status) {
        ("stopping", 503) => "; refused as the host was stopping, it has not run and will not",
        ("stopping", _) => "; under way as the last answers of the stop were due, it may have run",
        ("abandoned", _) if attempts == 0 => "; its connection ended first, no instance got it",
        ("abandoned", _) => "; its connection ended first, it may have run",
        ("cut", _) if attempts == 0 => "; the process ended first, no instance got it",
        ("cut", _) => "; the process ended first, it may have run",
        _ => "",
    }
}

/// Part of the state of a host, and when it was logged.
#[derive(Debug)]
struct Fact {
    since_unix_ms: u64,
    text: String,
}

impl Fact {
    fn new(record: &Record, text: String) -> Self {
        Self {
            since_unix_ms: record.unix_ms,
            text,
        }
    }

    fn text_at(&self, unix_ms: u64) -> String {
        let age_ms = unix_ms.saturating_sub(self.since_unix_ms);
        format!("{} {age_ms} ms before", self.text)
    }
}

/// The state of a host, by its records so far.
#[derive(Debug, Default)]
struct HostContext {
    /// The beginning of a planned stop.
    stop: Option<Fact>,
    configuration: Option<Fact>,
    peers: Option<Fact>,
    /// Dependencies that were lost and not regained.
    lost_dependencies: BTreeMap<String, Fact>,
    /// The last change of each instance.
    instances: BTreeMap<String, Fact>,
    /// The limits that instances name.
    rate_limits: BTreeMap<String, Fact>,
    /// The instances that count as cold.
    cold_instances: BTreeMap<String, Fact>,
}

impl HostContext {
    /// Applies a record and returns how many records it reports as suppressed.
    fn apply(&mut self, record: &Record) -> u64 {
        let fact = |text| Fact::new(record, text);
        match &record.event {
            LoggedEvent::Started => self.stop = None,
            LoggedEvent::Stopping => {
                self.stop
                    .get_or_insert_with(|| fact("planned stop: began".to_owned()));
            }
            LoggedEvent::Configuration { version, outcome } if outcome == "in-force" => {
                self.configuration = Some(fact(format!("configuration {version}: in force")));
            }
            LoggedEvent::Peers {
                reachable_hosts,
                known_hosts,
            } => {
                self.peers = Some(fact(format!(
                    "fleet: {reachable_hosts} of {known_hosts} hosts reachable"
                )));
            }
            LoggedEvent::Dependency { name, state, .. } if state == "regained" => {
                self.lost_dependencies.remove(name);
            }
            LoggedEvent::Dependency { name, state, cause } if state == "lost" => {
                let text = format!("{name}: lost ({cause})");
                self.lost_dependencies.insert(name.clone(), fact(text));
            }
            LoggedEvent::Instance {
                instance,
                change,
                source,
                feed_age_ms,
            } => {
                let origin = match (source.as_str(), feed_age_ms) {
                    ("", _) => String::new(),
                    (source, None) => format!(" (by {source})"),
                    (source, Some(age_ms)) => {
                        format!(" (by {source}, the store had answered {age_ms} ms before)")
                    }
                };
                let text = format!("{instance}: {change}{origin}");
                self.instances.insert(instance.clone(), fact(text));
            }
            LoggedEvent::RateLimit {
                instance,
                rate_per_s: Some(rate_per_s),
            } => {
                let text = format!("{instance}: limits itself to {rate_per_s} requests a second");
                self.rate_limits.insert(instance.clone(), fact(text));
            }
            LoggedEvent::RateLimit { instance, .. } => {
                self.rate_limits.remove(instance);
            }
            LoggedEvent::ColdInstance {
                instance,
                change,
                cause,
                rate_per_s,
            } if change == "cold" => {
                let text = format!("{instance}: cold ({cause}), {rate_per_s} requests a second");
                self.cold_instances.insert(instance.clone(), fact(text));
            }
            LoggedEvent::ColdInstance { instance, .. } => {
                self.cold_instances.remove(instance);
            }
            LoggedEvent::Suppressed {
                beyond_rate,
                ring_full,
            } => return beyond_rate + ring_full,
            _ => {}
        }
        0
    }

    /// Returns the facts that are relevant to a record.
    fn facts(&self, record: &Record) -> Vec<String> {
        let facts: Vec<&Fact> = match &record.event {
            LoggedEvent::Attempt { instance, .. } => {
                let change = self.instances.get(instance).into_iter();
                let limit = self.rate_limits.get(instance);
                let cold = self.cold_instances.get(instance);
                change.chain(limit).chain(cold).collect()
            }
            _ => {
                let configuration = self.configuration.iter();
                configuration
                    .chain(&self.peers)
                    .chain(self.lost_dependencies.values())
                    .collect()
            }
        };
        let facts = self
            .stop
            .iter()
            .chain(facts)
            .map(|fact| fact.text_at(record.unix_ms));
        facts.collect()
    }
}
