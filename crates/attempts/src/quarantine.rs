//! Quarantine of requests that crash the instances that run them.
//!
//! A host that loses an instance reports the requests that it had in flight on
//! it to two hosts, which correlate the crashes of the service. A request that
//! explains the crashes of two instances is quarantined, and the notice is
//! spread by gossip. Without crashes nothing is sent.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{
    BodyDigest, Clock, HostId, HostList, InstanceId, RouteName, ServiceName, WorkspaceName,
    rendezvous,
};
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::attempt::{
    AttemptKey, AttemptMessage, CrashReport, MAX_REPORTED_SUSPECTS, QuarantineMessage,
    QuarantineNotice, Suspect,
};

use crate::completions::Completions;
use crate::crash_correlation::{CrashCorrelator, CrashFinding};

/// The number of hosts that correlate the crashes of a service.
const CORRELATORS_PER_SERVICE: usize = 2;

/// The most instances whose crash is attributed to one request.
const MAX_ATTRIBUTED_CRASHES: usize = 32;

/// Limits of the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// How long the first quarantine of a request lasts.
    pub term: Duration,
    /// The longest repeated quarantine.
    pub max_term: Duration,
    /// How long crashes and ended quarantines are kept.
    pub crash_retention: Duration,
    /// How long reports of several hosts on one instance count as one crash.
    pub merge_time: Duration,
    /// How long the reports on a service are collected before they are evaluated.
    pub collection_time: Duration,
    /// How long after its completion a request is not suspected of a crash.
    pub completion_retention: Duration,
    /// The number of peers that a host sends a notice to.
    pub fanout: usize,
    /// The number of times that a notice is sent through the fleet.
    pub rounds: u8,
    /// The time between two rounds.
    pub round_interval: Duration,
    /// The most requests in quarantine.
    pub max_quarantined: usize,
    /// The most completed fingerprints that a host remembers.
    pub max_completions: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(60),
            max_term: Duration::from_secs(480),
            crash_retention: Duration::from_secs(300),
            merge_time: Duration::from_secs(5),
            collection_time: Duration::from_millis(500),
            completion_retention: Duration::from_secs(60),
            fanout: 4,
            rounds: 3,
            round_interval: Duration::from_secs(2),
            max_quarantined: 1024,
            max_completions: 16_384,
        }
    }
}

/// A lost instance with this host's requests in flight on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostInstance {
    /// The service.
    pub service: ServiceName,
    /// The instance.
    pub instance: InstanceId,
    /// The fingerprints of the requests.
    pub in_flight: Vec<AttemptKey>,
}

/// Counters and sizes of one host's quarantine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QuarantineReport {
    /// Requests in quarantine.
    pub quarantined: usize,
    /// Requests that were refused because of their quarantine.
    pub refused: u64,
    /// Crashes that this host correlates.
    pub correlated_crashes: usize,
}

#[derive(Debug, Clone)]
struct QuarantinedRequest {
    until: Instant,
    round: u8,
    instances: BTreeSet<InstanceId>,
}

#[derive(Debug, Clone)]
struct Rebroadcast {
    send_at: Instant,
    notice: QuarantineNotice,
    until: Instant,
}

/// The quarantined requests that one host knows of.
pub struct Quarantine {
    self_id: HostId,
    clock: Arc<dyn Clock>,
    rng: fastrand::Rng,
    settings: QuarantineSettings,
    peers: Vec<HostId>,
    entries: BTreeMap<AttemptKey, QuarantinedRequest>,
    completions: Completions,
    correlator: CrashCorrelator,
    rebroadcasts: VecDeque<Rebroadcast>,
    attributed_crashes: Vec<InstanceId>,
    refused: u64,
}

