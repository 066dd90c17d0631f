//! What the tasks of one host share. All of them run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};
use waxwingusher_attempts::FleetRetryBudget;
use waxwingusher_config::routing::{CallerLimits, RoutingTable, SplitPicker};
use waxwingusher_core::{Clock, FailureDomain, InstanceId, RouteName, ServiceName, WorkspaceName};
use waxwingusher_limits::{
    FleetView, QueuePosition, ReplicatedLimits, ReplicatedSettings, WaitQueue,
};
use waxwingusher_membership::seeded::{CrashReport, PeerTable, name_hash};
use waxwingusher_upstreams::{Evidence, Observation, Roster};

use crate::crash_ledger::CrashLedger;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::ports::Dialect;
use crate::settings::GatewaySettings;
use crate::upstream::ConnectionPool;

/// The pause after which a host has stood still; it looks at its peers four times
/// a second at least.
const STANDSTILL: Duration = Duration::from_secs(1);
/// How long after a standstill messages may have waited; reading all of them
/// takes a few milliseconds.
const CATCH_UP: Duration = Duration::from_millis(100);

/// The stages of a host's life, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It serves callers.
    Serving,
    /// It is not ready any more and asks callers to go elsewhere; it still
    /// takes connections, since the balancer needs a while to notice.
    Draining,
    /// It takes no connections and closes idle ones.
    Closing,
}

/// The shared state of one host.
pub(crate) struct State {
    pub(crate) dialect: Dialect,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) journal: Journal,
    pub(crate) metrics: Metrics,
    pub(crate) routing: RefCell<Option<Arc<RoutingTable>>>,
    pub(crate) pickers: RefCell<HashMap<RouteName, SplitPicker>>,
    pub(crate) usual_times: RefCell<HashMap<RouteName, Duration>>,
    pub(crate) roster: RefCell<Roster>,
    pub(crate) instance_hashes: RefCell<HashMap<u32, InstanceId>>,
    pub(crate) workspace_hashes: RefCell<HashMap<u32, WorkspaceName>>,
    pub(crate) evidence: RefCell<Evidence>,
    pub(crate) limits: RefCell<ReplicatedLimits>,
    pub(crate) budget: RefCell<FleetRetryBudget>,
    pub(crate) crashes: RefCell<CrashLedger>,
    pub(crate) peers: RefCell<PeerTable>,
    pub(crate) pool: ConnectionPool,
    pub(crate) outbox: Outbox,
    pub(crate) waiting: RefCell<WaitQueue>,
    /// Wakes requests that wait for room at an instance.
    pub(crate) room_freed: Notify,
    pub(crate) has_roster: Cell<bool>,
    /// The position in the published changes that is applied here.
    pub(crate) feed_position: Cell<u64>,
    /// The greatest position that a peer has told.
    pub(crate) peers_position: Cell<u64>,
    pub(crate) phase: watch::Sender<Phase>,
    /// Requests that were read and have no answer yet.
    pub(crate) in_flight: Cell<usize>,
    /// Connections of callers; on each a request may be being read.
    pub(crate) connections: Cell<usize>,
    pub(crate) rng: RefCell<fastrand::Rng>,
    /// When this host was last seen to run.
    ran_at: Cell<Instant>,
    /// When it last ran again after a standstill.
    woke_at: Cell<Option<Instant>>,
}

/// What is to be told to peers.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) instances: RefCell<BTreeSet<InstanceId>>,
    pub(crate) far_instances: RefCell<BTreeSet<InstanceId>>,
    pub(crate) crashes: RefCell<Vec<CrashReport>>,
    pub(crate) disowned: RefCell<Vec<u32>>,
    /// Whether other failure domains should hear at once.
    pub(crate) is_urgent: Cell<bool>,
    /// Whether other failure domains should soon hear what was admitted.
    pub(crate) counts_soon: Cell<bool>,
    /// Whether the process ends and peers should not count it any more.
    pub(crate) is_farewell_due: Cell<bool>,
    pub(crate) changed: Notify,
}

impl Outbox {
    /// Lets other failure domains hear at once what is in the outbox.
    fn tell_at_once(&self) {
        self.is_urgent.set(true);
        self.changed.notify_one();
    }

    /// Lets peers know that the process ends as planned.
    pub(crate) fn say_farewell(&self) {
        self.is_farewell_due.set(true);
        self.tell_at_once();
    }

    pub(crate) fn tell_counts_soon(&self) {
        self.counts_soon.set(true);
        self.changed.notify_one();
    }
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
        let ran_at = Cell::new(clock.now());
        Rc::new(Self {
            dialect,
            clock,
            failure_domain: settings.failure_domain.clone(),
            journal,
            metrics: Metrics::new(),
            routing: RefCell::default(),
            pickers: RefCell::default(),
            usual_times: RefCell::default(),
            roster: RefCell::default(),
            instance_hashes: RefCell::default(),
            workspace_hashes: RefCell::default(),
            evidence: RefCell::default(),
            limits: RefCell::new(limits),
            budget: RefCell::new(FleetRetryBudget::new(settings.retry_budget)),
            crashes: RefCell::default(),
            peers: RefCell::new(peers),
            pool: ConnectionPool::default(),
            outbox: Outbox::default(),
            waiting: RefCell::default(),
            room_freed: Notify::new(),
            has_roster: Cell::new(false),
            feed_position: Cell::new(0),
            peers_position: Cell::new(0),
            phase: watch::Sender::new(Phase::Serving),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            rng: RefCell::new(rng),
            ran_at,
            woke_at: Cell::new(None),
        })
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Reports whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.has_roster.get() && self.routing.borrow().is_some()
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

