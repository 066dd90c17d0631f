//! The borrower's side of a loan from one lender.

use std::time::{Duration, Instant};

use waxwingusher_core::HostId;
use waxwingusher_protocol::loan::{LimitId, LoanGrant, LoanRequest};

use crate::bucket::Bucket;
use crate::settings::LimiterSettings;
use crate::share::saturating_u32;
use crate::shares::{MILLIS_PER_TOKEN, ShareLimit};

/// How many times the wait for an unresponsive lender is doubled at most.
const MAX_DOUBLINGS: u32 = 6;
/// The part of its term after which a loan is renewed, in percent.
const RENEW_PERCENT: u32 = 65;

/// How long a lender that granted too little rate is not asked for more.
const SHORTAGE_TIME: Duration = Duration::from_secs(1);
/// The shortest term of a loan that is kept for later requests.
const MIN_LONG_TERM: Duration = Duration::from_millis(500);

/// What a borrower would like to hold from one lender.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Wanted {
    /// Capacity, which the lender fills with tokens as far as it can.
    pub capacity_millis: u64,
    /// The rate.
    pub rate_millis_per_s: u64,
}

/// The limit and the number of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestHeader {
    /// The limit.
    pub limit: LimitId,
    /// The fingerprint of the rate and burst.
    pub terms: u16,
    /// The number of the request.
    pub seq: u32,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    seq: u32,
    asked_at: Instant,
    wanted: Wanted,
}

/// A loan, or the absence of one, from the holder of one share.
#[derive(Debug)]
pub struct Loan {
    lender: Option<HostId>,
    bucket: Bucket,
    until: Instant,
    renew_at: Instant,
    term: Duration,
    pending: Option<Pending>,
    unanswered_requests: u32,
    has_granted: bool,
    retry_at: Instant,
    shortage_until: Instant,
    tokens_only_millis: Option<u64>,
}

