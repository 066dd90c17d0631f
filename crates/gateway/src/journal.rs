//! Structured logs: one JSON line for each decision, on standard output.
//!
//! Lines go through a bounded ring to a writer thread, so that a reader of standard
//! output that stalls does not block requests. Each kind of line has a rate limit;
//! lines over the limit, and lines that do not fit into the ring, are counted and
//! reported.

use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use waxwingusher_core::Clock;
use waxwingusher_upstreams::placement::Exclusions;

/// The number of lines that may wait for the writer.
const RING_CAPACITY: usize = 2_048;
/// The rate limit for lines of one kind; failures and refusals have a limit apart
/// from successes, so up to this rate all of them are logged.
const MAX_LINES_PER_S: u32 = 200;
/// The window in which lines of a kind are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// How a request arrived, as far as it is out of the ordinary.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Arrival {
    /// The phase of the host when the last byte was read, if it was stopping.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub phase: Option<Cow<'static, str>>,
    /// The time from the beginning of the stop to the last byte in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub since_stop_ms: Option<u64>,
    /// The time from the first byte to the last in milliseconds, if it is long.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub read_ms: Option<u64>,
    /// Unanswered requests that were read before it on its connection, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ahead: Option<usize>,
}

/// A line of the log.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event<'a> {
    /// The process serves callers.
    Started {
        /// The address for callers.
        callers: &'a str,
        /// The failure domain.
        failure_domain: &'a str,
        /// Drawn at random for this process.
        incarnation: u64,
    },
    /// The process is stopping or has stopped.
    Stopping {
        /// `draining`, `closing` or `stopped`.
        phase: &'a str,
        /// Requests that were read and not answered; those that are cut once it has stopped.
        in_flight: usize,
        /// Open connections of callers and peers.
        connections: usize,
    },
    /// The settings were reloaded.
    Reloaded,
    /// A dependency was lost or regained.
    Dependency {
        /// The name of the dependency.
        name: &'a str,
        /// `lost`, `regained`, `history-gone` or `too-large`.
        state: &'a str,
        /// The error or reason.
        cause: &'a str,
    },
    /// A task of the process ended unexpectedly and starts again.
    TaskFailed {
        /// The task.
        task: &'a str,
        /// The error.
        cause: &'a str,
    },
    /// The number of known or reachable hosts changed.
    Peers {
        /// Reachable hosts, this one included.
        #[serde(rename = "heard")]
        reachable_hosts: usize,
        /// Known hosts, this one included.
        #[serde(rename = "known")]
        known_hosts: usize,
    },
    /// A configuration was put in force, found outdated, or refused.
    Configuration {
        /// The version.
        version: u64,
        /// Routes in it.
        routes: usize,
        /// `in-force`, `outdated` or `refused`.
        outcome: &'a str,
        /// Why it was refused.
        cause: &'a str,
    },
    /// An entry of a configuration cannot be used as it was published.
    Finding {
        /// The version.
        version: u64,
        /// `route`, `service`, `workspace` or `limits`.
        entry: &'a str,
        /// The name of the entry, or its position.
        name: &'a str,
        /// `left-out` or `restricted`.
        effect: &'a str,
        /// What is wrong with it.
        cause: &'a str,
    },
    /// The evacuation of a failure domain was ordered or taken back.
    Evacuation {
        /// The failure domain.
        failure_domain: &'a str,
        /// `ordered` or `taken-back`.
        change: &'a str,
        /// The instances that are listed there.
        instances: usize,
    },
    /// The roster entry of an instance changed.
    Instance {
        /// The instance's id.
        instance: &'a str,
        /// `joined`, `draining`, `leaving`, `left`, `held` or `disowned`.
        change: &'a str,
        /// How this host learned of it: `listing`, `store`, `peer`, `notice` (of a peer), `answer`
        /// (of the instance) or `expiry` (of the time for which a removed entry is held).
        source: &'a str,
        /// The revision of the feed up to which this host has applied changes.
        revision: u64,
        /// The age of the entry in milliseconds.
        entry_age_ms: u64,
        /// The time since the feed last answered this host, or a reader from which it has
        /// received an update, in milliseconds.
        feed_age_ms: Option<u64>,
    },
    /// An instance wants no requests from this host for some time.
    BackOff {
        /// The instance's id.
        instance: &'a str,
        /// The time in milliseconds.
        time_ms: u64,
    },
    /// An instance named, changed or lifted the rate that it takes from all hosts.
    RateLimit {
        /// The instance's id.
        instance: &'a str,
        /// Requests a second; none if the instance takes any number again.
        rate_per_s: Option<f64>,
        /// `answer` or `peer`.
        source: &'a str,
    },
    /// An instance that counts as cold limits a request for the first time, or does not
    /// count as cold any more.
    ColdInstance {
        /// The instance's id.
        instance: &'a str,
        /// `cold` or `warm`.
        change: &'a str,
        /// `entry`, `joined`, `evacuation-ended` or `path-reopened`.
        cause: &'a str,
        /// Requests a second that it takes from all hosts while it is cold.
        rate_per_s: f64,
        /// When it counts as warm, in milliseconds.
        warm_in_ms: u64,
    },
    /// An instance limits its rate or counts as cold, and a request got no permit for it.
    PermitDenied {
        /// The request's id.
        request: &'a str,
        /// The instance.
        instance: &'a str,
        /// The host that issues the permits.
        issuer: &'a str,
        /// `no-permit-left`, `no-answer` or `not-issuer`.
        cause: &'a str,
        /// Why the request needed a permit: `rate-limit` or `cold`.
        reason: &'a str,
        /// The rate for which this host asked, in requests a second.
        rate_per_s: f64,
        /// When this host asks again, in milliseconds.
        retry_after_ms: u64,
    },
    /// How short of capacity a service is has changed.
    Scarcity {
        /// The service.
        service: &'a str,
        /// The level so far: `ample`, `tight` or `short`.
        former: &'a str,
        /// The level from now on.
        level: &'a str,
        /// The least urgent priority that may queue at instances and use all slots.
        least_priority: u32,
        /// The healthy instances.
        instances: usize,
        /// Their slots.
        slots: u32,
        /// The requests of all hosts there.
        in_flight: u32,
        /// Requests for each slot, extrapolated to hosts that are unreachable.
        occupancy: f64,
        /// The time since any host last started an attempt there in milliseconds.
        load_age_ms: Option<u64>,
        /// Requests of the most urgent kind that wait at this host.
        waiting: usize,
        /// Rejections by instances within the last second.
        rejections: usize,
        /// The age of the newest rejection in milliseconds.
        rejection_age_ms: Option<u64>,
        /// The fraction of the fleet whose reports arrive.
        reachable_share: f64,
        /// The share of the most urgent kind that was refused or late.
        misses: f64,
    },
    /// A request was refused as it would get no slot in time.
    QueueRefusal {
        /// The request's id.
        request: &'a str,
        /// The service.
        service: &'a str,
        /// The level of the service: `ample`, `tight` or `short`.
        level: &'a str,
        /// The priority of the request.
        priority: u32,
        /// Requests for each slot of the service.
        occupancy: Option<f64>,
        /// The age of the level and the occupancy in milliseconds.
        measured_age_ms: Option<u64>,
        /// How long the request has waited in milliseconds.
        waited_ms: u64,
        /// Requests of the same class ahead of it at this host.
        ahead: usize,
        /// Requests of the class that this host lately served each second.
        served_per_s: f64,
        /// The time over which that was measured in milliseconds.
        window_ms: u64,
        /// The `Retry-After` in milliseconds.
        retry_after_ms: u64,
    },
    /// A request is above its workspace's share of a service that is short of capacity,
    /// so it goes after the others.
    OverShare {
        /// The request's id.
        request: &'a str,
        /// The service.
        service: &'a str,
        /// The workspace.
        workspace: &'a str,
        /// The slots that the workspace's requests need over the fleet.
        used_slots: f64,
        /// The slots that each workspace may use.
        share_slots: f64,
        /// The age of the share in milliseconds.
        share_age_ms: u64,
        /// The slots of the service's healthy instances.
        capacity_slots: u32,
        /// The age of that number in milliseconds.
        measured_age_ms: u64,
        /// The fraction of the fleet whose admissions are known.
        reachable_share: f64,
    },
    /// Much of the retry budget is spent, and a retry was granted or not.
    Retry {
        /// The request's id.
        request: &'a str,
        /// The service.
        service: &'a str,
        /// `retry-granted`, `retry-worth-less` or `retry-budget-spent`.
        outcome: &'a str,
        /// The priority of the request.
        priority: u32,
        /// The time left to its latency target in milliseconds.
        time_left_ms: u64,
        /// The probability that the chosen instance serves it.
        success_chance: f64,
        /// What the retry is worth.
        worth: f64,
        /// What it had to be worth, by the other retries of the budget's window.
        least_worth: f64,
        /// The part of this host's budget that was spent before.
        spent_part: f64,
        /// The hosts over which the budget is divided.
        known_hosts: usize,
    },
    /// No instance was chosen for a request.
    Unplaced {
        /// The request's id.
        request: &'a str,
        /// The service.
        service: &'a str,
        /// The instances that were excluded, by reason.
        #[serde(flatten)]
        exclusions: Exclusions,
    },
    /// An attempt to run a request at an instance ended.
    Attempt {
        /// The request's id.
        request: &'a str,
        /// The number of the attempt, from 1.
        number: usize,
        /// The instance.
        instance: &'a str,
        /// Why it was chosen.
        choice: &'a str,
        /// The failure probability that placement estimated.
        risk: f64,
        /// The estimated number of requests of all hosts in flight at the instance.
        load: u32,
        /// The age of the last known outcome at the instance in milliseconds.
        #[serde(rename = "word_age_ms")]
        outcome_age_ms: Option<u64>,
        /// The time since any host last started an attempt there in milliseconds.
        attempt_age_ms: Option<u64>,
        /// The moving average of the ratio of its times to the usual times.
        slowness: f64,
        /// How the attempt ended.
        outcome: &'a str,
        /// How long the attempt took in milliseconds.
        took_ms: u64,
        /// The age of the instance's entry at the choice in milliseconds.
        entry_age_ms: u64,
        /// The time since the feed answered at the choice in milliseconds, as for changes of
        /// instances.
        feed_age_ms: Option<u64>,
    },
    /// This host has no path to instances, and asked a peer to take over a request.
    Takeover {
        /// The request's id.
        request: &'a str,
        /// The peer.
        peer: &'a str,
        /// How it ended: `taken-over`, `declined`, `unreachable`, or as an attempt.
        outcome: &'a str,
        /// How long it took in milliseconds.
        took_ms: u64,
    },
    /// A request or a connection was refused for lack of memory or sockets.
    ResourceRefusal {
        /// The request's id; empty for a connection.
        request: &'a str,
        /// `account-spent`, `exceeds-account` or `no-connection-free`.
        cause: &'a str,
        /// The bytes that it asked for.
        bytes: usize,
        /// The bytes that all connections held.
        charged_bytes: usize,
        /// The bytes that they may hold.
        account_bytes: usize,
        /// The open connections of callers and peers.
        connections: usize,
    },
    /// A connection ends for the sake of others that need memory or a socket.
    Eviction {
        /// The id of the request that was being read, if any.
        request: &'a str,
        /// What others need: `memory` or `sockets`.
        resource: &'a str,
        /// `refused` if the request that is being read is answered, else `closed`.
        end: &'a str,
        /// What the connection held.
        held_bytes: usize,
        /// By how much its client was late, or how long it was idle or waited, in milliseconds.
        delay_ms: u64,
        /// The bytes that all connections held.
        charged_bytes: usize,
        /// The bytes that they may hold.
        account_bytes: usize,
        /// The open connections of callers and peers.
        connections: usize,
    },
    /// A request got its final answer, or was given up without one.
    Request {
        /// The request's id.
        request: &'a str,
        /// The route, or empty.
        route: &'a str,
        /// The workspace, or empty.
        workspace: &'a str,
        /// The version of the configuration that was applied.
        version: u64,
        /// The HTTP status of the answer; 0 if there is none.
        status: u16,
        /// Why the request got this answer.
        outcome: &'a str,
        /// The number of attempts.
        #[serde(rename = "tries")]
        attempts: usize,
        /// The time from the receipt of the request to its answer in milliseconds.
        took_ms: u64,
        /// The rest of the caller's time in milliseconds.
        left_ms: u64,
        /// The tokens in this host's copy of the workspace's bucket, if the
        /// request was refused for its rate.
        tokens: Option<f64>,
        /// How it arrived.
        #[serde(flatten)]
        arrival: Arrival,
    },
    /// Lines were suppressed.
    Suppressed {
        /// Lines over the rate limit of their kind.
        beyond_rate: u64,
        /// Lines that did not fit into the ring.
        ring_full: u64,
    },
}

