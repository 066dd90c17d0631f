//! Hosts that run in one process in virtual time and can be paused, killed and
//! restarted.

use std::collections::BTreeMap;
use std::time::Duration;

use waxwingusher_core::{Clock, HostId, ManualClock};
use waxwingusher_protocol::Outgoing;

use crate::links::{Delivery, LinkFaults, Links};

// Messages that are queued for a paused process; later ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// The decision logic of one host.
pub trait VirtualHost {
    /// The type of the messages between hosts.
    type Message: Clone;

    /// Returns the incarnation, a random number of this process.
    fn incarnation(&self) -> u64;

    /// Runs the timers that are due and returns the messages to send.
    fn tick(&mut self) -> Vec<Outgoing<Self::Message>>;

    /// Handles a message from a peer and returns the replies.
    fn on_message(
        &mut self,
        from: &HostId,
        incarnation: u64,
        message: &Self::Message,
    ) -> Vec<Outgoing<Self::Message>>;

    /// Returns the encoded size of a message of this host.
    fn wire_len_bytes(&self, message: &Self::Message) -> usize;
}

/// A message with the incarnation of its sender.
#[derive(Debug, Clone)]
struct Envelope<M> {
    incarnation: u64,
    message: M,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunState {
    Active,
    Paused,
}

struct Process<H: VirtualHost> {
    host: H,
    state: RunState,
    queued: Vec<Delivery<Envelope<H::Message>>>,
}

/// Hosts, the links between them, and the clock that all of them read.
pub struct VirtualFleet<H: VirtualHost> {
    clock: ManualClock,
    tick_interval: Duration,
    links: Links<Envelope<H::Message>>,
    processes: BTreeMap<HostId, Process<H>>,
    sent_bytes: BTreeMap<HostId, u64>,
}

impl<H: VirtualHost> VirtualFleet<H> {
    /// Creates a fleet without hosts.
    #[must_use]
    pub fn new(seed: u64, faults: LinkFaults, clock: ManualClock, tick_interval: Duration) -> Self {
        Self {
            clock,
            tick_interval,
            links: Links::new(seed, faults),
            processes: BTreeMap::new(),
            sent_bytes: BTreeMap::new(),
        }
    }

    /// Starts a host, or restarts it as a new process.
    pub fn start(&mut self, id: &HostId, host: H) {
        let process = Process {
            host,
            state: RunState::Active,
            queued: Vec::new(),
        };
        self.processes.insert(id.clone(), process);
    }

    /// Stops a host without notifying its peers.
    pub fn kill(&mut self, id: &HostId) {
        self.processes.remove(id);
    }

    /// Pauses a host; messages for it are queued.
    pub fn pause(&mut self, id: &HostId) {
        if let Some(process) = self.processes.get_mut(id) {
            process.state = RunState::Paused;
        }
    }

    /// Resumes a paused host and delivers its queued messages.
    pub fn resume(&mut self, id: &HostId) {
        let Some(process) = self.processes.get_mut(id) else {
            return;
        };
        process.state = RunState::Active;
        for delivery in std::mem::take(&mut process.queued) {
            self.deliver(delivery);
        }
    }

    /// Returns a running or paused host.
    #[must_use]
    pub fn host(&self, id: &HostId) -> Option<&H> {
        self.processes.get(id).map(|process| &process.host)
    }

    /// Returns a running or paused host.
    pub fn host_mut(&mut self, id: &HostId) -> Option<&mut H> {
        self.processes.get_mut(id).map(|process| &mut process.host)
    }

    /// Returns all running or paused hosts by name.
    pub fn hosts(&self) -> impl Iterator<Item = (&HostId, &H)> {
        self.processes
            .iter()
            .map(|(id, process)| (id, &process.host))
    }

    /// Returns all running or paused hosts by name.
    pub fn hosts_mut(&mut self) -> impl Iterator<Item = (&HostId, &mut H)> {
        self.processes
            .iter_mut()
            .map(|(id, process)| (id, &mut process.host))
    }

    /// Cuts the link in one direction.
    pub fn cut(&mut self, from: &HostId, to: &HostId) {
        self.links.cut(from, to);
    }

    /// Heals all links.
    pub fn heal_all(&mut self) {
        self.links.heal_all();
    }

    /// Sets the faults of messages that are sent from now on.
    pub fn set_faults(&mut self, faults: LinkFaults) {
        self.links.set_faults(faults);
    }

    /// Returns the bytes that all processes of a host have sent.
    #[must_use]
    pub fn sent_bytes(&self, id: &HostId) -> u64 {
        self.sent_bytes.get(id).copied().unwrap_or(0)
    }

    /// Advances by one tick: delivers the messages that arrive, then ticks every host.
    pub fn step(&mut self) {
        let end = self.clock.now() + self.tick_interval;
        while let Some(at) = self.links.next_arrival().filter(|at| *at <= end) {
            let delay = at.saturating_duration_since(self.clock.now());
            self.clock.advance(delay);
            let Some(delivery) = self.links.receive(at) else {
                continue;
            };
            self.deliver(delivery);
        }
        let remaining = end.saturating_duration_since(self.clock.now());
        self.clock.advance(remaining);
        let ids: Vec<_> = self.processes.keys().cloned().collect();
        for id in ids {
            self.tick(&id);
        }
    }

    /// Advances by a duration, in whole ticks.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.clock.now() + duration;
        while self.clock.now() < end {
            self.step();
        }
    }

    fn tick(&mut self, id: &HostId) {
        let Some(process) = self.processes.get_mut(id) else {
            return;
        };
        if process.state == RunState::Paused {
            return;
        }
        let outgoing = process.host.tick();
        self.send(id, outgoing);
    }

    fn deliver(&mut self, delivery: Delivery<Envelope<H::Message>>) {
        let Some(process) = self.processes.get_mut(&delivery.to) else {
            return;
        };
        if process.state == RunState::Paused {
            if process.queued.len() < MAX_QUEUED_MESSAGES {
                process.queued.push(delivery);
            }
            return;
        }
        let envelope = &delivery.message;
        let outgoing =
            process
                .host
                .on_message(&delivery.from, envelope.incarnation, &envelope.message);
        self.send(&delivery.to, outgoing);
    }

    fn send(&mut self, from: &HostId, outgoing: Vec<Outgoing<H::Message>>) {
        let Some(process) = self.processes.get_mut(from) else {
            return;
        };
        let now = self.clock.now();
        let incarnation = process.host.incarnation();
        let sent_bytes = self.sent_bytes.entry(from.clone()).or_default();
        for Outgoing { to, message } in outgoing {
            *sent_bytes += process.host.wire_len_bytes(&message) as u64;
            let envelope = Envelope {
                incarnation,
                message,
            };
            self.links.send(now, from, &to, envelope);
        }
    }
}
