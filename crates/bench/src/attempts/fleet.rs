//! A simulated fleet of attempt registries in virtual time.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_attempts::{AttemptSettings, AttemptTicket};
use waxwingusher_core::{
    Clock, FailureDomain, HostEntry, HostId, HostList, HostState, ManualClock,
};
use waxwingusher_protocol::attempt::AttemptMessage;
use waxwingusher_protocol::codec::wire_len_bytes;
use waxwingusher_protocol::{Message, Outgoing};
use waxwingusher_standins::{Delivery, LinkFaults, Links};

use super::fault::Fault;
use super::member::{DriftingClock, Member};
use super::oracle::Oracle;
use super::traffic::{Upstream, UpstreamAction};

/// The time between ticks of an idle process.
pub(super) const IDLE_TICK: Duration = Duration::from_millis(500);

/// The settings of a simulated fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSettings {
    /// The number of failure domains.
    pub domains: usize,
    /// The hosts in each failure domain.
    pub hosts_per_domain: usize,
    /// The largest drift of a clock, in parts per million.
    pub max_drift_ppm: i32,
    /// The time between reads of the host list.
    pub read_interval: Duration,
    /// The behaviour of upstreams.
    pub upstream: Upstream,
    /// The settings of the attempt records.
    pub attempt: AttemptSettings,
}

/// A message with its sender's incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub(super) incarnation: u64,
    pub(super) message: AttemptMessage,
}

/// An event that is scheduled for an instant.
#[derive(Debug, Clone)]
pub(super) enum Event {
    Send {
        operation: usize,
    },
    Dispatch {
        host: HostId,
        incarnation: u64,
        ticket: AttemptTicket,
    },
    Done {
        host: HostId,
        incarnation: u64,
        ticket: AttemptTicket,
        action: UpstreamAction,
    },
    Read {
        host: HostId,
        incarnation: u64,
    },
    Tick {
        host: HostId,
        incarnation: u64,
        is_idle: bool,
    },
    Deliver(Delivery<Packet>),
    Fault(Fault),
    Start {
        host: HostId,
    },
    HandOff {
        host: HostId,
    },
    Halt {
        host: HostId,
        at_latest: Instant,
        replaced_after: Option<Duration>,
    },
    Publish {
        host: HostId,
        state: Option<HostState>,
    },
    HealLink {
        from: HostId,
        to: HostId,
    },
    RestoreLinks,
}

/// Returns a list of hosts that are assigned to failure domains round-robin.
#[must_use]
pub fn host_list(hosts: usize, domains: usize) -> HostList {
    let entry = |index: usize| HostEntry {
        id: host_name(index),
        peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        failure_domain: FailureDomain::new(&format!("d{}", index % domains)),
        state: HostState::Live,
    };
    HostList {
        version: 1,
        hosts: (0..hosts).map(entry).collect(),
    }
}

fn host_name(index: usize) -> HostId {
    HostId::new(&format!("entry-host-{index:03}"))
}

/// The fleet, its callers and its upstream.
pub struct Fleet {
    pub(super) settings: FleetSettings,
    pub(super) time: ManualClock,
    pub(super) rng: fastrand::Rng,
    pub(super) links: Links<Packet>,
    pub(super) members: BTreeMap<HostId, Member>,
    pub(super) published: Vec<(Instant, Arc<HostList>)>,
    pub(super) list_unavailable_until: Option<Instant>,
    events: BTreeMap<(Instant, u64), Event>,
    pub(super) sequence: u64,
    pub(super) oracle: Oracle,
    sent_messages: u64,
    sent_bytes: Option<usize>,
}

impl Fleet {
    /// Creates a fleet whose processes have just started.
    #[must_use]
    pub fn new(seed: u64, settings: FleetSettings) -> Self {
        let time = ManualClock::new();
        let mut fleet = Self {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            links: Links::new(seed, LinkFaults::default()),
            members: BTreeMap::new(),
            published: vec![(time.now(), Arc::default())],
            list_unavailable_until: None,
            events: BTreeMap::new(),
            sequence: 0,
            oracle: Oracle::new(settings.attempt.window),
            sent_messages: 0,
            sent_bytes: None,
            time,
        };
        for index in 0..settings.domains * settings.hosts_per_domain {
            let domain = FailureDomain::new(&format!("d{}", index % settings.domains));
            fleet.add_host(domain);
        }
        fleet
    }

    /// Returns the oracle, which knows the true outcome of all operations.
    #[must_use]
    pub const fn oracle(&self) -> &Oracle {
        &self.oracle
    }

    /// Returns how many messages were sent.
    #[must_use]
    pub const fn sent_messages(&self) -> u64 {
        self.sent_messages
    }

    /// Starts to count sent messages and their bytes, including all overhead.
    pub fn count_bytes(&mut self) {
        self.sent_messages = 0;
        self.sent_bytes = Some(0);
    }

    /// Returns the bytes sent since [`Self::count_bytes`].
    #[must_use]
    pub fn sent_bytes(&self) -> usize {
        self.sent_bytes.unwrap_or_default()
    }

    /// Returns the names of all hosts, running or not.
    #[must_use]
    pub fn hosts(&self) -> Vec<HostId> {
        self.members.keys().cloned().collect()
    }

