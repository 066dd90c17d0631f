//! Simulates hosts, links, the platform and upstreams in virtual time.

mod host;

use std::sync::Arc;
use std::time::Duration;

use waxwingusher_bench::config::service::FakeService;
use waxwingusher_config::{Publication, Snapshot, publish};
use waxwingusher_core::{Clock, HostEntry, HostId, HostList, HostState, ManualClock};
use waxwingusher_standins::{LinkFaults, Links};

use crate::call::{Call, CallKind};
use crate::flow::{Environment, RequestFlow};
use crate::oracle::{Conditions, Oracle};
use crate::process::{Packet, Process};
use crate::sample::{self, DOMAINS};
use crate::upstream::Upstreams;
pub use host::Host;
use host::{Input, new_host, observation_of, on_service_answer};

/// The time between two ticks of all hosts.
pub const STEP: Duration = Duration::from_millis(50);
/// The number of hosts in each failure domain.
pub const HOSTS_PER_DOMAIN: usize = 2;
/// The number of hosts in the fleet.
pub const HOSTS: usize = DOMAINS * HOSTS_PER_DOMAIN;
/// The largest drift of a clock, in parts per million.
const MAX_DRIFT_PPM: i32 = 9_000;
/// The number of seed peers of a new process.
const SEEDS: usize = 2;

/// A packet with its sender's incarnation.
type Envelope = (u64, Packet);

/// The whole fleet with its platform, links and upstreams.
pub struct Fleet {
    /// All hosts.
    pub hosts: Vec<Host>,
    /// The configuration service.
    pub service: FakeService,
    /// The upstream instances.
    pub upstreams: Upstreams,
    /// Checks the users' promises.
    pub oracle: Oracle,
    pub(crate) links: Links<Envelope>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) snapshot: Snapshot,
    pub(crate) publications: Vec<Publication>,
    pub(crate) states: Vec<Option<HostState>>,
    pub(crate) conditions: Conditions,
    list_version: u64,
    time: ManualClock,
    next_call: u64,
}

