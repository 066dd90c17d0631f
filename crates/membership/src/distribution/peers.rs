//! The peers of a host: which to poll, and what they last answered.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use waxwingusher_core::HostId;
use waxwingusher_protocol::ConfigSummary;

use super::settings::DistributionSettings;

/// Peers that a host polls after an unanswered poll, before it scans all peers.
const RETRY_POLLS: usize = 3;

/// The host polls in one of this many rounds while it is informed without polls.
const INFORMED_POLL_PERIOD: u32 = 3;

/// Peers polled at once during a scan of all peers.
const SCAN_POLLS: usize = 128;

/// The interval between the batches of a scan.
const SCAN_INTERVAL: Duration = Duration::from_millis(250);

/// The backoff after the first scan without an answer.
const MIN_SCAN_BACKOFF: Duration = Duration::from_secs(5);

/// The longest backoff between scans.
const MAX_SCAN_BACKOFF: Duration = Duration::from_secs(60);

/// The last message of a peer.
#[derive(Debug, Clone, Copy)]
pub struct LastMessage {
    /// When it arrived.
    pub at: Instant,
    /// What the peer had.
    pub summary: ConfigSummary,
}

/// A peer's last answer.
#[derive(Debug, Clone, Copy)]
pub struct LastAnswer {
    /// When the poll was sent.
    pub asked_at: Instant,
    /// When the answer arrived.
    pub at: Instant,
    /// What the peer had.
    pub summary: ConfigSummary,
}

#[derive(Debug, Default)]
struct Peer {
    last_message: Option<LastMessage>,
    last_answer: Option<LastAnswer>,
    last_poll: Option<(u32, Instant)>,
}

/// The stage of polling until a peer answers.
#[derive(Debug, Clone, Copy)]
enum Stage {
    Idle,
    Polled { retry_at: Instant },
    Retried { scan_at: Instant },
    Scanning { next_at: Instant, left: usize },
}

/// The peers of a host.
#[derive(Debug)]
pub struct Peers {
    peers: BTreeMap<HostId, Peer>,
    ring: Vec<HostId>,
    cursor: usize,
    stage: Stage,
    next_round: Instant,
    rounds: u32,
    scan_backoff: Duration,
    next_scan: Instant,
    started_at: Instant,
    answered_at: Option<Instant>,
}

impl Peers {
    /// Creates the state without peers.
    pub fn new(now: Instant) -> Self {
        Self {
            peers: BTreeMap::new(),
            ring: Vec::new(),
            cursor: 0,
            stage: Stage::Idle,
            next_round: now,
            rounds: 0,
            scan_backoff: MIN_SCAN_BACKOFF,
            next_scan: now,
            started_at: now,
            answered_at: None,
        }
    }

    /// Returns when the host started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Replaces the peers.
    pub fn set(&mut self, all: Vec<HostId>, rng: &mut fastrand::Rng) {
        self.peers.retain(|host, _| all.contains(host));
        for host in &all {
            self.peers.entry(host.clone()).or_default();
        }
        self.ring = all;
        rng.shuffle(&mut self.ring);
        self.cursor = 0;
    }

    /// Returns a peer's last message.
    pub fn last_message(&self, host: &HostId) -> Option<&LastMessage> {
        self.peers.get(host)?.last_message.as_ref()
    }

