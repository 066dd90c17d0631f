//! Random schedules of faults.

use std::time::Duration;

use waxwingusher_config::RateLimit;
use waxwingusher_core::HostState;
use waxwingusher_limits::{LimitKey, LimiterSettings};
use waxwingusher_standins::LinkFaults;

use crate::fleet::{Fleet, FleetPlan, STEP, domains, key, snapshot};

/// The factor by which the default times are shortened.
const SPEED_UP: u32 = 10;
/// The probabilities of a fault in one step; each schedule uses one of them.
const FAULT_PROBABILITIES: [f64; 4] = [0.002, 0.005, 0.01, 0.03];
/// How long a change of the configuration takes to reach all hosts.
const CONFIG_SPREAD: Duration = Duration::from_millis(600);

/// Limits that a schedule switches between, with bursts below and above the
/// number of hosts.
const LIMITS: [(u64, u32); 4] = [(40, 5), (10, 5), (80, 60), (25, 20)];

/// The default settings with all times shortened.
pub fn shortened_settings(share_domains: usize) -> LimiterSettings {
    let mut settings = LimiterSettings::new(domains(share_domains));
    settings.loan_term /= SPEED_UP;
    settings.list_fence /= SPEED_UP;
    settings.list_lag /= SPEED_UP;
    settings
}

/// Faults of every kind at once.
fn faulty_links(rng: &mut fastrand::Rng) -> LinkFaults {
    let max_delay_ms = if rng.bool() { 20 } else { 1500 };
    LinkFaults {
        min_delay: Duration::from_micros(500),
        max_delay: Duration::from_millis(max_delay_ms),
        loss: rng.f64() * 0.2,
        duplication: rng.f64() * 0.3,
    }
}

/// One random schedule.
pub struct Schedule {
    pub fleet: Fleet,
    key: LimitKey,
    states: Vec<Option<HostState>>,
    limit: (u64, u32),
    former: Option<((u64, u32), Duration)>,
    version: u64,
    fault_probability: f64,
}