impl Fleet {
    /// Starts a fleet and runs it until it admits requests.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let time = ManualClock::new();
        let mut rng = fastrand::Rng::with_seed(seed);
        let snapshot = sample::first_snapshot();
        let mut hosts = Vec::new();
        for index in 0..HOSTS {
            hosts.push(new_host(index, &time, &mut rng));
        }
        let mut fleet = Self {
            hosts,
            service: FakeService::default(),
            upstreams: Upstreams::new(seed),
            oracle: Oracle::new(&Arc::new(snapshot.clone())),
            links: Links::new(seed, LinkFaults::default()),
            rng,
            snapshot,
            publications: Vec::new(),
            states: vec![Some(HostState::Live); HOSTS],
            conditions: Conditions {
                stable_since: Duration::ZERO,
                linked_since: Duration::ZERO,
                is_lossy: false,
            },
            list_version: 0,
            time,
            next_call: 0,
        };
        fleet.publish_list();
        fleet.publish_again();
        for index in 0..HOSTS {
            fleet.start(index);
        }
        fleet.run(sample::WARM_UP);
        fleet
    }

    /// Returns the true time since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.time.elapsed()
    }

    /// Starts a process without state on a host, in place of a running one.
    pub fn start(&mut self, index: usize) {
        self.stop(index);
        let incarnation = self.rng.u64(1..);
        let host = &mut self.hosts[index];
        host.process = Some(Process::start(&host.context, incarnation));
        self.conditions.linked_since = self.elapsed();
    }

    /// Kills the process of a host.
    pub fn stop(&mut self, index: usize) {
        self.resume(index);
        let host = &mut self.hosts[index];
        host.process = None;
        host.inbox.clear();
        self.service.drop_calls(&host.context.id);
        self.record_link_change();
    }

    /// Pauses a process. On a suspended machine the monotonic clock stops, too.
    pub fn pause(&mut self, index: usize, is_suspended: bool) {
        let now = self.elapsed();
        let host = &mut self.hosts[index];
        if host.is_paused || host.process.is_none() {
            return;
        }
        host.is_paused = true;
        host.suspended_since = is_suspended.then_some(now);
        self.conditions.stable_since = now;
    }

    /// Resumes a paused process. Its requests advance before it receives what
    /// has arrived during the pause.
    pub fn resume(&mut self, index: usize) {
        let now = self.elapsed();
        let host = &mut self.hosts[index];
        if !host.is_paused {
            return;
        }
        host.is_paused = false;
        if let Some(since) = host.suspended_since.take() {
            host.clock.suspend(now - since);
        }
        self.conditions.stable_since = now;
        self.advance_requests(index);
    }

    /// Cuts or restores the link between two hosts in one direction.
    pub fn set_link(&mut self, from: usize, to: usize, is_cut: bool) {
        let (from, to) = (&self.hosts[from].context.id, &self.hosts[to].context.id);
        if is_cut {
            self.links.cut(from, to);
        } else {
            self.links.heal(from, to);
        }
        self.record_link_change();
    }

    /// Restores all links and removes their faults.
    pub fn restore_links(&mut self) {
        self.links.heal_all();
        self.set_faults(LinkFaults::default());
    }

    /// Sets how all links behave.
    pub fn set_faults(&mut self, faults: LinkFaults) {
        self.links.set_faults(faults);
        self.conditions.is_lossy = faults.loss > 0.0;
        self.record_link_change();
    }

    /// Publishes the configuration under the next version.
    pub fn publish(&mut self) {
        self.snapshot.version += 1;
        self.oracle.on_published(&Arc::new(self.snapshot.clone()));
        self.publish_again();
    }

    /// Publishes the host list under the next version.
    pub fn publish_list(&mut self) {
        self.list_version += 1;
        let mut hosts = Vec::new();
        for (host, state) in self.hosts.iter().zip(&self.states) {
            let Some(state) = state else {
                continue;
            };
            hosts.push(HostEntry {
                id: host.context.id.clone(),
                peer_addr: ([127, 0, 0, 1], 1).into(),
                failure_domain: host.context.domain.clone(),
                state: *state,
            });
        }
        let version = self.list_version;
        self.service.put_hosts(&HostList { version, hosts });
    }

    /// Sends a request to a host.
    pub fn request(&mut self, index: usize, workspace: usize, key: usize, kind: CallKind) {
        self.next_call += 1;
        let call = Call {
            id: self.next_call,
            workspace,
            key,
            kind,
        };
        let now = self.elapsed();
        let host = &mut self.hosts[index];
        if !host.is_running() {
            return;
        }
        let Some(process) = &mut host.process else {
            return;
        };
        match RequestFlow::admit(process, call) {
            Ok(flow) => process.flows.push(flow),
            Err(reason) => self.oracle.on_refusal(&call, reason.outcome(), false, now),
        }
        self.advance_requests(index);
    }

    /// Runs the fleet for `time`, or until a promise is broken.
    pub fn run(&mut self, time: Duration) {
        let end = self.elapsed() + time;
        while self.elapsed() < end && self.oracle.violations().is_empty() {
            self.step();
        }
    }

    /// Runs to the next tick of all hosts.
    pub fn step(&mut self) {
        let end = self.time.now() + STEP;
        while let Some(at) = self.links.next_arrival().filter(|at| *at <= end) {
            let ahead = at.saturating_duration_since(self.time.now());
            self.time.advance(ahead);
            self.deliver();
        }
        let ahead = end.saturating_duration_since(self.time.now());
        self.time.advance(ahead);
        for call in self.service.answers(end) {
            self.receive(&call.host.clone(), Input::ServiceAnswer(call));
        }
        for index in 0..self.hosts.len() {
            self.tick(index);
        }
        self.observe();
    }

    fn publish_again(&mut self) {
        let Ok(publication) = publish(&self.snapshot) else {
            return;
        };
        self.service.publish(&publication);
        self.publications.push(publication);
    }

    fn record_link_change(&mut self) {
        let now = self.elapsed();
        self.conditions.linked_since = now;
        self.conditions.stable_since = now;
    }

    fn deliver(&mut self) {
        while let Some(delivery) = self.links.receive(self.time.now()) {
            self.receive(&delivery.to.clone(), Input::Packet(delivery));
        }
    }

    fn receive(&mut self, id: &HostId, input: Input) {
        let found = self.hosts.iter().position(|host| host.context.id == *id);
        let Some(index) = found.filter(|at| self.hosts[*at].process.is_some()) else {
            return;
        };
        self.hosts[index].inbox.push_back(input);
        self.drain_inbox(index);
    }

    fn drain_inbox(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if host.is_paused {
            return;
        }
        let Some(process) = &mut host.process else {
            return;
        };
        for input in host.inbox.drain(..) {
            match input {
                Input::Packet(delivery) => {
                    let (incarnation, packet) = delivery.message;
                    process.on_packet(&delivery.from, incarnation, packet);
                }
                Input::ServiceAnswer(call) => on_service_answer(process, &call),
            }
        }
        self.advance_requests(index);
    }

    fn tick(&mut self, index: usize) {
        self.drain_inbox(index);
        let host = &mut self.hosts[index];
        if host.is_paused {
            return;
        }
        if let Some(process) = &mut host.process {
            process.tick();
        }
        self.advance_requests(index);
    }

    /// Advances the requests of a host, then sends its packets and its calls to
    /// the configuration service.
    fn advance_requests(&mut self, index: usize) {
        let now = self.elapsed();
        let host = &mut self.hosts[index];
        let Some(process) = &mut host.process else {
            return;
        };
        let mut env = Environment {
            host: &host.context.id,
            upstreams: &mut self.upstreams,
            oracle: &mut self.oracle,
            now,
        };
        process.advance_requests(&mut env);
        for (to, packet) in process.outbox.drain(..) {
            let envelope = (process.incarnation, packet);
            self.links
                .send(self.time.now(), &host.context.id, &to, envelope);
        }
        for read in process.reads.drain(..) {
            self.service.call(&host.context.id, read, self.time.now());
        }
    }

    fn observe(&mut self) {
        let mut indexes = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            if host.process.is_some() {
                indexes.push(index);
            }
        }
        let mut observations = Vec::new();
        for index in &indexes {
            let Some(process) = &self.hosts[*index].process else {
                continue;
            };
            let mut observation = observation_of(&self.hosts[*index], process);
            for (at, other) in indexes.iter().enumerate() {
                let is_known = process.knows(&self.hosts[*other].context.id);
                if other != index && is_known && self.reaches(*index, *other) {
                    observation.reachable.push(at);
                }
            }
            observations.push(observation);
        }
        let now = self.elapsed();
        self.oracle.observe(&observations, self.conditions, now);
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.hosts[a].context.id, &self.hosts[b].context.id);
        !self.links.is_cut(a, b) && !self.links.is_cut(b, a)
    }
}