impl Event<'_> {
    fn rate_class(&self) -> &'static str {
        match self {
            Self::Started { .. } => "started",
            Self::Stopping { .. } => "stopping",
            Self::Reloaded => "reloaded",
            Self::Dependency { .. } => "dependency",
            Self::TaskFailed { .. } => "task-failed",
            Self::Peers { .. } => "peers",
            Self::Configuration { .. } => "configuration",
            Self::Finding { .. } => "finding",
            Self::Evacuation { .. } => "evacuation",
            Self::Instance { .. } => "instance",
            Self::BackOff { .. } => "back-off",
            Self::RateLimit { .. } => "rate-limit",
            Self::ColdInstance { .. } => "cold-instance",
            Self::PermitDenied { .. } => "permit-denied",
            Self::Scarcity { .. } => "scarcity",
            Self::QueueRefusal { .. } => "queue-refusal",
            Self::OverShare { .. } => "over-share",
            Self::Retry { .. } => "retry",
            Self::Unplaced { .. } => "unplaced",
            Self::Attempt { .. } => "attempt",
            Self::Takeover { .. } => "takeover",
            Self::ResourceRefusal { .. } => "resource-refusal",
            Self::Eviction { .. } => "eviction",
            Self::Request { status, .. } if (1..400).contains(status) => "served",
            Self::Request { .. } => "failed",
            Self::Suppressed { .. } => "suppressed",
        }
    }
}

