//! Decides how much of a share is lent to one borrower.

use std::time::Duration;

use waxwingusher_protocol::loan::LoanRequest;

use crate::settings::LimiterSettings;
use crate::shares::{MILLIS_PER_TOKEN, ShareLimit, TINY_SHARE_MILLIS};

/// The term of a loan of one token while the capacity is too small for more.
const SCARCE_TERM: Duration = Duration::from_millis(400);
/// The term of a loan of tokens without rate.
const TOKEN_TERM: Duration = Duration::from_secs(10);
/// The part of the capacity that is lent for long terms, in percent; the rest
/// buffers the refill of the lender.
const LENDABLE_PERCENT: u64 = 70;
/// The capacity below which no rate is lent: a small bucket is full most of the
/// time and wastes its refill.
const MIN_RATE_CAPACITY_MILLIS: u64 = 8 * MILLIS_PER_TOKEN;
/// Divides the lender's tokens into the part that one borrower may get.
const MAX_LEND_DIVISOR: u64 = 2;
/// Divides the lender's demand, and its capacity, into the part that it keeps
/// even from a borrower without a whole token.
const STARVED_RESERVE_DIVISOR: u64 = 8;
/// The shortest time after which a borrower should ask a lender without tokens
/// again.
const MIN_RETRY_MS: u64 = 20;
/// The time after which a borrower should ask an overloaded lender again.
const OVERLOAD_RETRY_MS: u64 = 1000;
/// The demand above which a lender counts as overloaded, in percent of its rate.
const OVERLOAD_PERCENT: u64 = 130;

/// The state of a share that the lender's decision depends on.
#[derive(Debug, Clone, Copy)]
pub struct ShareState {
    /// The share's rate and capacity.
    pub limit: ShareLimit,
    /// The lent capacity, including that lent to this borrower.
    pub lent_capacity_millis: u64,
    /// The lent rate, including that lent to this borrower.
    pub lent_rate_millis_per_s: u64,
    /// Tokens that are not lent.
    pub tokens_millis: u64,
    /// Borrowers that hold capacity or rate, including this one.
    pub borrowers: u64,
    /// The demand of the lender's own callers.
    pub own_demand_millis_per_s: u64,
    /// The demand of all borrowers and of the lender's own callers.
    pub demand_millis_per_s: u64,
    /// Whether other borrowers hold tokens ahead of demand.
    pub can_recall: bool,
}

/// What a lender offers to a borrower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// The whole capacity that it may hold.
    pub capacity_millis: u64,
    /// The whole rate that it may hold.
    pub rate_millis_per_s: u64,
    /// The tokens added to those that it holds.
    pub tokens_millis: u64,
    /// The term of the loan.
    pub term: Duration,
    /// How long it should wait before it asks again.
    pub retry_after_ms: u64,
}

impl ShareState {
    /// Returns the offer to a borrower.
    #[must_use]
    pub fn offer(&self, request: &LoanRequest, settings: &LimiterSettings) -> Offer {
        let capacity = self.long_term_capacity(request);
        let has_rate = request.wanted_rate_millis_per_s > 0;
        let mut offer = if has_rate && capacity >= MIN_RATE_CAPACITY_MILLIS {
            self.rate_offer(request, capacity, settings)
        } else {
            let ahead = has_rate.then(|| self.token_offer(request)).flatten();
            ahead.unwrap_or_else(|| self.scarce_offer(request))
        };
        offer.term = offer.term.min(settings.loan_term);
        offer.retry_after_ms = self.retry_after_ms(request, offer.tokens_millis);
        offer
    }

    fn rate_offer(
        &self,
        request: &LoanRequest,
        capacity: u64,
        settings: &LimiterSettings,
    ) -> Offer {
        let vacant = capacity.saturating_sub(request.held_tokens_millis.into());
        let free = self.tokens_millis.saturating_sub(self.reserve(request));
        let max = (free / MAX_LEND_DIVISOR).max(free.min(MILLIS_PER_TOKEN));
        Offer {
            capacity_millis: capacity,
            rate_millis_per_s: self.rate(request),
            tokens_millis: vacant.min(max),
            term: settings.loan_term,
            retry_after_ms: 0,
        }
    }

    /// Offers whole tokens ahead of demand with only the capacity that they fill,
    /// or nothing if the capacity is too small for that.
    fn token_offer(&self, request: &LoanRequest) -> Option<Offer> {
        if self.limit.capacity_millis < TINY_SHARE_MILLIS {
            return None;
        }
        let held = u64::from(request.held_tokens_millis);
        let spare = self.limit.capacity_millis - MILLIS_PER_TOKEN;
        let others = self.lent_capacity_millis - u64::from(request.held_room_millis);
        let fair = whole_tokens(spare / (self.borrowers + 1)).max(MILLIS_PER_TOKEN);
        let max = fair.min(spare.saturating_sub(others));
        let wanted = u64::from(request.wanted_tokens_millis).min(max);
        let kept = if held < MILLIS_PER_TOKEN {
            0
        } else {
            MILLIS_PER_TOKEN
        };
        let free = whole_tokens(self.tokens_millis.saturating_sub(kept));
        let tokens = whole_tokens(wanted.saturating_sub(held)).min(free);
        (held + tokens >= MILLIS_PER_TOKEN).then_some(Offer {
            capacity_millis: held + tokens,
            rate_millis_per_s: 0,
            tokens_millis: tokens,
            term: TOKEN_TERM,
            retry_after_ms: 0,
        })
    }

