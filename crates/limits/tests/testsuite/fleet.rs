//! A fleet of limiters in virtual time that read a platform with a delay.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_config::{RateLimit, Snapshot, Workspace};
use waxwingusher_core::{
    Clock, FailureDomain, HostEntry, HostId, HostList, HostState, ManualClock, WorkspaceName,
};
use waxwingusher_limits::{LimitKey, Limiter, LimiterSettings, SpendDecision};
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::loan::LoanMessage;
use waxwingusher_standins::{Delivery, LinkFaults, Links};

use crate::oracle::Oracle;

/// The time between two steps of the fleet.
pub const STEP: Duration = Duration::from_millis(10);

/// The steps between two reads of the platform by one host.
const READ_STEPS: u64 = 5;

/// A message with its sender's incarnation.
type SentMessage = (u64, LoanMessage);

/// One host with its process, if it runs.
pub struct Host {
    pub id: HostId,
    pub domain: FailureDomain,
    pub clock: ManualClock,
    pub drift: f64,
    pub limiter: Option<Limiter>,
    pub incarnation: u64,
    /// When a paused process resumes.
    pub paused_until: Duration,
    pub reads_list: bool,
    /// A peer from which the host learns newer host lists.
    pub list_source: Option<usize>,
    list: HostList,
    pub list_lag: Duration,
    pub config_lag: Duration,
    inbox: VecDeque<Delivery<SentMessage>>,
    waiting: Vec<(LimitKey, Instant)>,
}

/// The parameters of a fleet.
#[derive(Clone)]
pub struct FleetPlan {
    pub seed: u64,
    pub domains: usize,
    pub hosts_per_domain: usize,
    pub settings: LimiterSettings,
    pub faults: LinkFaults,
}

/// All hosts, links and the platform.
pub struct Fleet {
    pub hosts: Vec<Host>,
    pub links: Links<SentMessage>,
    pub oracle: Oracle,
    pub rng: fastrand::Rng,
    pub settings: LimiterSettings,
    pub refused: u64,
    pub violations: u64,
    lists: Vec<(Duration, HostList)>,
    snapshots: Vec<(Duration, Snapshot)>,
    real_clock: ManualClock,
    steps: u64,
}

/// Returns the names of failure domains.
pub fn domains(count: usize) -> Vec<FailureDomain> {
    let name = |i| FailureDomain::new(&format!("domain-{i}"));
    (0..count).map(name).collect()
}

/// Returns the limit key of a workspace.
pub fn key(name: &str) -> LimitKey {
    LimitKey::Workspace(WorkspaceName::new(name))
}

/// Returns a configuration with these workspaces.
pub fn snapshot(version: u64, limits: &[(&str, u64, u32)]) -> Snapshot {
    let mut snapshot = Snapshot {
        version,
        ..Snapshot::default()
    };
    for (name, rate_per_s, burst) in limits {
        let workspace = Workspace {
            name: WorkspaceName::new(name),
            key_digests: Vec::new(),
            limit: RateLimit {
                rate_millis_per_s: rate_per_s * 1000,
                burst: *burst,
            },
            weight: 1,
        };
        snapshot
            .workspaces
            .insert(workspace.name.clone(), Arc::new(workspace));
    }
    snapshot
}

impl Fleet {
    /// Starts all hosts at once under a first host list.
    pub fn new(plan: &FleetPlan, first: Snapshot) -> Self {
        let real_clock = ManualClock::new();
        let mut hosts = Vec::new();
        for domain in domains(plan.domains) {
            for i in 0..plan.hosts_per_domain {
                let id = HostId::new(&format!("{domain}-host-{i}"));
                hosts.push(Host::new(id, domain.clone(), real_clock.fork()));
            }
        }
        let mut fleet = Self {
            hosts,
            links: Links::new(plan.seed, plan.faults),
            oracle: Oracle::default(),
            rng: fastrand::Rng::with_seed(plan.seed),
            settings: plan.settings.clone(),
            refused: 0,
            violations: 0,
            lists: Vec::new(),
            snapshots: Vec::new(),
            real_clock,
            steps: 0,
        };
        let states = vec![Some(HostState::Live); fleet.hosts.len()];
        fleet.publish_list(&states);
        fleet.publish(first);
        for i in 0..fleet.hosts.len() {
            fleet.start(i);
            fleet.read_platform(i);
        }
        fleet
    }

