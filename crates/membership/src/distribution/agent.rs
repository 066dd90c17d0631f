//! The agent that distributes the configuration and the host list on one host.

mod exchange;
mod service;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_config::Snapshot;
use waxwingusher_config::publication::{HOSTS_KEY, MANIFEST_KEY};
use waxwingusher_core::{Clock, ContentDigest, FailureDomain, HostId, HostList};
use waxwingusher_protocol::ConfigSummary;

use super::action::{AgentAction, DocumentKind, Refusal};
use super::follow::Follow;
use super::followers::Followers;
use super::freshness::{ListFreshness, PeerAnswer};
use super::peers::Peers;
use super::replica::Replica;
use super::roles::{Role, parent, ranked, role};
use super::settings::DistributionSettings;
use super::survey::Survey;
use super::trust::{ConfigTrust, TrustCheck};
use super::version_fetch::Source;
use super::watch::ServiceWatch;

/// The time after which a host that no peer answers reads the service, whatever
/// its role.
const ISOLATED_AFTER: Duration = Duration::from_secs(10);

/// The longest time after which a host without a configuration reads the
/// service. The time is random, so that hosts that start together read one after
/// the other, and the first one that succeeds announces the version to the others.
const MAX_FIRST_READ_DELAY: Duration = Duration::from_secs(60);

/// How long a fresh host waits for a version that a peer has reported.
const MAX_CLAIM_AGE: Duration = Duration::from_secs(10);

/// The interval at which a standby polls the hosts ranked above it.
const OBSERVE_INTERVAL: Duration = Duration::from_secs(10);

/// Counts since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AgentCounters {
    /// Versions that were put in force.
    pub adopted: u64,
    /// Versions, manifests and packs that were refused.
    pub refused: u64,
    /// Reads of the service that returned an older version than the known one.
    pub stale_reads: u64,
    /// Calls to the service.
    pub service_reads: u64,
    /// Failed calls to the service.
    pub service_errors: u64,
    /// Manifests and packs requested from peers.
    pub peer_fetches: u64,
}

/// A call to the service that reads a pack.
#[derive(Debug)]
struct PackRead {
    digest: ContentDigest,
    deadline: Instant,
}

/// Distributes the configuration and the host list on one host.
///
/// The owner calls [`ConfigAgent::tick`] several times a second, carries out
/// the actions, and passes their outcomes to the agent.
pub struct ConfigAgent {
    self_id: HostId,
    failure_domain: FailureDomain,
    clock: Arc<dyn Clock>,
    rng: fastrand::Rng,
    settings: DistributionSettings,
    config: Replica<Snapshot>,
    hosts: Replica<HostList>,
    config_watch: ServiceWatch,
    hosts_watch: ServiceWatch,
    pack_reads: HashMap<u64, PackRead>,
    peers: Peers,
    follow: Follow,
    followers: Followers,
    candidates: Vec<HostId>,
    survey: Option<Survey>,
    trust: Arc<ConfigTrust>,
    trust_check: Option<TrustCheck>,
    started_at: Instant,
    first_read_delay: Duration,
    next_observation: Instant,
    next_ticket: u64,
    counters: AgentCounters,
}

impl ConfigAgent {
    /// Creates the agent of a process that has just started.
    #[must_use]
    pub fn new(
        self_id: HostId,
        failure_domain: FailureDomain,
        clock: Arc<dyn Clock>,
        seed: u64,
        settings: DistributionSettings,
    ) -> Self {
        let now = clock.now();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut agent = Self {
            first_read_delay: ISOLATED_AFTER
                + (MAX_FIRST_READ_DELAY - ISOLATED_AFTER).mul_f64(rng.f64()),
            self_id,
            failure_domain,
            trust: Arc::new(ConfigTrust::new(clock.clone())),
            trust_check: None,
            clock,
            rng,
            config: Replica::new(),
            hosts: Replica::new(),
            config_watch: ServiceWatch::new(MANIFEST_KEY, now),
            hosts_watch: ServiceWatch::new(HOSTS_KEY, now),
            pack_reads: HashMap::new(),
            peers: Peers::new(now),
            follow: Follow::new(now),
            followers: Followers::new(now),
            candidates: Vec::new(),
            survey: Some(Survey::new(settings.survey_timeout, now)),
            started_at: now,
            next_observation: now,
            next_ticket: 0,
            counters: AgentCounters::default(),
            settings,
        };
        let seeds = agent.settings.seeds.clone();
        agent.set_peers(seeds, now);
        agent
    }

    /// Returns the actions that are due.
    pub fn tick(&mut self) -> Vec<AgentAction> {
        let now = self.clock.now();
        let mut actions = Vec::new();
        if self.trust.tick() {
            log::warn!("config: the process was paused; polling peers for a newer version");
            self.trust_check = Some(TrustCheck::new(now));
        }
        self.poll_peers(now, &mut actions);
        self.read_service(now, &mut actions);
        self.progress(now, &mut actions);
        actions
    }

