//! Refusals: the answers that a host gives in place of an upstream, with the
//! reason and whether the request may have run.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The value of the shed header by which an upstream states that it did not run
/// the request.
pub const SHED_NOT_RUN: &str = "not-run";

/// The status that a shed response must have.
pub const SHED_STATUS: u16 = 503;

/// Whether a refused request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No instance has run the request, and none will.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value for headers and bodies.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a host refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RefusalReason {
    /// No route matches the request.
    #[error("no route matches the request")]
    UnknownRoute,
    /// The request carries no valid workspace key.
    #[error("the request carries no valid key")]
    Unauthorized,
    /// The workspace may not use the route.
    #[error("the workspace may not use the route")]
    Forbidden,
    /// The route does not accept the method.
    #[error("the route does not take the method")]
    MethodNotAllowed,
    /// The workspace has used up its rate and burst.
    #[error("the workspace is over its rate")]
    OverRate {
        /// When the next request may be admitted.
        retry_after: Duration,
    },
    /// The queue is full or the wait would exceed the deadline.
    #[error("the fleet is overloaded")]
    Overloaded,
    /// No instance of the service is healthy.
    #[error("no instance is healthy")]
    NoHealthyInstance,
    /// The deadline passed.
    #[error("the deadline has passed")]
    DeadlineExceeded,
    /// The request is malformed.
    #[error("the request is malformed")]
    Malformed,
    /// The request's body exceeds the limit.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The idempotency key was used with another request.
    #[error("the idempotency key belongs to another request")]
    KeyMisuse,
    /// An earlier attempt with the idempotency key may have run.
    #[error("an earlier attempt may have run")]
    AttemptUnknown,
    /// An attempt with the idempotency key is running.
    #[error("an attempt with this idempotency key is in progress")]
    AttemptInProgress {
        /// When the caller may ask for the answer again.
        retry_after: Duration,
    },
    /// The permission to run expired before the request could be sent.
    #[error("the permission to run ended before the request could be sent")]
    PermissionExpired,
    /// The process was paused, and has not yet learned whether its configuration
    /// is still the newest.
    #[error("the host has not confirmed its configuration since a pause")]
    ConfigUnconfirmed {
        /// When the host should have confirmed its configuration.
        retry_after: Duration,
    },
    /// The request has crashed several instances.
    #[error("the request is quarantined")]
    Quarantined,
    /// The host is draining before it stops.
    #[error("the host is draining")]
    Draining,
    /// The host stopped before the instance had answered.
    #[error("the host stopped before the upstream answered")]
    DrainEnded,
    /// The connection to the instance failed.
    #[error("the upstream failed")]
    UpstreamFailed,
    /// The instance stated that it did not run the request.
    #[error("the upstream shed the request")]
    UpstreamShed,
}

impl RefusalReason {
    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::UnknownRoute => 404,
            Self::MethodNotAllowed => 405,
            Self::AttemptUnknown | Self::AttemptInProgress { .. } => 409,
            Self::BodyTooLarge => 413,
            Self::KeyMisuse => 422,
            Self::OverRate { .. } => 429,
            Self::UpstreamFailed => 502,
            Self::Overloaded
            | Self::PermissionExpired
            | Self::NoHealthyInstance
            | Self::ConfigUnconfirmed { .. }
            | Self::Quarantined
            | Self::Draining
            | Self::UpstreamShed => 503,
            Self::DeadlineExceeded | Self::DrainEnded => 504,
        }
    }

    /// Returns the machine-readable code.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::UnknownRoute => "unknown-route",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::MethodNotAllowed => "method-not-allowed",
            Self::OverRate { .. } => "over-rate",
            Self::Overloaded => "overloaded",
            Self::NoHealthyInstance => "no-healthy-instance",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::Malformed => "malformed",
            Self::BodyTooLarge => "body-too-large",
            Self::KeyMisuse => "key-misuse",
            Self::AttemptUnknown => "attempt-unknown",
            Self::AttemptInProgress { .. } => "attempt-in-progress",
            Self::PermissionExpired => "permission-expired",
            Self::ConfigUnconfirmed { .. } => "config-unconfirmed",
            Self::Quarantined => "quarantined",
            Self::Draining => "draining",
            Self::DrainEnded => "drain-ended",
            Self::UpstreamFailed => "upstream-failed",
            Self::UpstreamShed => "upstream-shed",
        }
    }

    /// Returns the outcome that the reason implies if the state of the request
    /// is not known. [`Refusal::outcome`] is exact.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::AttemptUnknown
            | Self::AttemptInProgress { .. }
            | Self::DrainEnded
            | Self::UpstreamFailed => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the duration for a `Retry-After` header.
    #[must_use]
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::OverRate { retry_after }
            | Self::AttemptInProgress { retry_after }
            | Self::ConfigUnconfirmed { retry_after } => Some(retry_after),
            _ => None,
        }
    }
}

/// A refusal that a caller receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    reason: RefusalReason,
    outcome: Outcome,
}

impl Refusal {
    /// Creates a refusal of a request that has not been dispatched.
    pub(crate) const fn before_dispatch(reason: RefusalReason) -> Self {
        let outcome = match reason {
            RefusalReason::AttemptUnknown | RefusalReason::AttemptInProgress { .. } => {
                Outcome::Unknown
            }
            _ => Outcome::NotRun,
        };
        Self { reason, outcome }
    }

    /// Creates a refusal of a request that may have run.
    pub(crate) const fn unknown(reason: RefusalReason) -> Self {
        Self {
            reason,
            outcome: Outcome::Unknown,
        }
    }

    /// Returns why the request was refused.
    #[must_use]
    pub const fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Returns whether the request may have run.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }
}

/// Reports whether an upstream's response states that the request was not run.
#[must_use]
pub fn is_shed_response(status: u16, shed_header: Option<&str>) -> bool {
    status == SHED_STATUS && shed_header.is_some_and(|value| value.trim() == SHED_NOT_RUN)
}
