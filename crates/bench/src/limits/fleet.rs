//! A simulated fleet of limiters in virtual time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_config::{Snapshot, Workspace};
use waxwingusher_core::{
    Clock, FailureDomain, HostEntry, HostId, HostList, HostState, ManualClock, WorkspaceName,
};
use waxwingusher_limits::{LimitKey, Limiter, LimiterSettings, SpendDecision};
use waxwingusher_protocol::loan::LoanMessage;
use waxwingusher_protocol::{Message, Outgoing, codec};
use waxwingusher_standins::{LinkFaults, Links};

use super::load::{Decision, Demand, RateLimiter, Request};

/// The time between ticks of a host.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The time between reads of the host list by a host that reads it.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// The time until all shares are in use after all hosts started at once.
pub const WARM_UP: Duration = Duration::from_secs(60);

/// The size of a fleet.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The number of failure domains.
    pub domains: usize,
    /// The hosts in each failure domain.
    pub hosts_per_domain: usize,
    /// The hosts in each failure domain that read the host list.
    pub readers_per_domain: usize,
}

impl Shape {
    /// The current size of the fleet.
    pub const CURRENT: Self = Self {
        domains: 4,
        hosts_per_domain: 9,
        readers_per_domain: 9,
    };

    /// Returns the number of hosts.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.domains * self.hosts_per_domain
    }
}

struct WaitingRequest {
    request: Request,
    key: LimitKey,
    until: Instant,
}

struct Host {
    id: HostId,
    incarnation: u64,
    reads_list: bool,
    limiter: Option<Limiter>,
    next_tick: Duration,
    next_read: Duration,
    waiting: Vec<WaitingRequest>,
    has_new_grants: bool,
}

/// The messages that all hosts have sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// The number of datagrams.
    pub datagrams: u64,
    /// The bytes, including headers.
    pub bytes: u64,
    /// The number of datagrams about the freshness of the host list.
    pub list_datagrams: u64,
}

/// The limiters of all hosts and their links.
pub struct Fleet {
    settings: LimiterSettings,
    clock: ManualClock,
    links: Links<(u64, LoanMessage)>,
    hosts: Vec<Host>,
    host_indexes: HashMap<HostId, usize>,
    names: Vec<WorkspaceName>,
    snapshot: Snapshot,
    list: HostList,
    rng: fastrand::Rng,
    traffic: Traffic,
    processor_time: Duration,
}

impl Fleet {
    /// Starts all hosts at once.
    #[must_use]
    pub fn new(shape: &Shape, demands: &[Demand], seed: u64) -> Self {
        let domain = |i: usize| FailureDomain::new(&format!("domain-{i}"));
        let domains: Vec<_> = (0..shape.domains).map(domain).collect();
        let names = workspace_names(demands.len());
        let mut fleet = Self {
            settings: LimiterSettings::new(domains.clone()),
            clock: ManualClock::new(),
            links: Links::new(seed, LinkFaults::default()),
            hosts: Vec::new(),
            host_indexes: HashMap::new(),
            snapshot: snapshot(&names, demands),
            names,
            list: HostList::default(),
            rng: fastrand::Rng::with_seed(seed),
            traffic: Traffic::default(),
            processor_time: Duration::ZERO,
        };
        for i in 0..shape.hosts() {
            let in_domain = i / shape.domains;
            fleet.add_host(
                &domains[i % shape.domains],
                in_domain < shape.readers_per_domain,
            );
        }
        fleet.list.version = 1;
        for host in 0..fleet.hosts.len() {
            fleet.start(host);
        }
        fleet
    }

    /// Replaces the process of a host by a new one without state.
    pub fn start(&mut self, host: usize) {
        let incarnation = self.rng.u64(1..);
        let clock = Arc::new(self.clock.clone());
        let id = self.hosts[host].id.clone();
        let mut limiter = Limiter::new(id, incarnation, clock, self.settings.clone());
        limiter.apply_snapshot(&self.snapshot);
        limiter.apply_host_list(&self.list);
        let entry = &mut self.hosts[host];
        entry.incarnation = incarnation;
        entry.limiter = Some(limiter);
        entry.next_read = self.clock.elapsed();
    }

