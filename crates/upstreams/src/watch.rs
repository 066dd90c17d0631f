//! The watch of suspects, at which all hosts report all outcomes.

use std::collections::BTreeSet;
use std::time::Duration;

use waxwingusher_protocol::health::{ServiceKey, Watch};

use crate::context::CoordinatorContext;
use crate::pooled_evidence::PooledEvidence;
use crate::score::{SUSPICION_THRESHOLD_SHARE, Score, Verdict};

const MAX_WATCH_ORIGINS: usize = 16;
const RENEWAL_MARGIN: Duration = Duration::from_secs(1);

/// Starts or renews the watch of suspects, and returns the request to all hosts, if
/// there is one.
pub fn watch_suspects(
    service: ServiceKey,
    pooled: &mut PooledEvidence,
    scores: &[Score],
    context: &CoordinatorContext<'_>,
) -> Option<Watch> {
    let now = context.now;
    let mut instances = Vec::new();
    let mut origins = BTreeSet::new();
    let mut cross_check = false;
    for score in scores {
        if !is_suspicious(score, context) {
            continue;
        }
        let Some(evidence) = pooled.instance_mut(score.instance) else {
            continue;
        };
        let is_ending_soon = evidence
            .watch
            .is_none_or(|(_, until)| now + RENEWAL_MARGIN >= until);
        if !is_ending_soon {
            continue;
        }
        let since = evidence
            .watch
            .filter(|(_, until)| now < *until)
            .map_or(now, |(since, _)| since);
        evidence.watch = Some((since, now + context.settings.watch_term));
        instances.push(score.instance);
        cross_check |= score.verdict == Verdict::Unclear;
        for failure in evidence.reports.iter().flat_map(|report| &report.failures) {
            origins.insert(failure.workspace);
            origins.insert(failure.route);
        }
    }
    if instances.is_empty() {
        return None;
    }
    Some(Watch {
        service,
        instances,
        origins: origins.into_iter().take(MAX_WATCH_ORIGINS).collect(),
        cross_check,
    })
}

fn is_suspicious(score: &Score, context: &CoordinatorContext<'_>) -> bool {
    score.suspicion >= context.thresholds.suspicion
        || score.slow >= context.thresholds.slow * SUSPICION_THRESHOLD_SHARE
}
