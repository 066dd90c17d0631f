//! Decisions on requests for a token, and reports for operators.

use std::fmt;
use std::time::{Duration, Instant};

use crate::limit_key::LimitKey;

/// Why a request got no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The configuration has no such workspace or open route.
    UnknownLimit,
    /// The rate and burst are used up.
    RateExceeded,
    /// No holder of the limit can be reached.
    NoLender,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownLimit => "unknown limit",
            Self::RateExceeded => "rate exceeded",
            Self::NoLender => "no holder reachable",
        })
    }
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpendDecision {
    /// The token is spent; the request may run.
    Spent,
    /// The request may get a token from a loan. The caller should retry after
    /// each grant, until this instant.
    Wait(Instant),
    /// The request may not run.
    Refused {
        /// How long it may take until a token is free.
        retry_after: Duration,
        /// Why there is no token.
        reason: RefusalReason,
    },
}

/// Refusals since the process started, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RefusalCounts {
    /// Requests for unknown limits.
    pub unknown_limit: u64,
    /// Requests beyond rate and burst.
    pub rate_exceeded: u64,
    /// Requests without a reachable holder.
    pub no_lender: u64,
}

impl RefusalCounts {
    /// Counts one refusal.
    pub fn count(&mut self, reason: RefusalReason) {
        match reason {
            RefusalReason::UnknownLimit => self.unknown_limit += 1,
            RefusalReason::RateExceeded => self.rate_exceeded += 1,
            RefusalReason::NoLender => self.no_lender += 1,
        }
    }
}

/// What this host holds, lends and borrows of one limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitReport {
    /// The limit.
    pub key: LimitKey,
    /// Whether this host holds its failure domain's share.
    pub is_holder: bool,
    /// Tokens in the share that this host may spend now, if it is the holder.
    pub share_tokens_millis: u64,
    /// The part of the share's rate that is not lent.
    pub share_rate_millis_per_s: u64,
    /// The capacity that this host has lent.
    pub lent_capacity_millis: u64,
    /// The rate that this host has lent.
    pub lent_rate_millis_per_s: u64,
    /// Hosts that have borrowed from this one lately.
    pub borrowers: usize,
    /// Tokens that this host has borrowed and may spend now.
    pub borrowed_tokens_millis: u64,
    /// The rate that this host has borrowed.
    pub borrowed_rate_millis_per_s: u64,
    /// The demand of this host's callers.
    pub demand_millis_per_s: u64,
}

/// The state of one host's limiter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimiterReport {
    /// The version of the host list.
    pub list_version: u64,
    /// Whether this host may act as a holder: its host list is known to be
    /// current.
    pub has_valid_rights: bool,
    /// Shares that this host takes over once their former holder has certainly
    /// stopped.
    pub waiting_shares: usize,
    /// Refusals since the start.
    pub refusals: RefusalCounts,
    /// All limits that this host holds or has borrowed.
    pub limits: Vec<LimitReport>,
}
