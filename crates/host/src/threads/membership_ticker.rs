//! The ticks of distribution and liveness, and the reports of how current the
//! host list is.

use std::time::{Duration, Instant};

use waxwingusher_membership::distribution::{ConfigAgent, ListEvidence};
use waxwingusher_membership::liveness::{LivenessEvent, TICK_INTERVAL};
use waxwingusher_protocol::Message;

use super::ticker::PeriodicTimer;
use crate::state::HostState;

/// The age up to which evidence that the host list is current is reported to the
/// attempt records.
const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(2);

/// Drives membership, and keeps what it last reported.
pub(super) struct MembershipTicker {
    timer: PeriodicTimer,
    reported_addresses_version: u64,
    list_version: u64,
    reported_read_at: Option<Instant>,
    reported_known_at: Option<Instant>,
}

impl MembershipTicker {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            timer: PeriodicTimer::new(TICK_INTERVAL, now),
            reported_addresses_version: 0,
            list_version: 0,
            reported_read_at: None,
            reported_known_at: None,
        }
    }

    pub(super) fn run_if_due(&mut self, state: &HostState, now: Instant) {
        if !self.timer.is_due(now) {
            return;
        }
        state.config.with(state, ConfigAgent::tick);
        self.report_addresses(state);
        let mut liveness = state.lock_liveness();
        let gossip = liveness.tick();
        let events = liveness.events();
        drop(liveness);
        state.peers.send_all(gossip, Message::Gossip);
        for event in events {
            report_liveness_event(state, &event);
        }
        self.report_list_evidence(state, now);
    }

    /// Gives the addresses of peers to the socket, also from a host list that is
    /// not yet in force.
    fn report_addresses(&mut self, state: &HostState) {
        let known = state.config.lock().known_hosts();
        let Some(known) = known.filter(|known| known.version != self.reported_addresses_version)
        else {
            return;
        };
        self.reported_addresses_version = known.version;
        state.peers.set_hosts(&known);
    }

    /// Reports to the limiter and to the attempt records that the host list is
    /// current. The limiter gets only the times of reads from the configuration
    /// service, as it collects the reports of its own failure domain itself.
    fn report_list_evidence(&mut self, state: &HostState, now: Instant) {
        let freshness = state.config.lock().list_freshness();
        let list = state.host_list();
        if list.version != self.list_version {
            self.list_version = list.version;
            self.reported_read_at = None;
            self.reported_known_at = None;
        }
        let evidence = ListEvidence::new(&freshness, &list, &state.settings.host_id, now);
        if let Some(at) = evidence
            .read_at
            .filter(|at| Some(*at) > self.reported_read_at)
        {
            self.reported_read_at = Some(at);
            state.limits.lock().confirm_host_list(list.version, at);
        }
        if let Some(at) = evidence
            .known_at
            .filter(|at| Some(*at) > self.reported_known_at)
        {
            self.reported_known_at = Some(at);
            if now.saturating_duration_since(at) <= MAX_EVIDENCE_AGE {
                let mut attempts = state.attempts.lock();
                attempts.registry.confirm_host_list(list.version);
            }
        }
    }
}

fn report_liveness_event(state: &HostState, event: &LivenessEvent) {
    let LivenessEvent { host, from, to } = event;
    let (from, to) = (from.name(), to.name());
    log::info!("members: Host {host} changed from {from} to {to}.");
    state.metrics.count(&format!("peers.{to}"));
}