    /// Offers what is wanted, but at most one token while tokens are scarce, or
    /// nothing.
    fn scarce_offer(&self, request: &LoanRequest) -> Offer {
        let held = u64::from(request.held_tokens_millis);
        let max = (self.tokens_millis / MAX_LEND_DIVISOR).max(MILLIS_PER_TOKEN);
        let mut wanted = u64::from(request.wanted_tokens_millis).min(max);
        if self.limit.capacity_millis < MILLIS_PER_TOKEN {
            wanted = wanted.min(held + self.tokens_millis);
        }
        let lacking = wanted.saturating_sub(held);
        let tokens = if lacking <= self.tokens_millis {
            lacking
        } else {
            0
        };
        let free = self
            .limit
            .capacity_millis
            .saturating_sub(self.lent_capacity_millis);
        let max = u64::from(request.held_room_millis) + free;
        Offer {
            capacity_millis: (held + tokens).min(max),
            rate_millis_per_s: 0,
            tokens_millis: tokens,
            term: SCARCE_TERM,
            retry_after_ms: 0,
        }
    }

    /// Returns the capacity of a long-term loan: at most an equal part for each
    /// borrower.
    fn long_term_capacity(&self, request: &LoanRequest) -> u64 {
        if self.limit.capacity_millis < TINY_SHARE_MILLIS {
            return 0;
        }
        let lendable = self.lendable();
        let others = self.lent_capacity_millis - u64::from(request.held_room_millis);
        let max = lendable.saturating_sub(others);
        let lender = u64::from(lendable >= MIN_RATE_CAPACITY_MILLIS);
        let fair = (lendable / (self.borrowers + lender).max(1)).max(MILLIS_PER_TOKEN);
        u64::from(request.wanted_tokens_millis).min(max).min(fair)
    }

    /// Returns the capacity that may be lent for long terms.
    fn lendable(&self) -> u64 {
        let lendable = self.limit.capacity_millis * LENDABLE_PERCENT / 100;
        lendable.min(self.limit.capacity_millis.saturating_sub(MILLIS_PER_TOKEN))
    }

    fn rate(&self, request: &LoanRequest) -> u64 {
        let wanted = u64::from(request.wanted_rate_millis_per_s);
        let share = self.limit.rate_millis_per_s;
        let free = share.saturating_sub(self.lent_rate_millis_per_s);
        let max = free + u64::from(request.held_rate_millis_per_s);
        if self.demand_millis_per_s <= share {
            return wanted.min(max);
        }
        let fair = u128::from(wanted) * u128::from(share) / u128::from(self.demand_millis_per_s);
        u64::try_from(fair).unwrap_or(u64::MAX).min(max)
    }

    /// Returns the tokens to keep back: some for the lender's own callers, and
    /// more for borrowers without a whole token if this one has one.
    fn reserve(&self, request: &LoanRequest) -> u64 {
        let capacity = self
            .limit
            .capacity_millis
            .saturating_sub(self.lent_capacity_millis);
        let demand = self.own_demand_millis_per_s;
        if u64::from(request.held_tokens_millis) < MILLIS_PER_TOKEN {
            return (demand / STARVED_RESERVE_DIVISOR).min(capacity / STARVED_RESERVE_DIVISOR);
        }
        demand.max(capacity / MAX_LEND_DIVISOR).min(capacity)
    }

    fn retry_after_ms(&self, request: &LoanRequest, tokens: u64) -> u64 {
        let held = u64::from(request.held_tokens_millis);
        let wanted = MILLIS_PER_TOKEN.min(request.wanted_tokens_millis.into());
        if held + tokens >= wanted {
            return 0;
        }
        if self.can_recall {
            return MIN_RETRY_MS;
        }
        let share = self.limit.rate_millis_per_s;
        if self.demand_millis_per_s * 100 > share * OVERLOAD_PERCENT {
            return OVERLOAD_RETRY_MS;
        }
        let lacking = wanted - held - tokens;
        let lacking = lacking.saturating_sub(self.tokens_millis - tokens);
        (lacking * 1000 / share.max(1)).max(MIN_RETRY_MS)
    }
}

fn whole_tokens(tokens_millis: u64) -> u64 {
    tokens_millis / MILLIS_PER_TOKEN * MILLIS_PER_TOKEN
}
