//! A fleet of hosts in virtual time with faults between them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use waxwingusher_config::{Detection, Instance, InstanceState, Service, Snapshot};
use waxwingusher_core::{Clock, HostEntry, HostId, HostList, HostState, InstanceId, ManualClock};
use waxwingusher_core::{FailureDomain, ServiceName};
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::health::HealthMessage;
use waxwingusher_standins::{LinkFaults, Links};
use waxwingusher_upstreams::{
    Choice, ChooseRequest, RequestOrigin, UpstreamResult, UpstreamSet, UpstreamSettings,
};

pub const STEP: Duration = Duration::from_millis(20);
const DOMAINS: usize = 4;

pub fn domain(index: usize) -> FailureDomain {
    FailureDomain::new(&format!("domain-{}", index % DOMAINS))
}

pub fn instance(index: usize, slots: u32) -> Instance {
    Instance {
        id: InstanceId::new(&format!("instance-{index:02}")),
        addr: SocketAddr::from(([127, 0, 0, 1], 9_000 + index as u16)),
        slots,
        failure_domain: domain(index),
        state: InstanceState::Live,
    }
}

pub fn service(instances: usize, detection: Detection) -> Service {
    Service {
        name: service_name(),
        owner: Arc::from("team"),
        instances: (0..instances).map(|index| instance(index, 6)).collect(),
        floor_percent: 70,
        detection,
        health_path: Arc::from("/health"),
    }
}

pub fn service_name() -> ServiceName {
    ServiceName::new("approval-desk")
}

pub fn snapshot(version: u64, service: Service) -> Snapshot {
    Snapshot {
        version,
        services: BTreeMap::from([(service.name.clone(), Arc::new(service))]),
        ..Snapshot::default()
    }
}

pub fn host_list(version: u64, hosts: impl Iterator<Item = usize>) -> HostList {
    let hosts = hosts.map(|index| HostEntry {
        id: host_id(index),
        peer_addr: SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16)),
        failure_domain: domain(index),
        state: HostState::Live,
    });
    HostList {
        version,
        hosts: hosts.collect(),
    }
}

pub fn host_id(index: usize) -> HostId {
    HostId::new(&format!("host-{index:03}"))
}

pub fn origin(workspace: usize) -> RequestOrigin {
    RequestOrigin {
        workspace: format!("workspace-{workspace}").as_str().into(),
        route: format!("route-{}", workspace % 5).as_str().into(),
    }
}

pub fn success() -> UpstreamResult {
    UpstreamResult::Success {
        latency: Duration::from_millis(20),
        load: None,
    }
}

type TaggedMessage = (u64, HealthMessage);

pub struct FleetHost {
    pub id: HostId,
    pub set: UpstreamSet,
    pub is_paused: bool,
    incarnation: u64,
    inbox: VecDeque<(HostId, TaggedMessage)>,
}

pub struct Fleet {
    pub clock: ManualClock,
    pub hosts: Vec<FleetHost>,
    pub links: Links<TaggedMessage>,
    pub rng: fastrand::Rng,
    settings: UpstreamSettings,
}

impl Fleet {
    pub fn new(hosts: usize, seed: u64, faults: LinkFaults, snapshot: &Snapshot) -> Self {
        let mut fleet = Self {
            clock: ManualClock::new(),
            hosts: Vec::new(),
            links: Links::new(seed, faults),
            rng: fastrand::Rng::with_seed(seed),
            settings: UpstreamSettings::default(),
        };
        let list = host_list(1, 0..hosts);
        for index in 0..hosts {
            let host = fleet.start_host(index, &list, snapshot);
            fleet.hosts.push(host);
        }
        fleet
    }

    pub fn restart(&mut self, index: usize, list: &HostList, snapshot: &Snapshot) {
        self.hosts[index] = self.start_host(index, list, snapshot);
    }

