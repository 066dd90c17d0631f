//! Requests to the attempt registry, and its decisions and counters.

use std::time::{Duration, Instant};

use waxwingusher_core::{BodyDigest, WorkspaceName};
use waxwingusher_protocol::attempt::StoredAnswer;

use crate::refusal::{Outcome, RefusalReason};

/// A request that carries an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRequest {
    /// The workspace that the caller authenticated as.
    pub workspace: WorkspaceName,
    /// The idempotency key.
    pub idempotency_key: String,
    /// The digest of the method, target and body, by which a repeat of the same
    /// request is recognized.
    pub body_digest: BodyDigest,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Identifies one attempt on one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptTicket(pub(crate) u64);

/// The decision on an attempt.
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
    /// The request may be dispatched, and must be finished in any case.
    Run,
    /// An earlier attempt got this answer.
    FirstAnswer(StoredAnswer),
    /// Another attempt is running.
    InProgress {
        /// When the caller may ask for the answer again.
        retry_after: Duration,
    },
    /// An earlier attempt may have run.
    Unknown(UnknownCause),
    /// The idempotency key belongs to another request.
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

/// Why it is unknown whether an earlier attempt ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum UnknownCause {
    /// An earlier attempt is recorded without its answer.
    EarlierAttempt,
    /// Too few witnesses have kept records of the key for the whole window.
    NotCovered,
    /// Too few witnesses replied.
    Unreachable,
    /// This host could not confirm that its host list is current.
    ListStale,
}

/// How a permitted attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResult {
    /// The upstream answered.
    Answered(StoredAnswer),
    /// The request may have run; no answer is stored.
    Unknown,
    /// The request did not run; its key may be used again.
    NotRun,
}

/// Why a permission no longer holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PermitError {
    /// The term of the permission is over.
    #[error("the permission has expired")]
    Expired,
    /// The permission expired so long ago that the witnesses may have dropped
    /// its record, and another attempt may have run.
    #[error("the permission expired more than a window ago")]
    RecordsExpired,
    /// The host list may be out of date.
    #[error("the host list is not confirmed")]
    ListStale,
    /// The caller's deadline has passed.
    #[error("the deadline has passed")]
    DeadlineExceeded,
    /// There is no such permission, or it was used before.
    #[error("no permission is open for the attempt")]
    NotPermitted,
}

impl PermitError {
    /// Returns whether a request with this key may have run.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Expired | Self::ListStale | Self::DeadlineExceeded => Outcome::NotRun,
            Self::RecordsExpired | Self::NotPermitted => Outcome::Unknown,
        }
    }
}

/// Counters and sizes of one host's attempt records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptReport {
    /// Records that this host keeps as a witness.
    pub records: usize,
    /// The size of the stored answers, in bytes.
    pub answer_bytes: usize,
    /// An estimate of the memory of all records, in bytes.
    pub memory_bytes: usize,
    /// Attempts of this host's callers that have not ended.
    pub open_attempts: usize,
    /// Attempts that were permitted to run.
    pub permitted: u64,
    /// Attempts that got the answer of an earlier one.
    pub first_answers: u64,
    /// Attempts refused because another one was running.
    pub in_progress: u64,
    /// Attempts refused because an earlier one may have run.
    pub earlier_attempts: u64,
    /// Attempts refused because too few witnesses vouched in time.
    pub not_vouched: u64,
    /// Attempts refused because the key belongs to another request.
    pub misuses: u64,
    /// Permissions that no longer held right before the dispatch.
    pub expired_permits: u64,
    /// Whether this host's records cover the whole window.
    pub is_covered: bool,
    /// Whether the host list is confirmed.
    pub is_list_trusted: bool,
}
