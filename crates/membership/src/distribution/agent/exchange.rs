//! Messages and transfers between peers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_config::Pack;
use waxwingusher_core::{ContentDigest, HostId};
use waxwingusher_protocol::{ConfigMessage, ConfigSummary, ConfigUpdate, Outgoing};

use super::{ConfigAgent, OBSERVE_INTERVAL, PackRead};
use crate::distribution::action::{AgentAction, DocumentKind, ServiceRead};
use crate::distribution::roles::Role;
use crate::distribution::version_fetch::{Need, Source};

/// The time after which the outcome of reading a pack is no longer expected.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// The age up to which an answer of the service counts as current for a reader.
const MAX_SERVICE_ANSWER_AGE: Duration = Duration::from_secs(6);

impl ConfigAgent {
    /// Handles a message from a peer.
    pub fn on_message(
        &mut self,
        from: &HostId,
        _incarnation: u64,
        message: &ConfigMessage,
    ) -> Vec<AgentAction> {
        let now = self.clock.now();
        let mut actions = Vec::new();
        if let Some(summary) = message.summary() {
            self.peers.on_message(from, *summary, now);
            self.apply_summary(from, summary, now, &mut actions);
            if let Some(survey) = &mut self.survey {
                survey.on_answer(from);
            }
        }
        match message {
            ConfigMessage::Poll { nonce, .. } => self.answer(from, *nonce, now, &mut actions),
            ConfigMessage::Answer { nonce, summary } => {
                self.peers.on_answer(from, *nonce, *summary, now);
                self.follow.on_answer(from, *nonce, *summary, now);
            }
            ConfigMessage::Announce { summary } if self.is_ahead_of(summary) => {
                self.answer(from, 0, now, &mut actions);
            }
            ConfigMessage::Announce { .. } => {}
            ConfigMessage::Follow { nonce, .. } => {
                self.answer(from, *nonce, now, &mut actions);
                let summary = self.summary(now);
                self.followers.add(from, *nonce, summary, now);
            }
            ConfigMessage::Update(update) => self.apply_update(from, update, now),
        }
        self.progress(now, &mut actions);
        actions
    }

    fn apply_update(&mut self, from: &HostId, update: &ConfigUpdate, now: Instant) {
        self.hosts.note_seen_version(update.seen_hosts_version);
        if let Some(update) = self.follow.on_update(from, update, now) {
            self.peers.on_update(from, update.at, update.summary, now);
        }
    }

    /// Sends due updates to followers.
    pub(super) fn update_followers(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        let (config, hosts) = (self.config.stamp(), self.hosts.stamp());
        if !self.followers.is_due(config, hosts, now) {
            return;
        }
        let summary = self.summary(now);
        let evidence = self.hosts_confirmed_at();
        let messages = self.followers.due_messages(summary, evidence, now);
        actions.extend(messages.into_iter().map(AgentAction::Send));
    }

    /// Handles a manifest or pack from a peer.
    pub fn on_pack(
        &mut self,
        from: &HostId,
        digest: ContentDigest,
        bytes: &Arc<[u8]>,
    ) -> Vec<AgentAction> {
        let now = self.clock.now();
        let mut actions = Vec::new();
        let source = Source::Peer(from.clone());
        self.accept_blob(&source, digest, bytes, now, &mut actions);
        self.progress(now, &mut actions);
        actions
    }

    /// Records that a peer has not returned a manifest or pack.
    pub fn on_pack_missing(&mut self, from: &HostId, digest: ContentDigest) -> Vec<AgentAction> {
        let now = self.clock.now();
        let mut actions = Vec::new();
        let source = Source::Peer(from.clone());
        self.config.on_failure(&source, &digest, now);
        self.hosts.on_failure(&source, &digest, now);
        self.progress(now, &mut actions);
        actions
    }

    pub(super) fn accept_blob(
        &mut self,
        source: &Source,
        digest: ContentDigest,
        bytes: &Arc<[u8]>,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        let refusal = self.config.on_blob(source, digest, bytes, now);
        let refusal = refusal.or_else(|| self.hosts.on_blob(source, digest, bytes, now));
        if let Some(refusal) = refusal {
            self.refuse(refusal, actions);
        }
    }