    /// Records that a peer is polled with a nonce.
    pub fn on_poll(&mut self, host: &HostId, nonce: u32, now: Instant) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.last_poll = Some((nonce, now));
        }
    }

    /// Handles a peer's message.
    pub fn on_message(&mut self, host: &HostId, summary: ConfigSummary, now: Instant) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.last_message = Some(LastMessage { at: now, summary });
        }
    }

    /// Handles a peer's answer. An answer to an earlier poll than the last is no
    /// evidence, as its age is unknown.
    pub fn on_answer(&mut self, host: &HostId, nonce: u32, summary: ConfigSummary, now: Instant) {
        let poll = self.peers.get(host).and_then(|peer| peer.last_poll);
        let Some((_, asked_at)) = poll.filter(|(polled, _)| *polled == nonce) else {
            return;
        };
        self.record_answer(host, asked_at, summary, now);
    }

    /// Handles an update of a followed peer, which had the summary since an instant.
    pub fn on_update(
        &mut self,
        host: &HostId,
        since: Instant,
        summary: ConfigSummary,
        now: Instant,
    ) {
        self.on_message(host, summary, now);
        self.record_answer(host, since, summary, now);
    }

    fn record_answer(
        &mut self,
        host: &HostId,
        asked_at: Instant,
        summary: ConfigSummary,
        now: Instant,
    ) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        peer.last_answer = Some(LastAnswer {
            asked_at,
            at: now,
            summary,
        });
        self.answered_at = Some(now);
        self.stage = Stage::Idle;
        self.scan_backoff = MIN_SCAN_BACKOFF;
    }

    /// Returns the peer with the freshest evidence, except one.
    pub fn best_informed(&self, except: Option<&HostId>) -> Option<HostId> {
        let others = self.answers().filter(|(host, _)| Some(*host) != except);
        let evidence = others.map(|(host, answered)| {
            let age_ms = answered.summary.hosts_age_ms.unwrap_or(u32::MAX);
            let age = Duration::from_millis(u64::from(age_ms));
            (answered.asked_at.checked_sub(age), answered.at, host)
        });
        evidence.max().map(|(_, _, host)| host.clone())
    }

    /// Returns the last answers of all peers.
    pub fn answers(&self) -> impl Iterator<Item = (&HostId, &LastAnswer)> {
        let peers = self.peers.iter();
        peers.filter_map(|(host, peer)| Some((host, peer.last_answer.as_ref()?)))
    }

    /// Returns when a peer last answered.
    pub fn answered_at(&self) -> Option<Instant> {
        self.answered_at
    }

    /// Returns the last messages of peers that arrived since an instant.
    pub fn messages_since(
        &self,
        since: Instant,
    ) -> impl Iterator<Item = (&HostId, &ConfigSummary)> {
        let peers = self.peers.iter();
        peers.filter_map(move |(host, peer)| {
            let message = peer
                .last_message
                .as_ref()
                .filter(|message| message.at >= since)?;
            Some((host, &message.summary))
        })
    }

    /// Returns distinct random peers.
    pub fn sample(&self, count: usize, rng: &mut fastrand::Rng) -> Vec<HostId> {
        rng.choose_multiple(self.ring.iter(), count)
            .into_iter()
            .cloned()
            .collect()
    }

    /// Returns the peers to poll now. A host that is informed without polls polls
    /// less often.
    pub fn due_polls(
        &mut self,
        is_informed: bool,
        settings: &DistributionSettings,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Vec<HostId> {
        match self.stage {
            Stage::Idle if now >= self.next_round => {
                self.start_round(is_informed, settings, rng, now)
            }
            Stage::Polled { retry_at } if now >= retry_at => {
                let scan_at = now + settings.answer_timeout;
                self.stage = Stage::Retried { scan_at };
                self.retry_targets(rng)
            }
            Stage::Retried { scan_at } if now >= scan_at => self.start_scan(now),
            Stage::Scanning { next_at, left } if now >= next_at => self.scan(left, now),
            _ => Vec::new(),
        }
    }

    fn start_round(
        &mut self,
        is_informed: bool,
        settings: &DistributionSettings,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Vec<HostId> {
        let jitter = 0.9 + 0.2 * rng.f64();
        self.next_round = now + settings.poll_interval.mul_f64(jitter);
        self.rounds = self.rounds.wrapping_add(1);
        if is_informed && !self.rounds.is_multiple_of(INFORMED_POLL_PERIOD) {
            return Vec::new();
        }
        let targets = self.sample(1, rng);
        if !targets.is_empty() {
            let retry_at = now + settings.answer_timeout;
            self.stage = Stage::Polled { retry_at };
        }
        targets
    }

    /// Returns the peers that answered last, and one at random.
    fn retry_targets(&self, rng: &mut fastrand::Rng) -> Vec<HostId> {
        let mut answered: Vec<_> = self
            .peers
            .iter()
            .filter_map(|(host, peer)| Some((peer.last_answer.as_ref()?.at, host)))
            .collect();
        answered.sort_by(|a, b| b.cmp(a));
        let mut targets: Vec<_> = answered
            .into_iter()
            .take(RETRY_POLLS - 1)
            .map(|(_, host)| host.clone())
            .collect();
        targets.extend(self.sample(1, rng));
        targets.dedup();
        targets
    }

    fn start_scan(&mut self, now: Instant) -> Vec<HostId> {
        if now < self.next_scan {
            self.stage = Stage::Idle;
            return Vec::new();
        }
        self.next_scan = now + self.scan_backoff;
        self.scan_backoff = (self.scan_backoff * 2).min(MAX_SCAN_BACKOFF);
        self.scan(self.ring.len(), now)
    }

    fn scan(&mut self, left: usize, now: Instant) -> Vec<HostId> {
        let width = left.min(SCAN_POLLS);
        self.stage = if left == 0 {
            Stage::Idle
        } else {
            Stage::Scanning {
                next_at: now + SCAN_INTERVAL,
                left: left - width,
            }
        };
        let ring = self.ring.iter().cycle().skip(self.cursor);
        let targets = ring.take(width).cloned().collect();
        self.cursor = (self.cursor + width) % self.ring.len().max(1);
        targets
    }
}