    /// Kills the process of a host.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].limiter = None;
    }

    /// Cuts all links between a failure domain and the others.
    pub fn cut_domain(&mut self, domain: usize, domains: usize) {
        for a in 0..self.hosts.len() {
            for b in 0..self.hosts.len() {
                if (a % domains == domain) != (b % domains == domain) {
                    self.links.cut(&self.hosts[a].id, &self.hosts[b].id);
                }
            }
        }
    }

    /// Sets which hosts read the host list.
    pub fn set_readers(&mut self, reads: impl Fn(usize) -> bool) {
        for (i, host) in self.hosts.iter_mut().enumerate() {
            host.reads_list = reads(i);
        }
    }

    /// Returns the traffic since the last call.
    pub fn take_traffic(&mut self) -> Traffic {
        std::mem::take(&mut self.traffic)
    }

    /// Returns the processor time of all ticks and messages.
    #[must_use]
    pub fn processor_time(&self) -> Duration {
        self.processor_time
    }

    /// Resets the processor time.
    pub fn reset_processor_time(&mut self) {
        self.processor_time = Duration::ZERO;
    }

    fn add_host(&mut self, domain: &FailureDomain, reads_list: bool) {
        let i = self.hosts.len();
        let id = HostId::new(&format!("host-{i:03}"));
        self.host_indexes.insert(id.clone(), i);
        self.list.hosts.push(HostEntry {
            id: id.clone(),
            peer_addr: ([127, 0, 0, 1], 1).into(),
            failure_domain: domain.clone(),
            state: HostState::Live,
        });
        self.hosts.push(Host {
            id,
            incarnation: 0,
            reads_list,
            limiter: None,
            next_tick: TICK_INTERVAL.mul_f64(self.rng.f64()),
            next_read: Duration::ZERO,
            waiting: Vec::new(),
            has_new_grants: false,
        });
    }

    fn deliver(&mut self) {
        while let Some(delivery) = self.links.receive(self.clock.now()) {
            let Some(to) = self.host_indexes.get(&delivery.to).copied() else {
                continue;
            };
            let (incarnation, message) = delivery.message;
            let host = &mut self.hosts[to];
            let Some(limiter) = &mut host.limiter else {
                continue;
            };
            host.has_new_grants |= matches!(message, LoanMessage::Grants(_));
            let out = limiter.on_message(&delivery.from, incarnation, message);
            self.send(to, out);
        }
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing<LoanMessage>>) {
        let now = self.clock.now();
        let (id, incarnation) = (self.hosts[from].id.clone(), self.hosts[from].incarnation);
        for Outgoing { to, message } in out {
            let is_list = matches!(
                message,
                LoanMessage::ListQuery { .. } | LoanMessage::ListReport(_)
            );
            self.traffic.datagrams += 1;
            self.traffic.list_datagrams += u64::from(is_list);
            let bytes = codec::wire_len_bytes(&id, incarnation, &Message::Loan(message.clone()));
            self.traffic.bytes += bytes as u64;
            self.links.send(now, &id, &to, (incarnation, message));
        }
    }

    fn tick(&mut self, i: usize, now: Duration) {
        let host = &mut self.hosts[i];
        let Some(limiter) = &mut host.limiter else {
            return;
        };
        if host.reads_list && host.next_read <= now {
            host.next_read = now + READ_INTERVAL;
            limiter.confirm_host_list(self.list.version, self.clock.now());
        }
        host.next_tick = now + TICK_INTERVAL;
        let out = limiter.tick();
        self.send(i, out);
    }

    /// Retries the requests that wait for a token at a host.
    fn retry(&mut self, i: usize, settled: &mut Vec<(u64, bool)>) {
        let host = &mut self.hosts[i];
        let waiting = std::mem::take(&mut host.waiting);
        let Some(limiter) = &mut host.limiter else {
            settled.extend(waiting.iter().map(|entry| (entry.request.ticket, false)));
            return;
        };
        for entry in waiting {
            match limiter.spend_waiting(&entry.key, entry.until) {
                SpendDecision::Spent => settled.push((entry.request.ticket, true)),
                SpendDecision::Refused { .. } => settled.push((entry.request.ticket, false)),
                SpendDecision::Wait(_) => host.waiting.push(entry),
            }
        }
    }
}

impl RateLimiter for Fleet {
    fn request(&mut self, _now: Duration, request: Request) -> Decision {
        let name = &self.names[request.workspace];
        let host = &mut self.hosts[request.host];
        let Some(limiter) = &mut host.limiter else {
            return Decision::Refused;
        };
        match limiter.spend(name) {
            SpendDecision::Spent => Decision::Admitted,
            SpendDecision::Refused { .. } => Decision::Refused,
            SpendDecision::Wait(until) => {
                let key = LimitKey::Workspace(name.clone());
                host.waiting.push(WaitingRequest {
                    request,
                    key,
                    until,
                });
                host.next_tick = Duration::ZERO;
                Decision::Waiting
            }
        }
    }

    fn step(&mut self, now: Duration) -> Vec<(u64, bool)> {
        let elapsed = self.clock.elapsed();
        self.clock.advance(now.saturating_sub(elapsed));
        let start = Instant::now();
        self.deliver();
        let mut settled = Vec::new();
        for i in 0..self.hosts.len() {
            let due = self.hosts[i].next_tick <= now;
            if !self.hosts[i].waiting.is_empty() && (due || self.hosts[i].has_new_grants) {
                self.retry(i, &mut settled);
            }
            self.hosts[i].has_new_grants = false;
            if due {
                self.tick(i, now);
            }
        }
        self.processor_time += start.elapsed();
        settled
    }
}

/// Returns the names of a number of workspaces.
#[must_use]
pub fn workspace_names(count: usize) -> Vec<WorkspaceName> {
    let name = |i| WorkspaceName::new(&format!("workspace-{i}"));
    (0..count).map(name).collect()
}

/// Returns a configuration with these limits.
#[must_use]
pub fn snapshot(names: &[WorkspaceName], demands: &[Demand]) -> Snapshot {
    let mut snapshot = Snapshot {
        version: 1,
        ..Snapshot::default()
    };
    for (name, demand) in names.iter().zip(demands) {
        let workspace = Workspace {
            name: name.clone(),
            key_digests: Vec::new(),
            limit: demand.limit,
            weight: 1,
        };
        snapshot
            .workspaces
            .insert(name.clone(), Arc::new(workspace));
    }
    snapshot
}