    /// Returns the time of the simulation, without drift.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.time.now()
    }

    /// Adds a host, starts its process and lists it.
    pub fn add_host(&mut self, domain: FailureDomain) -> HostId {
        let id = host_name(self.members.len());
        let max_drift = self.settings.max_drift_ppm;
        let drift_ppm = self.rng.i32(-max_drift..=max_drift);
        let clock = DriftingClock::new(self.time.clone(), drift_ppm);
        self.members
            .insert(id.clone(), Member::new(id.clone(), domain, clock));
        self.start(&id);
        self.publish(&id, Some(HostState::Live));
        id
    }

    /// Schedules a send of an operation to a random host.
    pub fn schedule_send(&mut self, after: Duration, operation: usize) {
        self.schedule(after, Event::Send { operation });
    }

    /// Schedules a fault.
    pub fn schedule_fault(&mut self, after: Duration, fault: Fault) {
        self.schedule(after, Event::Fault(fault));
    }

    /// Runs the fleet for a duration, or until the oracle finds a violation.
    pub fn run_for(&mut self, time: Duration) {
        let until = self.now() + time;
        while self.oracle.violations().is_empty() {
            let next_event = self.events.keys().next().map(|(at, _)| *at);
            let next = [next_event, self.links.next_arrival()];
            let Some(next) = next.into_iter().flatten().min() else {
                break;
            };
            if next > until {
                break;
            }
            let step = next.saturating_duration_since(self.now());
            self.time.advance(step);
            self.step();
        }
        let rest = until.saturating_duration_since(self.now());
        self.time.advance(rest);
    }

    pub(super) fn schedule(&mut self, after: Duration, event: Event) {
        self.schedule_at(self.now() + after, event);
    }

    pub(super) fn schedule_at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Starts a process without state on a host.
    pub(super) fn start(&mut self, host: &HostId) {
        log::trace!("fleet: {:?} {host} starts", self.time.elapsed());
        let incarnation = self.rng.u64(..);
        let attempt = self.settings.attempt;
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        if member.process.is_some() {
            return;
        }
        member.start(incarnation, attempt);
        let host = host.clone();
        let read = Event::Read {
            host: host.clone(),
            incarnation,
        };
        self.schedule(Duration::ZERO, read);
        let tick = Event::Tick {
            host,
            incarnation,
            is_idle: true,
        };
        self.schedule(IDLE_TICK, tick);
    }

    /// Publishes a list in which one host has a new state or is missing.
    pub(super) fn publish(&mut self, host: &HostId, state: Option<HostState>) {
        log::trace!(
            "fleet: {:?} {host} is listed as {state:?}",
            self.time.elapsed()
        );
        let Some(member) = self.members.get(host) else {
            return;
        };
        let mut list = self
            .published
            .last()
            .map_or_else(HostList::default, |(_, list)| HostList::clone(list));
        list.hosts.retain(|entry| &entry.id != host);
        if let Some(state) = state {
            list.hosts.push(HostEntry {
                id: host.clone(),
                peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                failure_domain: member.domain.clone(),
                state,
            });
        }
        list.hosts.sort_by(|a, b| a.id.cmp(&b.id));
        list.version += 1;
        self.published.push((self.time.now(), Arc::new(list)));
    }

    pub(super) fn send_all(&mut self, from: &HostId, outgoing: Vec<Outgoing<AttemptMessage>>) {
        let Some(process) = self
            .members
            .get(from)
            .and_then(|member| member.process.as_ref())
        else {
            return;
        };
        let incarnation = process.incarnation;
        let now = self.time.now();
        for Outgoing { to, message } in outgoing {
            self.sent_messages += 1;
            if let Some(sent) = &mut self.sent_bytes {
                let message = Message::Attempt(message.clone());
                *sent += wire_len_bytes(from, incarnation, &message);
            }
            log::trace!(
                "fleet: {:?} {from} -> {to}: {message:?}",
                self.time.elapsed()
            );
            let packet = Packet {
                incarnation,
                message,
            };
            self.links.send(now, from, &to, packet);
        }
    }

    fn step(&mut self) {
        let now = self.now();
        while let Some(delivery) = self.links.receive(now) {
            self.handle(Event::Deliver(delivery));
        }
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let event = entry.remove();
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(until) = self.paused(&event) {
            self.schedule_at(until, event);
            return;
        }
        match event {
            Event::Send { operation } => self.on_send(operation),
            Event::Dispatch {
                host,
                incarnation,
                ticket,
            } => {
                self.on_dispatch(&host, incarnation, ticket);
            }
            Event::Done {
                host,
                incarnation,
                ticket,
                action,
            } => {
                self.on_done(&host, incarnation, ticket, action);
            }
            Event::Read { host, incarnation } => self.on_read(&host, incarnation),
            Event::Tick {
                host,
                incarnation,
                is_idle,
            } => {
                self.on_tick(&host, incarnation, is_idle);
            }
            Event::Deliver(delivery) => self.on_delivery(delivery),
            fault => self.on_fault_event(fault),
        }
    }

    /// Returns until when the host of an event is paused.
    fn paused(&self, event: &Event) -> Option<Instant> {
        let host = match event {
            Event::Dispatch { host, .. }
            | Event::Done { host, .. }
            | Event::Read { host, .. }
            | Event::Tick { host, .. }
            | Event::HandOff { host }
            | Event::Halt { host, .. } => host,
            Event::Deliver(delivery) => &delivery.to,
            _ => return None,
        };
        self.members.get(host)?.paused_at(self.now())
    }
}