    /// Returns the shared state that reports whether the configuration may be
    /// relied on, or peers must be polled first after a pause of the process.
    #[must_use]
    pub fn trust(&self) -> Arc<ConfigTrust> {
        self.trust.clone()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Snapshot>> {
        self.config.current().cloned()
    }

    /// Returns the host list in force.
    #[must_use]
    pub fn hosts(&self) -> Option<Arc<HostList>> {
        self.hosts.current().cloned()
    }

    /// Returns the newest host list that is known, even if a fresh host has not
    /// put any in force yet. It gives the addresses of peers, but grants no right.
    #[must_use]
    pub fn known_hosts(&self) -> Option<Arc<HostList>> {
        self.hosts.newest().cloned()
    }

    /// Reports whether the host has a configuration and a host list in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.current().is_some() && self.hosts.current().is_some()
    }

    /// Returns a manifest or pack of the versions in force, for a peer.
    #[must_use]
    pub fn blob(&self, digest: &ContentDigest) -> Option<Arc<[u8]>> {
        self.config.blob(digest).or_else(|| self.hosts.blob(digest))
    }

    /// Reports whether the host watches the configuration service.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.reads_service(self.clock.now())
    }

    /// Returns the counts since the process started.
    #[must_use]
    pub fn counters(&self) -> AgentCounters {
        self.counters
    }

    /// Returns the version of the configuration that each peer last reported.
    #[must_use]
    pub fn config_versions(&self) -> BTreeMap<HostId, u64> {
        let messages = self.peers.messages_since(self.started_at);
        messages
            .map(|(host, summary)| (host.clone(), summary.config.version))
            .collect()
    }

    /// Returns the evidence that the host list in force is current.
    #[must_use]
    pub fn list_freshness(&self) -> ListFreshness {
        let answers = self.peers.answers().map(|(host, answered)| PeerAnswer {
            host: host.clone(),
            seen_version: answered.summary.seen_hosts_version,
            asked_at: answered.asked_at,
        });
        ListFreshness {
            version: self.hosts.stamp().version,
            seen_version: self.hosts.seen_version(),
            confirmed_at: self.hosts_confirmed_at(),
            answers: answers.collect(),
        }
    }

    /// Returns the latest instant at which a reader is certain to have had the
    /// host list in force from the service. A peer's evidence is at least as old
    /// as the poll that it answers. There is none while a newer list is known to
    /// exist.
    fn hosts_confirmed_at(&self) -> Option<Instant> {
        let stamp = self.hosts.stamp();
        if self.hosts.seen_version() > stamp.version {
            return None;
        }
        let from_peers = self.peers.answers().filter_map(|(_, answered)| {
            let summary = &answered.summary;
            let age_ms = summary.hosts_age_ms.filter(|_| summary.hosts == stamp)?;
            let age = Duration::from_millis(u64::from(age_ms));
            answered.asked_at.checked_sub(age)
        });
        from_peers.chain(self.hosts_watch.confirmed_at(stamp)).max()
    }

    fn set_peers(&mut self, all: Vec<HostId>, now: Instant) {
        if let Some(survey) = &mut self.survey {
            let timeout = self.settings.survey_timeout;
            survey.add(all.iter().cloned(), timeout, now);
        }
        self.peers.set(all, &mut self.rng);
    }

    /// Uses the peers of the newest list that is complete on this host.
    fn apply_newest_list(&mut self, now: Instant) {
        let Some(list) = self.hosts.newest().cloned() else {
            return;
        };
        let others = || list.hosts.iter().filter(|host| host.id != self.self_id);
        let all = others().map(|host| host.id.clone()).collect();
        let mut ranked = ranked(&list, &self.failure_domain);
        let parent = parent(&self.self_id, &ranked, self.settings.readers_per_domain);
        self.follow.set_parent(parent, now);
        ranked.truncate(self.settings.candidates_per_domain);
        self.candidates = ranked;
        self.set_peers(all, now);
    }

    fn role(&self, now: Instant) -> Role {
        let readers = self.settings.readers_per_domain;
        role(&self.self_id, &self.candidates, &self.peers, readers, now)
    }

    /// Reports whether the host watches the service: as a reader, or because
    /// no peer reports what the service has.
    fn reads_service(&self, now: Instant) -> bool {
        if self.role(now) == Role::Reader {
            return true;
        }
        let since = self.peers.answered_at().unwrap_or(self.started_at);
        let is_isolated = now >= since + ISOLATED_AFTER;
        let is_first_read_due = now >= self.started_at + self.first_read_delay;
        is_isolated || (is_first_read_due && self.config.current().is_none())
    }

    fn summary(&self, now: Instant) -> ConfigSummary {
        let answers = [&self.config_watch, &self.hosts_watch].map(ServiceWatch::answered_at);
        let oldest = answers.into_iter().min().flatten();
        let age = oldest.map(|at| now.saturating_duration_since(at).as_millis());
        ConfigSummary {
            config: self.config.stamp(),
            hosts: self.hosts.stamp(),
            seen_hosts_version: self.hosts.seen_version(),
            service_age_ms: age.map(|age| u32::try_from(age).unwrap_or(u32::MAX)),
            hosts_age_ms: self.hosts_age_ms(now),
        }
    }

    fn hosts_age_ms(&self, now: Instant) -> Option<u32> {
        let age = now.saturating_duration_since(self.hosts_confirmed_at()?);
        // Rounded up: evidence may appear older than it is, never younger.
        u32::try_from(age.as_millis() + 1).ok()
    }

    fn refuse(&mut self, refusal: Refusal, actions: &mut Vec<AgentAction>) {
        self.counters.refused += 1;
        actions.push(AgentAction::Refuse(refusal));
    }

    /// Builds, adopts and announces complete versions, and fetches what is missing.
    fn progress(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        let known = self.hosts.newest().map(|list| list.version);
        let mut refusals = self.config.stage_complete();
        refusals.extend(self.hosts.stage_complete());
        for refusal in refusals {
            self.refuse(refusal, actions);
        }
        if self.hosts.newest().map(|list| list.version) != known {
            self.apply_newest_list(now);
        }
        if self.adopt(now, actions) {
            self.announce(now, actions);
        }
        self.check_trust(now);
        self.update_followers(now, actions);
        self.fetch(DocumentKind::Config, now, actions);
        self.fetch(DocumentKind::Hosts, now, actions);
    }

    /// Ends the check after a pause once enough peers have answered, and any newer
    /// version of theirs is in force here.
    fn check_trust(&mut self, now: Instant) {
        let Some(check) = &self.trust_check else {
            return;
        };
        let own = self.config.stamp().version;
        let since = check.since;
        let answers = self.peers.answers();
        let answered = answers
            .filter(|(_, answer)| answer.asked_at >= since)
            .filter(|(_, answer)| answer.summary.config.version >= own);
        let is_over = check.is_over(answered.count(), now);
        if !is_over || self.config_is_behind(now) {
            return;
        }
        self.trust_check = None;
        self.trust.restore();
        log::info!("config: configuration version {own} is trusted again after the pause");
    }

    /// Puts complete versions in force, and reports whether there was one.
    fn adopt(&mut self, now: Instant, actions: &mut Vec<AgentAction>) -> bool {
        if self
            .survey
            .as_ref()
            .is_some_and(|survey| survey.is_over(now))
        {
            self.survey = None;
        }
        if self.survey.is_some() {
            return false;
        }
        let before = self.counters.adopted;
        let may_adopt = self.config.current().is_some() || !self.config_is_behind(now);
        if may_adopt && let Some(snapshot) = self.config.adopt() {
            let version = snapshot.version;
            log::info!("config: configuration version {version} is in force");
            self.counters.adopted += 1;
            actions.push(AgentAction::Adopt(snapshot));
        }
        let may_adopt = self.hosts.current().is_some() || !self.hosts_is_behind(now);
        if may_adopt && let Some(list) = self.hosts.adopt() {
            log::info!("config: host list version {} is in force", list.version);
            self.counters.adopted += 1;
            actions.push(AgentAction::AdoptHosts(list));
        }
        self.counters.adopted > before
    }

    /// Reports whether a peer has a newer configuration in force, and offers it
    /// for fetching again. A host adopts its first configuration only once there
    /// is none.
    fn config_is_behind(&mut self, now: Instant) -> bool {
        let mut is_behind = false;
        for (host, summary) in self.peers.messages_since(self.claims_since(now)) {
            if !self.config.wants(&summary.config) {
                continue;
            }
            is_behind = true;
            self.config
                .offer(summary.config, Source::Peer(host.clone()), now);
        }
        is_behind
    }

    /// Does the same for the host list.
    fn hosts_is_behind(&mut self, now: Instant) -> bool {
        let mut is_behind = false;
        for (host, summary) in self.peers.messages_since(self.claims_since(now)) {
            if !self.hosts.wants(&summary.hosts) {
                continue;
            }
            is_behind = true;
            self.hosts
                .offer(summary.hosts, Source::Peer(host.clone()), now);
        }
        is_behind
    }

    fn claims_since(&self, now: Instant) -> Instant {
        now.checked_sub(MAX_CLAIM_AGE).unwrap_or(self.started_at)
    }

    fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }
}
