//! A holder's share of one limit, from which it spends and lends tokens.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use waxwingusher_core::HostId;
use waxwingusher_protocol::loan::{
    LimitId, LoanGrant, LoanRequest, MAX_LOAN_ENTRIES, ShareTransfer, TransferredLoan,
};

use crate::bucket::Bucket;
use crate::lending::ShareState;
use crate::settings::LimiterSettings;
use crate::shares::{MILLIS_PER_TOKEN, ShareLimit};

/// How long a borrower still counts as one after it has returned everything.
const BORROWER_KEPT_FOR: Duration = Duration::from_secs(2);
/// Returned in place of a time that will never come.
const NEVER: Duration = Duration::from_secs(3600);

/// What one process of a host has borrowed.
#[derive(Debug, Clone, Copy)]
struct LoanRecord {
    seq: u32,
    capacity_millis: u64,
    rate_millis_per_s: u64,
    wanted_rate_millis_per_s: u64,
    lent_at: Instant,
    is_recalled: bool,
    until: Instant,
    forget_at: Instant,
}

impl LoanRecord {
    /// Ends the loan if its term is over; the record stays until `forget_at`.
    fn end(&mut self, now: Instant) {
        if self.until > now {
            return;
        }
        self.capacity_millis = 0;
        self.rate_millis_per_s = 0;
    }

    /// Reports whether the borrower, as far as the lender knows, holds tokens ahead
    /// of demand and has not been asked to return them yet.
    fn is_ahead_of_demand(&self) -> bool {
        self.capacity_millis >= MILLIS_PER_TOKEN && self.rate_millis_per_s == 0 && !self.is_recalled
    }

    fn next_change(&self, now: Instant) -> Instant {
        if self.until > now {
            self.until
        } else {
            self.forget_at
        }
    }
}

/// The lender's side of one limit.
#[derive(Debug)]
pub struct Share {
    limit: ShareLimit,
    bucket: Bucket,
    loans: HashMap<(HostId, u64), LoanRecord>,
    lent_capacity_millis: u64,
    lent_rate_millis_per_s: u64,
    wanted_rate_millis_per_s: u64,
    next_expiry: Option<Instant>,
}

/// The sender of a loan request, and when it arrived.
#[derive(Debug, Clone, Copy)]
pub struct Borrower<'a> {
    /// The borrowing host.
    pub host: &'a HostId,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The demand of the lender's own callers.
    pub lender_demand_millis_per_s: u64,
    /// The time on the lender's clock.
    pub now: Instant,
}

impl Share {
    /// Creates an empty share that starts to refill at `now`.
    #[must_use]
    pub fn new(limit: ShareLimit, now: Instant) -> Self {
        let mut share = Self {
            limit,
            bucket: Bucket::new(now),
            loans: HashMap::new(),
            lent_capacity_millis: 0,
            lent_rate_millis_per_s: 0,
            wanted_rate_millis_per_s: 0,
            next_expiry: None,
        };
        share.update_bucket(now);
        share
    }

    /// Creates a share from the transfer of its former holder.
    #[must_use]
    pub fn from_transfer(
        limit: ShareLimit,
        transfer: &ShareTransfer,
        former: &HostId,
        now: Instant,
        settings: &LimiterSettings,
    ) -> Self {
        let mut share = Self::new(limit, now);
        for loan in unlisted_loan(transfer, former)
            .iter()
            .chain(&transfer.loans)
        {
            let lasts = Duration::from_millis(loan.lasts_ms.into());
            let until = now + settings.with_drift(lasts);
            let record = LoanRecord {
                seq: loan.seq,
                capacity_millis: loan.room_millis.into(),
                rate_millis_per_s: loan.rate_millis_per_s.into(),
                wanted_rate_millis_per_s: loan.rate_millis_per_s.into(),
                lent_at: now,
                is_recalled: false,
                until,
                forget_at: until + BORROWER_KEPT_FOR,
            };
            let borrower = (loan.borrower.clone(), loan.incarnation);
            share.loans.insert(borrower, record);
        }
        share.update_totals(now);
        share.bucket.add(transfer.tokens_millis.into());
        share
    }

