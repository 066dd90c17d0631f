//! A seeded load, ideal token buckets, and the outcomes of requests.

use std::collections::HashMap;
use std::time::Duration;

use waxwingusher_config::RateLimit;

/// The time between steps of a run.
pub const STEP: Duration = Duration::from_millis(2);
/// The tolerance for floating-point errors.
const TOKEN_EPSILON: f64 = 1e-6;

/// The immediate decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is admitted.
    Admitted,
    /// It is refused.
    Refused,
    /// It waits; [`RateLimiter::step`] returns the final decision.
    Waiting,
}

/// One request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Request {
    /// A unique number.
    pub ticket: u64,
    /// The host that the load balancer chose.
    pub host: usize,
    /// The workspace.
    pub workspace: usize,
}

/// A method to enforce rate limits over the whole fleet.
pub trait RateLimiter {
    /// Decides on a request.
    fn request(&mut self, now: Duration, request: Request) -> Decision;

    /// Advances to `now` and returns the tickets of requests that no longer wait,
    /// with whether they are admitted.
    fn step(&mut self, now: Duration) -> Vec<(u64, bool)>;
}

/// The demand of one workspace.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// The limit.
    pub limit: RateLimit,
    /// Requests per second that callers send.
    pub per_s: f64,
}

/// The load on a fleet.
#[derive(Debug, Clone)]
pub struct Load {
    /// The demand, by workspace.
    pub demands: Vec<Demand>,
    /// The hosts to which each workspace's connections lead; empty if the load
    /// balancer chooses a host for each request.
    pub connections: Vec<Vec<usize>>,
    /// The load balancer's weight of each host.
    pub host_weights: Vec<f64>,
}

/// A single token bucket for the whole fleet, without delays.
#[derive(Debug, Clone, Copy)]
pub struct IdealBucket {
    limit: RateLimit,
    tokens: f64,
    at: Duration,
}

impl IdealBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(limit: RateLimit, at: Duration) -> Self {
        Self {
            limit,
            tokens: f64::from(limit.burst),
            at,
        }
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Duration) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Takes a token even if there is none, and returns by how many requests the
    /// limit is exceeded.
    pub fn charge(&mut self, now: Duration) -> f64 {
        self.refill(now);
        self.tokens -= 1.0;
        (-self.tokens - TOKEN_EPSILON).max(0.0)
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let rate_per_s = self.limit.rate_millis_per_s as f64 / 1000.0;
        self.tokens = (self.tokens + elapsed * rate_per_s).min(f64::from(self.limit.burst));
        self.at = now;
    }
}

/// The outcomes of one workspace's requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// Requests that were sent.
    pub offered: u64,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that waited for a token.
    pub waited: u64,
    /// Requests within the rate and burst.
    pub in_rate: u64,
    /// Requests within the rate and burst that were refused.
    pub in_rate_refused: u64,
    /// The largest number of requests by which the limit was exceeded.
    pub excess: f64,
}

impl Outcome {
    /// Returns the refused share of the requests within the rate.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        self.in_rate_refused as f64 / self.in_rate.max(1) as f64
    }

    /// Returns the admitted requests relative to the requests within the rate.
    #[must_use]
    pub fn served_share(&self) -> f64 {
        self.admitted as f64 / self.in_rate.max(1) as f64
    }
}

/// Applies a load to a method of rate limiting.
pub struct Driver {
    load: Load,
    rng: fastrand::Rng,
    next_arrivals: Vec<Duration>,
    ideal_buckets: Vec<IdealBucket>,
    admitted_buckets: Vec<IdealBucket>,
    waiting: HashMap<u64, (usize, bool)>,
    ticket: u64,
    outcomes: Vec<Outcome>,
}

impl Driver {
    /// Creates a driver whose load starts at an instant.
    #[must_use]
    pub fn new(load: Load, seed: u64, at: Duration) -> Self {
        let bucket = |demand: &Demand| IdealBucket::new(demand.limit, at);
        let buckets: Vec<_> = load.demands.iter().map(bucket).collect();
        Self {
            rng: fastrand::Rng::with_seed(seed),
            next_arrivals: vec![at; buckets.len()],
            ideal_buckets: buckets.clone(),
            admitted_buckets: buckets.clone(),
            waiting: HashMap::new(),
            ticket: 0,
            outcomes: vec![Outcome::default(); buckets.len()],
            load,
        }
    }

    /// Sets the load balancer's weight of a host; zero removes it.
    pub fn set_host_weight(&mut self, host: usize, weight: f64) {
        self.load.host_weights[host] = weight;
    }

    /// Runs one step that ends at `now`.
    pub fn step(&mut self, limiter: &mut dyn RateLimiter, now: Duration) {
        for (ticket, admitted) in limiter.step(now) {
            let Some((workspace, in_rate)) = self.waiting.remove(&ticket) else {
                continue;
            };
            self.settle(workspace, in_rate, admitted, now);
        }
        for workspace in 0..self.next_arrivals.len() {
            while self.next_arrivals[workspace] <= now {
                self.send(limiter, workspace, now);
                let gap = -(1.0 - self.rng.f64()).ln() / self.load.demands[workspace].per_s;
                self.next_arrivals[workspace] += Duration::from_secs_f64(gap);
            }
        }
    }

    /// Returns the outcomes of requests by workspace.
    #[must_use]
    pub fn outcomes(&self) -> &[Outcome] {
        &self.outcomes
    }

    /// Resets the outcomes, as after a warm-up.
    pub fn reset_outcomes(&mut self) {
        self.outcomes.fill(Outcome::default());
    }

    fn send(&mut self, limiter: &mut dyn RateLimiter, workspace: usize, now: Duration) {
        self.ticket += 1;
        let request = Request {
            ticket: self.ticket,
            host: self.choose_host(workspace),
            workspace,
        };
        let in_rate = self.ideal_buckets[workspace].take(now);
        let outcome = &mut self.outcomes[workspace];
        outcome.offered += 1;
        outcome.in_rate += u64::from(in_rate);
        match limiter.request(now, request) {
            Decision::Admitted => self.settle(workspace, in_rate, true, now),
            Decision::Refused => self.settle(workspace, in_rate, false, now),
            Decision::Waiting => {
                outcome.waited += 1;
                self.waiting.insert(self.ticket, (workspace, in_rate));
            }
        }
    }

    fn settle(&mut self, workspace: usize, in_rate: bool, admitted: bool, now: Duration) {
        let outcome = &mut self.outcomes[workspace];
        if admitted {
            outcome.admitted += 1;
            let excess = self.admitted_buckets[workspace].charge(now);
            outcome.excess = outcome.excess.max(excess);
        } else if in_rate {
            outcome.in_rate_refused += 1;
        }
    }

    fn choose_host(&mut self, workspace: usize) -> usize {
        if let Some(hosts) = self.load.connections.get(workspace) {
            return hosts[self.rng.usize(..hosts.len())];
        }
        let total: f64 = self.load.host_weights.iter().sum();
        let mut point = self.rng.f64() * total;
        for (host, weight) in self.load.host_weights.iter().enumerate() {
            point -= weight;
            if point < 0.0 {
                return host;
            }
        }
        self.load.host_weights.len() - 1
    }
}

/// Returns host weights of a load balancer that sends some hosts about ten times
/// as many requests as others.
#[must_use]
pub fn skewed_weights(hosts: usize, seed: u64) -> Vec<f64> {
    let mut rng = fastrand::Rng::with_seed(seed);
    (0..hosts).map(|_| 10f64.powf(rng.f64())).collect()
}
