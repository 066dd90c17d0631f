//! The state that the threads of a host share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::{Duration, Instant};

use waxwingusher_attempts::RetryBudget;
use waxwingusher_config::Snapshot;
use waxwingusher_core::{CancelToken, Clock, HostList, HostState as ListedState, ServiceName};
use waxwingusher_edge::DrainPlan;
use waxwingusher_membership::liveness::Liveness;
use waxwingusher_upstreams::UpstreamSet;

use crate::active_config::ActiveConfig;
use crate::crash_quarantine::CrashQuarantine;
use crate::decisions::DecisionLog;
use crate::metrics::Metrics;
use crate::peer_sender::PeerSender;
use crate::settings::HostSettings;
use crate::shared_attempts::SharedAttempts;
use crate::shared_config_agent::SharedConfigAgent;
use crate::shared_limiter::SharedLimiter;

/// How long a host that has a configuration waits for a trusted host list before
/// it accepts callers without one.
const MAX_WARM_UP: Duration = Duration::from_secs(30);

/// The shared state of one host.
pub(crate) struct HostState {
    pub(crate) settings: HostSettings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: Metrics,
    pub(crate) decisions: DecisionLog,
    pub(crate) limits: SharedLimiter,
    pub(crate) attempts: SharedAttempts,
    pub(crate) upstreams: Mutex<UpstreamSet>,
    pub(crate) slot_freed: Condvar,
    pub(crate) quarantine: CrashQuarantine,
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) config: SharedConfigAgent,
    pub(crate) liveness: Mutex<Liveness>,
    pub(crate) peers: PeerSender,
    pub(crate) stop: CancelToken,
    pub(crate) draining: AtomicBool,
    /// Set when a graceful shutdown begins.
    pub(crate) drain: OnceLock<DrainPlan>,
    /// Whether an operator or the host list has asked for a graceful shutdown.
    pub(crate) drain_requested: AtomicBool,
    has_warmed_up: AtomicBool,
    started_at: Instant,
    active: RwLock<Option<Arc<ActiveConfig>>>,
    host_list: RwLock<Arc<HostList>>,
}

/// The parts that are built before the state.
pub(crate) struct HostParts {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: Metrics,
    pub(crate) limits: SharedLimiter,
    pub(crate) attempts: SharedAttempts,
    pub(crate) upstreams: UpstreamSet,
    pub(crate) quarantine: CrashQuarantine,
    pub(crate) retries: RetryBudget,
    pub(crate) config: SharedConfigAgent,
    pub(crate) liveness: Liveness,
    pub(crate) peers: PeerSender,
    pub(crate) stop: CancelToken,
}

impl HostState {
    pub(crate) fn new(settings: HostSettings, parts: HostParts) -> Self {
        let started_at = parts.clock.now();
        Self {
            settings,
            clock: parts.clock,
            metrics: parts.metrics,
            decisions: DecisionLog::default(),
            limits: parts.limits,
            attempts: parts.attempts,
            upstreams: Mutex::new(parts.upstreams),
            slot_freed: Condvar::new(),
            quarantine: parts.quarantine,
            retries: Mutex::new(parts.retries),
            config: parts.config,
            liveness: Mutex::new(parts.liveness),
            peers: parts.peers,
            stop: parts.stop,
            draining: AtomicBool::new(false),
            drain: OnceLock::new(),
            drain_requested: AtomicBool::new(false),
            has_warmed_up: AtomicBool::new(false),
            started_at,
            active: RwLock::new(None),
            host_list: RwLock::new(Arc::new(HostList::default())),
        }
    }

    /// Returns the configuration in force, if there is one.
    pub(crate) fn active(&self) -> Option<Arc<ActiveConfig>> {
        let active = self.active.read().unwrap_or_else(PoisonError::into_inner);
        active.clone()
    }

    /// Returns the host list in force.
    pub(crate) fn host_list(&self) -> Arc<HostList> {
        let list = self.host_list.read();
        list.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Locks the upstream instances.
    pub(crate) fn lock_upstreams(&self) -> MutexGuard<'_, UpstreamSet> {
        self.upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the retry budgets.
    pub(crate) fn lock_retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the liveness of peers.
    pub(crate) fn lock_liveness(&self) -> MutexGuard<'_, Liveness> {
        self.liveness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_warmed_up() && !self.is_draining()
    }