    /// Returns the transfer of this share to its next holder: the largest loans
    /// one by one, the others as a sum. This share must not be used afterwards.
    #[must_use]
    pub fn transfer(
        &mut self,
        limit: LimitId,
        list_version: u64,
        to_incarnation: u64,
        now: Instant,
    ) -> ShareTransfer {
        self.advance_to(now);
        let mut loans: Vec<_> = self
            .loans
            .iter()
            .map(|loan| transferred_loan(loan, now))
            .collect();
        loans.retain(|loan| loan.room_millis > 0 || loan.rate_millis_per_s > 0);
        loans.sort_by_key(|loan| std::cmp::Reverse((loan.rate_millis_per_s, loan.room_millis)));
        let rest = loans.split_off(loans.len().min(MAX_LOAN_ENTRIES / 2));
        ShareTransfer {
            limit,
            list_version,
            to_incarnation,
            tokens_millis: saturating_u32(self.bucket.tokens_millis()),
            lent_room_millis: rest.iter().map(|loan| loan.room_millis).sum(),
            lent_rate_millis_per_s: rest.iter().map(|loan| loan.rate_millis_per_s).sum(),
            lent_for_ms: rest.iter().map(|loan| loan.lasts_ms).max().unwrap_or(0),
            loans,
        }
    }

    /// Refills until `now` and ends loans whose term is over.
    pub fn advance_to(&mut self, now: Instant) {
        self.bucket.refill(now);
        if self.next_expiry.is_some_and(|at| at <= now) {
            self.loans.values_mut().for_each(|loan| loan.end(now));
            self.loans.retain(|_, loan| loan.forget_at > now);
            self.update_totals(now);
        }
    }

    /// Sets the limit after a change. Current loans continue until they end.
    pub fn set_limit(&mut self, limit: ShareLimit, now: Instant) {
        self.advance_to(now);
        self.limit = limit;
        self.update_bucket(now);
    }

    /// Returns how long it takes until the bucket holds a whole token.
    #[must_use]
    pub fn time_to_next_token(&self) -> Duration {
        let lacking = MILLIS_PER_TOKEN.saturating_sub(self.bucket.tokens_millis());
        let rate = self.bucket.rate_millis_per_s();
        if rate == 0 || self.bucket.capacity_millis() < MILLIS_PER_TOKEN {
            return NEVER;
        }
        Duration::from_millis(lacking * 1000 / rate)
    }

    /// Returns the bucket that the holder's own callers spend from.
    pub fn bucket_mut(&mut self) -> &mut Bucket {
        &mut self.bucket
    }

    /// Returns the bucket.
    #[must_use]
    pub fn bucket(&self) -> &Bucket {
        &self.bucket
    }

    /// Returns the number of borrowers, including those whose loans ended lately.
    #[must_use]
    pub fn borrowers(&self) -> usize {
        self.loans.len()
    }

    /// Returns the lent capacity.
    #[must_use]
    pub fn lent_capacity_millis(&self) -> u64 {
        self.lent_capacity_millis
    }

    /// Returns the lent rate.
    #[must_use]
    pub fn lent_rate_millis_per_s(&self) -> u64 {
        self.lent_rate_millis_per_s
    }

    /// Records what a borrower states that it still holds. Reports whether the
    /// request is the latest one and consistent with the record.
    pub fn reconcile(&mut self, request: &LoanRequest, borrower: Borrower<'_>) -> bool {
        self.advance_to(borrower.now);
        let key = (borrower.host.clone(), borrower.incarnation);
        let held_capacity = u64::from(request.held_room_millis);
        let held_rate = u64::from(request.held_rate_millis_per_s);
        let Some(loan) = self.loans.get_mut(&key) else {
            return held_capacity == 0 && held_rate == 0;
        };
        if request.seq <= loan.seq || held_capacity > loan.capacity_millis {
            return false;
        }
        if held_rate > loan.rate_millis_per_s {
            return false;
        }
        loan.seq = request.seq;
        self.lent_capacity_millis -= loan.capacity_millis - held_capacity;
        self.lent_rate_millis_per_s -= loan.rate_millis_per_s - held_rate;
        loan.capacity_millis = held_capacity;
        loan.rate_millis_per_s = held_rate;
        if is_return(request) {
            loan.forget_at = borrower.now + BORROWER_KEPT_FOR;
            loan.until = borrower.now;
            self.next_expiry = self.next_expiry.min(Some(loan.forget_at));
            self.wanted_rate_millis_per_s -= loan.wanted_rate_millis_per_s;
            loan.wanted_rate_millis_per_s = 0;
        }
        self.update_bucket(borrower.now);
        self.bucket.add(request.returned_tokens_millis.into());
        true
    }

