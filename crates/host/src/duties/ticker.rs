//! Drives the periodic work of the decision logic.

use std::time::{Duration, Instant};

use waxwingusher_attempts::AttemptRegistry;
use waxwingusher_membership::distribution::{ConfigAgent, ListEvidence};
use waxwingusher_membership::liveness::{LivenessEvent, TICK_INTERVAL};
use waxwingusher_protocol::Message;

use crate::state::HostState;

/// The time between two ticks of the work that requests wait for.
const TICK: Duration = Duration::from_millis(10);

/// The age up to which evidence on the host list is passed on.
const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(2);

/// Runs until the host stops.
pub(crate) fn run(state: &HostState) {
    let mut membership = MembershipTicks::new(state);
    while !state.stop.wait(TICK) {
        tick(state);
        membership.run_if_due(state);
    }
}

fn tick(state: &HostState) {
    let loans = state.limits.lock().tick();
    state.limits.notify();
    state.peers.send_all(loans, Message::Loan);
    let peers = &state.peers;
    state.attempts.with(peers, AttemptRegistry::tick);
    let mut quarantine = state.crashes.lock();
    let notices = quarantine.tick();
    let pardons = quarantine.take_pardons();
    drop(quarantine);
    state.peers.send_all(notices, Message::Attempt);
    for instance in pardons {
        log::info!("quarantine: Instance {instance} crashed through a quarantined request.");
    }
    let health = state.lock_upstreams().tick();
    state.peers.send_all(health, Message::Health);
}

/// The slower ticks of membership.
struct MembershipTicks {
    next_at: Instant,
    read_at: Option<Instant>,
    known_at: Option<Instant>,
}

impl MembershipTicks {
    fn new(state: &HostState) -> Self {
        Self {
            next_at: state.clock.now(),
            read_at: None,
            known_at: None,
        }
    }

    fn run_if_due(&mut self, state: &HostState) {
        let now = state.clock.now();
        if now < self.next_at {
            return;
        }
        self.next_at = now + TICK_INTERVAL;
        state.config.with(state, ConfigAgent::tick);
        if let Some(known) = state.config.lock().known_hosts() {
            state.peers.set_hosts(&known);
        }
        let mut liveness = state.lock_liveness();
        let gossip = liveness.tick();
        let events = liveness.events();
        drop(liveness);
        state.peers.send_all(gossip, Message::Gossip);
        for event in events {
            report(state, &event);
        }
        self.pass_on_evidence(state, now);
    }

    /// Tells the holders of rights that the host list is current. The limiter
    /// gets reads only, as it gathers the word of its own failure domain.
    fn pass_on_evidence(&mut self, state: &HostState, now: Instant) {
        let freshness = state.config.lock().list_freshness();
        let list = state.host_list();
        let evidence = ListEvidence::new(&freshness, &list, &state.settings.host_id, now);
        if let Some(at) = evidence.read_at.filter(|at| Some(*at) > self.read_at) {
            self.read_at = Some(at);
            state.limits.lock().confirm_host_list(list.version, at);
        }
        if let Some(at) = evidence.known_at.filter(|at| Some(*at) > self.known_at) {
            self.known_at = Some(at);
            if now.saturating_duration_since(at) <= MAX_EVIDENCE_AGE {
                let mut attempts = state.attempts.lock();
                attempts.registry.confirm_host_list(list.version);
            }
        }
    }
}

fn report(state: &HostState, event: &LivenessEvent) {
    let LivenessEvent { host, from, to } = event;
    let (from, to) = (from.name(), to.name());
    log::info!("members: Host {host} was {from} and is {to}.");
    state.metrics.count(&format!("peers.{to}"));
}
