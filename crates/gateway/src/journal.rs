//! Structured logs: one JSON line for each decision, on standard output.
//!
//! Lines go through a bounded ring to a thread of their own, so that a reader
//! that stops reading blocks nothing. Each kind of line has a rate; lines beyond
//! it, and lines that found the ring full, are counted and reported.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant, UNIX_EPOCH};

use serde::Serialize;
use waxwingusher_core::Clock;

/// Lines that may wait for the writer.
const RING_CAPACITY: usize = 2_048;
/// Lines of one kind a second; failures and refusals are told in full up to
/// this rate.
const MAX_LINES_PER_S: u32 = 200;
/// The window in which lines of a kind are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

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
    /// The process was asked to stop, or has stopped.
    Stopping {
        /// `draining`, `closing` or `stopped`.
        phase: &'a str,
        /// Requests that are still under way.
        in_flight: usize,
    },
    /// The settings were read anew.
    Reloaded,
    /// A dependency was lost or is back.
    Dependency {
        /// Which one.
        name: &'a str,
        /// `lost` or `regained`.
        state: &'a str,
        /// What was seen.
        cause: &'a str,
    },
    /// Another part of the fleet is heard than before.
    Peers {
        /// Hosts heard lately, this one included.
        heard: usize,
        /// Hosts that are thought to be there, this one included.
        known: usize,
    },
    /// A configuration is in force, or was refused.
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
    /// An instance joined, drained or left.
    Instance {
        /// Its identity.
        instance: &'a str,
        /// What happened.
        change: &'a str,
        /// The age of the entry in milliseconds.
        entry_age_ms: u64,
    },
    /// A request was sent to an instance and that try ended.
    Attempt {
        /// The request's identity.
        request: &'a str,
        /// The number of the try.
        number: usize,
        /// The instance.
        instance: &'a str,
        /// The probability of failure that was expected.
        risk: f64,
        /// Requests of all hosts that were thought to be under way there.
        load: u32,
        /// The age of the last word on the instance in milliseconds.
        word_age_ms: Option<u64>,
        /// How it ended.
        outcome: &'a str,
        /// How long it took.
        took_ms: u64,
    },
    /// A request got its final answer.
    Request {
        /// The request's identity.
        request: &'a str,
        /// The route, or empty.
        route: &'a str,
        /// The workspace, or empty.
        workspace: &'a str,
        /// The version of the configuration that decided.
        version: u64,
        /// The status.
        status: u16,
        /// What decided.
        outcome: &'a str,
        /// Instances tried.
        tries: usize,
        /// How long it was here.
        took_ms: u64,
        /// What was left of the caller's time.
        left_ms: u64,
        /// The tokens in this host's copy of the workspace's bucket.
        tokens: Option<f64>,
    },
    /// Lines were left out.
    Suppressed {
        /// Lines beyond the rate of their kind.
        beyond_rate: u64,
        /// Lines that found the ring full.
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
            Self::Peers { .. } => "peers",
            Self::Configuration { .. } => "configuration",
            Self::Instance { .. } => "instance",
            Self::Attempt { .. } => "attempt",
            Self::Request { status, .. } if *status < 400 => "served",
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
    /// Creates a journal and the end of the ring that its writer takes.
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

    /// Writes a line, unless there are too many of its kind.
    pub fn write(&self, event: &Event<'_>) {
        if !self.is_within_rate(event) {
            self.beyond_rate.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.push(event);
    }

    /// Reports lines that were left out since the last call.
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

/// Writes lines until the journal is dropped.
pub fn write_lines(lines: &Receiver<String>, mut out: impl Write) {
    while let Ok(line) = lines.recv() {
        if writeln!(out, "{line}").and_then(|()| out.flush()).is_err() {
            // Nobody reads any more; requests go on.
            return;
        }
    }
}
