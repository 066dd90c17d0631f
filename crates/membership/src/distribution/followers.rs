//! The hosts that follow this host, and the messages sent to them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use waxwingusher_core::HostId;
use waxwingusher_protocol::{ConfigMessage, ConfigSummary, ConfigUpdate, Outgoing, Stamp};

/// Hosts that may follow a host at the same time; others only get one answer.
const MAX_FOLLOWERS: usize = 8;

/// How long updates are sent to a host after its request.
const FOLLOW_TERM: Duration = Duration::from_secs(40);

/// How much fresher evidence must be before followers get an update. As evidence
/// becomes fresher with time only, this is the shortest time between updates.
const MIN_EVIDENCE_ADVANCE: Duration = Duration::from_millis(1_900);

/// The shortest time between two checks of the evidence.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The time after which followers get an update although nothing is new.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct Follower {
    nonce: u32,
    requested_at: Instant,
    last_sent: ConfigSummary,
}

impl Follower {
    fn is_up_to_date(&self, config: Stamp, hosts: Stamp) -> bool {
        self.last_sent.config == config && self.last_sent.hosts == hosts
    }
}

/// The hosts that follow this host.
#[derive(Debug)]
pub struct Followers {
    by_host: BTreeMap<HostId, Follower>,
    checked_at: Instant,
    sent_at: Instant,
    sent_evidence: Option<Instant>,
}

impl Followers {
    /// Creates the state without followers.
    pub fn new(now: Instant) -> Self {
        Self {
            by_host: BTreeMap::new(),
            checked_at: now,
            sent_at: now,
            sent_evidence: None,
        }
    }

    /// Adds a host that has just been answered.
    pub fn add(&mut self, host: &HostId, nonce: u32, last_sent: ConfigSummary, now: Instant) {
        self.by_host
            .retain(|_, follower| now < follower.requested_at + FOLLOW_TERM);
        if self.by_host.len() >= MAX_FOLLOWERS && !self.by_host.contains_key(host) {
            return;
        }
        let follower = Follower {
            nonce,
            requested_at: now,
            last_sent,
        };
        self.by_host.insert(host.clone(), follower);
    }

    /// Reports whether there may be messages to send.
    pub fn is_due(&self, config: Stamp, hosts: Stamp, now: Instant) -> bool {
        let is_up_to_date = |follower: &Follower| follower.is_up_to_date(config, hosts);
        !self.by_host.is_empty()
            && (now >= self.checked_at + CHECK_INTERVAL
                || !self.by_host.values().all(is_up_to_date))
    }

    /// Returns the messages to send now: a full answer to followers that do not
    /// know the stamps in force, and updates if the evidence that the list is
    /// current has become fresher.
    pub fn due_messages(
        &mut self,
        summary: ConfigSummary,
        evidence: Option<Instant>,
        now: Instant,
    ) -> Vec<Outgoing<ConfigMessage>> {
        self.by_host
            .retain(|_, follower| now < follower.requested_at + FOLLOW_TERM);
        self.checked_at = now;
        let is_fresher = match (evidence, self.sent_evidence) {
            (Some(evidence), Some(sent)) => evidence >= sent + MIN_EVIDENCE_ADVANCE,
            (evidence, sent) => evidence > sent,
        };
        let is_update_due = is_fresher || now >= self.sent_at + HEARTBEAT_INTERVAL;
        if is_update_due {
            self.sent_at = now;
            self.sent_evidence = evidence;
        }
        let mut messages = Vec::new();
        for (host, follower) in &mut self.by_host {
            let is_up_to_date = follower.is_up_to_date(summary.config, summary.hosts);
            if is_up_to_date && (!is_update_due || follower.requested_at == now) {
                continue;
            }
            follower.last_sent = summary;
            let nonce = follower.nonce;
            let message = if is_up_to_date {
                let after = now.saturating_duration_since(follower.requested_at);
                ConfigMessage::Update(ConfigUpdate::new(nonce, after, &summary))
            } else {
                ConfigMessage::Answer { nonce, summary }
            };
            messages.push(Outgoing {
                to: host.clone(),
                message,
            });
        }
        messages
    }
}