#[derive(Serialize)]
struct Line<'a> {
    unix_ms: u128,
    host: &'a str,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

/// Writes the log of one process.
pub struct Journal {
    host: String,
    clock: Arc<dyn Clock>,
    ring: SyncSender<String>,
    line_counters: RefCell<HashMap<&'static str, LineCounter>>,
    beyond_rate: AtomicU64,
    ring_full: AtomicU64,
}

#[derive(Debug, Clone, Copy)]
struct LineCounter {
    since: Instant,
    lines: u32,
}

impl Journal {
    /// Creates a journal and the receiver of its lines, for [`write_lines`].
    #[must_use]
    pub fn new(host: &str, clock: Arc<dyn Clock>) -> (Self, Receiver<String>) {
        let (ring, lines) = sync_channel(RING_CAPACITY);
        let journal = Self {
            host: host.to_owned(),
            clock,
            ring,
            line_counters: RefCell::default(),
            beyond_rate: AtomicU64::new(0),
            ring_full: AtomicU64::new(0),
        };
        (journal, lines)
    }

    /// Writes a line, unless its kind is over the rate limit.
    pub fn write(&self, event: &Event<'_>) {
        if !self.is_within_rate(event) {
            self.beyond_rate.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.push(event);
    }

    /// Reports how many lines were suppressed since the last call, if any.
    pub fn report_suppressed(&self) {
        let beyond_rate = self.beyond_rate.swap(0, Ordering::Relaxed);
        let ring_full = self.ring_full.swap(0, Ordering::Relaxed);
        if beyond_rate + ring_full > 0 {
            self.push(&Event::Suppressed {
                beyond_rate,
                ring_full,
            });
        }
    }

    fn push(&self, event: &Event<'_>) {
        let unix = self.clock.wall().duration_since(UNIX_EPOCH);
        let line = Line {
            unix_ms: unix.map_or(0, |since| since.as_millis()),
            host: &self.host,
            event,
        };
        let Ok(text) = serde_json::to_string(&line) else {
            self.ring_full.fetch_add(1, Ordering::Relaxed);
            return;
        };
        if self.ring.try_send(text).is_err() {
            self.ring_full.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn is_within_rate(&self, event: &Event<'_>) -> bool {
        let now = self.clock.now();
        let mut line_counters = self.line_counters.borrow_mut();
        let counter = line_counters
            .entry(event.rate_class())
            .or_insert(LineCounter {
                since: now,
                lines: 0,
            });
        if now.saturating_duration_since(counter.since) >= RATE_WINDOW {
            *counter = LineCounter {
                since: now,
                lines: 0,
            };
        }
        counter.lines += 1;
        counter.lines <= MAX_LINES_PER_S
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        self.report_suppressed();
    }
}

/// Writes lines until the journal is dropped.
pub fn write_lines(lines: &Receiver<String>, mut out: impl Write) {
    while let Ok(line) = lines.recv() {
        if writeln!(out, "{line}").and_then(|()| out.flush()).is_err() {
            // Standard output is closed. Requests are served without a log.
            return;
        }
    }
}