    /// Lends to a borrower whose request has been reconciled.
    pub fn lend(
        &mut self,
        request: &LoanRequest,
        borrower: Borrower<'_>,
        settings: &LimiterSettings,
    ) -> LoanGrant {
        let wanted_rate = u64::from(request.wanted_rate_millis_per_s);
        let key = (borrower.host.clone(), borrower.incarnation);
        let former = self.loans.get(&key).copied();
        let formerly_wanted = former.map_or(0, |loan| loan.wanted_rate_millis_per_s);
        self.wanted_rate_millis_per_s -= formerly_wanted;
        let offer = self.state_for(request, borrower).offer(request, settings);
        // Borrowers without a rate ask several lenders for the same demand.
        let counted_rate = if offer.rate_millis_per_s > 0 {
            wanted_rate
        } else {
            0
        };
        self.wanted_rate_millis_per_s += counted_rate;
        self.bucket.remove(offer.tokens_millis);
        let held_capacity = u64::from(request.held_room_millis);
        let held_rate = u64::from(request.held_rate_millis_per_s);
        let until = loan_end(
            former,
            request,
            borrower.now + settings.with_drift(offer.term),
        );
        let loan = LoanRecord {
            seq: request.seq,
            capacity_millis: offer.capacity_millis.max(held_capacity),
            rate_millis_per_s: offer.rate_millis_per_s.max(held_rate),
            wanted_rate_millis_per_s: counted_rate,
            lent_at: borrower.now,
            is_recalled: false,
            until,
            forget_at: until + BORROWER_KEPT_FOR,
        };
        self.loans.insert(key, loan);
        self.lent_capacity_millis += loan.capacity_millis - held_capacity;
        self.lent_rate_millis_per_s += loan.rate_millis_per_s - held_rate;
        self.next_expiry = Some(self.next_expiry.map_or(until, |at| at.min(until)));
        self.update_bucket(borrower.now);
        LoanGrant {
            limit: request.limit,
            terms: request.terms,
            seq: request.seq,
            room_millis: saturating_u32(offer.capacity_millis),
            added_tokens_millis: saturating_u32(offer.tokens_millis),
            rate_millis_per_s: saturating_u32(offer.rate_millis_per_s),
            term_ms: u32::try_from(offer.term.as_millis()).unwrap_or(u32::MAX),
            retry_after_ms: saturating_u32(offer.retry_after_ms),
        }
    }

    /// Chooses the host that should return what it holds ahead of demand: the one
    /// with the oldest loan, because it has not used it for the longest time.
    pub fn recall(&mut self, except: &HostId, now: Instant) -> Option<HostId> {
        self.advance_to(now);
        let others = self.loans.iter_mut();
        let ahead = others.filter(|((host, _), loan)| host != except && loan.is_ahead_of_demand());
        let ((host, _), loan) =
            ahead.min_by_key(|((host, _), loan)| (loan.lent_at, host.clone()))?;
        loan.is_recalled = true;
        Some(host.clone())
    }

