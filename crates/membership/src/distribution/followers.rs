//! The hosts that follow this host, and what they are told.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use waxwingusher_core::HostId;
use waxwingusher_protocol::{ConfigMessage, ConfigUpdate, Outgoing, Stamp, Summary};

/// Hosts that may follow a host at one time; more only get their answer.
const MAX_FOLLOWERS: usize = 8;

/// How long a host is told of updates after its question.
const TERM: Duration = Duration::from_secs(40);

/// How much fresher evidence becomes until followers are told of it. As it
/// becomes fresher with time only, this is the shortest time between updates.
const MIN_ADVANCE: Duration = Duration::from_millis(1_900);

/// The shortest time between two looks at the evidence.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// The time after which followers are told that nothing is new.
const MAX_INTERVAL: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct Follower {
    nonce: u32,
    asked_at: Instant,
    told: Summary,
}

impl Follower {
    fn knows(&self, config: Stamp, hosts: Stamp) -> bool {
        self.told.config == config && self.told.hosts == hosts
    }
}

/// The hosts that follow this host.
#[derive(Debug)]
pub struct Followers {
    by_host: BTreeMap<HostId, Follower>,
    looked_at: Instant,
    told_at: Instant,
    told_evidence: Option<Instant>,
}

impl Followers {
    /// Starts without followers.
    pub fn new(now: Instant) -> Self {
        Self {
            by_host: BTreeMap::new(),
            looked_at: now,
            told_at: now,
            told_evidence: None,
        }
    }

    /// Adds a host that has just been answered.
    pub fn add(&mut self, host: &HostId, nonce: u32, told: Summary, now: Instant) {
        self.by_host
            .retain(|_, follower| now < follower.asked_at + TERM);
        if self.by_host.len() >= MAX_FOLLOWERS && !self.by_host.contains_key(host) {
            return;
        }
        let follower = Follower {
            nonce,
            asked_at: now,
            told,
        };
        self.by_host.insert(host.clone(), follower);
    }

    /// Reports whether there may be something to tell to somebody.
    pub fn is_due(&self, config: Stamp, hosts: Stamp, now: Instant) -> bool {
        let knows_all = |follower: &Follower| follower.knows(config, hosts);
        !self.by_host.is_empty()
            && (now >= self.looked_at + LOOK_INTERVAL || !self.by_host.values().all(knows_all))
    }

    /// Returns what to tell now: a whole answer to those that do not know the
    /// stamps in force, and updates if the evidence on the list has become
    /// fresher.
    pub fn due(
        &mut self,
        summary: Summary,
        evidence: Option<Instant>,
        now: Instant,
    ) -> Vec<Outgoing<ConfigMessage>> {
        self.by_host
            .retain(|_, follower| now < follower.asked_at + TERM);
        self.looked_at = now;
        let is_fresher = match (evidence, self.told_evidence) {
            (Some(evidence), Some(told)) => evidence >= told + MIN_ADVANCE,
            (evidence, told) => evidence > told,
        };
        let tells = is_fresher || now >= self.told_at + MAX_INTERVAL;
        if tells {
            self.told_at = now;
            self.told_evidence = evidence;
        }
        let mut messages = Vec::new();
        for (host, follower) in &mut self.by_host {
            let knows = follower.knows(summary.config, summary.hosts);
            if knows && (!tells || follower.asked_at == now) {
                continue;
            }
            follower.told = summary;
            let nonce = follower.nonce;
            let message = if knows {
                let after = now.saturating_duration_since(follower.asked_at);
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
