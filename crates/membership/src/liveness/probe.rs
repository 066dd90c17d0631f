//! Probes in flight, own ones and those on behalf of other hosts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use waxwingusher_core::HostId;

use super::settings::LivenessSettings;

const MAX_RELAYED_PROBES: usize = 64;

/// The stage of a round of probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Direct,
    Retried,
    Relayed,
}

#[derive(Debug)]
struct Probe {
    target: HostId,
    started_at: Instant,
    stage: Stage,
}

#[derive(Debug)]
struct RelayedProbe {
    requester: HostId,
    requester_number: u32,
    target: HostId,
    started_at: Instant,
}

/// The next step of a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Step {
    /// Send the ping again.
    Retry(u32, HostId),
    /// Send the ping again, also through relays.
    Relay(u32, HostId),
    /// The round has ended without an answer.
    Fail(HostId, Instant),
}

/// An answer to be forwarded to the host that requested the probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RelayedAnswer {
    pub(super) requester: HostId,
    pub(super) requester_number: u32,
}

/// All probes in flight, by number.
#[derive(Debug, Default)]
pub(super) struct Probes {
    last_number: u32,
    own: BTreeMap<u32, Probe>,
    relayed: BTreeMap<u32, RelayedProbe>,
}

impl Probes {
    /// Starts a round and returns its number.
    pub(super) fn begin(&mut self, target: &HostId, now: Instant) -> u32 {
        let number = self.next_number();
        let probe = Probe {
            target: target.clone(),
            started_at: now,
            stage: Stage::Direct,
        };
        self.own.insert(number, probe);
        number
    }

    pub(super) fn len(&self) -> usize {
        self.own.len()
    }

    pub(super) fn is_probing(&self, target: &HostId) -> bool {
        self.own.values().any(|probe| probe.target == *target)
    }

    /// Ends the round that an answer belongs to.
    pub(super) fn finish(&mut self, number: u32, target: &HostId) -> bool {
        let is_answer = self
            .own
            .get(&number)
            .is_some_and(|probe| probe.target == *target);
        if is_answer {
            self.own.remove(&number);
        }
        is_answer
    }

    /// Starts a probe for another host; None if there are too many.
    pub(super) fn begin_relayed(
        &mut self,
        requester: &HostId,
        requester_number: u32,
        target: &HostId,
        now: Instant,
    ) -> Option<u32> {
        if self.relayed.len() >= MAX_RELAYED_PROBES {
            return None;
        }
        let number = self.next_number();
        let probe = RelayedProbe {
            requester: requester.clone(),
            requester_number,
            target: target.clone(),
            started_at: now,
        };
        self.relayed.insert(number, probe);
        Some(number)
    }

    /// Ends a probe for another host, and returns the answer to forward.
    pub(super) fn finish_relayed(&mut self, number: u32, target: &HostId) -> Option<RelayedAnswer> {
        if self.relayed.get(&number)?.target != *target {
            return None;
        }
        let probe = self.relayed.remove(&number)?;
        Some(RelayedAnswer {
            requester: probe.requester,
            requester_number: probe.requester_number,
        })
    }

    /// Drops all probes, as their answers may have been lost during a pause.
    pub(super) fn clear(&mut self) {
        self.own.clear();
        self.relayed.clear();
    }

    /// Returns the steps that are due.
    pub(super) fn advance(&mut self, now: Instant, settings: &LivenessSettings) -> Vec<Step> {
        let age = |started_at: Instant| now.saturating_duration_since(started_at);
        let mut steps = Vec::new();
        for (number, probe) in &mut self.own {
            let Some(step) = probe.advance(*number, age(probe.started_at), settings) else {
                continue;
            };
            steps.push(step);
        }
        self.own
            .retain(|_, probe| age(probe.started_at) < settings.round_timeout);
        self.relayed
            .retain(|_, probe| age(probe.started_at) < settings.round_timeout);
        steps
    }

    fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }
}

impl Probe {
    fn advance(&mut self, number: u32, age: Duration, settings: &LivenessSettings) -> Option<Step> {
        if age >= settings.round_timeout {
            return Some(Step::Fail(self.target.clone(), self.started_at));
        }
        if age >= settings.relay_after && self.stage != Stage::Relayed {
            self.stage = Stage::Relayed;
            return Some(Step::Relay(number, self.target.clone()));
        }
        if age >= settings.retry_after && self.stage == Stage::Direct {
            self.stage = Stage::Retried;
            return Some(Step::Retry(number, self.target.clone()));
        }
        None
    }
}
