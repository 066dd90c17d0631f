//! Common methods of fleet-wide rate limiting, for comparison.

use std::collections::VecDeque;
use std::time::Duration;

use waxwingusher_config::RateLimit;

use super::load::{Decision, Demand, IdealBucket, RateLimiter, Request};

/// The round-trip time between two hosts.
const ROUND_TRIP: Duration = Duration::from_millis(3);
/// The time between exchanges of counters.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

/// Each host has an equal share of every rate, and of every burst in whole
/// requests.
pub struct EvenSplit {
    buckets: Vec<Vec<IdealBucket>>,
}

impl EvenSplit {
    /// Creates the buckets of all hosts.
    #[must_use]
    pub fn new(demands: &[Demand], hosts: usize) -> Self {
        let split = |demand: &Demand, host: usize| {
            let count = hosts as u32;
            let rest = (host as u32) < demand.limit.burst % count;
            let limit = RateLimit {
                rate_millis_per_s: demand.limit.rate_millis_per_s / u64::from(count),
                burst: demand.limit.burst / count + u32::from(rest),
            };
            IdealBucket::new(limit, Duration::ZERO)
        };
        let of_host = |host| demands.iter().map(|demand| split(demand, host)).collect();
        Self {
            buckets: (0..hosts).map(of_host).collect(),
        }
    }
}

impl RateLimiter for EvenSplit {
    fn request(&mut self, now: Duration, request: Request) -> Decision {
        decision(self.buckets[request.host][request.workspace].take(now))
    }

    fn step(&mut self, _now: Duration) -> Vec<(u64, bool)> {
        Vec::new()
    }
}

/// The home host of each workspace decides on all its requests.
pub struct SingleHome {
    buckets: Vec<IdealBucket>,
    homes: Vec<usize>,
    down: Vec<bool>,
    in_flight: VecDeque<(Duration, Request)>,
}

impl SingleHome {
    /// Creates the buckets and assigns them to home hosts.
    #[must_use]
    pub fn new(demands: &[Demand], hosts: usize) -> Self {
        let bucket = |demand: &Demand| IdealBucket::new(demand.limit, Duration::ZERO);
        let home = |workspace: usize| (workspace * 7 + 3) % hosts;
        Self {
            buckets: demands.iter().map(bucket).collect(),
            homes: (0..demands.len()).map(home).collect(),
            down: vec![false; hosts],
            in_flight: VecDeque::new(),
        }
    }

    /// Sets whether a host is down. The buckets of a home host are empty when it is
    /// up again.
    pub fn set_down(&mut self, host: usize, is_down: bool, now: Duration) {
        self.down[host] = is_down;
        for (workspace, home) in self.homes.iter().enumerate() {
            if *home == host && !is_down {
                while self.buckets[workspace].take(now) {}
            }
        }
    }
}

impl RateLimiter for SingleHome {
    fn request(&mut self, now: Duration, request: Request) -> Decision {
        if self.homes[request.workspace] == request.host {
            return decision(self.buckets[request.workspace].take(now));
        }
        self.in_flight.push_back((now + ROUND_TRIP, request));
        Decision::Waiting
    }

    fn step(&mut self, now: Duration) -> Vec<(u64, bool)> {
        let mut settled = Vec::new();
        while let Some((at, request)) = self.in_flight.front().copied() {
            if at > now {
                break;
            }
            self.in_flight.pop_front();
            let is_up = !self.down[self.homes[request.workspace]];
            let admitted = is_up && self.buckets[request.workspace].take(now);
            settled.push((request.ticket, admitted));
        }
        settled
    }
}

/// Each host has a bucket with the whole limit and periodically learns what the
/// others have admitted.
pub struct GossipedCounters {
    buckets: Vec<Vec<IdealBucket>>,
    admitted: Vec<Vec<u32>>,
    next_exchange: Duration,
}

impl GossipedCounters {
    /// Creates the buckets of all hosts.
    #[must_use]
    pub fn new(demands: &[Demand], hosts: usize) -> Self {
        let bucket = |demand: &Demand| IdealBucket::new(demand.limit, Duration::ZERO);
        let of_host = |_| demands.iter().map(bucket).collect();
        Self {
            buckets: (0..hosts).map(of_host).collect(),
            admitted: vec![vec![0; demands.len()]; hosts],
            next_exchange: GOSSIP_INTERVAL,
        }
    }

    fn exchange(&mut self, now: Duration) {
        let workspaces = self.admitted.first().map_or(0, Vec::len);
        for workspace in 0..workspaces {
            let total: u32 = self.admitted.iter().map(|counts| counts[workspace]).sum();
            for (host, buckets) in self.buckets.iter_mut().enumerate() {
                for _ in 0..total - self.admitted[host][workspace] {
                    buckets[workspace].charge(now);
                }
            }
        }
        self.admitted.iter_mut().for_each(|counts| counts.fill(0));
    }
}

impl RateLimiter for GossipedCounters {
    fn request(&mut self, now: Duration, request: Request) -> Decision {
        let admitted = self.buckets[request.host][request.workspace].take(now);
        self.admitted[request.host][request.workspace] += u32::from(admitted);
        decision(admitted)
    }

    fn step(&mut self, now: Duration) -> Vec<(u64, bool)> {
        if now >= self.next_exchange {
            self.next_exchange = now + GOSSIP_INTERVAL;
            self.exchange(now);
        }
        Vec::new()
    }
}

fn decision(admitted: bool) -> Decision {
    if admitted {
        Decision::Admitted
    } else {
        Decision::Refused
    }
}
