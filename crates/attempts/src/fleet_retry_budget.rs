//! A fleet-wide retry budget for each service, in a sliding window.
//!
//! The fleet may send a share of the service's requests again, plus a fixed
//! number of retries. Each host spends the share of its own requests and an
//! equal part of the fixed number, so the hosts together stay within the budget
//! without exchanging counts.
//!
//! While a host has spent much of its part, the rest goes to the retries that are worth
//! most ([`RetryWorth`]): the more is spent, the larger the part of the recent retries
//! than which one must be worth no less. Retries of equal worth are treated alike, so the
//! budget is still spent where all of them are. One in eight retries that are
//! worth less is granted nevertheless, so that no kind is starved. All hosts apply the same rule to the
//! retries that they were asked for. The bound does not depend on it.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use waxwingusher_core::ServiceName;

/// The budget that all hosts share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRetryBudgetSettings {
    /// Retries for each request.
    pub ratio: f64,
    /// The length of the window.
    pub window: Duration,
    /// Retries that all hosts together may make in addition to the share.
    pub fleet_slack: f64,
}

/// The part of the budget that is spent on all retries alike.
const COMMON_PART: f64 = 0.5;
/// How many retries that are worth too little stand for one that is granted.
const FLOOR_INTERVAL: u32 = 8;
/// The recent retries with which the worth of one is compared.
const MAX_RECENT_WORTHS: usize = 64;
/// The smallest factor for a request that is short of time: an answer that is late still
/// has some value.
const MIN_TIME_FACTOR: f64 = 0.1;

/// What a retry is worth.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryWorth {
    /// The priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// The time left to its latency target.
    pub time_left: Duration,
    /// The usual time of such requests.
    pub usual_time: Duration,
    /// The probability that another instance serves it.
    pub success_chance: f64,
}

impl RetryWorth {
    /// Returns the worth, between 0 and 1.
    #[must_use]
    pub fn value(&self) -> f64 {
        let usual_s = self.usual_time.as_secs_f64().max(f64::MIN_POSITIVE);
        let time_factor = (self.time_left.as_secs_f64() / usual_s).clamp(MIN_TIME_FACTOR, 1.0);
        let urgency = 1.0 / (1.0 + f64::from(self.priority));
        urgency * time_factor * self.success_chance.clamp(0.0, 1.0)
    }
}

/// Whether a retry may be made, and what it was decided from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryDecision {
    /// Whether it may be made.
    pub is_granted: bool,
    /// The part of this host's budget that was spent before.
    pub spent_part: f64,
    /// What it is worth.
    pub worth: f64,
    /// What it had to be worth.
    pub least_worth: f64,
}

/// The resolution of the window: its oldest step is dropped as a whole.
const STEPS_PER_WINDOW: u32 = 20;

/// One host's part of the fleet's retry budget.
#[derive(Debug)]
pub struct FleetRetryBudget {
    settings: FleetRetryBudgetSettings,
    services: HashMap<ServiceName, VecDeque<Step>>,
    worths: HashMap<ServiceName, WorthHistory>,
}

/// The retries of a service that were asked for.
#[derive(Debug, Default)]
struct WorthHistory {
    /// When the latest ones were asked for, and what they were worth.
    recent: VecDeque<(Instant, f64)>,
    /// Retries that were withheld for their worth since one of them was granted.
    withheld: u32,
}

#[derive(Debug, Clone, Copy)]
struct Step {
    started_at: Instant,
    requests: u32,
    repeats: u32,
}

impl FleetRetryBudget {
    /// Creates a budget that has counted no request yet.
    #[must_use]
    pub fn new(settings: FleetRetryBudgetSettings) -> Self {
        Self {
            settings,
            services: HashMap::new(),
            worths: HashMap::new(),
        }
    }

    /// Replaces the settings and keeps the counts.
    pub fn set(&mut self, settings: FleetRetryBudgetSettings) {
        self.settings = settings;
    }

    /// Counts a request that a caller sent for the service.
    pub fn record_request(&mut self, now: Instant, service: &ServiceName) {
        self.step(now, service).requests += 1;
    }

    /// Spends one retry if the budget allows it, and reports whether it did.
    /// `known_hosts` is the number of hosts that share the fixed number.
    pub fn spend(&mut self, now: Instant, service: &ServiceName, known_hosts: usize) -> bool {
        let is_allowed = self.allows(now, service, known_hosts);
        if is_allowed {
            self.step(now, service).repeats += 1;
        }
        is_allowed
    }