impl Loan {
    /// Creates the absence of a loan.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            lender: None,
            bucket: Bucket::new(now),
            until: now,
            renew_at: now,
            term: Duration::ZERO,
            pending: None,
            unanswered_requests: 0,
            has_granted: false,
            retry_at: now,
            shortage_until: now,
            tokens_only_millis: None,
        }
    }

    /// Sets the host to borrow from. The current loan continues when its lender
    /// hands the share off.
    pub fn set_lender(&mut self, lender: Option<&HostId>, now: Instant) {
        if self.lender.as_ref() == lender {
            return;
        }
        self.lender = lender.cloned();
        self.pending = None;
        self.unanswered_requests = 0;
        self.has_granted = false;
        self.retry_at = now;
        self.shortage_until = now;
        self.tokens_only_millis = None;
    }

    /// Returns the host to borrow from.
    #[must_use]
    pub fn lender(&self) -> Option<&HostId> {
        self.lender.as_ref()
    }

    /// Refills until `now`, or empties the bucket if the term is over.
    pub fn advance_to(&mut self, now: Instant) {
        if now < self.until {
            self.bucket.refill(now);
        } else if self.holds_anything() {
            self.bucket.clear(now);
        }
    }

    /// Returns the bucket as of the last [`Self::advance_to`].
    #[must_use]
    pub fn bucket(&self) -> &Bucket {
        &self.bucket
    }

    /// Returns the bucket to spend from. Call [`Self::advance_to`] first.
    pub fn bucket_mut(&mut self) -> &mut Bucket {
        &mut self.bucket
    }

    /// Reports whether there is a loan.
    #[must_use]
    pub fn holds_anything(&self) -> bool {
        self.bucket.capacity_millis() > 0 || self.bucket.rate_millis_per_s() > 0
    }

    /// Reports whether the term of the loan lasts at `now`.
    #[must_use]
    pub fn is_in_force(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Reports whether the lender may still answer the latest request in time.
    #[must_use]
    pub fn awaits_answer(&self, now: Instant, settings: &LimiterSettings) -> bool {
        let in_time = |pending: &Pending| now < pending.asked_at + settings.answer_timeout;
        self.pending.as_ref().is_some_and(in_time)
    }

    /// Returns when the lender may be asked again, if there is one.
    #[must_use]
    pub fn retry_at(&self) -> Option<Instant> {
        self.lender.as_ref().map(|_| self.retry_at)
    }

    /// Reports whether the lender has answered the latest request. A lender that
    /// was never asked has not.
    #[must_use]
    pub fn has_answered(&self) -> bool {
        self.has_granted && self.pending.is_none() && self.unanswered_requests == 0
    }

    /// Reports whether the lender has left a request unanswered.
    #[must_use]
    pub fn is_unresponsive(&self) -> bool {
        self.unanswered_requests > 0
    }

    /// Reports whether the lender lately granted less rate than requested, or
    /// recalled its tokens.
    #[must_use]
    pub fn has_shortage(&self, now: Instant) -> bool {
        now < self.shortage_until
    }

    /// Stops borrowing ahead of demand from the lender for [`SHORTAGE_TIME`].
    pub fn record_shortage(&mut self, now: Instant) {
        self.shortage_until = now + SHORTAGE_TIME;
    }

    /// Returns the capacity of the latest grant if it came without the requested
    /// rate.
    #[must_use]
    pub fn tokens_only(&self) -> Option<u64> {
        self.tokens_only_millis
    }

    /// Reports whether the loan neither holds a whole token nor refills.
    #[must_use]
    pub fn is_spent(&self) -> bool {
        self.holds_anything()
            && self.bucket.rate_millis_per_s() == 0
            && self.bucket.tokens_millis() < MILLIS_PER_TOKEN
    }

    /// Reports whether the loan should be renewed.
    #[must_use]
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        self.holds_anything() && now >= self.renew_at
    }

    /// Reports whether the lender lends for short terms only, because its capacity
    /// is too small for all borrowers.
    #[must_use]
    pub fn is_short_term(&self) -> bool {
        self.term > Duration::ZERO && self.term < MIN_LONG_TERM
    }

    /// Reduces the loan in proportion after the lender's share has shrunk.
    pub fn rescale(&mut self, former: ShareLimit, limit: ShareLimit, now: Instant) {
        self.advance_to(now);
        let rate = self.bucket.rate_millis_per_s();
        let capacity = self.bucket.capacity_millis();
        let rate = scale(rate, limit.rate_millis_per_s, former.rate_millis_per_s);
        let capacity = scale(capacity, limit.capacity_millis, former.capacity_millis);
        self.bucket.set_rate(now, rate);
        self.bucket.set_capacity(now, capacity);
        self.pending = None;
    }

    /// Builds the request to hold what is wanted, and returns the excess with it.
    pub fn request(
        &mut self,
        header: RequestHeader,
        wanted: Wanted,
        now: Instant,
        settings: &LimiterSettings,
    ) -> LoanRequest {
        self.advance_to(now);
        let rate = self
            .bucket
            .rate_millis_per_s()
            .min(wanted.rate_millis_per_s);
        let mut capacity = self.bucket.capacity_millis().min(wanted.capacity_millis);
        if self.bucket.rate_millis_per_s() == 0 {
            // Other borrowers need the capacity of spent tokens.
            capacity = capacity.min(self.bucket.tokens_millis());
        }
        let excess = self.bucket.tokens_millis().saturating_sub(capacity);
        let returned = self.bucket.remove(excess);
        self.bucket.set_rate(now, rate);
        self.bucket.set_capacity(now, capacity);
        let pending = Pending {
            seq: header.seq,
            asked_at: now,
            wanted,
        };
        self.pending = (wanted != Wanted::default()).then_some(pending);
        let wait = settings.answer_timeout * (1 << self.unanswered_requests.min(MAX_DOUBLINGS));
        self.unanswered_requests += u32::from(self.pending.is_some());
        self.retry_at = self.retry_at.max(now + wait);
        LoanRequest {
            limit: header.limit,
            terms: header.terms,
            seq: header.seq,
            held_room_millis: saturating_u32(capacity),
            held_tokens_millis: saturating_u32(self.bucket.tokens_millis()),
            held_rate_millis_per_s: saturating_u32(rate),
            returned_tokens_millis: saturating_u32(returned),
            wanted_tokens_millis: saturating_u32(wanted.capacity_millis),
            wanted_rate_millis_per_s: saturating_u32(wanted.rate_millis_per_s),
        }
    }

    /// Applies the grant that answers the latest request. Its term counts from
    /// the time of the request.
    pub fn accept(&mut self, grant: &LoanGrant, now: Instant) {
        let Some(pending) = self.pending else {
            return;
        };
        if pending.seq != grant.seq {
            return;
        }
        self.pending = None;
        self.unanswered_requests = 0;
        self.has_granted = true;
        self.advance_to(now);
        let term = Duration::from_millis(grant.term_ms.into());
        let until = pending.asked_at + term;
        self.retry_at = now + Duration::from_millis(grant.retry_after_ms.into());
        let wanted_rate = pending.wanted.rate_millis_per_s;
        let gives_tokens = grant.rate_millis_per_s == 0 && wanted_rate > 0;
        self.tokens_only_millis = gives_tokens.then_some(grant.room_millis.into());
        let has_shortage = if gives_tokens {
            term < MIN_LONG_TERM
        } else {
            u64::from(grant.rate_millis_per_s) < wanted_rate
        };
        if has_shortage {
            self.shortage_until = now + SHORTAGE_TIME;
        }
        if now >= until {
            return;
        }
        self.until = until;
        self.term = term;
        self.renew_at = pending.asked_at + term * RENEW_PERCENT / 100;
        self.bucket.restart_refill(now);
        self.bucket.set_rate(now, grant.rate_millis_per_s.into());
        self.bucket.set_capacity(now, grant.room_millis.into());
        self.bucket.add(grant.added_tokens_millis.into());
    }
}

fn scale(value: u64, numerator: u64, denominator: u64) -> u64 {
    if numerator >= denominator {
        return value;
    }
    let scaled = u128::from(value) * u128::from(numerator) / u128::from(denominator);
    u64::try_from(scaled).unwrap_or(value)
}
