//! Retries of idempotent requests within a budget.
//!
//! A successful first attempt adds a fraction of a retry to the token buckets
//! of its workspace and of its service. During a total outage nothing is added,
//! so the load on the upstreams stays close to that of the first attempts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{Clock, ServiceName, WorkspaceName};

/// The request header that marks a retry.
pub const RETRY_HEADER: &str = "x-waxwingusher-retry";

/// The token buckets count thousandths of a retry.
const MILLIS_PER_RETRY: u32 = 1000;

/// Limits of retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetrySettings {
    /// The retries that successful first attempts earn, in percent.
    pub earned_percent: u32,
    /// The most retries that a workspace can accumulate for one service.
    pub max_saved_per_workspace: u32,
    /// The most retries that all workspaces together can accumulate for one
    /// service.
    pub max_saved_per_service: u32,
    /// The most retries of one request.
    pub max_retries: u32,
    /// The longest delay before the first retry. It doubles with each retry.
    pub base_delay: Duration,
    /// The longest delay before any retry.
    pub max_delay: Duration,
    /// The most budgets that a host keeps.
    pub max_budgets: usize,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            earned_percent: 10,
            max_saved_per_workspace: 2,
            max_saved_per_service: 4,
            max_retries: 2,
            base_delay: Duration::from_millis(10),
            max_delay: Duration::from_millis(250),
            max_budgets: 16_384,
        }
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Idempotency {
    /// The request may run more than once.
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
}

/// Who sent a request to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Origin {
    /// A caller, for the first time as far as is known: the request does not
    /// carry [`RETRY_HEADER`].
    Caller,
    /// A sender that marked the request as a retry by [`RETRY_HEADER`].
    Retry,
}

/// A request that failed at an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailedRequest {
    /// The caller's workspace.
    pub workspace: WorkspaceName,
    /// The service.
    pub service: ServiceName,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Who sent the request.
    pub origin: Origin,
    /// How often this host has retried the request.
    pub retries: u32,
    /// The number of usable instances without an attempt at this request.
    pub untried_instances: usize,
    /// How long a request to the service usually takes.
    pub expected_time: Duration,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum RetryRefusal {
    /// The request must run at most once.
    #[error("the request is not idempotent")]
    NotIdempotent,
    /// Another host already retries the request.
    #[error("the request is a retry itself")]
    IsRetry,
    /// The request has used all retries that one request may have.
    #[error("the request was retried often enough")]
    TooMany,
    /// Every usable instance has had an attempt at the request.
    #[error("every usable instance has had an attempt")]
    NoOtherInstance,
    /// The deadline leaves no time for the delay and the retry.
    #[error("the deadline leaves no time for a retry")]
    NoTime,
    /// The budget is used up.
    #[error("the retry budget is used up")]
    NoBudget,
}

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    saved_millis: u32,
    used_at: Instant,
}

/// The retry budgets of one host.
pub struct RetryBudget {
    settings: RetrySettings,
    clock: Arc<dyn Clock>,
    rng: fastrand::Rng,
    workspaces: HashMap<(WorkspaceName, ServiceName), TokenBucket>,
    services: HashMap<ServiceName, TokenBucket>,
}

impl RetryBudget {
    /// Creates empty budgets.
    #[must_use]
    pub fn new(settings: RetrySettings, clock: Arc<dyn Clock>, rng: fastrand::Rng) -> Self {
        Self {
            settings,
            clock,
            rng,
            workspaces: HashMap::new(),
            services: HashMap::new(),
        }
    }

    /// Adds the retries that a successful first attempt earns.
    pub fn on_first_success(&mut self, workspace: &WorkspaceName, service: &ServiceName) {
        let now = self.clock.now();
        if self.workspaces.len() >= self.settings.max_budgets {
            self.drop_idle();
        }
        let earned = self.settings.earned_percent * MILLIS_PER_RETRY / 100;
        let empty = TokenBucket {
            saved_millis: 0,
            used_at: now,
        };
        let key = (workspace.clone(), service.clone());
        let budget = self.workspaces.entry(key).or_insert(empty);
        budget.earn(earned, self.settings.max_saved_per_workspace, now);
        let budget = self.services.entry(service.clone()).or_insert(empty);
        budget.earn(earned, self.settings.max_saved_per_service, now);
    }

    /// Spends one retry, and returns the delay before it. The retry must go to
    /// an instance without an attempt, and carry [`RETRY_HEADER`].
    ///
    /// # Errors
    ///
    /// Returns why the request must not be retried.
    pub fn spend(&mut self, failed: &FailedRequest) -> Result<Duration, RetryRefusal> {
        self.check(failed)?;
        let delay = self.draw_delay(failed.retries);
        let now = self.clock.now();
        if now + delay + failed.expected_time >= failed.deadline {
            return Err(RetryRefusal::NoTime);
        }
        let key = (failed.workspace.clone(), failed.service.clone());
        let workspace = self.workspaces.get_mut(&key);
        let service = self.services.get_mut(&failed.service);
        let (Some(workspace), Some(service)) = (workspace, service) else {
            return Err(RetryRefusal::NoBudget);
        };
        if workspace.saved_millis < MILLIS_PER_RETRY || service.saved_millis < MILLIS_PER_RETRY {
            return Err(RetryRefusal::NoBudget);
        }
        workspace.spend(now);
        service.spend(now);
        log::info!(
            "retries: retrying a failed request of {} to {}",
            failed.workspace,
            failed.service
        );
        Ok(delay)
    }

    /// Returns the number of budgets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Reports whether there are no budgets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    fn check(&self, failed: &FailedRequest) -> Result<(), RetryRefusal> {
        if failed.idempotency == Idempotency::NonIdempotent {
            return Err(RetryRefusal::NotIdempotent);
        }
        if failed.origin == Origin::Retry {
            return Err(RetryRefusal::IsRetry);
        }
        if failed.retries >= self.settings.max_retries {
            return Err(RetryRefusal::TooMany);
        }
        if failed.untried_instances == 0 {
            return Err(RetryRefusal::NoOtherInstance);
        }
        Ok(())
    }

    /// Draws an exponential delay with full jitter.
    fn draw_delay(&mut self, retries: u32) -> Duration {
        let ceiling = self.settings.base_delay * (1 << retries.min(16));
        ceiling.min(self.settings.max_delay).mul_f64(self.rng.f64())
    }

    /// Drops the half of the budgets that has been idle longest.
    fn drop_idle(&mut self) {
        let mut used_at: Vec<_> = self
            .workspaces
            .values()
            .map(|budget| budget.used_at)
            .collect();
        let middle = used_at.len() / 2;
        let (_, median, _) = used_at.select_nth_unstable(middle);
        let median = *median;
        self.workspaces.retain(|_, budget| budget.used_at > median);
    }
}

impl TokenBucket {
    fn earn(&mut self, earned_millis: u32, max_saved: u32, now: Instant) {
        self.saved_millis = (self.saved_millis + earned_millis).min(max_saved * MILLIS_PER_RETRY);
        self.used_at = now;
    }

    fn spend(&mut self, now: Instant) {
        self.saved_millis -= MILLIS_PER_RETRY;
        self.used_at = now;
    }
}
