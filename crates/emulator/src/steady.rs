//! Runs callers that send at a steady rate: reads, submissions with an
//! idempotency key and repeats of them, and submissions without a key.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use waxwingusher_core::CancelToken;

use crate::balancer::Balancer;
use crate::caller::{Caller, CallerAnswer, CallerError, Operation};
use crate::plan::WorkspacePlan;
use crate::promises::Ledger;

/// The maximum number of operations that a caller keeps for repeats.
const MAX_REPEATABLE: usize = 128;
const SIGNIFICANT_DIGITS: u8 = 3;
const MAX_RECORDED_US: u64 = 60_000_000;

/// The load of all callers.
#[derive(Debug, Clone, Copy)]
pub struct SteadyLoad {
    /// The number of callers of each workspace. Each waits for its answer before
    /// it sends the next request.
    pub callers_per_workspace: u32,
    /// The rate of all callers of a workspace, as a fraction of its limit.
    pub rate_fraction: f64,
}

/// Counts and times of sends of one kind.
#[derive(Debug, Clone)]
pub struct SendCounts {
    /// All sends.
    pub sends: u64,
    /// Answers of an upstream, or replays of the first answer.
    pub answered: u64,
    /// Refusals with the outcome `not-run`.
    pub not_run: u64,
    /// Refusals with the outcome `unknown`.
    pub unknown: u64,
    /// Sends without a complete answer.
    pub broken: u64,
    /// Times to an answer or refusal, in microseconds.
    pub times_us: Histogram<u64>,
}

impl SendCounts {
    fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS);
        Self {
            sends: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            broken: 0,
            // The bounds are constants that the library accepts.
            times_us: histogram.unwrap_or_else(|_| unreachable!("bounds are valid")),
        }
    }

    fn record(&mut self, result: &Result<CallerAnswer, CallerError>, time: Duration) {
        self.sends += 1;
        let Ok(answer) = result else {
            self.broken += 1;
            return;
        };
        match answer.outcome.as_deref() {
            None => self.answered += 1,
            Some("not-run") => self.not_run += 1,
            Some(_) => self.unknown += 1,
        }
        let time_us = u64::try_from(time.as_micros()).unwrap_or(MAX_RECORDED_US);
        self.times_us.saturating_record(time_us.max(1));
    }

    /// Returns the share of sends with the outcome `unknown`.
    #[must_use]
    pub fn unknown_share(&self) -> f64 {
        self.unknown as f64 / self.sends.max(1) as f64
    }
}

/// Counts and times of all sends, by kind.
#[derive(Debug, Clone)]
pub struct SteadyCounts {
    /// Reads.
    pub reads: SendCounts,
    /// First sends of submissions with a key.
    pub keyed: SendCounts,
    /// Repeats of submissions with a key.
    pub repeats: SendCounts,
    /// Submissions without a key.
    pub unkeyed: SendCounts,
}

/// The kinds of sends, in the order in which callers take turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    Keyed,
    Repeat,
    Unkeyed,
}

const TURNS: [Kind; 4] = [Kind::Read, Kind::Keyed, Kind::Repeat, Kind::Unkeyed];

struct Shared {
    ledger: Ledger,
    counts: Mutex<SteadyCounts>,
    balancer: Arc<Balancer>,
    sequence: AtomicU64,
    stop: CancelToken,
}

