//! A cluster of attempt registries whose messages are delivered immediately.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use waxwingusher_attempts::{
    AttemptRegistry, AttemptRequest, AttemptSettings, AttemptTicket, Permission,
};
use waxwingusher_core::{
    BodyDigest, Clock, FailureDomain, HostEntry, HostId, HostList, HostState, ManualClock,
    WorkspaceName,
};
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::attempt::{AttemptMessage, StoredAnswer};

/// How long callers wait for an answer.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(2);

pub struct Cluster {
    pub clock: ManualClock,
    pub settings: AttemptSettings,
    pub hosts: BTreeMap<HostId, AttemptRegistry>,
    pub list: HostList,
    /// The lists of hosts that receive another list than the rest.
    pub views: BTreeMap<HostId, HostList>,
    /// Hosts whose messages are dropped in both directions.
    pub disconnected: Vec<HostId>,
    incarnation: u64,
}

pub fn host(index: usize) -> HostId {
    HostId::new(&format!("h{index}"))
}

/// Returns a list of hosts `h0`, `h1` and so on, spread over the failure domains.
pub fn host_list(version: u64, hosts: usize, domains: usize) -> HostList {
    let entry = |index: usize| HostEntry {
        id: host(index),
        peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        failure_domain: FailureDomain::new(&format!("d{}", index % domains)),
        state: HostState::Live,
    };
    HostList {
        version,
        hosts: (0..hosts).map(entry).collect(),
    }
}

pub fn request(key: &str, body: &str, clock: &dyn Clock) -> AttemptRequest {
    AttemptRequest {
        workspace: WorkspaceName::new("staff"),
        idempotency_key: key.to_owned(),
        body_digest: BodyDigest::of_request("POST", "/leaves", body.as_bytes()),
        deadline: clock.now() + CALLER_TIMEOUT,
    }
}

pub fn answer(body: &[u8]) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: Vec::new(),
        body: body.into(),
    }
}

impl Cluster {
    /// Starts hosts that use the list but do not vouch yet.
    pub fn cold(hosts: usize, domains: usize, settings: AttemptSettings) -> Self {
        let mut cluster = Self {
            clock: ManualClock::new(),
            settings,
            hosts: BTreeMap::new(),
            list: host_list(1, hosts, domains),
            views: BTreeMap::new(),
            disconnected: Vec::new(),
            incarnation: 0,
        };
        for index in 0..hosts {
            cluster.start(&host(index));
        }
        cluster.advance(settings.list_settle);
        cluster
    }

    /// Starts hosts and waits until they vouch.
    pub fn warm(hosts: usize, domains: usize) -> Self {
        let settings = AttemptSettings::default();
        let mut cluster = Self::cold(hosts, domains, settings);
        cluster.advance(settings.coverage());
        cluster
    }

    /// Starts a process without records, in place of a running one.
    pub fn start(&mut self, id: &HostId) {
        self.incarnation += 1;
        let clock: Arc<dyn Clock> = Arc::new(self.clock.clone());
        let mut registry =
            AttemptRegistry::new(id.clone(), self.incarnation, clock, 1, self.settings);
        registry.apply_host_list(&self.list);
        self.hosts.insert(id.clone(), registry);
    }

    /// Advances the clock in steps, with confirmed lists and ticks.
    pub fn advance(&mut self, time: Duration) {
        let step = Duration::from_millis(500);
        let mut left = time;
        loop {
            let ids: Vec<_> = self.hosts.keys().cloned().collect();
            for id in ids {
                self.tick(&id);
            }
            if left.is_zero() {
                return;
            }
            let elapsed = left.min(step);
            self.clock.advance(elapsed);
            left -= elapsed;
        }
    }

    /// Begins an attempt, and ticks its host until the attempt is decided.
    pub fn begin(&mut self, id: &HostId, request: &AttemptRequest) -> (AttemptTicket, Permission) {
        let (ticket, outgoing) = self.registry(id).begin(request);
        self.deliver(id, outgoing);
        for _ in 0..=41 {
            let decisions = self.registry(id).take_decisions();
            if let Some(decision) = decisions.into_iter().find(|d| d.ticket == ticket) {
                return (ticket, decision.permission);
            }
            self.clock.advance(Duration::from_millis(50));
            self.tick(id);
        }
        panic!("the attempt was not decided within its deadline");
    }

    /// Begins an attempt that must be permitted, and dispatches it.
    pub fn dispatch(&mut self, id: &HostId, request: &AttemptRequest) -> AttemptTicket {
        let (ticket, permission) = self.begin(id, request);
        assert_eq!(permission, Permission::Run);
        assert_eq!(self.registry(id).check_before_dispatch(ticket), Ok(()));
        ticket
    }

    pub fn registry(&mut self, id: &HostId) -> &mut AttemptRegistry {
        self.hosts.get_mut(id).expect("the host is up")
    }

    /// Delivers messages and all replies to them.
    pub fn deliver(&mut self, from: &HostId, outgoing: Vec<Outgoing<AttemptMessage>>) {
        let mut queue = VecDeque::from([(from.clone(), outgoing)]);
        while let Some((from, outgoing)) = queue.pop_front() {
            for Outgoing { to, message } in outgoing {
                if self.disconnected.contains(&to) || self.disconnected.contains(&from) {
                    continue;
                }
                let Some(incarnation) = self.incarnation_of(&from) else {
                    continue;
                };
                let Some(registry) = self.hosts.get_mut(&to) else {
                    continue;
                };
                let replies = registry.on_message(&from, incarnation, message);
                queue.push_back((to, replies));
            }
        }
    }

    fn incarnation_of(&self, id: &HostId) -> Option<u64> {
        Some(self.hosts.get(id)?.incarnation())
    }

    fn tick(&mut self, id: &HostId) {
        let list = self.views.get(id).unwrap_or(&self.list).clone();
        let registry = self.registry(id);
        registry.apply_host_list(&list);
        registry.confirm_host_list(list.version);
        let outgoing = registry.tick();
        self.deliver(id, outgoing);
    }
}