    /// Advances the time by one step, delivers messages and ticks all hosts.
    pub fn step(&mut self) {
        self.clock.advance(STEP);
        let now = self.clock.now();
        while let Some(delivery) = self.links.receive(now) {
            let to = self.hosts.iter_mut().find(|host| host.id == delivery.to);
            if let Some(host) = to {
                host.inbox.push_back((delivery.from, delivery.message));
            }
        }
        for index in 0..self.hosts.len() {
            if self.hosts[index].is_paused {
                continue;
            }
            self.run_host(index);
        }
    }

    /// Sends one request through a host and reports the result of `result`.
    pub fn request(
        &mut self,
        host: usize,
        workspace: usize,
        result: impl FnOnce(&Choice, &mut fastrand::Rng) -> UpstreamResult,
    ) -> Option<Choice> {
        self.request_excluding(host, workspace, &[], result)
    }

    /// The same, but never to the excluded instances.
    pub fn request_excluding(
        &mut self,
        host: usize,
        workspace: usize,
        exclude: &[InstanceId],
        result: impl FnOnce(&Choice, &mut fastrand::Rng) -> UpstreamResult,
    ) -> Option<Choice> {
        let request = ChooseRequest {
            is_idempotent: true,
            exclude,
            deadline: self.clock.now() + Duration::from_secs(1),
        };
        let set = &mut self.hosts[host].set;
        let choice = set.choose(&service_name(), &request).ok()?;
        let result = result(&choice, &mut self.rng);
        set.report(choice.id, &origin(workspace), result);
        Some(choice)
    }

    /// Returns how many requests arrive in one step.
    pub fn arrivals(&mut self, rate_per_s: f64) -> usize {
        let mean = rate_per_s * STEP.as_secs_f64();
        mean as usize + usize::from(self.rng.f64() < mean.fract())
    }

    /// Sends one step's requests at `rate_per_s` through random running hosts.
    pub fn send_requests(
        &mut self,
        rate_per_s: f64,
        mut result: impl FnMut(usize, &Choice, &mut fastrand::Rng) -> UpstreamResult,
    ) {
        for _ in 0..self.arrivals(rate_per_s) {
            let host = self.rng.usize(..self.hosts.len());
            let workspace = self.rng.usize(..8);
            if self.hosts[host].is_paused {
                continue;
            }
            self.request(host, workspace, |choice, rng| result(host, choice, rng));
        }
    }

    /// Returns the instances that any running host has ejected.
    pub fn ejected_anywhere(&self) -> BTreeSet<InstanceId> {
        let hosts = self.hosts.iter().filter(|host| !host.is_paused);
        hosts
            .flat_map(|host| host.set.ejected(&service_name()))
            .collect()
    }

    /// Returns the number of running hosts that have ejected an instance.
    pub fn hosts_that_ejected(&self, instance: &InstanceId) -> usize {
        let hosts = self.hosts.iter().filter(|host| !host.is_paused);
        hosts
            .filter(|host| host.set.ejected(&service_name()).contains(instance))
            .count()
    }

    fn start_host(&mut self, index: usize, list: &HostList, snapshot: &Snapshot) -> FleetHost {
        let incarnation = self.rng.u64(..);
        let clock: Arc<dyn Clock> = Arc::new(self.clock.clone());
        let mut set = UpstreamSet::new(
            host_id(index),
            domain(index),
            incarnation,
            clock,
            self.rng.u64(..),
            self.settings.clone(),
        );
        set.apply_host_list(list);
        set.apply_snapshot(snapshot);
        FleetHost {
            id: host_id(index),
            set,
            is_paused: false,
            incarnation,
            inbox: VecDeque::new(),
        }
    }

    fn run_host(&mut self, index: usize) {
        let now = self.clock.now();
        let host = &mut self.hosts[index];
        let mut outgoing_messages: Vec<Outgoing<HealthMessage>> = Vec::new();
        while let Some((from, (incarnation, message))) = host.inbox.pop_front() {
            outgoing_messages.extend(host.set.on_message(&from, incarnation, &message));
        }
        outgoing_messages.extend(host.set.tick());
        for outgoing in outgoing_messages {
            let tagged = (host.incarnation, outgoing.message);
            self.links.send(now, &host.id, &outgoing.to, tagged);
        }
    }
}
