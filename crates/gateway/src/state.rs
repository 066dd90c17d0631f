//! The state that the tasks of one host share; all of them run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use tokio::sync::{Notify, watch};
use waxwingusher_attempts::FleetRetryBudget;
use waxwingusher_config::routing::{CallerLimits, RoutingTable, SplitPicker};
use waxwingusher_core::{Clock, FailureDomain, InstanceId, RouteName, WorkspaceName};
use waxwingusher_limits::{FairShares, FleetView, ReplicatedLimits, ReplicatedSettings, WaitQueue};
use waxwingusher_membership::seeded::readers::reader_rank;
use waxwingusher_membership::seeded::{CrashReport, LeavingInstance, PeerTable, name_hash};
use waxwingusher_upstreams::{
    Evidence, LoadSharing, PathMonitor, RefusalMonitor, Roster, ScarcityMonitor,
};

use crate::answer::Answer;
use crate::cold_instances::ColdInstances;
use crate::crash_ledger::CrashLedger;
use crate::declined_peers::DeclinedPeers;
use crate::feed::{self, ChangeSource};
use crate::feed_replica::FeedReplica;
use crate::home_regions::RegionMap;
use crate::journal::{Event, Journal};
use crate::metrics::Metrics;
use crate::outbox::Outbox;
use crate::pending_permits::Permits;
use crate::ports::Dialect;
use crate::resources::Resources;
use crate::settings::GatewaySettings;
use crate::stop_plan::StopPlan;
use crate::upstream::ConnectionPool;

/// The shortest gap between two checks that counts as a pause of the process; the
/// checks run at least four times a second.
const MIN_PAUSE: Duration = Duration::from_secs(1);
/// How long after a pause received messages may be stale because they waited in
/// the socket; reading all of them takes a few milliseconds.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);

/// The outcome of a request that is refused or ended by a planned stop.
pub(crate) const STOPPING: &str = "stopping";
/// The mean `Retry-After` of a host that stops. Other hosts take the request at once.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The name of the paths to instances in the log.
const INSTANCES: &str = "instances";

/// The phases of a host, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It serves callers.
    Serving,
    /// It reports itself as not ready and closes connections after their answers,
    /// but still accepts connections, since the balancer needs a while to notice.
    Draining,
    /// It accepts no connections and closes idle ones.
    Closing,
    /// It answers all requests that are under way or partly read, and closes all connections.
    Ending,
}

impl Phase {
    /// Returns the name of the phase in the log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Closing => "closing",
            Self::Ending => "ending",
        }
    }
}

/// The shared state of one host.
pub(crate) struct State {
    pub(crate) dialect: Dialect,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) regions: RegionMap,
    pub(crate) journal: Journal,
    pub(crate) metrics: Metrics,
    pub(crate) routing: RefCell<Option<Arc<RoutingTable>>>,
    pub(crate) split_pickers: RefCell<HashMap<RouteName, SplitPicker>>,
    pub(crate) route_latencies: RefCell<HashMap<RouteName, Duration>>,
    pub(crate) roster: RefCell<Roster>,
    pub(crate) instances_by_hash: RefCell<HashMap<u32, InstanceId>>,
    pub(crate) workspaces_by_hash: RefCell<HashMap<u32, WorkspaceName>>,
    pub(crate) evidence: RefCell<Evidence>,
    pub(crate) limits: RefCell<ReplicatedLimits>,
    pub(crate) retry_budget: RefCell<FleetRetryBudget>,
    pub(crate) crash_ledger: RefCell<CrashLedger>,
    pub(crate) peers: RefCell<PeerTable>,
    paths: RefCell<PathMonitor>,
    /// Notifies requests that are under way that the paths to the instances were lost.
    pub(crate) paths_lost: Notify,
    pub(crate) declined_peers: DeclinedPeers,
    pub(crate) permits: Permits,
    pub(crate) cold_instances: ColdInstances,
    pub(crate) pool: ConnectionPool,
    pub(crate) resources: Rc<Resources>,
    pub(crate) outbox: Outbox,
    pub(crate) wait_queue: RefCell<WaitQueue>,
    /// Whether the deployment asks for shares of services that are short of capacity.
    pub(crate) shares_scarce_capacity: bool,
    pub(crate) scarcity: RefCell<ScarcityMonitor>,
    pub(crate) fair_shares: RefCell<FairShares>,
    pub(crate) refusals: RefCell<RefusalMonitor>,
    /// Notifies requests that wait for capacity at an instance.
    pub(crate) capacity_freed: Notify,
    pub(crate) feed: RefCell<FeedReplica>,
    pub(crate) phase: watch::Sender<Phase>,
    /// The times of the planned stop, once it has begun.
    pub(crate) stop_plan: Cell<Option<StopPlan>>,
    /// Whether the process ends now and drops all requests.
    pub(crate) has_stopped: Cell<bool>,
    /// Requests that were read and not answered yet.
    pub(crate) in_flight: Cell<usize>,
    /// Connections of callers, on each of which a request may be partly read.
    pub(crate) connections: Cell<usize>,
    /// New connections that are being refused for lack of room.
    pub(crate) refused_connections: Cell<usize>,
    pub(crate) rng: RefCell<fastrand::Rng>,
    /// When the process was last known to run.
    last_run_at: Cell<Instant>,
    /// When the process last resumed after a pause.
    resumed_at: Cell<Option<Instant>>,
}

