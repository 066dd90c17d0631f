//! Messages for lending of rate and burst.
//!
//! Quantities are thousandths of a request (`_millis`). Entries for several
//! keys share one datagram.

use serde::{Deserialize, Serialize};
use waxwingusher_core::HostId;

/// The most entries that one message carries, so that it fits a datagram.
pub const MAX_LOAN_ENTRIES: usize = 20;

/// A short stable hash of the name of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LimitId(pub [u8; 6]);

/// A borrower's request for a loan, or for the renewal of the one it holds.
///
/// It states all that the borrower holds, and that the borrower accepts only
/// the grant with this number from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The limit.
    pub limit: LimitId,
    /// A fingerprint of the configured rate and burst.
    pub terms: u16,
    /// A number that only grows during the life of the borrower's process.
    pub seq: u32,
    /// The room that the borrower still holds.
    pub held_room_millis: u32,
    /// The tokens that the borrower still holds.
    pub held_tokens_millis: u32,
    /// The rate that the borrower still holds.
    pub held_rate_millis_per_s: u32,
    /// Tokens that the borrower has given up with this message.
    pub returned_tokens_millis: u32,
    /// The tokens that the borrower would like to hold, and the room for them.
    pub wanted_tokens_millis: u32,
    /// The rate that the borrower would like to hold.
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
    /// All the room that the borrower may hold from now on.
    pub room_millis: u32,
    /// The tokens that are added to those that the borrower holds.
    pub added_tokens_millis: u32,
    /// The whole rate that the borrower may refill at from now on.
    pub rate_millis_per_s: u32,
    /// The term, which the borrower counts from the moment of its request.
    pub term_ms: u32,
    /// How long the borrower should wait before it asks again; zero unless
    /// the lender had too little.
    pub retry_after_ms: u32,
}

/// A loan that goes on under the next holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferredLoan {
    /// The borrowing host.
    pub borrower: HostId,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The number of its newest request.
    pub seq: u32,
    /// The room that is lent.
    pub room_millis: u32,
    /// The rate that is lent.
    pub rate_millis_per_s: u32,
    /// How long the loan may still last.
    pub lasts_ms: u32,
}

/// A holder's share, given to the holder that follows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTransfer {
    /// The limit.
    pub limit: LimitId,
    /// The version of the host list under which the receiver is the holder.
    pub list_version: u64,
    /// The incarnation of the receiver that the share is given to.
    pub to_incarnation: u64,
    /// Unspent tokens.
    pub tokens_millis: u32,
    /// Loans that go on; the receiver may renew them.
    pub loans: Vec<TransferredLoan>,
    /// Room of loans that are not listed.
    pub lent_room_millis: u32,
    /// Rate of loans that are not listed.
    pub lent_rate_millis_per_s: u32,
    /// How long the last of the loans that are not listed may still last.
    pub lent_for_ms: u32,
}

/// What a host knows of the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListWord {
    /// The number of the query.
    pub seq: u32,
    /// The newest version that the host has seen.
    pub version: u64,
    /// How long ago the host adopted this version.
    pub adopted_age_ms: u32,
    /// How long ago the newest known read that returned this version started.
    pub read_age_ms: Option<u32>,
    /// Whether the host has known of a current read since it started, and so
    /// knows at least what its former self knew.
    pub vouches: bool,
}

/// A message for lending of rate and burst. Variants are only ever appended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LoanMessage {
    /// Requests of a borrower to one lender.
    Requests(Vec<LoanRequest>),
    /// Grants of a lender to one borrower.
    Grants(Vec<LoanGrant>),
    /// Shares that change their holder.
    Transfers(Vec<ShareTransfer>),
    /// Asks a host of the same failure domain for its host list version.
    ListQuery {
        /// A number that only grows during the life of the sender's process.
        seq: u32,
    },
    /// Answers a [`LoanMessage::ListQuery`].
    ListWord(ListWord),
    /// Asks a borrower to give back tokens that it holds ahead of demand,
    /// because requests wait elsewhere.
    Recalls(Vec<LimitId>),
}