    /// Returns the real time since the start.
    pub fn elapsed(&self) -> Duration {
        self.real_clock.elapsed()
    }

    /// Publishes a host list with these states; `None` leaves a host out.
    pub fn publish_list(&mut self, states: &[Option<HostState>]) {
        let version = self.lists.len() as u64 + 1;
        let mut hosts = Vec::new();
        for (host, state) in self.hosts.iter().zip(states) {
            let Some(state) = state else {
                continue;
            };
            hosts.push(HostEntry {
                id: host.id.clone(),
                peer_addr: ([127, 0, 0, 1], 1).into(),
                failure_domain: host.domain.clone(),
                state: *state,
            });
        }
        let list = HostList { version, hosts };
        self.lists.push((self.elapsed(), list));
    }

    /// Publishes a configuration.
    pub fn publish(&mut self, snapshot: Snapshot) {
        self.snapshots.push((self.elapsed(), snapshot));
    }

    /// Replaces the process of a host by a new one.
    pub fn start(&mut self, i: usize) {
        let incarnation = self.rng.u64(1..);
        let settings = self.settings.clone();
        let host = &mut self.hosts[i];
        let clock = Arc::new(host.clock.clone());
        host.incarnation = incarnation;
        host.limiter = Some(Limiter::new(host.id.clone(), incarnation, clock, settings));
        host.paused_until = Duration::ZERO;
        host.inbox.clear();
        host.waiting.clear();
        host.list = HostList::default();
    }

    /// Kills the process of a host.
    pub fn kill(&mut self, i: usize) {
        self.hosts[i].limiter = None;
    }