/// Running callers.
pub struct SteadyCallers {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl SteadyCallers {
    /// Starts the callers of all workspaces.
    #[must_use]
    pub fn start(
        load: SteadyLoad,
        workspaces: &[WorkspacePlan],
        balancer: Arc<Balancer>,
        seed: u64,
    ) -> Self {
        let shared = Arc::new(Shared {
            ledger: Ledger::default(),
            counts: Mutex::new(SteadyCounts {
                reads: SendCounts::new(),
                keyed: SendCounts::new(),
                repeats: SendCounts::new(),
                unkeyed: SendCounts::new(),
            }),
            balancer,
            sequence: AtomicU64::new(0),
            stop: CancelToken::new(),
        });
        let mut threads = Vec::new();
        for (number, workspace) in workspaces.iter().enumerate() {
            let rate_per_s = workspace.rate_per_s * load.rate_fraction;
            let interval = Duration::from_secs_f64(1.0 / rate_per_s) * load.callers_per_workspace;
            for index in 0..load.callers_per_workspace {
                let caller = SteadyCaller {
                    shared: shared.clone(),
                    workspace: workspace.clone(),
                    interval,
                    rng: fastrand::Rng::with_seed(seed ^ (number as u64) << 32 ^ u64::from(index)),
                    caller: Caller::new(),
                    repeatable: VecDeque::new(),
                };
                let offset = interval * index / load.callers_per_workspace;
                threads.push(std::thread::spawn(move || caller.run(offset)));
            }
        }
        Self { shared, threads }
    }

    /// Returns the counts and times of all sends so far.
    #[must_use]
    pub fn counts(&self) -> SteadyCounts {
        self.shared.lock_counts().clone()
    }

    /// Returns the ledger of the answers so far.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.shared.ledger
    }

    /// Stops the callers after each has its last answer.
    pub fn stop(&mut self) {
        self.shared.stop.cancel();
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                log::error!("callers: A caller thread panicked.");
            }
        }
    }
}

impl Shared {
    fn lock_counts(&self) -> MutexGuard<'_, SteadyCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct SteadyCaller {
    shared: Arc<Shared>,
    workspace: WorkspacePlan,
    interval: Duration,
    rng: fastrand::Rng,
    caller: Caller,
    repeatable: VecDeque<Operation>,
}

impl SteadyCaller {
    fn run(mut self, offset: Duration) {
        let mut next = Instant::now() + offset;
        let mut turn = self.rng.usize(..TURNS.len());
        while !self
            .shared
            .stop
            .wait(next.saturating_duration_since(Instant::now()))
        {
            // A late caller does not catch up, so the rate is never exceeded.
            next = next.max(Instant::now()) + self.interval;
            self.take_turn(TURNS[turn % TURNS.len()]);
            turn += 1;
        }
    }

    fn take_turn(&mut self, kind: Kind) {
        let sequence = self.shared.sequence.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{sequence}", self.workspace.name);
        let target = format!("/desk/echo?op={sequence}");
        let key = &self.workspace.key;
        let operation = match kind {
            Kind::Read => Operation::read(&target, key, &id),
            Kind::Keyed => Operation::submission(&target, key, &id),
            Kind::Unkeyed => Operation {
                idempotency_key: None,
                ..Operation::submission(&target, key, &id)
            },
            Kind::Repeat => {
                let index = self.rng.usize(..self.repeatable.len().max(1));
                match self.repeatable.get(index) {
                    Some(operation) => operation.clone(),
                    None => return,
                }
            }
        };
        if kind == Kind::Keyed {
            self.repeatable.push_back(operation.clone());
            if self.repeatable.len() > MAX_REPEATABLE {
                self.repeatable.pop_front();
            }
        }
        self.send(kind, &operation);
    }

    fn send(&mut self, kind: Kind, operation: &Operation) {
        let addrs = self.shared.balancer.callers();
        let Some(addr) = self.rng.choice(addrs) else {
            return;
        };
        let started = Instant::now();
        let result = self.caller.send(addr, operation);
        let time = started.elapsed();
        if !result.as_ref().is_ok_and(CallerAnswer::is_from_upstream) {
            log::info!(
                "callers: {kind:?} {} at {addr} got no answer of the upstream: {result:?}",
                operation.operation_id
            );
        }
        let name = &self.workspace.name;
        self.shared.ledger.record(name, operation, &result);
        let mut counts = self.shared.lock_counts();
        let count = match kind {
            Kind::Read => &mut counts.reads,
            Kind::Keyed => &mut counts.keyed,
            Kind::Repeat => &mut counts.repeats,
            Kind::Unkeyed => &mut counts.unkeyed,
        };
        count.record(&result, time);
    }
}
