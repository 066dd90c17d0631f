//! Checks that a request may still be sent, right before its first byte.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use waxwingusher_attempts::refusal::RefusalReason;
use waxwingusher_attempts::{AttemptTicket, Outcome, PermitError};
use waxwingusher_core::ServiceName;
use waxwingusher_edge::CallControl;
use waxwingusher_membership::distribution::ConfigTrust;

use crate::admission::{self, Principal};
use crate::shared_limiter::SpentToken;
use crate::state::HostState;

/// The age up to which a spent token allows the request to be sent.
const MAX_TOKEN_AGE: Duration = Duration::from_millis(500);

/// Why a request may no longer be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DispatchCheckError {
    #[error("the deadline has passed")]
    DeadlineExceeded,
    #[error("the host is draining, and would not answer in time")]
    Draining,
    #[error("the token was spent too long ago")]
    TokenExpired,
    #[error("the key is no longer valid")]
    KeyWithdrawn,
    #[error("the configuration has not been confirmed since the last pause")]
    ConfigUnconfirmed,
    #[error("the permission to run: {0}")]
    Permit(PermitError),
}

impl DispatchCheckError {
    /// Returns the reason that the caller receives.
    pub(crate) fn reason(self) -> RefusalReason {
        match self {
            Self::DeadlineExceeded => RefusalReason::DeadlineExceeded,
            Self::Draining => RefusalReason::Draining,
            Self::TokenExpired => RefusalReason::Overloaded,
            Self::KeyWithdrawn => RefusalReason::Unauthorized,
            Self::ConfigUnconfirmed => RefusalReason::ConfigUnconfirmed {
                retry_after: ConfigTrust::CHECK_TIME,
            },
            Self::Permit(error) => match error.outcome() {
                Outcome::NotRun => RefusalReason::PermissionExpired,
                Outcome::Unknown => RefusalReason::AttemptUnknown,
            },
        }
    }
}

/// What must still hold when a request is sent.
#[derive(Debug, Clone)]
pub(crate) struct DispatchRights {
    pub(crate) principal: Principal,
    pub(crate) service: ServiceName,
    pub(crate) deadline: Instant,
    pub(crate) token: SpentToken,
    pub(crate) ticket: Option<AttemptTicket>,
}

/// Holds the error of the check, if it fails.
pub(crate) type CheckFailure = Arc<OnceLock<DispatchCheckError>>;

/// Creates the control of a call whose first byte is sent only if all `rights`
/// still hold.
pub(crate) fn new_call_control(
    state: &Arc<HostState>,
    rights: DispatchRights,
) -> (Arc<CallControl>, CheckFailure) {
    let failure = CheckFailure::default();
    let failure_slot = failure.clone();
    let state = state.clone();
    let control = CallControl::new(move || match check(&state, &rights) {
        Ok(()) => true,
        Err(error) => {
            // The check runs once for each call.
            let _ = failure_slot.set(error);
            false
        }
    });
    (control, failure)
}

fn check(state: &HostState, rights: &DispatchRights) -> Result<(), DispatchCheckError> {
    let now = state.clock.now();
    if now >= rights.deadline {
        return Err(DispatchCheckError::DeadlineExceeded);
    }
    if !state.may_start(&rights.service, rights.deadline) {
        return Err(DispatchCheckError::Draining);
    }
    let token_age = now.saturating_duration_since(rights.token.spent_at);
    if token_age > MAX_TOKEN_AGE {
        return Err(DispatchCheckError::TokenExpired);
    }
    if rights.principal.key.is_some() && !state.config.is_trusted() {
        return Err(DispatchCheckError::ConfigUnconfirmed);
    }
    if !admission::is_key_still_valid(state, &rights.principal) {
        return Err(DispatchCheckError::KeyWithdrawn);
    }
    let Some(ticket) = rights.ticket else {
        return Ok(());
    };
    let permit = state.attempts.check_before_dispatch(ticket);
    permit.map_err(DispatchCheckError::Permit)
}