impl State {
    pub(crate) fn new(
        settings: &GatewaySettings,
        dialect: Dialect,
        clock: Arc<dyn Clock>,
        journal: Journal,
        peers: PeerTable,
        rng: fastrand::Rng,
    ) -> Rc<Self> {
        let limits = ReplicatedLimits::new(ReplicatedSettings::default());
        let started_at = clock.now();
        let resources = Resources::new(settings.resources, clock.clone());
        let last_run_at = Cell::new(started_at);
        let regions = RegionMap::new(
            settings.region.clone(),
            &settings.failure_domain,
            settings.region_by_domain.clone(),
        );
        Rc::new(Self {
            dialect,
            clock,
            failure_domain: settings.failure_domain.clone(),
            regions,
            journal,
            metrics: Metrics::new(),
            routing: RefCell::default(),
            split_pickers: RefCell::default(),
            route_latencies: RefCell::default(),
            roster: RefCell::default(),
            instances_by_hash: RefCell::default(),
            workspaces_by_hash: RefCell::default(),
            evidence: RefCell::default(),
            limits: RefCell::new(limits),
            retry_budget: RefCell::new(FleetRetryBudget::new(settings.retry_budget)),
            crash_ledger: RefCell::default(),
            peers: RefCell::new(peers),
            paths: RefCell::default(),
            paths_lost: Notify::new(),
            declined_peers: DeclinedPeers::default(),
            permits: Permits::default(),
            cold_instances: ColdInstances::new(started_at),
            pool: ConnectionPool::default(),
            resources,
            outbox: Outbox::default(),
            wait_queue: RefCell::default(),
            shares_scarce_capacity: settings.shares_scarce_capacity,
            scarcity: RefCell::default(),
            fair_shares: RefCell::default(),
            refusals: RefCell::default(),
            capacity_freed: Notify::new(),
            feed: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
            stop_plan: Cell::new(None),
            has_stopped: Cell::new(false),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            refused_connections: Cell::new(0),
            rng: RefCell::new(rng),
            last_run_at,
            resumed_at: Cell::new(None),
        })
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the host has reached a phase.
    pub(crate) async fn reach_phase(&self, phase: Phase) {
        let mut phases = self.phase.subscribe();
        // Waiting fails only if the sender, which this state holds, is gone.
        let _ = phases.wait_for(|reached| *reached >= phase).await;
    }

    /// Decides whether an attempt of a request may start, as far as a planned stop is concerned.
    pub(crate) fn allows_attempt(&self, deadline: Instant, usual_latency: Duration) -> bool {
        let plan = self.stop_plan.get();
        plan.is_none_or(|plan| plan.allows_attempt(self.now(), deadline, usual_latency))
    }

    /// Returns the answer to a request that has not run and does not run, as the host stops.
    pub(crate) fn stop_refusal(&self) -> Answer {
        let jitter = 0.5 + self.rng.borrow_mut().f64();
        let retry_after = STOP_RETRY_AFTER.mul_f64(jitter);
        Answer::refusal(StatusCode::SERVICE_UNAVAILABLE, STOPPING, retry_after)
    }

    /// Returns how long an instance or a peer may work on a request.
    pub(crate) fn attempt_time_left(&self, deadline: Instant) -> Duration {
        let plan = self.stop_plan.get();
        let end = plan.map_or(deadline, |plan| plan.limit_attempt(deadline));
        end.saturating_duration_since(self.now())
    }

    /// Returns whether the balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.feed.borrow().is_listed()
            && self.routing.borrow().is_some()
            && !(self.is_cut_off() && self.has_lost_all_peers())
    }

    pub(crate) fn routing(&self) -> Option<Arc<RoutingTable>> {
        self.routing.borrow().clone()
    }