    /// Spends one retry if the budget allows it and the retry is worth enough in
    /// comparison with other recent ones.
    pub fn spend_by_worth(
        &mut self,
        now: Instant,
        service: &ServiceName,
        known_hosts: usize,
        worth: RetryWorth,
    ) -> RetryDecision {
        let decision = self.decide_by_worth(now, service, known_hosts, worth);
        if !self.worths.contains_key(service) {
            self.worths.insert(service.clone(), WorthHistory::default());
        }
        let history = self.worths.get_mut(service).expect("just inserted");
        if history.recent.len() >= MAX_RECENT_WORTHS {
            history.recent.pop_front();
        }
        history.recent.push_back((now, decision.worth));
        if decision.worth < decision.least_worth {
            history.withheld += 1;
            if decision.is_granted {
                history.withheld = 0;
            }
        }
        if decision.is_granted {
            self.step(now, service).repeats += 1;
        }
        decision
    }

    /// Reports whether a retry would be granted now.
    pub fn decide_by_worth(
        &mut self,
        now: Instant,
        service: &ServiceName,
        known_hosts: usize,
        worth: RetryWorth,
    ) -> RetryDecision {
        let (repeats, allowed) = self.spent(now, service, known_hosts);
        let spent_part = f64::from(repeats) / allowed.max(1.0);
        let worth = worth.value();
        let least_worth = self.least_worth(now, service, spent_part);
        let history = self.worths.get(service);
        let withheld = history.map_or(0, |history| history.withheld);
        let is_worth_it = worth >= least_worth || withheld + 1 >= FLOOR_INTERVAL;
        RetryDecision {
            is_granted: f64::from(repeats + 1) <= allowed && is_worth_it,
            spent_part,
            worth,
            least_worth,
        }
    }

    /// Returns what a retry must be worth: no less than the part of the recent ones that
    /// grows from none to all while the rest of the budget is spent.
    fn least_worth(&mut self, now: Instant, service: &ServiceName, spent_part: f64) -> f64 {
        if spent_part <= COMMON_PART {
            return 0.0;
        }
        let Some(history) = self.worths.get_mut(service) else {
            return 0.0;
        };
        let recent = &mut history.recent;
        let window = self.settings.window;
        let is_old = |at: Instant| now.saturating_duration_since(at) >= window;
        while recent.front().is_some_and(|(at, _)| is_old(*at)) {
            recent.pop_front();
        }
        let mut worths: Vec<f64> = recent.iter().map(|(_, worth)| *worth).collect();
        worths.sort_by(f64::total_cmp);
        let part = ((spent_part - COMMON_PART) / (1.0 - COMMON_PART)).min(1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "at most MAX_RECENT_WORTHS"
        )]
        let position = (part * worths.len() as f64) as usize;
        let last = worths.len().saturating_sub(1);
        worths.get(position.min(last)).copied().unwrap_or(0.0)
    }

    /// Reports whether the budget allows one more retry now.
    pub fn allows(&mut self, now: Instant, service: &ServiceName, known_hosts: usize) -> bool {
        let (repeats, allowed) = self.spent(now, service, known_hosts);
        f64::from(repeats + 1) <= allowed
    }

    /// Returns the retries within the window and how many are allowed.
    fn spent(&mut self, now: Instant, service: &ServiceName, known_hosts: usize) -> (u32, f64) {
        let settings = self.settings;
        self.step(now, service);
        let steps = &self.services[service];
        let requests: u32 = steps.iter().map(|step| step.requests).sum();
        let repeats: u32 = steps.iter().map(|step| step.repeats).sum();
        let hosts = u32::try_from(known_hosts.max(1)).unwrap_or(u32::MAX);
        let allowed =
            settings.ratio * f64::from(requests) + settings.fleet_slack / f64::from(hosts);
        (repeats, allowed)
    }

    /// Returns a retry that did not reach any instance to the budget.
    pub fn refund(&mut self, now: Instant, service: &ServiceName) {
        let step = self.step(now, service);
        if step.repeats > 0 {
            step.repeats -= 1;
            return;
        }
        let steps = self.services.get_mut(service);
        let spent = steps.and_then(|steps| steps.iter_mut().rev().find(|step| step.repeats > 0));
        if let Some(step) = spent {
            step.repeats -= 1;
        }
    }

    fn step(&mut self, now: Instant, service: &ServiceName) -> &mut Step {
        let length = self.settings.window / STEPS_PER_WINDOW;
        let window = self.settings.window;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let steps = self.services.get_mut(service).expect("just inserted");
        while steps
            .front()
            .is_some_and(|step| now.saturating_duration_since(step.started_at) >= window)
        {
            steps.pop_front();
        }
        let is_current = steps
            .back()
            .is_some_and(|step| now.saturating_duration_since(step.started_at) < length);
        if !is_current {
            steps.push_back(Step {
                started_at: now,
                requests: 0,
                repeats: 0,
            });
        }
        steps.back_mut().expect("just pushed")
    }
}
