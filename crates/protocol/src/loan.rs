//! Messages for lending of rate and burst.
//!
//! Quantities are thousandths of a request (`_millis`). One datagram carries
//! entries for several limits.

use serde::{Deserialize, Serialize};
use waxwingusher_core::HostId;

/// The most entries in one message, so that it fits a datagram.
pub const MAX_LOAN_ENTRIES: usize = 20;

/// A short stable hash of the name of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LimitId(pub [u8; 6]);

/// A borrower's request for a loan, or for the renewal of the one it holds.
///
/// It states all that the borrower holds. From now on the borrower accepts only
/// the grant with the request's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The limit.
    pub limit: LimitId,
    /// A fingerprint of the configured rate and burst.
    pub terms: u16,
    /// A number that only increases within the borrower's process.
    pub seq: u32,
    /// The bucket capacity that the borrower still holds.
    pub held_room_millis: u32,
    /// The tokens that the borrower still holds.
    pub held_tokens_millis: u32,
    /// The rate that the borrower still holds.
    pub held_rate_millis_per_s: u32,
    /// The tokens that the borrower returns with this message.
    pub returned_tokens_millis: u32,
    /// The tokens that the borrower wants to hold, and the capacity for them.
    pub wanted_tokens_millis: u32,
    /// The rate that the borrower wants to hold.
    pub wanted_rate_millis_per_s: u32,
}

/// A lender's answer to a [`LoanRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// The limit.
    pub limit: LimitId,
    /// A fingerprint of the configured rate and burst.
    pub terms: u16,
    /// The number of the request.
    pub seq: u32,
    /// The whole capacity that the borrower may hold from now on.
    pub room_millis: u32,
    /// The tokens that are added to those that the borrower holds.
    pub added_tokens_millis: u32,
    /// The whole rate at which the borrower may refill from now on.
    pub rate_millis_per_s: u32,
    /// The term, which for the borrower starts when it sends the request.
    pub term_ms: u32,
    /// How long the borrower should wait before its next request; zero unless
    /// the lender had too little to lend.
    pub retry_after_ms: u32,
}

/// A loan that continues under the next holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferredLoan {
    /// The borrowing host.
    pub borrower: HostId,
    /// The incarnation of the borrower's process.
    pub incarnation: u64,
    /// The number of the borrower's latest request.
    pub seq: u32,
    /// The capacity that is lent.
    pub room_millis: u32,
    /// The rate that is lent.
    pub rate_millis_per_s: u32,
    /// How much longer the loan may last.
    pub lasts_ms: u32,
}

/// A holder's share, transferred to its successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTransfer {
    /// The limit.
    pub limit: LimitId,
    /// The version of the host list under which the receiver is the holder.
    pub list_version: u64,
    /// The incarnation of the receiver that the share is transferred to.
    pub to_incarnation: u64,
    /// Unspent tokens.
    pub tokens_millis: u32,
    /// Loans that continue; the receiver may renew them.
    pub loans: Vec<TransferredLoan>,
    /// The capacity of loans that are not listed.
    pub lent_room_millis: u32,
    /// The rate of loans that are not listed.
    pub lent_rate_millis_per_s: u32,
    /// How much longer the last of the loans that are not listed may last.
    pub lent_for_ms: u32,
}

/// A host's report of its host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListReport {
    /// The number of the query.
    pub seq: u32,
    /// The newest version that the host has learned of.
    pub version: u64,
    /// The time since the host adopted this version.
    pub adopted_age_ms: u32,
    /// The time since the start of the latest known read that returned this
    /// version.
    pub read_age_ms: Option<u32>,
    /// Whether the host has learned of a current read since it started, and so
    /// knows at least what its previous process knew.
    pub vouches: bool,
}

/// A message for lending of rate and burst. Variants are only ever appended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LoanMessage {
    /// Requests of a borrower to one lender.
    Requests(Vec<LoanRequest>),
    /// Grants of a lender to one borrower.
    Grants(Vec<LoanGrant>),
    /// Shares that move to another holder.
    Transfers(Vec<ShareTransfer>),
    /// Asks a host of the same failure domain for its host list version.
    ListQuery {
        /// A number that only increases within the sender's process.
        seq: u32,
    },
    /// Answers a [`LoanMessage::ListQuery`].
    #[serde(rename = "ListWord")]
    ListReport(ListReport),
    /// Asks a borrower to return tokens that it holds ahead of demand, because
    /// requests are queued at other hosts.
    Recalls(Vec<LimitId>),
}