    /// Polls the peers that are due.
    pub(super) fn poll_peers(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        let is_informed = self.is_informed(now);
        let mut targets = match &mut self.survey {
            Some(survey) => survey.due_polls(now),
            None => self
                .peers
                .due_polls(is_informed, &self.settings, &mut self.rng, now),
        };
        if now >= self.next_observation && self.role(now) != Role::Learner {
            self.next_observation = now + OBSERVE_INTERVAL;
            let above = self.candidates.iter();
            let above = above.take_while(|host| **host != self.self_id);
            let is_silent = |host: &&HostId| {
                let message = self.peers.last_message(host);
                message.is_none_or(|message| now >= message.at + OBSERVE_INTERVAL)
            };
            targets.extend(above.filter(is_silent).cloned());
        }
        targets.extend(self.follow_peer(now, actions));
        targets.extend(self.trust_check_targets(now));
        for host in targets {
            let nonce = self.rng.u32(1..);
            self.peers.on_poll(&host, nonce, now);
            let summary = self.summary(now);
            send(&host, ConfigMessage::Poll { nonce, summary }, actions);
        }
    }

    /// Returns the peers to poll after a pause.
    fn trust_check_targets(&mut self, now: Instant) -> Vec<HostId> {
        let Some(check) = &mut self.trust_check else {
            return Vec::new();
        };
        if !check.is_due(now) {
            return Vec::new();
        }
        let targets = self.peers.sample(self.settings.fanout, &mut self.rng);
        check.on_polled(targets.len());
        targets
    }

    /// Sends a due follow request, and returns a host to poll in place of
    /// following it.
    fn follow_peer(&mut self, now: Instant, actions: &mut Vec<AgentAction>) -> Option<HostId> {
        if self.survey.is_some() || !self.follow.is_due(now) {
            return None;
        }
        let other = self.peers.best_informed(self.follow.parent());
        let requests = self.follow.next_requests(other);
        if let Some(host) = requests.follow {
            let nonce = self.rng.u32(1..);
            self.peers.on_poll(&host, nonce, now);
            self.follow.on_requested(&host, nonce, now);
            let summary = self.summary(now);
            send(&host, ConfigMessage::Follow { nonce, summary }, actions);
        }
        requests.poll
    }

    /// Reports whether the host learns of new versions without polls: from the
    /// host that it follows, or as a reader from the service.
    fn is_informed(&self, now: Instant) -> bool {
        if self.follow.parent().is_some() {
            return self.follow.is_alive(now);
        }
        let answered = self.hosts_watch.answered_at();
        answered.is_some_and(|at| now < at + MAX_SERVICE_ANSWER_AGE)
    }

    /// Announces the versions in force to some peers.
    pub(super) fn announce(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        let summary = self.summary(now);
        for host in self.peers.sample(self.settings.fanout, &mut self.rng) {
            send(&host, ConfigMessage::Announce { summary }, actions);
        }
    }

    /// Requests the missing parts of a document.
    pub(super) fn fetch(
        &mut self,
        kind: DocumentKind,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        let timeout = self.settings.fetch_timeout;
        let needs = match kind {
            DocumentKind::Config => self.config.advance(timeout, now),
            DocumentKind::Hosts => self.hosts.advance(timeout, now),
        };
        for Need { source, digest } in needs {
            match source {
                Source::Peer(host) => {
                    self.counters.peer_fetches += 1;
                    actions.push(AgentAction::FetchFromPeer { host, digest });
                }
                Source::Service => {
                    let ticket = self.ticket();
                    let deadline = now + READ_TIMEOUT;
                    self.pack_reads
                        .insert(ticket, PackRead { digest, deadline });
                    self.counters.service_reads += 1;
                    actions.push(AgentAction::ReadService(ServiceRead {
                        ticket,
                        key: Arc::from(Pack::service_key(&digest)),
                        watch: None,
                    }));
                }
            }
        }
    }

    fn apply_summary(
        &mut self,
        from: &HostId,
        summary: &ConfigSummary,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        let source = || Source::Peer(from.clone());
        let offers = [
            self.config.offer(summary.config, source(), now),
            self.hosts.offer(summary.hosts, source(), now),
        ];
        self.hosts.note_seen_version(summary.seen_hosts_version);
        for refusal in offers.into_iter().flatten() {
            self.refuse(refusal, actions);
        }
    }

    fn is_ahead_of(&self, summary: &ConfigSummary) -> bool {
        self.config.stamp().version > summary.config.version
            || self.hosts.stamp().version > summary.hosts.version
    }

    fn answer(&self, to: &HostId, nonce: u32, now: Instant, actions: &mut Vec<AgentAction>) {
        let summary = self.summary(now);
        send(to, ConfigMessage::Answer { nonce, summary }, actions);
    }
}

fn send(to: &HostId, message: ConfigMessage, actions: &mut Vec<AgentAction>) {
    actions.push(AgentAction::Send(Outgoing {
        to: to.clone(),
        message,
    }));
}
