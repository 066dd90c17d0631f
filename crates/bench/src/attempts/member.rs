//! One host of a simulated fleet with its clock and its process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use std::collections::BTreeMap;

use waxwingusher_attempts::{AttemptRegistry, AttemptSettings, AttemptTicket};
use waxwingusher_core::{Clock, FailureDomain, HostId, ManualClock};

const PARTS_PER_MILLION: f64 = 1e6;

const SHARED_SEED: u64 = 7;

/// A clock that drifts from the true time, and whose monotonic time does not
/// advance while the machine is suspended.
#[derive(Debug)]
pub struct DriftingClock {
    reference: ManualClock,
    drift_ppm: i32,
    suspended_us: AtomicU64,
}

impl DriftingClock {
    /// Creates a clock that runs fast by `drift_ppm` parts per million.
    #[must_use]
    pub const fn new(reference: ManualClock, drift_ppm: i32) -> Self {
        Self {
            reference,
            drift_ppm,
            suspended_us: AtomicU64::new(0),
        }
    }

    /// Subtracts the duration of a suspension from the monotonic time.
    pub fn suspend(&self, time: Duration) {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.suspended_us.fetch_add(time_us, Ordering::Relaxed);
    }

    fn elapsed(&self) -> Duration {
        let rate = 1.0 + f64::from(self.drift_ppm) / PARTS_PER_MILLION;
        self.reference.elapsed().mul_f64(rate)
    }
}

impl Clock for DriftingClock {
    fn now(&self) -> Instant {
        let base = self.reference.now() - self.reference.elapsed();
        let suspended = Duration::from_micros(self.suspended_us.load(Ordering::Relaxed));
        base + self.elapsed().saturating_sub(suspended)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}

/// A send of an operation that a process handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OperationSend {
    /// The operation.
    pub operation: usize,
    /// Whether it is the operation's first send.
    pub is_first: bool,
}

/// A running process of a host.
pub struct Process {
    /// The random number that identifies the process.
    pub incarnation: u64,
    /// The decision logic.
    pub registry: AttemptRegistry,
    /// The sends in progress.
    pub sends: BTreeMap<AttemptTicket, OperationSend>,
    /// The latest version of the host list that it has seen.
    pub seen_version: u64,
    /// Whether it is stopping and accepts no new sends.
    pub is_draining: bool,
    /// Whether it has trusted a host list since its start, and accepts sends.
    pub is_ready: bool,
    /// When the next tick for an open attempt is scheduled.
    pub next_tick: Option<Instant>,
}

/// One host.
pub struct Member {
    /// The host's name.
    pub id: HostId,
    /// The host's failure domain.
    pub domain: FailureDomain,
    /// The host's clock.
    pub clock: Arc<DriftingClock>,
    /// The process, if one runs.
    pub process: Option<Process>,
    /// Until when the process is paused.
    pub paused_until: Option<Instant>,
    /// Until when reads of the list fail.
    pub reads_fail_until: Option<Instant>,
}

impl Member {
    /// Creates a host without a process.
    #[must_use]
    pub fn new(id: HostId, domain: FailureDomain, clock: DriftingClock) -> Self {
        Self {
            id,
            domain,
            clock: Arc::new(clock),
            process: None,
            paused_until: None,
            reads_fail_until: None,
        }
    }

    /// Starts a process without state. All processes share one seed, as may happen
    /// on machines that start in the same way.
    pub fn start(&mut self, incarnation: u64, settings: AttemptSettings) {
        let clock: Arc<dyn Clock> = Arc::<DriftingClock>::clone(&self.clock);
        let registry =
            AttemptRegistry::new(self.id.clone(), incarnation, clock, SHARED_SEED, settings);
        self.process = Some(Process {
            incarnation,
            registry,
            sends: BTreeMap::new(),
            seen_version: 0,
            is_draining: false,
            is_ready: false,
            next_tick: None,
        });
    }

    /// Returns the running process if it has this incarnation.
    pub fn process(&mut self, incarnation: u64) -> Option<&mut Process> {
        let process = self.process.as_mut()?;
        (process.incarnation == incarnation).then_some(process)
    }

    /// Returns until when the process is paused, if it is.
    #[must_use]
    pub fn paused_at(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| *until > now)
    }
}
