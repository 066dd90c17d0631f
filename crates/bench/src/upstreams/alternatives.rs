//! Two common methods to detect unhealthy instances, for comparison.

use std::time::Duration;

const FAILURES_TO_EJECT: u32 = 5;
const EJECTION_TIME: Duration = Duration::from_secs(30);
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
const FAILED_PROBES_TO_EJECT: u32 = 3;
const MAX_EJECTED_PERCENT: usize = 50;

/// A common detection method.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DetectionMethod {
    /// Each host ejects an instance after consecutive failed requests.
    ConsecutiveFailures,
    /// Each host ejects an instance after consecutive failed probes.
    ProbesOnly,
}

#[derive(Debug, Clone, Copy, Default)]
struct Member {
    consecutive_failures: u32,
    ejected_until: Option<Duration>,
    next_probe: Duration,
}

/// A fleet whose hosts use such a method.
#[derive(Debug)]
pub struct AlternativeFleet {
    method: DetectionMethod,
    members: Vec<Vec<Member>>,
    rng: fastrand::Rng,
}

impl AlternativeFleet {
    /// Creates the fleet.
    pub fn new(method: DetectionMethod, hosts: usize, instances: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut members = vec![vec![Member::default(); instances]; hosts];
        for member in members.iter_mut().flatten() {
            member.next_probe = PROBE_INTERVAL.mul_f64(rng.f64());
        }
        Self {
            method,
            members,
            rng,
        }
    }

    /// Returns the instance that a host sends a request to.
    pub fn choose(&mut self, host: usize, now: Duration) -> usize {
        let usable: Vec<usize> = (0..self.members[host].len())
            .filter(|instance| !self.is_ejected(host, *instance, now))
            .collect();
        usable[self.rng.usize(..usable.len())]
    }

    /// Records the result of a request.
    pub fn report(&mut self, host: usize, instance: usize, is_success: bool, now: Duration) {
        if self.method == DetectionMethod::ConsecutiveFailures {
            self.count(host, instance, is_success, FAILURES_TO_EJECT, now);
        }
    }

    /// Sends the probes that are due; `is_answered` returns whether a probe succeeds.
    pub fn probe(&mut self, now: Duration, is_answered: impl Fn(usize, usize) -> bool) {
        if self.method != DetectionMethod::ProbesOnly {
            return;
        }
        for host in 0..self.members.len() {
            for instance in 0..self.members[host].len() {
                if now < self.members[host][instance].next_probe {
                    continue;
                }
                self.members[host][instance].next_probe = now + PROBE_INTERVAL;
                let is_success = is_answered(host, instance);
                self.count(host, instance, is_success, FAILED_PROBES_TO_EJECT, now);
            }
        }
    }

    /// Reports whether a host has ejected an instance.
    pub fn is_ejected(&self, host: usize, instance: usize, now: Duration) -> bool {
        let until = self.members[host][instance].ejected_until;
        until.is_some_and(|until| now < until)
    }

    fn count(&mut self, host: usize, instance: usize, is_success: bool, limit: u32, now: Duration) {
        let ejected = (0..self.members[host].len())
            .filter(|other| self.is_ejected(host, *other, now))
            .count();
        let may_eject = (ejected + 1) * 100 <= self.members[host].len() * MAX_EJECTED_PERCENT;
        let member = &mut self.members[host][instance];
        if is_success {
            member.consecutive_failures = 0;
            if self.method == DetectionMethod::ProbesOnly {
                member.ejected_until = None;
            }
            return;
        }
        member.consecutive_failures += 1;
        if member.consecutive_failures >= limit && may_eject {
            member.ejected_until = Some(now + EJECTION_TIME);
            member.consecutive_failures = 0;
        }
    }
}
