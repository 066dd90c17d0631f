//! Asks for permits for requests to instances that limit the rate of all hosts
//! together, and issues those of other hosts.

use std::net::SocketAddr;
use std::time::Duration;

use waxwingusher_core::InstanceId;
use waxwingusher_membership::seeded::{PermitDecision, PermitReply, PermitRequest, name_hash};
use waxwingusher_upstreams::RateLimit;

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
    limit: RateLimit,
) -> bool {
    let issuer = state.permit_issuer(instance);
    let decision = match issuer {
        None => Some(issue(state, instance, limit)),
        Some(issuer) => ask(state, issuer, instance, limit).await,
    };
    let (cause, pause) = match decision {
        Some(PermitDecision::Granted) => {
            state.metrics.record_permit("granted");
            return true;
        }
        Some(PermitDecision::NoPermitLeft { retry_after_ms }) => {
            let retry_after = Duration::from_millis(retry_after_ms.into());
            ("no-permit-left", retry_after)
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
        retry_after_ms: millis(pause),
    });
    let now = state.now();
    let mut evidence = state.evidence.borrow_mut();
    evidence.record_permit_denied(now, instance, pause);
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

/// Issues a permit of an instance, by the limit that this host knows or else by the one
/// that is stated.
fn issue(state: &State, instance: &InstanceId, stated: RateLimit) -> PermitDecision {
    let known = state.evidence.borrow().rate_limit(instance);
    let rate_per_s = known.unwrap_or(stated).per_s();
    let issued = state.permits.issue(
        state.now(),
        instance,
        rate_per_s,
        state.fleet_view(),
        &mut state.rng.borrow_mut(),
    );
    match issued {
        Ok(()) => PermitDecision::Granted,
        Err(denied) => PermitDecision::NoPermitLeft {
            retry_after_ms: u32::try_from(denied.retry_after.as_millis()).unwrap_or(u32::MAX),
        },
    }
}