    /// Returns the state that the decision on a loan depends on.
    fn state_for(&self, request: &LoanRequest, borrower: Borrower<'_>) -> ShareState {
        let is_new = request.held_room_millis == 0 && request.held_rate_millis_per_s == 0;
        let holds = |loan: &&LoanRecord| loan.capacity_millis > 0 || loan.rate_millis_per_s > 0;
        let holding = self.loans.values().filter(holds).count() as u64;
        let others = self
            .loans
            .iter()
            .filter(|((host, _), _)| host != borrower.host);
        let can_recall = others
            .map(|(_, loan)| loan)
            .any(LoanRecord::is_ahead_of_demand);
        let own_demand = borrower.lender_demand_millis_per_s;
        let wanted_rate = u64::from(request.wanted_rate_millis_per_s);
        ShareState {
            limit: self.limit,
            lent_capacity_millis: self.lent_capacity_millis,
            lent_rate_millis_per_s: self.lent_rate_millis_per_s,
            tokens_millis: self.bucket.tokens_millis(),
            borrowers: holding + u64::from(is_new),
            own_demand_millis_per_s: own_demand,
            demand_millis_per_s: self.wanted_rate_millis_per_s + wanted_rate + own_demand,
            can_recall,
        }
    }

    fn update_totals(&mut self, now: Instant) {
        self.lent_capacity_millis = self.loans.values().map(|loan| loan.capacity_millis).sum();
        self.lent_rate_millis_per_s = self.loans.values().map(|loan| loan.rate_millis_per_s).sum();
        self.wanted_rate_millis_per_s = self
            .loans
            .values()
            .map(|loan| loan.wanted_rate_millis_per_s)
            .sum();
        self.next_expiry = self.loans.values().map(|loan| loan.next_change(now)).min();
        self.update_bucket(now);
    }

    /// Sets the bucket's rate and capacity to what is not lent.
    fn update_bucket(&mut self, now: Instant) {
        let limit = self.limit;
        let rate = limit
            .rate_millis_per_s
            .saturating_sub(self.lent_rate_millis_per_s);
        let capacity = limit
            .capacity_millis
            .saturating_sub(self.lent_capacity_millis);
        self.bucket.set_rate(now, rate);
        self.bucket.set_capacity(now, capacity);
    }
}

fn transferred_loan(
    ((borrower, incarnation), loan): (&(HostId, u64), &LoanRecord),
    now: Instant,
) -> TransferredLoan {
    let lasts = loan.until.saturating_duration_since(now);
    TransferredLoan {
        borrower: borrower.clone(),
        incarnation: *incarnation,
        seq: loan.seq,
        room_millis: saturating_u32(loan.capacity_millis),
        rate_millis_per_s: saturating_u32(loan.rate_millis_per_s),
        lasts_ms: u32::try_from(lasts.as_millis() + 1).unwrap_or(u32::MAX),
    }
}

/// Returns one loan that stands for all loans that a transfer does not list.
fn unlisted_loan(transfer: &ShareTransfer, former: &HostId) -> Option<TransferredLoan> {
    (transfer.lent_for_ms > 0).then(|| TransferredLoan {
        borrower: former.clone(),
        incarnation: 0,
        seq: u32::MAX,
        room_millis: transfer.lent_room_millis,
        rate_millis_per_s: transfer.lent_rate_millis_per_s,
        lasts_ms: transfer.lent_for_ms,
    })
}

/// Reports whether a borrower returns everything and wants nothing.
#[must_use]
pub fn is_return(request: &LoanRequest) -> bool {
    let held = request.held_room_millis > 0 || request.held_rate_millis_per_s > 0;
    let wants = request.wanted_tokens_millis > 0 || request.wanted_rate_millis_per_s > 0;
    !held && !wants
}

/// Reports whether a request on behalf of waiting callers is left without a
/// whole token.
#[must_use]
pub fn is_starved(request: &LoanRequest, grant: &LoanGrant) -> bool {
    let held = u64::from(request.held_tokens_millis) + u64::from(grant.added_tokens_millis);
    let wanted = u64::from(request.wanted_tokens_millis);
    request.wanted_rate_millis_per_s == 0 && wanted >= MILLIS_PER_TOKEN && held < MILLIS_PER_TOKEN
}

/// Returns when a loan ends for the lender. A borrower that still holds something
/// may miss this grant and use an earlier one until its end.
fn loan_end(former: Option<LoanRecord>, request: &LoanRequest, end: Instant) -> Instant {
    if request.held_room_millis == 0 && request.held_rate_millis_per_s == 0 {
        return end;
    }
    former.map_or(end, |loan| loan.until.max(end))
}

/// Converts a quantity to the type that messages carry.
#[must_use]
pub fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
