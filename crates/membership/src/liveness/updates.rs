//! Updates on peers: merging, refuting and disseminating them.

use std::time::Instant;

use waxwingusher_core::HostId;
use waxwingusher_protocol::gossip::{GossipMessage, LivenessUpdate, ReportedLiveness};

use super::broadcast::Selection;
use super::record::Effect;
use super::state::PeerState;
use super::{Liveness, Sent, outgoing};

const UPDATES_PER_MESSAGE: usize = 6;
const UPDATES_OVER_BUDGET: usize = 1;
const PUSH_TARGETS: usize = 3;

impl Liveness {
    pub(super) fn push_updates(&mut self, sent: &mut Sent) {
        if !self.budget.allows_push() || !self.broadcasts.has_unsent() {
            return;
        }
        let updates = self.take_updates();
        let is_alive = |state: PeerState| state == PeerState::Alive;
        let alive = self
            .members
            .iter()
            .filter(|(_, record)| is_alive(record.state));
        let alive: Vec<_> = alive.map(|(host, _)| host.clone()).collect();
        for target in self.rng.choose_multiple(alive, PUSH_TARGETS) {
            let updates = updates.clone();
            sent.push(outgoing(&target, GossipMessage::Push { updates }));
        }
    }

    // Returns a refutation if this process is reported as suspect or dead.
    pub(super) fn merge_updates(
        &mut self,
        updates: &[LivenessUpdate],
        now: Instant,
    ) -> Option<LivenessUpdate> {
        let mut refutation = None;
        for update in updates {
            if update.host == self.self_id {
                refutation = self.refute(update).or(refutation);
                continue;
            }
            match self.members.merge(update, now) {
                Effect::Changed => self.broadcasts.push(update.clone()),
                Effect::UnknownProcess => self.schedule.prioritize(&update.host),
                Effect::Ignored => {}
            }
        }
        refutation
    }

    fn refute(&mut self, update: &LivenessUpdate) -> Option<LivenessUpdate> {
        let is_this_process = update.incarnation == self.incarnation;
        if !is_this_process || update.liveliness == ReportedLiveness::Alive {
            return None;
        }
        if update.refutation >= self.refutation {
            self.refutation = update.refutation.saturating_add(1);
            log::info!(
                "membership: refuting a report that this host is {:?}",
                update.liveliness
            );
        }
        let refutation = LivenessUpdate {
            host: self.self_id.clone(),
            incarnation: self.incarnation,
            refutation: self.refutation,
            liveliness: ReportedLiveness::Alive,
        };
        self.broadcasts.push(refutation.clone());
        Some(refutation)
    }

    /// Returns the update that reports a host as suspect or dead, so that it can
    /// refute it.
    pub(super) fn failure_update(&self, host: &HostId) -> Option<LivenessUpdate> {
        let record = self.members.get(host)?;
        if record.state.is_usable() {
            return None;
        }
        record.update(host)
    }

    pub(super) fn take_updates(&mut self) -> Vec<LivenessUpdate> {
        let count = if self.budget.has_credit() {
            UPDATES_PER_MESSAGE
        } else {
            UPDATES_OVER_BUDGET
        };
        let selection = if self.budget.allows_low_priority() {
            Selection::All
        } else {
            Selection::Urgent
        };
        self.broadcasts.take(count, selection, self.members.len())
    }

    pub(super) fn announce(&mut self, host: &HostId) {
        let record = self.members.get(host);
        let Some(update) = record.and_then(|record| record.update(host)) else {
            return;
        };
        self.broadcasts.push(update);
    }
}
