//! What goes into and comes out of the attempt records.

use std::time::{Duration, Instant};

use waxwingusher_core::{BodyDigest, WorkspaceName};
use waxwingusher_protocol::attempt::StoredAnswer;

use crate::refusal::{Outcome, RefusalReason};

/// A request that carries an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRequest {
    /// The workspace whose key the caller showed.
    pub workspace: WorkspaceName,
    /// The idempotency key.
    pub idempotency_key: String,
    /// What the request asks for.
    pub body_digest: BodyDigest,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// One attempt on one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptTicket(pub(crate) u64);

/// What is decided on an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptDecision {
    /// The attempt.
    pub ticket: AttemptTicket,
    /// Whether it may run.
    pub permission: Permission,
}

/// Whether an attempt may run. All but [`Self::Run`] end the attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permission {
    /// The request may be dispatched; it must be finished in any case.
    Run,
    /// An earlier attempt was answered with this.
    FirstAnswer(StoredAnswer),
    /// Another attempt is running.
    InProgress {
        /// When a repeat may learn the answer.
        retry_after: Duration,
    },
    /// An earlier attempt may have run.
    Unknown(UnknownCause),
    /// The key belongs to another request.
    Misuse,
}

impl Permission {
    /// Returns the refusal that the permission implies, if it implies one.
    #[must_use]
    pub const fn refusal(&self) -> Option<RefusalReason> {
        match self {
            Self::Run | Self::FirstAnswer(_) => None,
            Self::InProgress { retry_after } => Some(RefusalReason::AttemptInProgress {
                retry_after: *retry_after,
            }),
            Self::Unknown(_) => Some(RefusalReason::AttemptUnknown),
            Self::Misuse => Some(RefusalReason::KeyMisuse),
        }
    }
}

/// Why nobody can tell whether an earlier attempt ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum UnknownCause {
    /// An earlier attempt is recorded without its answer.
    EarlierAttempt,
    /// Too few witnesses have covered the key for the window.
    NotCovered,
    /// Too few witnesses answered.
    Unreachable,
    /// This host does not know whether its host list is current.
    ListStale,
}

/// How a permitted attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResult {
    /// The upstream answered.
    Answered(StoredAnswer),
    /// The request may have run; no answer is stored.
    Unknown,
    /// The request surely did not run; its key is free again.
    NotRun,
}

/// Why a permission no longer holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PermitError {
    /// The permission's term is over.
    #[error("the permission has expired")]
    Expired,
    /// The permission's term has been over for so long that another attempt
    /// may have run meanwhile.
    #[error("the permission expired more than a window ago")]
    Forgotten,
    /// The host list may be out of date.
    #[error("the host list is not confirmed")]
    ListStale,
    /// The caller's deadline has passed.
    #[error("the deadline has passed")]
    DeadlineExceeded,
    /// There is no such permission, or it was used.
    #[error("no permission is open for the attempt")]
    NotPermitted,
}

impl PermitError {
    /// Returns what is known of the request's key.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Expired | Self::ListStale | Self::DeadlineExceeded => Outcome::NotRun,
            Self::Forgotten | Self::NotPermitted => Outcome::Unknown,
        }
    }
}

/// Counters and sizes of one host's attempt records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptReport {
    /// Records kept as a witness.
    pub records: usize,
    /// Stored answers, in bytes.
    pub answer_bytes: usize,
    /// An estimate of all memory of the records, in bytes.
    pub memory_bytes: usize,
    /// Attempts of this host's callers that have not ended.
    pub open_attempts: usize,
    /// Permissions to run.
    pub permitted: u64,
    /// Repeats that were given the first answer.
    pub first_answers: u64,
    /// Attempts refused because another one was running.
    pub in_progress: u64,
    /// Attempts refused because an earlier one may have run.
    pub earlier_attempts: u64,
    /// Attempts refused because too few witnesses vouched in time.
    pub not_vouched: u64,
    /// Attempts refused because the key belongs to another request.
    pub misuses: u64,
    /// Permissions that had expired before the dispatch.
    pub expired_permits: u64,
    /// Whether this host's memory covers the window.
    pub is_covered: bool,
    /// Whether the host list is confirmed.
    pub is_list_trusted: bool,
}