impl Quarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(
        self_id: HostId,
        clock: Arc<dyn Clock>,
        rng: fastrand::Rng,
        settings: QuarantineSettings,
    ) -> Self {
        Self {
            self_id,
            clock,
            rng,
            settings,
            peers: Vec::new(),
            entries: BTreeMap::new(),
            completions: Completions::new(&settings),
            correlator: CrashCorrelator::new(settings),
            rebroadcasts: VecDeque::new(),
            attributed_crashes: Vec::new(),
            refused: 0,
        }
    }

    /// Returns the fingerprint of a request. It includes the workspace, so that
    /// no workspace can get another's requests quarantined by sending them.
    #[must_use]
    pub fn fingerprint(
        workspace: &WorkspaceName,
        route: &RouteName,
        body: &BodyDigest,
    ) -> AttemptKey {
        AttemptKey::fingerprint(workspace, route.as_str(), body)
    }

    /// Applies a host list.
    pub fn apply_host_list(&mut self, list: &HostList) {
        self.peers = list.live().map(|entry| entry.id.clone()).collect();
    }

    /// Reports whether a request is in quarantine and must be refused.
    pub fn is_quarantined(&mut self, fingerprint: &AttemptKey) -> bool {
        let now = self.clock.now();
        let quarantined = self
            .entries
            .get(fingerprint)
            .is_some_and(|entry| now < entry.until);
        if quarantined {
            self.refused += 1;
            log::info!("quarantine: refused {fingerprint:?}");
        }
        quarantined
    }

    /// Records that a request was answered.
    pub fn on_completed(&mut self, fingerprint: AttemptKey) {
        self.completions.insert(fingerprint, self.clock.now());
    }

    /// Reports the requests in flight on an instance that was lost.
    pub fn on_instance_lost(&mut self, lost: &LostInstance) -> Vec<Outgoing<AttemptMessage>> {
        if lost.in_flight.is_empty() {
            return Vec::new();
        }
        let now = self.clock.now();
        let mut fingerprints = lost.in_flight.clone();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints.truncate(MAX_REPORTED_SUSPECTS);
        let suspects = fingerprints.into_iter().map(|fingerprint| Suspect {
            fingerprint,
            completes: self.completions.contains(&fingerprint, now),
        });
        let report = CrashReport {
            service: lost.service.clone(),
            instance: lost.instance.clone(),
            suspects: suspects.collect(),
        };
        log::info!(
            "quarantine: lost {} with requests in flight",
            report.instance
        );
        let mut outgoing = Vec::new();
        for host in self.correlators(&lost.service) {
            if host == self.self_id {
                self.correlator.on_report(&report, now);
                continue;
            }
            let message = QuarantineMessage::Report(report.clone());
            outgoing.push(to_peer(host, message));
        }
        outgoing
    }

    /// Handles a message of another host.
    pub fn on_message(&mut self, message: QuarantineMessage) -> Vec<Outgoing<AttemptMessage>> {
        match message {
            QuarantineMessage::Report(report) => {
                self.correlator.on_report(&report, self.clock.now());
                Vec::new()
            }
            QuarantineMessage::Notice(notice) => self.on_notice(&notice),
        }
    }

    /// Starts due quarantines, resends notices, and drops old crashes and
    /// quarantines.
    pub fn tick(&mut self) -> Vec<Outgoing<AttemptMessage>> {
        let now = self.clock.now();
        self.entries.retain(|_, entry| now < entry.until);
        self.completions.expire(now);
        self.correlator.expire(now);
        let mut outgoing = Vec::new();
        for finding in self.correlator.take_findings(now) {
            outgoing.extend(self.start_quarantine(finding));
        }
        while self
            .rebroadcasts
            .front()
            .is_some_and(|rebroadcast| rebroadcast.send_at <= now)
        {
            let Some(rebroadcast) = self.rebroadcasts.pop_front() else {
                break;
            };
            let Some(left) = rebroadcast.until.checked_duration_since(now) else {
                continue;
            };
            let mut notice = rebroadcast.notice;
            notice.left_ms = to_millis(left);
            self.schedule_round(&notice, rebroadcast.until);
            outgoing.extend(self.on_notice(&notice));
        }
        outgoing
    }

    /// Removes and returns the instances whose crash was caused by a quarantined
    /// request, and must not count against them.
    pub fn take_attributed_crashes(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.attributed_crashes)
    }

    /// Returns counters and sizes.
    #[must_use]
    pub fn report(&self) -> QuarantineReport {
        QuarantineReport {
            quarantined: self.entries.len(),
            refused: self.refused,
            correlated_crashes: self.correlator.len(),
        }
    }

    fn correlators(&self, service: &ServiceName) -> Vec<HostId> {
        let ranked = rendezvous::rank(service.as_str(), self.peers.iter(), |host| host.as_str());
        ranked
            .into_iter()
            .take(CORRELATORS_PER_SERVICE)
            .cloned()
            .collect()
    }

    fn start_quarantine(&mut self, finding: CrashFinding) -> Vec<Outgoing<AttemptMessage>> {
        let CrashFinding {
            fingerprint,
            instances,
            term,
        } = finding;
        log::warn!("quarantine: {fingerprint:?} explains the crashes of {instances:?}");
        let notice = QuarantineNotice {
            fingerprint,
            left_ms: to_millis(term),
            round: 0,
            instances,
        };
        self.schedule_round(&notice, self.clock.now() + term);
        self.on_notice(&notice)
    }

    /// Schedules the next round of a notice.
    fn schedule_round(&mut self, notice: &QuarantineNotice, until: Instant) {
        let round = notice.round + 1;
        if round >= self.settings.rounds {
            return;
        }
        self.rebroadcasts.push_back(Rebroadcast {
            send_at: self.clock.now() + self.settings.round_interval,
            notice: QuarantineNotice {
                round,
                ..notice.clone()
            },
            until,
        });
    }

    /// Applies a notice, and forwards it if anything in it is new.
    fn on_notice(&mut self, notice: &QuarantineNotice) -> Vec<Outgoing<AttemptMessage>> {
        let now = self.clock.now();
        let left = Duration::from_millis(u64::from(notice.left_ms)).min(self.settings.max_term);
        let is_new_entry = !self.entries.contains_key(&notice.fingerprint);
        if left.is_zero() || is_new_entry && self.entries.len() >= self.settings.max_quarantined {
            return Vec::new();
        }
        let entry = self
            .entries
            .entry(notice.fingerprint)
            .or_insert(QuarantinedRequest {
                until: now,
                round: notice.round,
                instances: BTreeSet::new(),
            });
        let mut is_new = is_new_entry || entry.round < notice.round;
        entry.round = entry.round.max(notice.round);
        entry.until = entry.until.max(now + left);
        for instance in &notice.instances {
            if entry.instances.len() < MAX_ATTRIBUTED_CRASHES
                && entry.instances.insert(instance.clone())
            {
                self.attributed_crashes.push(instance.clone());
                is_new = true;
            }
        }
        if !is_new {
            return Vec::new();
        }
        log::warn!(
            "quarantine: quarantined {:?} for {left:?}, it crashed instances",
            notice.fingerprint
        );
        self.forward(notice)
    }

    fn forward(&mut self, notice: &QuarantineNotice) -> Vec<Outgoing<AttemptMessage>> {
        let others = self.peers.iter().filter(|peer| **peer != self.self_id);
        let chosen = self.rng.choose_multiple(others, self.settings.fanout);
        let messages = chosen.into_iter().map(|peer| {
            let message = QuarantineMessage::Notice(notice.clone());
            to_peer(peer.clone(), message)
        });
        messages.collect()
    }
}

fn to_peer(to: HostId, message: QuarantineMessage) -> Outgoing<AttemptMessage> {
    let message = AttemptMessage::Quarantine(message);
    Outgoing { to, message }
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
