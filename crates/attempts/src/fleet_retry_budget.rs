//! A fleet-wide retry budget for each service, in a sliding window.
//!
//! The fleet may send a share of the service's requests again, plus a fixed
//! number of retries. Each host spends the share of its own requests and an
//! equal part of the fixed number, so the hosts together stay within the budget
//! without exchanging counts.

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

/// The resolution of the window: its oldest step is dropped as a whole.
const STEPS_PER_WINDOW: u32 = 20;

/// One host's part of the fleet's retry budget.
#[derive(Debug)]
pub struct FleetRetryBudget {
    settings: FleetRetryBudgetSettings,
    services: HashMap<ServiceName, VecDeque<Step>>,
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

    /// Reports whether the budget allows one more retry now.
    pub fn allows(&mut self, now: Instant, service: &ServiceName, known_hosts: usize) -> bool {
        let settings = self.settings;
        self.step(now, service);
        let steps = &self.services[service];
        let requests: u32 = steps.iter().map(|step| step.requests).sum();
        let repeats: u32 = steps.iter().map(|step| step.repeats).sum();
        let hosts = u32::try_from(known_hosts.max(1)).unwrap_or(u32::MAX);
        let allowed =
            settings.ratio * f64::from(requests) + settings.fleet_slack / f64::from(hosts);
        f64::from(repeats + 1) <= allowed
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
