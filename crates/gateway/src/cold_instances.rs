//! Instances that count as cold, as far as this limits requests.
//!
//! Attempts at a cold instance need permits of its issuer (see `permits`), as they do at
//! an instance that names a rate itself.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use waxwingusher_core::InstanceId;
use waxwingusher_limits::FleetView;
use waxwingusher_upstreams::{ColdLimit, ColdPolicy, PermitReason, RateLimit};

use crate::journal::Event;
use crate::state::State;
use crate::units::millis;

/// The hosts that a host assumes until it knows its fleet; the largest fleets have about
/// 300. With fewer, hosts that all start at once would together issue several times
/// the rate of a cold instance.
const ASSUMED_HOSTS: usize = 300;
/// How long a host takes to learn its fleet after its start and after its first message
/// of a peer: two rounds in which hosts compare their tables of peers.
const LEARNING_TIME: Duration = Duration::from_secs(2);
/// How long after its start a host of a fleet may know only the part from which it is not
/// cut off. With 2 s, parts of a split fleet of 129 whose issuers had restarted sent 73
/// requests in a second (allowed 68).
const PARTIAL_KNOWLEDGE_TIME: Duration = Duration::from_secs(10);

/// The longest time for which a host asks for no further permit of a cold instance. A host
/// that does not know its fleet would otherwise pause for 10 s, three times as long as most
/// instances are cold.
pub const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// Returns the view by which a host issues permits of cold instances. Until it knows its
/// fleet, it counts as one of a large one.
///
/// `since_start` is the time since the start of its process, and `since_first_peer` that
/// since the first message of a peer, if one has arrived.
#[must_use]
pub fn cautious_view(
    view: FleetView,
    since_start: Duration,
    since_first_peer: Option<Duration>,
) -> FleetView {
    // A host without seeds and peers knows only itself, and is a fleet of its own.
    let has_fleet = view.known_hosts > 1;
    let is_learning = since_start < LEARNING_TIME
        || (has_fleet && since_start < PARTIAL_KNOWLEDGE_TIME)
        || since_first_peer.map_or(has_fleet, |since| since < LEARNING_TIME);
    if !is_learning {
        return view;
    }
    FleetView {
        known_hosts: view.known_hosts.max(ASSUMED_HOSTS),
        ..view
    }
}

/// The rate for which an attempt needs a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PermitLimit {
    pub(crate) rate: RateLimit,
    pub(crate) reason: PermitReason,
}

impl PermitLimit {
    /// Returns the lower of the rate that an instance names and its cold rate, if any.
    pub(crate) fn lower(named: Option<RateLimit>, cold: Option<ColdLimit>) -> Option<Self> {
        let named = named.map(|rate| (rate, PermitReason::RateLimit));
        let cold = cold.map(|limit| (limit.rate, PermitReason::Cold));
        let limits = cold.into_iter().chain(named);
        let (rate, reason) = limits.min_by_key(|(rate, _)| *rate)?;
        Some(Self { rate, reason })
    }
}

/// What a host remembers of cold instances and of its own start.
#[derive(Debug)]
pub(crate) struct ColdInstances {
    started_at: Instant,
    first_peer_at: Cell<Option<Instant>>,
    /// The limits that have applied to requests and have not ended.
    limits: RefCell<HashMap<InstanceId, ColdLimit>>,
}

impl ColdInstances {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            first_peer_at: Cell::new(None),
            limits: RefCell::default(),
        }
    }

    /// Records that a peer is reachable.
    pub(crate) fn record_peer(&self, now: Instant) {
        if self.first_peer_at.get().is_none() {
            self.first_peer_at.set(Some(now));
        }
    }

    pub(crate) fn cautious_view(&self, now: Instant, view: FleetView) -> FleetView {
        let since = |at| now.saturating_duration_since(at);
        cautious_view(
            view,
            since(self.started_at),
            self.first_peer_at.get().map(since),
        )
    }
}

impl State {
    /// Returns the limit of an instance that counts as cold.
    pub(crate) fn cold_limit(&self, id: &InstanceId) -> Option<ColdLimit> {
        let roster = self.roster.borrow();
        let listed = roster.get(id)?;
        let routing = self.routing.borrow();
        let cold_start = routing.as_ref()?.cold_start(&listed.entry.service)?;
        let opened_at = self.evidence.borrow().path_opened_at(id);
        ColdPolicy::from(cold_start).limit(self.now(), listed, roster.evacuations(), opened_at)
    }

    /// Returns the limit of an instance that counts as cold and might get a request now.
    /// Logs it if it has not applied to a request before.
    pub(crate) fn apply_cold_limit(&self, id: &InstanceId) -> Option<ColdLimit> {
        let limit = self.cold_limit(id)?;
        let former = self
            .cold_instances
            .limits
            .borrow_mut()
            .insert(id.clone(), limit);
        if former.is_none() {
            self.report_cold_instance(id, &limit, "cold");
        }
        Some(limit)
    }

    /// Logs the instances whose limits have ended.
    pub(crate) fn expire_cold_limits(&self) {
        let ids: Vec<InstanceId> = self
            .cold_instances
            .limits
            .borrow()
            .keys()
            .cloned()
            .collect();
        for id in ids {
            if self.cold_limit(&id).is_some() {
                continue;
            }
            let ended = self.cold_instances.limits.borrow_mut().remove(&id);
            if let Some(ended) = ended {
                self.report_cold_instance(&id, &ended, "warm");
                self.capacity_freed.notify_waiters();
            }
        }
    }

    fn report_cold_instance(&self, id: &InstanceId, limit: &ColdLimit, change: &'static str) {
        self.metrics.record_cold_instance(change);
        self.journal.write(&Event::ColdInstance {
            instance: id.as_str(),
            change,
            cause: limit.cause.as_str(),
            rate_per_s: limit.rate.per_s(),
            warm_in_ms: millis(limit.warm_at.saturating_duration_since(self.now())),
        });
    }
}
