//! One host's view of all services.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use log::{debug, warn};
use waxwingusher_config::{Service, Snapshot};
use waxwingusher_core::{
    Clock, FailureDomain, HostId, HostList, InstanceId, ServiceName, SuspensionDetector,
};
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::health::{
    Evidence, Grant, HealthMessage, InstanceKey, ServiceKey, Vote, Watch,
};

use crate::choice::{
    Choice, ChoiceId, ChooseError, ChooseRequest, HealthHint, RequestOrigin, UpstreamResult,
};
use crate::coordinator::{AddressedMessage, Coordinator};
use crate::host_context::HostContext;
use crate::pool::Pool;
use crate::service::ServiceState;
use crate::settings::UpstreamSettings;
use crate::view::ServiceView;
use crate::voter::Voter;

#[derive(Debug)]
struct PendingRequest {
    service: ServiceKey,
    instance: InstanceKey,
}

/// Detection, ejection, recovery and load balancing of all upstreams at one host.
///
/// The type does no input or output: the caller reports results, delivers messages,
/// and calls [`UpstreamSet::tick`] a few times a second.
pub struct UpstreamSet {
    host: HostContext,
    clock: Arc<dyn Clock>,
    suspension: SuspensionDetector,
    rng: fastrand::Rng,
    started: Instant,
    services: BTreeMap<ServiceKey, ServiceState>,
    pending: BTreeMap<ChoiceId, PendingRequest>,
    next_choice: u64,
}

impl UpstreamSet {
    /// Creates the view of a host without services.
    #[must_use]
    pub fn new(
        self_id: HostId,
        failure_domain: FailureDomain,
        incarnation: u64,
        clock: Arc<dyn Clock>,
        seed: u64,
        settings: UpstreamSettings,
    ) -> Self {
        let started = clock.now();
        Self {
            host: HostContext::new(self_id, failure_domain, incarnation, settings),
            suspension: SuspensionDetector::new(&*clock),
            clock,
            rng: fastrand::Rng::with_seed(seed),
            started,
            services: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_choice: 0,
        }
    }

