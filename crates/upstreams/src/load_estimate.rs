//! Choice among instances when many hosts act on reports of the same age.
//!
//! Until a host learns of them, other hosts send requests to the instances that look
//! least loaded. The choice therefore spreads as many requests as the others have
//! probably sent since the reports over the cheapest instances, and draws one of them
//! in proportion to its part (Dahlin, "Interpreting Stale Load Information"). Without
//! unseen requests this is the cheapest instance.

use std::time::Duration;

use crate::placement::{LOAD_COST, QUEUE_COST};

/// The interval of the reports to remote failure domains.
const REMOTE_REPORT_AGE: Duration = Duration::from_millis(400);
/// The shortest time for which a host batches its reports to neighbours.
const MIN_LOCAL_REPORT_AGE: Duration = Duration::from_millis(4);
/// The datagrams that a host sends to its neighbours in a second; more neighbours get
/// reports less often.
const MAX_LOCAL_DATAGRAMS_PER_S: u32 = 2_000;
/// How many requests count as unseen for each that has probably arrived. Arrivals are
/// uneven; with 1, a fifth more time is spent waiting at 129 hosts and load 0.8.
const UNSEEN_FACTOR: f64 = 2.0;
/// The bisection ends when the level is exact to 2^-10 of its range, a hundredth of the
/// difference of two instances.
const BISECTION_STEPS: u32 = 10;
/// The shortest time of a request, below the resolution of the measured ones.
const MIN_USUAL_TIME_S: f64 = 0.001;

/// The hosts that choose among the same instances, and the ages of their reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSharing {
    /// The hosts of this failure domain, this one included.
    pub local_hosts: usize,
    /// The age of reports from this failure domain.
    pub local_report_age: Duration,
    /// The age of reports from other failure domains.
    pub remote_report_age: Duration,
}

impl LoadSharing {
    /// Returns the report ages of a failure domain with a number of hosts.
    #[must_use]
    pub fn for_hosts(local_hosts: usize) -> Self {
        let neighbours = u32::try_from(local_hosts.saturating_sub(1)).unwrap_or(u32::MAX);
        let batch_delay = Duration::from_secs(1) * neighbours / MAX_LOCAL_DATAGRAMS_PER_S;
        Self {
            local_hosts,
            local_report_age: batch_delay.max(MIN_LOCAL_REPORT_AGE),
            remote_report_age: REMOTE_REPORT_AGE,
        }
    }

    /// Returns the share of the requests of this failure domain that other hosts send.
    #[must_use]
    pub fn share_of_others(&self) -> f64 {
        1.0 - 1.0 / self.local_hosts.max(1) as f64
    }
}

/// An instance that may get a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Its cost apart from its load.
    pub base_cost: f64,
    /// The requests that it processes concurrently.
    pub slots: u32,
    /// The known requests in flight of all hosts.
    pub in_flight: u32,
}

impl Candidate {
    fn slots(&self) -> f64 {
        f64::from(self.slots.max(1))
    }

    /// Returns the cost of one more request.
    #[must_use]
    pub fn cost(&self) -> f64 {
        self.base_cost + load_cost(f64::from(self.in_flight + 1) / self.slots())
    }

    /// Returns the cost of the requests that are in flight.
    fn current_cost(&self) -> f64 {
        self.base_cost + load_cost(f64::from(self.in_flight) / self.slots())
    }

    /// Returns how many requests it takes until the next one costs more than `level`.
    fn room_below(&self, level: f64) -> f64 {
        let left = level - self.base_cost;
        let max_occupancy = if left <= LOAD_COST {
            left / LOAD_COST
        } else {
            1.0 + (left - LOAD_COST) / QUEUE_COST
        };
        (max_occupancy * self.slots() - f64::from(self.in_flight)).max(0.0)
    }
}

fn load_cost(occupancy: f64) -> f64 {
    LOAD_COST * occupancy.min(1.0) + QUEUE_COST * (occupancy - 1.0).max(0.0)
}

/// Instances of the same failure domain, or of all remote ones.
#[derive(Debug, Clone, Default)]
pub struct CandidateGroup {
    candidates: Vec<Candidate>,
}

