//! Asks for permits for requests to instances that limit the rate of all hosts
//! together or count as cold, and issues those of other hosts.

use std::net::SocketAddr;
use std::time::Duration;

use waxwingusher_core::InstanceId;
use waxwingusher_membership::seeded::{PermitDecision, PermitReply, PermitRequest, name_hash};
use waxwingusher_upstreams::{PermitReason, RateLimit};

use crate::cold_instances::{MAX_PAUSE, PermitLimit};
use crate::journal::Event;
use crate::state::State;
use crate::units::millis;

/// How long a host waits for the issuer's answer: several round trips between failure
/// domains.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);
/// How long an instance gets no requests from this host after its issuer did not answer,
/// or was not the issuer. Peers agree on another issuer once they miss its heartbeats.
const NO_ISSUER_PAUSE: Duration = Duration::from_millis(150);

/// Asks for a permit for one request to an instance. Without one, the instance gets no
/// requests from this host for some time.
pub(crate) async fn acquire(
    state: &State,
    request_id: &str,
    instance: &InstanceId,
    limit: PermitLimit,
) -> bool {
    let issuer = state.permit_issuer(instance);
    let decision = match issuer {
        None => Some(issue(state, instance, limit.rate)),
        Some(issuer) => ask(state, issuer, instance, limit.rate).await,
    };
    let (cause, pause) = match decision {
        Some(PermitDecision::Granted) => {
            state.metrics.record_permit("granted");
            return true;
        }
        Some(PermitDecision::NoPermitLeft { retry_after_ms }) => {
            let pause = Duration::from_millis(retry_after_ms.into());
            let pause = match limit.reason {
                PermitReason::Cold => pause.min(MAX_PAUSE),
                PermitReason::RateLimit => pause,
            };
            ("no-permit-left", pause)
        }
        Some(PermitDecision::NotIssuer) => ("not-issuer", NO_ISSUER_PAUSE),
        None => ("no-answer", NO_ISSUER_PAUSE),
    };
    state.metrics.record_permit(cause);
    let issuer = issuer.map_or("this host".to_owned(), |issuer| issuer.to_string());
    state.journal.write(&Event::PermitDenied {
        request: request_id,
        instance: instance.as_str(),
        issuer: &issuer,
        cause,
        reason: match limit.reason {
            PermitReason::RateLimit => "rate-limit",
            PermitReason::Cold => "cold",
        },
        rate_per_s: limit.rate.per_s(),
        retry_after_ms: millis(pause),
    });
    let now = state.now();
    let mut evidence = state.evidence.borrow_mut();
    evidence.record_permit_denied(now, instance, pause, limit.reason);
    false
}

async fn ask(
    state: &State,
    issuer: SocketAddr,
    instance: &InstanceId,
    limit: RateLimit,
) -> Option<PermitDecision> {
    let (pending, decision) = state.permits.register();
    state.outbox.request_permit(
        issuer,
        PermitRequest {
            id: pending.id(),
            instance: name_hash(instance.as_str()),
            milli_per_s: limit.milli_per_s(),
        },
    );
    let decision = tokio::time::timeout(REPLY_TIMEOUT, decision).await;
    decision.ok()?.ok()
}

/// Decides on a peer's request for a permit.
pub(crate) fn decide(state: &State, request: PermitRequest) -> PermitReply {
    let instances = state.instances_by_hash.borrow();
    let instance = instances
        .get(&request.instance)
        .filter(|id| state.permit_issuer(id).is_none());
    let limit = RateLimit::from_milli_per_s(request.milli_per_s);
    let decision = instance.map_or(PermitDecision::NotIssuer, |id| issue(state, id, limit));
    PermitReply {
        id: request.id,
        decision,
    }
}

/// Issues a permit of an instance, by the lowest of the limit that the instance has named,
/// its cold rate as far as this host knows it, and the limit that is stated.
fn issue(state: &State, instance: &InstanceId, stated: RateLimit) -> PermitDecision {
    let named = state.evidence.borrow().rate_limit(instance);
    let cold = state.cold_limit(instance).map(|limit| limit.rate);
    let limit = [named, cold]
        .into_iter()
        .flatten()
        .fold(stated, RateLimit::min);
    let (now, mut view) = (state.now(), state.fleet_view());
    if named != Some(limit) {
        // The limit is the cold rate, by this host's knowledge or the other's.
        view = state.cold_instances.cautious_view(now, view);
    }
    let issued = state.permits.issue(
        now,
        instance,
        limit.per_s(),
        view,
        &mut state.rng.borrow_mut(),
    );
    match issued {
        Ok(()) => PermitDecision::Granted,
        Err(denied) => PermitDecision::NoPermitLeft {
            retry_after_ms: u32::try_from(denied.retry_after.as_millis()).unwrap_or(u32::MAX),
        },
    }
}
