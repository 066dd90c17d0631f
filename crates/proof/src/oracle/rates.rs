//! Checks rates and bursts over all hosts together.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use waxwingusher_config::{RateLimit, Snapshot};
use waxwingusher_core::WorkspaceName;

use super::{CONFIG_TARGET, Observation, Violation};

/// Far less than a request, more than floating-point error.
const EPSILON: f64 = 1e-6;

/// A token bucket that sees every admitted request of the fleet.
#[derive(Debug)]
struct Bucket {
    limit: RateLimit,
    tokens: f64,
    at: Duration,
}

impl Bucket {
    fn refill(&mut self, now: Duration) {
        let rate_per_s = self.limit.rate_millis_per_s as f64 / 1_000.0;
        let gained = (now - self.at).as_secs_f64() * rate_per_s;
        self.tokens = (self.tokens + gained).min(f64::from(self.limit.burst));
        self.at = now;
    }

    fn set_limit(&mut self, limit: RateLimit, now: Duration) {
        self.refill(now);
        let gained = limit.burst.saturating_sub(self.limit.burst);
        self.tokens = (self.tokens + f64::from(gained)).min(f64::from(limit.burst));
        self.limit = limit;
    }
}

/// Checks all limits at each observation and each spent token.
#[derive(Debug, Default)]
pub(super) struct RateWatch {
    buckets: BTreeMap<WorkspaceName, Bucket>,
    /// The oldest version that may still have effects, and since when a newer
    /// one is the oldest in force.
    oldest: u64,
    raised_since: Option<Duration>,
}

impl RateWatch {
    /// Records a spent token, and reports whether the limit holds.
    pub(super) fn on_token(&mut self, workspace: &WorkspaceName, now: Duration) -> bool {
        let Some(bucket) = self.buckets.get_mut(workspace) else {
            return false;
        };
        bucket.refill(now);
        bucket.tokens -= 1.0;
        bucket.tokens >= -EPSILON
    }

    /// Applies the largest limit of all versions that are in force at any host,
    /// and checks that the hosts together hold no more than that.
    pub(super) fn observe(
        &mut self,
        observations: &[Observation],
        published: impl Fn(u64) -> Option<Arc<Snapshot>>,
        now: Duration,
    ) -> Vec<Violation> {
        let versions = observations
            .iter()
            .map(Observation::version)
            .filter(|one| *one > 0);
        let newest = versions.clone().max().unwrap_or(0);
        self.set_oldest(versions.min().unwrap_or(self.oldest), now);
        let mut limits: BTreeMap<WorkspaceName, RateLimit> = BTreeMap::new();
        for snapshot in (self.oldest..=newest).filter_map(published) {
            for workspace in snapshot.workspaces.values() {
                let limit = limits
                    .entry(workspace.name.clone())
                    .or_insert(workspace.limit);
                limit.burst = limit.burst.max(workspace.limit.burst);
                let rate = workspace.limit.rate_millis_per_s;
                limit.rate_millis_per_s = limit.rate_millis_per_s.max(rate);
            }
        }
        let mut broken = Vec::new();
        for (workspace, limit) in limits {
            let bucket = self.buckets.entry(workspace.clone()).or_insert(Bucket {
                limit,
                tokens: f64::from(limit.burst),
                at: now,
            });
            bucket.set_limit(limit, now);
            broken.extend(check_rights(observations, &workspace, limit));
        }
        broken
    }

    fn set_oldest(&mut self, oldest: u64, now: Duration) {
        if oldest <= self.oldest {
            self.oldest = oldest;
            self.raised_since = None;
            return;
        }
        let since = *self.raised_since.get_or_insert(now);
        if self.oldest == 0 || now >= since + CONFIG_TARGET {
            self.oldest = oldest;
            self.raised_since = None;
        }
    }
}

/// Checks that all hosts together hold no more tokens and rate than the limit
/// has. This finds a second holder before its tokens are spent.
fn check_rights(
    observations: &[Observation],
    workspace: &WorkspaceName,
    limit: RateLimit,
) -> Option<Violation> {
    let mut tokens_millis = 0;
    let mut rate_millis_per_s = 0;
    for observation in observations
        .iter()
        .filter(|observation| observation.is_running)
    {
        for (name, tokens, rate) in &observation.rights {
            if name != workspace {
                continue;
            }
            tokens_millis += tokens;
            rate_millis_per_s += rate;
        }
    }
    let is_over = tokens_millis > u64::from(limit.burst) * 1_000
        || rate_millis_per_s > limit.rate_millis_per_s;
    is_over.then(|| Violation::OverRights {
        workspace: workspace.clone(),
        tokens_millis,
        rate_millis_per_s,
    })
}