/// A drawn candidate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Draw {
    /// The position of the candidate in the order in which they were added.
    pub index: usize,
    /// The cost of one more request after the unseen ones and this one.
    pub level: f64,
}

impl CandidateGroup {
    /// Adds a candidate.
    pub fn push(&mut self, candidate: Candidate) {
        self.candidates.push(candidate);
    }

    /// Returns the lowest cost of a candidate by the reports.
    #[must_use]
    pub fn least_cost(&self) -> Option<f64> {
        let costs = self.candidates.iter().map(Candidate::cost);
        costs.min_by(f64::total_cmp)
    }

    /// Returns how many requests the candidates have probably got since reports of an
    /// age. Not more than the free slots count, since about as many have ended
    /// meanwhile as have arrived.
    #[must_use]
    pub fn unseen_requests(&self, report_age: Duration, usual_time: Duration) -> f64 {
        let arrived = self.arrivals(report_age, usual_time);
        (arrived * UNSEEN_FACTOR).min(self.free_slots())
    }

    /// Returns how many requests the candidates get in a time, by Little's law.
    #[must_use]
    pub fn arrivals(&self, time: Duration, usual_time: Duration) -> f64 {
        let candidates = self.candidates.iter();
        let processed: f64 = candidates
            .map(|candidate| f64::from(candidate.in_flight.min(candidate.slots)))
            .sum();
        let usual_s = usual_time.as_secs_f64().max(MIN_USUAL_TIME_S);
        processed * time.as_secs_f64() / usual_s
    }

    /// Returns the lowest cost of the first place in the queue of a candidate.
    #[must_use]
    pub fn queue_cost(&self) -> Option<f64> {
        let candidates = self.candidates.iter();
        let costs = candidates
            .map(|candidate| candidate.base_cost + load_cost(1.0 + 1.0 / candidate.slots()));
        costs.min_by(f64::total_cmp)
    }

    /// Returns the share of slots that are free by the reports.
    #[must_use]
    pub fn free_share(&self) -> f64 {
        let candidates = self.candidates.iter();
        let slots: f64 = candidates.map(|candidate| f64::from(candidate.slots)).sum();
        self.free_slots() / slots.max(1.0)
    }

    /// Returns how many slots are free by the reports, a whole number.
    #[must_use]
    pub fn free_slots(&self) -> f64 {
        // An entry may state any number of slots, so that an integer could overflow.
        let candidates = self.candidates.iter();
        let free = candidates.map(|candidate| candidate.slots.saturating_sub(candidate.in_flight));
        free.map(f64::from).sum()
    }

    /// Spreads the unseen requests and this one over the cheapest candidates, and draws
    /// one in proportion to its part. Returns `None` without candidates.
    #[must_use]
    pub fn draw(&self, unseen_requests: f64, rng: &mut fastrand::Rng) -> Option<Draw> {
        // While a slot is free, no request needs to wait in a queue.
        let free_slots = self.free_slots().max(1.0);
        let spread = (unseen_requests + 1.0).min(free_slots);
        let cheapest = self
            .candidates
            .iter()
            .min_by(|a, b| a.current_cost().total_cmp(&b.current_cost()))?;
        let mut low = cheapest.current_cost();
        let filled = f64::from(cheapest.in_flight) + spread;
        let mut high = cheapest.base_cost + load_cost(filled / cheapest.slots());
        let reachable: Vec<(usize, Candidate)> = self
            .candidates
            .iter()
            .copied()
            .enumerate()
            .filter(|(_, candidate)| candidate.room_below(high) > 0.0)
            .collect();
        let room = |level: f64| -> f64 {
            let rooms = reachable.iter();
            rooms
                .map(|(_, candidate)| candidate.room_below(level))
                .sum()
        };
        for _ in 0..BISECTION_STEPS {
            let middle = f64::midpoint(low, high);
            if room(middle) < spread {
                low = middle;
            } else {
                high = middle;
            }
        }
        let mut left = rng.f64() * room(high);
        let mut index = reachable.first()?.0;
        for (position, candidate) in &reachable {
            let part = candidate.room_below(high);
            if part <= 0.0 {
                continue;
            }
            index = *position;
            left -= part;
            if left <= 0.0 {
                break;
            }
        }
        Some(Draw { index, level: high })
    }
}