    /// Applies the accepted configuration. Added instances start cold.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        let now = self.clock.now();
        let mut old = std::mem::take(&mut self.services);
        for (name, service) in &snapshot.services {
            let key = ServiceKey::of(name);
            let mut state = match old.remove(&key) {
                Some(mut state) => {
                    let cold_term = self.host.settings.cold_term;
                    if !Arc::ptr_eq(&state.pool.service, service) && state.pool.service != *service
                    {
                        state.pool.configure(service, now, cold_term);
                    }
                    state
                }
                None => self.new_service(service, now),
            };
            self.assign(&mut state);
            self.services.insert(key, state);
        }
    }

    /// Applies the platform's list of hosts.
    pub fn apply_host_list(&mut self, list: &HostList) {
        if !self.host.apply_host_list(list) {
            return;
        }
        let mut services = std::mem::take(&mut self.services);
        for state in services.values_mut() {
            self.assign(state);
        }
        self.services = services;
    }

    /// Chooses an instance, and counts the request as in flight there until its result
    /// is reported.
    ///
    /// # Errors
    ///
    /// Returns [`ChooseError`] if no instance may take the request now.
    pub fn choose(
        &mut self,
        service: &ServiceName,
        request: &ChooseRequest<'_>,
    ) -> Result<Choice, ChooseError> {
        let key = ServiceKey::of(service);
        let now = self.check_clock();
        let context = self.host.pool_context(now);
        let state = self.services.get_mut(&key).ok_or(ChooseError::NoInstance)?;
        let (member, reason) = state.pool.choose(&context, request, &mut self.rng)?;
        let id = ChoiceId(self.next_choice);
        let choice = Choice {
            id,
            service: service.clone(),
            instance: member.id().clone(),
            addr: member.instance.addr,
            reason,
            in_flight: member.in_flight,
        };
        let instance = member.key;
        self.next_choice += 1;
        let pending = PendingRequest {
            service: key,
            instance,
        };
        self.pending.insert(id, pending);
        debug!(
            "health: service {service} request to {} ({reason}, {} in flight)",
            choice.instance, choice.in_flight
        );
        Ok(choice)
    }

    /// Records the result of a choice. Further reports of it are ignored.
    pub fn report(&mut self, id: ChoiceId, origin: &RequestOrigin, result: UpstreamResult) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let context = self.host.pool_context(self.clock.now());
        let Some(state) = self.services.get_mut(&pending.service) else {
            return;
        };
        state
            .pool
            .report(&context, pending.instance, origin, result, &mut self.rng);
    }

    /// Handles a peer's message and returns the messages to send.
    #[must_use]
    pub fn on_message(
        &mut self,
        from: &HostId,
        incarnation: u64,
        message: &HealthMessage,
    ) -> Vec<Outgoing<HealthMessage>> {
        self.check_clock();
        let replies = self.handle(from, incarnation, message);
        self.deliver(replies)
    }

    /// Returns the evidence, votes and ejections that are due.
    #[must_use]
    pub fn tick(&mut self) -> Vec<Outgoing<HealthMessage>> {
        let now = self.check_clock();
        let mut out = Vec::new();
        let mut services = std::mem::take(&mut self.services);
        for state in services.values_mut() {
            state.pool.tick(now);
            out.extend(state.flush(now));
            let voter = &state.pool.voter;
            let (predecessor_ejections, _) =
                voter.predecessor_ejections(&self.host.self_id, self.host.incarnation);
            if !state.coordinator.is_due(now, predecessor_ejections) {
                continue;
            }
            let capacity = state.pool.capacity(now);
            let (coordinator, context) = self.host.coordinator_parts(state, now, &capacity);
            out.extend(coordinator.tick(&context));
        }
        self.services = services;
        self.deliver(out)
    }

    /// Applies the result of an instance's health or load endpoint.
    pub fn health_hint(&mut self, service: &ServiceName, instance: &InstanceId, hint: HealthHint) {
        let now = self.clock.now();
        if let Some(state) = self.services.get_mut(&ServiceKey::of(service)) {
            state.pool.hint(now, InstanceKey::of(instance), hint);
        }
    }

    /// Returns the instances that are ejected in this host's view.
    #[must_use]
    pub fn ejected(&self, service: &ServiceName) -> Vec<InstanceId> {
        let now = self.clock.now();
        let Some(state) = self.services.get(&ServiceKey::of(service)) else {
            return Vec::new();
        };
        let rows = state.pool.effective_ejections(now);
        let members = state.pool.members().iter();
        members
            .filter(|member| rows.iter().any(|row| row.instance == member.key))
            .map(|member| member.id().clone())
            .collect()
    }

    /// Returns the instances that are cold, or have been leaving or draining for so
    /// long that they get no requests.
    #[must_use]
    pub fn unavailable(&self, service: &ServiceName) -> Vec<InstanceId> {
        let now = self.clock.now();
        let Some(state) = self.services.get(&ServiceKey::of(service)) else {
            return Vec::new();
        };
        let members = state.pool.unavailable(now);
        members.iter().map(|member| member.id().clone()).collect()
    }

    /// Returns the median latency of a service, once there are enough samples.
    #[must_use]
    pub fn median_latency(&self, service: &ServiceName) -> Option<Duration> {
        let state = self.services.get(&ServiceKey::of(service))?;
        state.pool.median_latency()
    }

    /// Returns the subset of instances that this host prefers.
    #[must_use]
    pub fn subset(&self, service: &ServiceName) -> Vec<InstanceId> {
        self.services
            .get(&ServiceKey::of(service))
            .map(|state| state.pool.subset().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns the views for operators, ordered by service.
    #[must_use]
    pub fn service_views(&self) -> Vec<ServiceView> {
        let now = self.clock.now();
        let mut views: Vec<_> = self
            .services
            .values()
            .map(|state| state.pool.view(now, state.coordinator.scores()))
            .collect();
        views.sort_by(|a, b| a.service.cmp(&b.service));
        views
    }

    /// Returns the time, and ends all ejections if the machine was suspended.
    fn check_clock(&mut self) -> Instant {
        let now = self.clock.now();
        if let Some(passed) = self.suspension.check(&*self.clock) {
            warn!("health: machine was suspended for about {passed:?}; ending all ejections");
            for state in self.services.values_mut() {
                state.pool.voter.revoke(now);
                state.coordinator.revoke();
            }
        }
        now
    }

    fn new_service(&mut self, service: &Arc<Service>, now: Instant) -> ServiceState {
        let voter = Voter::new(self.started, self.rng.u64(..));
        ServiceState {
            pool: Pool::new(service, now, voter, &self.host.settings),
            coordinator: Coordinator::new(&service.name, now, self.rng.fork()),
            coordinators: Vec::new(),
        }
    }

    fn assign(&self, state: &mut ServiceState) {
        state.assign(
            &self.host.self_id,
            &self.host.hosts,
            self.host.settings.subset_size,
        );
    }

    /// Handles messages to the host itself and returns the others.
    fn deliver(&mut self, messages: Vec<AddressedMessage>) -> Vec<Outgoing<HealthMessage>> {
        let mut queue = VecDeque::from(messages);
        let mut out = Vec::with_capacity(queue.len());
        while let Some((to, message)) = queue.pop_front() {
            if to != self.host.self_id {
                out.push(Outgoing { to, message });
                continue;
            }
            let self_id = self.host.self_id.clone();
            queue.extend(self.handle(&self_id, self.host.incarnation, &message));
        }
        out
    }

    fn handle(
        &mut self,
        from: &HostId,
        incarnation: u64,
        message: &HealthMessage,
    ) -> Vec<AddressedMessage> {
        let now = self.clock.now();
        match message {
            HealthMessage::Evidence(evidence) => self.on_evidence(from, evidence, now),
            HealthMessage::Watch(watch) => self.on_watch(watch, now),
            HealthMessage::Grant(grant) => self.on_grant(from, incarnation, grant, now),
            HealthMessage::Vote(vote) => self.on_vote(from, vote, now),
        }
    }

    fn on_evidence(
        &mut self,
        from: &HostId,
        evidence: &Evidence,
        now: Instant,
    ) -> Vec<AddressedMessage> {
        let (Some(state), Some(vantage_point)) = (
            self.services.get_mut(&evidence.service),
            self.host.vantage_points.get(from),
        ) else {
            return Vec::new();
        };
        state
            .coordinator
            .on_evidence(now, from, vantage_point, evidence);
        Vec::new()
    }

    fn on_watch(&mut self, watch: &Watch, now: Instant) -> Vec<AddressedMessage> {
        let context = self.host.pool_context(now);
        let Some(state) = self.services.get_mut(&watch.service) else {
            return Vec::new();
        };
        state.pool.on_watch(&context, watch, &mut self.rng);
        state.flush(now)
    }

    fn on_grant(
        &mut self,
        from: &HostId,
        incarnation: u64,
        grant: &Grant,
        now: Instant,
    ) -> Vec<AddressedMessage> {
        let context = self.host.pool_context(now);
        let Some(state) = self.services.get_mut(&grant.service) else {
            return Vec::new();
        };
        let ballot = state.pool.on_grant(&context, from, incarnation, grant);
        let vote = Vote {
            service: grant.service,
            round: grant.round,
            ballot,
            unavailable: state.pool.capacity(now).unavailable,
        };
        vec![(from.clone(), HealthMessage::Vote(vote))]
    }

    fn on_vote(&mut self, from: &HostId, vote: &Vote, now: Instant) -> Vec<AddressedMessage> {
        let Some(mut state) = self.services.remove(&vote.service) else {
            return Vec::new();
        };
        let capacity = state.pool.capacity(now);
        let (coordinator, context) = self.host.coordinator_parts(&mut state, now, &capacity);
        let out = coordinator.on_vote(&context, from, vote);
        self.services.insert(vote.service, state);
        out
    }
}