    /// Cuts all links from one set of hosts to another.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        for a in from {
            for b in to {
                self.links.cut(&self.hosts[*a].id, &self.hosts[*b].id);
            }
        }
    }

    /// Advances by one step, then sends the given requests (host, limit).
    pub fn step(&mut self, requests: &[(usize, LimitKey)]) {
        self.steps += 1;
        self.real_clock.advance(STEP);
        for host in &mut self.hosts {
            host.clock.advance(STEP.mul_f64(1.0 + host.drift));
        }
        self.deliver();
        for i in 0..self.hosts.len() {
            if self.is_running(i) {
                self.step_host(i);
            }
        }
        for (i, key) in requests {
            if self.is_running(*i) {
                self.request(*i, key);
            }
        }
    }

    /// Returns the tokens (in thousandths) and the rate (in thousandths per second)
    /// that all running hosts together may use now.
    pub fn usable_totals(&self) -> (u64, u64) {
        let mut usable_totals = (0, 0);
        let running = (0..self.hosts.len()).filter(|i| self.is_running(*i));
        for limiter in running.filter_map(|i| self.hosts[i].limiter.as_ref()) {
            for limit in limiter.report().limits {
                usable_totals.0 += limit.share_tokens_millis + limit.borrowed_tokens_millis;
                usable_totals.1 += limit.share_rate_millis_per_s + limit.borrowed_rate_millis_per_s;
            }
        }
        usable_totals
    }

    fn is_running(&self, i: usize) -> bool {
        let host = &self.hosts[i];
        host.limiter.is_some() && host.paused_until <= self.elapsed()
    }

    fn deliver(&mut self) {
        while let Some(delivery) = self.links.receive(self.real_clock.now()) {
            let to = self.hosts.iter().position(|host| host.id == delivery.to);
            let Some(to) = to else {
                continue;
            };
            self.hosts[to].inbox.push_back(delivery);
        }
    }

    fn step_host(&mut self, i: usize) {
        if (self.steps + i as u64).is_multiple_of(READ_STEPS) {
            self.read_platform(i);
        }
        for (key, until) in std::mem::take(&mut self.hosts[i].waiting) {
            self.retry(i, &key, until);
        }
        let host = &mut self.hosts[i];
        let Some(limiter) = &mut host.limiter else {
            return;
        };
        let mut out = Vec::new();
        for delivery in std::mem::take(&mut host.inbox) {
            let (incarnation, message) = delivery.message;
            out.extend(limiter.on_message(&delivery.from, incarnation, message));
        }
        out.extend(limiter.tick());
        self.send(i, out);
    }

    fn read_platform(&mut self, i: usize) {
        let now = self.elapsed();
        let source = self.hosts[i]
            .list_source
            .map(|from| self.hosts[from].list.clone());
        let host = &mut self.hosts[i];
        let Some(limiter) = &mut host.limiter else {
            return;
        };
        let is_visible = |at: Duration, lag: Duration| at == Duration::ZERO || at + lag <= now;
        if host.reads_list {
            let latest = self
                .lists
                .iter()
                .rfind(|(at, _)| is_visible(*at, host.list_lag));
            if let Some((_, list)) = latest {
                if list.version > host.list.version {
                    host.list = list.clone();
                }
                limiter.apply_host_list(list);
                limiter.confirm_host_list(list.version, host.clock.now());
            }
        }
        let learned_list = source.filter(|list| list.version > host.list.version);
        if let Some(list) = learned_list {
            limiter.apply_host_list(&list);
            host.list = list;
        }
        let latest = self
            .snapshots
            .iter()
            .rfind(|(at, _)| is_visible(*at, host.config_lag));
        if let Some((_, snapshot)) = latest {
            limiter.apply_snapshot(snapshot);
        }
    }

    fn request(&mut self, i: usize, key: &LimitKey) {
        let LimitKey::Workspace(name) = key else {
            return;
        };
        let Some(limiter) = &mut self.hosts[i].limiter else {
            return;
        };
        let decision = limiter.spend(name);
        self.apply_decision(i, key, decision);
    }

    fn retry(&mut self, i: usize, key: &LimitKey, until: Instant) {
        let Some(limiter) = &mut self.hosts[i].limiter else {
            return;
        };
        let decision = limiter.spend_waiting(key, until);
        self.apply_decision(i, key, decision);
    }

    fn apply_decision(&mut self, i: usize, key: &LimitKey, decision: SpendDecision) {
        match decision {
            SpendDecision::Spent => {
                let holds = self.oracle.admit(key, self.elapsed());
                self.violations += u64::from(!holds);
            }
            SpendDecision::Wait(until) => self.hosts[i].waiting.push((key.clone(), until)),
            SpendDecision::Refused { .. } => self.refused += 1,
        }
    }

    /// Sends messages of a host.
    pub fn send(&mut self, i: usize, out: Vec<Outgoing<LoanMessage>>) {
        let now = self.real_clock.now();
        let (id, incarnation) = (self.hosts[i].id.clone(), self.hosts[i].incarnation);
        for outgoing in out {
            let sent_message = (incarnation, outgoing.message);
            self.links.send(now, &id, &outgoing.to, sent_message);
        }
    }
}

impl Host {
    fn new(id: HostId, domain: FailureDomain, clock: ManualClock) -> Self {
        Self {
            id,
            domain,
            clock,
            drift: 0.0,
            limiter: None,
            incarnation: 0,
            paused_until: Duration::ZERO,
            reads_list: true,
            list_source: None,
            list: HostList::default(),
            list_lag: Duration::ZERO,
            config_lag: Duration::ZERO,
            inbox: VecDeque::new(),
            waiting: Vec::new(),
        }
    }
}