    pub(crate) fn config_version(&self) -> u64 {
        self.routing
            .borrow()
            .as_ref()
            .map_or(0, |table| table.version())
    }

    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let routing = self.routing.borrow();
        routing
            .as_ref()
            .map_or_else(CallerLimits::default, |table| table.limits())
    }

    /// Detects a pause of the process and excludes it from the timeouts of peers
    /// and limits. Must be called more often than every [`MIN_PAUSE`].
    fn detect_pause(&self) {
        let now = self.now();
        let pause = now.saturating_duration_since(self.last_run_at.replace(now));
        if pause >= MIN_PAUSE {
            self.resumed_at.set(Some(now));
            self.peers.borrow_mut().exclude_pause(now, pause);
            self.limits.borrow_mut().exclude_pause(now, pause);
            self.feed.borrow_mut().exclude_pause(now, pause);
        }
    }

    /// Returns whether received messages may have waited in the socket during a
    /// pause.
    pub(crate) fn is_catching_up(&self) -> bool {
        let resumed_at = self.resumed_at.get();
        resumed_at.is_some_and(|at| self.now().saturating_duration_since(at) < CATCH_UP_TIME)
    }

    /// Returns how many hosts are known and how many of them are reachable.
    pub(crate) fn fleet_view(&self) -> FleetView {
        self.detect_pause();
        let peers = self.peers.borrow();
        let reachable_peers = peers.reachable_peers(self.now()).count();
        if reachable_peers > 0 {
            self.cold_instances.record_peer(self.now());
        }
        FleetView {
            reachable_hosts: reachable_peers + 1,
            known_hosts: peers.known_hosts(),
        }
    }

    /// Returns with which hosts this one shares the load of instances evenly.
    pub(crate) fn load_sharing(&self) -> LoadSharing {
        let local_hosts = self.peers.borrow().local_peers().count() + 1;
        LoadSharing::for_hosts(local_hosts)
    }

    /// Returns the number of reachable hosts of this build that read the feed rather than
    /// this one. Hosts of earlier builds have readers of their own.
    pub(crate) fn reader_rank(&self) -> usize {
        let peers = self.peers.borrow();
        let reachable = peers.reachable_feed_peers(self.now());
        reader_rank(peers.local_member().addr, reachable)
    }

    /// Reports whether no peer is reachable.
    pub(crate) fn is_alone(&self) -> bool {
        self.peers
            .borrow()
            .reachable_peers(self.now())
            .next()
            .is_none()
    }

    /// Reports whether peers are known, and none is reachable.
    fn has_lost_all_peers(&self) -> bool {
        self.peers.borrow().known_hosts() > 1 && self.is_alone()
    }

    /// Reports whether this host seems to be cut off from the instances.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.paths.borrow().is_cut_off()
    }

    /// Reports whether this host must read the feed itself.
    pub(crate) fn must_read_feed(&self) -> bool {
        self.detect_pause();
        let rank = self.reader_rank();
        self.feed.borrow().must_read(self.now(), rank)
    }

    /// Queues an instance's state for the next update to peers.
    pub(crate) fn report_instance(&self, id: &InstanceId, is_urgent: bool) {
        self.outbox.local_instances.borrow_mut().insert(id.clone());
        self.outbox.remote_instances.borrow_mut().insert(id.clone());
        if is_urgent {
            self.outbox.request_urgent_send();
        } else {
            self.outbox.changed.notify_one();
        }
    }

    /// Removes an instance at whose address another one answers, and reports it
    /// to peers.
    pub(crate) fn disown(&self, id: &InstanceId) {
        self.roster.borrow_mut().disown(id);
        let hash = name_hash(id.as_str());
        self.outbox.disowned.borrow_mut().push(hash);
        self.outbox.request_urgent_send();
    }

    /// Stops sending requests to an instance that has said that it leaves, and
    /// reports that to peers if it is new.
    pub(crate) fn report_leaving(&self, id: &InstanceId, incarnation: u64) {
        if !self.record_leaving(id, incarnation, ChangeSource::Answer) {
            return;
        }
        self.outbox.leaving.borrow_mut().push(LeavingInstance {
            instance: name_hash(id.as_str()),
            incarnation,
        });
        self.outbox.request_urgent_send();
    }

    /// Stops sending requests to an instance that leaves, and returns whether that
    /// is new.
    pub(crate) fn record_leaving(
        &self,
        id: &InstanceId,
        incarnation: u64,
        source: ChangeSource,
    ) -> bool {
        let now = self.now();
        let is_new = self.roster.borrow_mut().mark_leaving(now, id, incarnation);
        if is_new {
            feed::log_instance(self, id, "leaving", source);
        }
        is_new
    }

    /// Records that no connection could be opened to an instance.
    pub(crate) fn record_unreachable(&self, id: &InstanceId) {
        if self.paths.borrow_mut().record_unreachable(id) {
            self.journal.write(&Event::Dependency {
                name: INSTANCES,
                state: "lost",
                cause: "several instances in a row take no connection",
            });
            self.pool.close_idle();
            self.paths_lost.notify_waiters();
        }
    }

    /// Records that an instance took a connection.
    pub(crate) fn record_open_path(&self) {
        if self.paths.borrow_mut().record_open() {
            self.journal.write(&Event::Dependency {
                name: INSTANCES,
                state: "regained",
                cause: "an instance takes connections",
            });
        }
    }

    /// Records that an instance crashed under a request, and reports it to peers
    /// if it is new.
    pub(crate) fn record_crash(&self, fingerprint: u64, id: &InstanceId) {
        let crash = CrashReport {
            fingerprint,
            instance: name_hash(id.as_str()),
        };
        if self.crash_ledger.borrow_mut().record(self.now(), crash) {
            self.outbox.crashes.borrow_mut().push(crash);
            self.outbox.request_urgent_send();
        }
    }
}