impl Schedule {
    /// Prepares a schedule.
    pub fn new(seed: u64, domain_count: usize, hosts_per_domain: usize) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let plan = FleetPlan {
            seed,
            domains: domain_count,
            hosts_per_domain,
            settings: shortened_settings(domain_count),
            faults: faulty_links(&mut rng),
        };
        let limit = LIMITS[rng.usize(..LIMITS.len())];
        let mut fleet = Fleet::new(&plan, snapshot(1, &[("w", limit.0, limit.1)]));
        for host in &mut fleet.hosts {
            host.drift = (rng.f64() - 0.5) * 0.02;
            host.list_lag = Duration::from_millis(rng.u64(0..280));
            host.config_lag = Duration::from_millis(rng.u64(0..500));
        }
        let states = vec![Some(HostState::Live); fleet.hosts.len()];
        let key = key("w");
        let mut schedule = Self {
            fleet,
            key,
            states,
            limit,
            former: None,
            version: 1,
            fault_probability: rng.choice(FAULT_PROBABILITIES).unwrap_or_default(),
        };
        schedule.set_oracle(limit);
        schedule
    }

    /// Sets how often faults happen, as a probability in one step.
    pub fn with_faults(mut self, probability: f64) -> Self {
        self.fault_probability = probability;
        self
    }

    /// Runs for some time under full load and returns the excess requests.
    pub fn run(&mut self, duration: Duration) -> u64 {
        let end = self.fleet.elapsed() + duration;
        while self.fleet.elapsed() < end {
            if self.fleet.rng.f64() < self.fault_probability {
                self.fault();
            }
            self.finish_limit_change();
            let requests = self.requests();
            self.fleet.step(&requests);
            self.check_totals();
            if self.fleet.violations > 0 {
                break;
            }
        }
        self.fleet.violations
    }

    /// Returns how many requests were admitted.
    pub fn admitted(&self) -> u64 {
        self.fleet.oracle.admitted(&self.key)
    }

    /// Checks that no more tokens and rate exist than the limit allows. This
    /// finds a second holder before its tokens are spent.
    fn check_totals(&mut self) {
        let (rate, burst) = self.allowed_limit();
        let (tokens_millis, rate_millis_per_s) = self.fleet.usable_totals();
        let exceeds = tokens_millis > u64::from(burst) * 1000 || rate_millis_per_s > rate * 1000;
        self.fleet.violations += u64::from(exceeds);
    }

    /// Returns the limit, or the larger values while a change propagates.
    fn allowed_limit(&self) -> (u64, u32) {
        let (rate, burst) = self.limit;
        let former = self.former.map_or((0, 0), |(former, _)| former);
        (rate.max(former.0), burst.max(former.1))
    }

    fn requests(&mut self) -> Vec<(usize, LimitKey)> {
        let per_step = self.limit.0 as f64 * 2.0 * STEP.as_secs_f64();
        let mut requests = Vec::new();
        for _ in 0..4 {
            if self.fleet.rng.f64() < per_step / 4.0 {
                let host = self.fleet.rng.usize(..self.fleet.hosts.len());
                requests.push((host, self.key.clone()));
            }
        }
        requests
    }

    fn fault(&mut self) {
        let i = self.fault_target();
        match self.fleet.rng.u32(..13) {
            0 => self.fleet.start(i),
            1 => self.fleet.kill(i),
            2 => {
                let pause = Duration::from_millis(self.fleet.rng.u64(100..4000));
                self.fleet.hosts[i].paused_until = self.fleet.elapsed() + pause;
            }
            3 => self.cut_hosts(),
            4 => self.fleet.links.heal_all(),
            5 => self.change_list(i),
            6 => self.fleet.hosts[i].reads_list ^= true,
            7 => {
                let reads = self.fleet.rng.bool();
                self.fleet
                    .hosts
                    .iter_mut()
                    .for_each(|host| host.reads_list = reads);
            }
            8 => self.change_limit(),
            9 => {
                let from = self.fleet.rng.usize(..self.fleet.hosts.len());
                self.fleet.hosts[i].list_source = Some(from);
            }
            10 => self.isolate(i),
            11 => {
                let pause = Duration::from_millis(self.fleet.rng.u64(3000..6000));
                self.fleet.hosts[i].paused_until = self.fleet.elapsed() + pause;
                self.change_list(i);
            }
            _ => {
                if self.fleet.hosts[i].limiter.is_none() {
                    self.fleet.start(i);
                }
            }
        }
    }

    /// Returns the host of the next fault; the first two get more than the others.
    fn fault_target(&mut self) -> usize {
        let count = self.fleet.hosts.len();
        let rng = &mut self.fleet.rng;
        if rng.bool() {
            rng.usize(..count.min(2))
        } else {
            rng.usize(..count)
        }
    }

    /// Cuts a host off from its peers and the platform, which removes it from the
    /// host list.
    fn isolate(&mut self, i: usize) {
        let others: Vec<_> = (0..self.states.len()).filter(|other| *other != i).collect();
        self.fleet.cut(&[i], &others);
        self.fleet.cut(&others, &[i]);
        self.fleet.hosts[i].reads_list = false;
        self.fleet.hosts[i].list_source = None;
        self.states[i] = None;
        let states = self.states.clone();
        self.fleet.publish_list(&states);
    }

    /// Cuts a random set of hosts or a failure domain off, in one or in both
    /// directions.
    fn cut_hosts(&mut self) {
        let rng = &mut self.fleet.rng;
        let count = self.states.len();
        let inside: Vec<_> = (0..count).filter(|_| rng.bool()).collect();
        let outside: Vec<_> = (0..count).filter(|i| !inside.contains(i)).collect();
        let both = rng.bool();
        self.fleet.cut(&inside, &outside);
        if both {
            self.fleet.cut(&outside, &inside);
        }
    }

    fn change_list(&mut self, i: usize) {
        self.states[i] = match self.states[i] {
            Some(HostState::Live) if self.fleet.rng.bool() => Some(HostState::Leaving),
            Some(HostState::Live) => None,
            _ => Some(HostState::Live),
        };
        let is_planned = self.states[i] == Some(HostState::Leaving) && self.fleet.rng.bool();
        if let Some(limiter) = self.fleet.hosts[i].limiter.as_mut().filter(|_| is_planned) {
            let out = limiter.hand_off();
            self.fleet.send(i, out);
        }
        let states = self.states.clone();
        self.fleet.publish_list(&states);
    }

    fn change_limit(&mut self) {
        if self.former.is_some() {
            return;
        }
        let limit = LIMITS[self.fleet.rng.usize(..LIMITS.len())];
        self.former = Some((self.limit, self.fleet.elapsed()));
        self.limit = limit;
        self.set_oracle(self.allowed_limit());
        self.version += 1;
        self.fleet
            .publish(snapshot(self.version, &[("w", limit.0, limit.1)]));
    }

    /// Applies only the new limit once a change has reached all hosts.
    fn finish_limit_change(&mut self) {
        let Some((_, since)) = self.former else {
            return;
        };
        let now = self.fleet.elapsed();
        let was_paused = |host: &crate::fleet::Host| host.paused_until > since;
        if now < since + CONFIG_SPREAD
            || self.fleet.hosts.iter().any(was_paused) && now < since + CONFIG_SPREAD * 8
        {
            return;
        }
        self.former = None;
        self.set_oracle(self.limit);
    }

    fn set_oracle(&mut self, limit: (u64, u32)) {
        let limit = RateLimit {
            rate_millis_per_s: limit.0 * 1000,
            burst: limit.1,
        };
        let now = self.fleet.elapsed();
        self.fleet.oracle.set_limit(&self.key, limit, now);
    }
}
