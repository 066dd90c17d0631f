//! Two common methods to detect unhealthy instances, for comparison.

use std::time::Duration;

const FAILURES_IN_ROW: u32 = 5;
const EJECTION: Duration = Duration::from_secs(30);
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
const PROBES_IN_ROW: u32 = 3;
const MOST_EJECTED_PERCENT: usize = 50;

/// A common detection method.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rival {
    /// Each host ejects an instance after consecutive failed requests.
    ConsecutiveFailures,
    /// Each host ejects an instance after consecutive failed probes.
    ProbesOnly,
}

#[derive(Debug, Clone, Copy, Default)]
struct Member {
    in_row: u32,
    out_until: Option<Duration>,
    next_probe: Duration,
}

/// A fleet whose hosts use such a method.
#[derive(Debug)]
pub struct RivalFleet {
    rival: Rival,
    members: Vec<Vec<Member>>,
    rng: fastrand::Rng,
}

impl RivalFleet {
    /// Creates the fleet.
    pub fn new(rival: Rival, hosts: usize, instances: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut members = vec![vec![Member::default(); instances]; hosts];
        for member in members.iter_mut().flatten() {
            member.next_probe = PROBE_INTERVAL.mul_f64(rng.f64());
        }
        Self {
            rival,
            members,
            rng,
        }
    }

    /// Returns the instance that a host sends a request to.
    pub fn choose(&mut self, host: usize, now: Duration) -> usize {
        let usable: Vec<usize> = (0..self.members[host].len())
            .filter(|instance| !self.is_out(host, *instance, now))
            .collect();
        usable[self.rng.usize(..usable.len())]
    }

    /// Records the result of a request.
    pub fn report(&mut self, host: usize, instance: usize, ok: bool, now: Duration) {
        if self.rival == Rival::ConsecutiveFailures {
            self.count(host, instance, ok, FAILURES_IN_ROW, now);
        }
    }

    /// Sends the probes that are due; `answers` returns whether a probe succeeds.
    pub fn probe(&mut self, now: Duration, answers: impl Fn(usize, usize) -> bool) {
        if self.rival != Rival::ProbesOnly {
            return;
        }
        for host in 0..self.members.len() {
            for instance in 0..self.members[host].len() {
                if now < self.members[host][instance].next_probe {
                    continue;
                }
                self.members[host][instance].next_probe = now + PROBE_INTERVAL;
                let ok = answers(host, instance);
                self.count(host, instance, ok, PROBES_IN_ROW, now);
            }
        }
    }

    /// Reports whether a host has ejected an instance.
    pub fn is_out(&self, host: usize, instance: usize, now: Duration) -> bool {
        let until = self.members[host][instance].out_until;
        until.is_some_and(|until| now < until)
    }

    fn count(&mut self, host: usize, instance: usize, ok: bool, limit: u32, now: Duration) {
        let out = (0..self.members[host].len())
            .filter(|other| self.is_out(host, *other, now))
            .count();
        let may_eject = (out + 1) * 100 <= self.members[host].len() * MOST_EJECTED_PERCENT;
        let member = &mut self.members[host][instance];
        if ok {
            member.in_row = 0;
            if self.rival == Rival::ProbesOnly {
                member.out_until = None;
            }
            return;
        }
        member.in_row += 1;
        if member.in_row >= limit && may_eject {
            member.out_until = Some(now + EJECTION);
            member.in_row = 0;
        }
    }
}