    /// Returns the position up to which the feed was followed without a gap.
    pub(crate) fn gapless_position(&self) -> u64 {
        if self.roster.borrow().trusts_removals(self.now()) {
            self.feed_position.get()
        } else {
            0
        }
    }

    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let routing = self.routing.borrow();
        routing
            .as_ref()
            .map_or_else(CallerLimits::default, |table| table.limits())
    }

    /// Leaves a time out during which this host stood still. Called more often
    /// than each [`STANDSTILL`].
    fn note_running(&self) {
        let now = self.now();
        let pause = now.saturating_duration_since(self.ran_at.replace(now));
        if pause >= STANDSTILL {
            self.woke_at.set(Some(now));
            self.peers.borrow_mut().exclude_pause(now, pause);
            self.limits.borrow_mut().exclude_pause(now, pause);
        }
    }

    /// Reports whether messages may have waited for this host to run again.
    pub(crate) fn is_catching_up(&self) -> bool {
        let woke_at = self.woke_at.get();
        woke_at.is_some_and(|at| self.now().saturating_duration_since(at) < CATCH_UP)
    }

    /// Returns the part of the fleet that this host hears.
    pub(crate) fn fleet_view(&self) -> FleetView {
        self.note_running();
        let peers = self.peers.borrow();
        FleetView {
            reachable_hosts: peers.reachable_peers(self.now()).count() + 1,
            known_hosts: peers.known_hosts(),
        }
    }

    /// Marks an instance's state as news for peers.
    pub(crate) fn tell_instance(&self, id: &InstanceId, is_urgent: bool) {
        self.outbox.instances.borrow_mut().insert(id.clone());
        self.outbox.far_instances.borrow_mut().insert(id.clone());
        if is_urgent {
            self.outbox.tell_at_once();
        } else {
            self.outbox.changed.notify_one();
        }
    }

    /// Drops an instance at whose address another one answers, and tells peers.
    pub(crate) fn disown(&self, id: &InstanceId) {
        self.roster.borrow_mut().disown(id);
        let hash = name_hash(id.as_str());
        self.outbox.disowned.borrow_mut().push(hash);
        self.outbox.tell_at_once();
    }

    /// Records that an instance died under a request, and tells peers.
    pub(crate) fn note_crash(&self, fingerprint: u64, id: &InstanceId) {
        let word = CrashReport {
            fingerprint,
            instance: name_hash(id.as_str()),
        };
        if self.crashes.borrow_mut().note(self.now(), word) {
            self.outbox.crashes.borrow_mut().push(word);
            self.outbox.tell_at_once();
        }
    }
}

/// Counts a request at an instance while it is under way, also when the task
/// that waits for it is dropped.
pub(crate) struct Flight {
    state: Rc<State>,
    id: InstanceId,
    is_finished: bool,
}

impl Flight {
    pub(crate) fn begin(state: &Rc<State>, id: &InstanceId) -> Self {
        state.evidence.borrow_mut().record_start(id);
        state.tell_instance(id, false);
        Self {
            state: state.clone(),
            id: id.clone(),
            is_finished: false,
        }
    }

    /// Records that the request takes suspiciously long.
    pub(crate) fn overdue(&self) {
        let now = self.state.now();
        self.state
            .evidence
            .borrow_mut()
            .record_overdue(now, &self.id);
        self.state.tell_instance(&self.id, true);
    }

    pub(crate) fn finish(mut self, seen: Observation) {
        self.end(seen);
    }

    fn end(&mut self, seen: Observation) {
        if self.is_finished {
            return;
        }
        self.is_finished = true;
        let now = self.state.now();
        self.state
            .evidence
            .borrow_mut()
            .record_end(now, &self.id, seen);
        self.state
            .tell_instance(&self.id, seen == Observation::Failure);
        self.state.room_freed.notify_waiters();
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end(Observation::Inconclusive);
    }
}

/// A request's place in the line for room, also given up when the task that
/// waits is dropped.
pub(crate) struct Waiting {
    state: Rc<State>,
    service: ServiceName,
    place: QueuePosition,
}

impl Waiting {
    pub(crate) fn join(
        state: &Rc<State>,
        service: &ServiceName,
        since: Instant,
        priority: u32,
    ) -> Self {
        let place = state.waiting.borrow_mut().enqueue(service, since, priority);
        Self {
            state: state.clone(),
            service: service.clone(),
            place,
        }
    }

    pub(crate) fn is_first(&self) -> bool {
        self.state
            .waiting
            .borrow()
            .is_first(&self.service, self.place)
    }

    /// Records that the request got room.
    pub(crate) fn note_served(&self) {
        let now = self.state.now();
        let mut waiting = self.state.waiting.borrow_mut();
        waiting.record_served(now, &self.service);
    }

    /// Reports whether the request will hardly get room within `patience`.
    pub(crate) fn is_hopeless(&self, patience: Duration) -> bool {
        let now = self.state.now();
        let mut waiting = self.state.waiting.borrow_mut();
        waiting.is_likely_to_time_out(now, &self.service, self.place, patience)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.state
            .waiting
            .borrow_mut()
            .remove(&self.service, self.place);
        // The next in line may find room, too.
        self.state.room_freed.notify_waiters();
    }
}