    /// Reports whether the host is stopping or was asked to stop.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst) || self.drain_requested.load(Ordering::SeqCst)
    }

    /// Reports whether a request may be sent to a service: during a graceful
    /// shutdown only if it is answered before the end.
    pub(crate) fn may_start(&self, service: &ServiceName, deadline: Instant) -> bool {
        let Some(plan) = self.drain.get() else {
            return true;
        };
        let usual_duration = self.lock_upstreams().median_latency(service);
        plan.may_start(self.clock.now(), deadline, usual_duration)
    }

    /// Returns until when a request may take: its deadline, or the last answers
    /// of a graceful shutdown if they are due before.
    pub(crate) fn work_ends_at(&self, deadline: Instant) -> Instant {
        let plan = self.drain.get();
        plan.map_or(deadline, |plan| deadline.min(plan.last_answers_at()))
    }

    /// Reports whether a graceful shutdown ends what is under way.
    pub(crate) fn are_last_answers_due(&self) -> bool {
        let plan = self.drain.get();
        plan.is_some_and(|plan| self.clock.now() >= plan.last_answers_at())
    }

    /// Reports whether the host has had a configuration and a trusted host list,
    /// or has waited [`MAX_WARM_UP`] for the list. Once true, it stays true when
    /// the configuration service becomes unavailable.
    fn is_warmed_up(&self) -> bool {
        if self.has_warmed_up.load(Ordering::SeqCst) {
            return true;
        }
        let trusts_list = self.attempts.lock().registry.report().is_list_trusted;
        let waited = self.clock.now().saturating_duration_since(self.started_at);
        let is_warmed_up = self.active().is_some() && (trusts_list || waited > MAX_WARM_UP);
        self.has_warmed_up.fetch_or(is_warmed_up, Ordering::SeqCst);
        is_warmed_up
    }

    /// Puts a configuration in force, unless the one in force is as new or newer.
    pub(crate) fn apply_snapshot(&self, snapshot: &Arc<Snapshot>) {
        let version = snapshot.version;
        let active = Arc::new(ActiveConfig::new(snapshot.clone()));
        let mut current = self.active.write().unwrap_or_else(PoisonError::into_inner);
        let known = current.as_ref().map(|active| active.snapshot.version);
        if known.is_some_and(|known| known >= version) {
            return;
        }
        *current = Some(active);
        drop(current);
        self.limits.lock().apply_snapshot(snapshot);
        self.lock_upstreams().apply_snapshot(snapshot);
        self.metrics.gauge("config.version", version);
        log::info!("config: Version {version} is in force.");
    }

    /// Starts to drain when this host changes from live to leaving in the host
    /// list. A list in which it was never live may be older than this process.
    fn drain_if_leaving(&self, previous: &HostList, list: &HostList) {
        let state_in = |list: &HostList| list.get(&self.settings.host_id).map(|own| own.state);
        let was_live = state_in(previous) == Some(ListedState::Live);
        if was_live && state_in(list) == Some(ListedState::Leaving) {
            log::info!("host: Draining, since the host list marks this host as leaving.");
            self.drain_requested.store(true, Ordering::SeqCst);
        }
    }

    /// Puts a host list in force, if it is newer.
    pub(crate) fn apply_host_list(&self, list: &HostList) {
        let mut current = self
            .host_list
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if list.version <= current.version {
            return;
        }
        let previous = std::mem::replace(&mut *current, Arc::new(list.clone()));
        drop(current);
        self.limits.lock().apply_host_list(list);
        self.attempts.lock().registry.apply_host_list(list);
        self.lock_upstreams().apply_host_list(list);
        self.lock_liveness().apply_host_list(list);
        self.quarantine.lock().apply_host_list(list);
        self.drain_if_leaving(&previous, list);
        let version = list.version;
        let count = list.hosts.len();
        log::info!("members: Host list {version} with {count} hosts is in force.");
    }
}
