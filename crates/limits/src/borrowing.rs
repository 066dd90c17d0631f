//! The borrower's side of one limit: what a host has borrowed, and the decision
//! what to request.

use std::time::{Duration, Instant};

use waxwingusher_core::HostId;
use waxwingusher_protocol::loan::{LimitId, LoanRequest};

use crate::bucket::{Bucket, NANOS_PER_TOKEN};
use crate::demand::Demand;
use crate::loan::{Loan, RequestHeader, Wanted};
use crate::settings::LimiterSettings;
use crate::share::Share;
use crate::shares::{MILLIS_PER_TOKEN, TINY_SHARE_MILLIS};

/// The rate that a borrower wants, in percent of its demand.
const RATE_PERCENT: f64 = 95.0;
/// The part of the wanted tokens, in percent, below which a borrower asks for
/// more.
const LOW_WATER_PERCENT: u64 = 40;
/// The part of the wanted rate, in percent, below which a borrower asks for more.
const LOW_RATE_PERCENT: u64 = 75;
/// The part of the wanted rate, in percent, below which it is not worth a loan
/// of its own.
const MIN_RATE_PERCENT: u64 = 10;
/// The shortest time between requests to a lender while no request waits.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// The time without requests after which a loan is returned.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// What a plan to borrow depends on.
#[derive(Debug, Clone, Copy)]
pub struct PlanContext<'a> {
    /// The limit.
    pub limit: LimitId,
    /// The fingerprint of the rate and burst.
    pub terms: u16,
    /// The index of the share of this host's failure domain.
    pub local_share: usize,
    /// The capacity of one share.
    pub share_capacity_millis: u64,
    /// What this host's own share holds, if it is a holder.
    pub own: Holding,
    /// The time.
    pub now: Instant,
    /// The settings.
    pub settings: &'a LimiterSettings,
}

/// The tokens, capacity and rate that a host holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Holding {
    /// Tokens.
    pub tokens_millis: u64,
    /// The most tokens that can be held.
    pub capacity_millis: u64,
    /// The rate.
    pub rate_millis_per_s: u64,
}

impl Holding {
    /// Adds what a bucket holds.
    pub fn add(&mut self, bucket: &Bucket) {
        self.tokens_millis += bucket.tokens_millis();
        self.capacity_millis += bucket.capacity_millis();
        self.rate_millis_per_s += bucket.rate_millis_per_s();
    }
}

/// The loans and the demand of one limit.
#[derive(Debug)]
pub struct Borrowing {
    /// The loans, by share.
    loans: Vec<Loan>,
    demand: Demand,
    waiting: u32,
    asked_at: Instant,
    list_version: u64,
}

impl Borrowing {
    /// Creates the state of a host that has borrowed nothing.
    #[must_use]
    pub fn new(shares: usize, now: Instant) -> Self {
        Self {
            loans: (0..shares).map(|_| Loan::new(now)).collect(),
            demand: Demand::new(now),
            waiting: 0,
            asked_at: now,
            list_version: 0,
        }
    }

    /// Returns the loans, by share.
    pub fn loans_mut(&mut self) -> &mut [Loan] {
        &mut self.loans
    }

    /// Returns the demand of this host's callers.
    pub fn demand_mut(&mut self) -> &mut Demand {
        &mut self.demand
    }

    /// Returns [`RATE_PERCENT`] of the demand, in thousandths of a token per second.
    #[must_use]
    pub fn demand_millis_per_s(&self, now: Instant) -> u64 {
        (self.demand.per_s(now) * RATE_PERCENT * 10.0) as u64
    }

    /// Returns what is borrowed and may be spent at `now`.
    #[must_use]
    pub fn borrowed(&self, now: Instant) -> Holding {
        let mut borrowed = Holding::default();
        for loan in self.loans.iter().filter(|loan| loan.is_in_force(now)) {
            borrowed.add(loan.bucket());
        }
        borrowed
    }

    /// Counts a request that waits for a loan.
    pub fn add_waiting(&mut self) {
        self.waiting += 1;
    }

    /// Reports whether nothing is borrowed and no request has arrived lately.
    #[must_use]
    pub fn is_idle(&self, now: Instant, settings: &LimiterSettings) -> bool {
        let held = self.loans.iter().any(Loan::holds_anything);
        !held && self.demand.idle_time(now) > IDLE_TIME.max(settings.loan_term)
    }

    /// Takes the token of one request from the loans and the own share. Returns
    /// false if they hold less than a token.
    pub fn take(&mut self, share: Option<&mut Share>, now: Instant) -> bool {
        let mut borrowed = 0;
        for loan in &mut self.loans {
            loan.advance_to(now);
            borrowed += loan.bucket().tokens_nanos();
        }
        let own = share.map(|share| {
            share.advance_to(now);
            share.bucket_mut()
        });
        let own_tokens_nanos = own.as_ref().map_or(0, |bucket| bucket.tokens_nanos());
        if borrowed + own_tokens_nanos < NANOS_PER_TOKEN {
            return false;
        }
        let mut needed = NANOS_PER_TOKEN;
        for loan in &mut self.loans {
            needed = loan.bucket_mut().take_up_to(needed);
        }
        if let Some(bucket) = own {
            bucket.take_up_to(needed);
        }
        true
    }

    /// Returns the earliest time at which a lender may have a token, or `None` if
    /// there is no lender.
    #[must_use]
    pub fn earliest_token_at(&self, now: Instant, settings: &LimiterSettings) -> Option<Instant> {
        let awaits_answer = |loan: &Loan| loan.awaits_answer(now, settings);
        if self.loans.iter().any(awaits_answer) {
            return Some(now);
        }
        self.loans.iter().filter_map(Loan::retry_at).min()
    }

    /// Reports whether some lender has answered the latest request to it.
    #[must_use]
    pub fn has_answer(&self) -> bool {
        self.loans.iter().any(Loan::has_answered)
    }

    /// Sets the lenders of a host list version.
    pub fn set_lenders(&mut self, version: u64, lenders: &[Option<HostId>], now: Instant) {
        self.list_version = version;
        for (loan, lender) in self.loans.iter_mut().zip(lenders) {
            loan.set_lender(lender.as_ref(), now);
        }
    }

    /// Returns the host list version of the lenders.
    #[must_use]
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Returns the loan requests that are due.
    pub fn plan(&mut self, ctx: PlanContext<'_>, seq: &mut u32) -> Vec<(HostId, LoanRequest)> {
        for loan in &mut self.loans {
            loan.advance_to(ctx.now);
        }
        let mut requests = Vec::new();
        let is_tiny = ctx.share_capacity_millis < TINY_SHARE_MILLIS;
        let additional = self
            .next_lender(ctx)
            .filter(|_| self.needs_another_loan(ctx));
        let additional = additional.filter(|_| !is_tiny);
        for index in 0..self.loans.len() {
            if additional == Some(index) {
                continue;
            }
            if let Some(wanted) = self.renewal(index, ctx) {
                self.ask(index, wanted, ctx, seq, &mut requests);
            }
        }
        if is_tiny {
            self.ask_all_lenders(ctx, seq, &mut requests);
        } else if let Some(index) = additional {
            let wanted = self.wanted(index, ctx);
            self.asked_at = ctx.now;
            self.ask(index, wanted, ctx, seq, &mut requests);
        }
        self.waiting = 0;
        requests
    }

    /// Builds the requests that return all loans, as before a planned stop.
    pub fn return_all(
        &mut self,
        ctx: PlanContext<'_>,
        seq: &mut u32,
    ) -> Vec<(HostId, LoanRequest)> {
        let mut requests = Vec::new();
        for index in 0..self.loans.len() {
            if self.loans[index].holds_anything() {
                self.ask(index, Wanted::default(), ctx, seq, &mut requests);
            }
        }
        requests
    }

    /// Builds the request that returns what a lender has recalled, unless requests
    /// wait here or an answer of the lender is awaited.
    pub fn return_to(
        &mut self,
        lender: &HostId,
        ctx: PlanContext<'_>,
        seq: &mut u32,
    ) -> Vec<(HostId, LoanRequest)> {
        let mut requests = Vec::new();
        let is_lender = |loan: &Loan| loan.lender() == Some(lender);
        let Some(index) = self.loans.iter().position(is_lender) else {
            return requests;
        };
        let loan = &mut self.loans[index];
        loan.advance_to(ctx.now);
        let is_ahead_of_demand = loan.bucket().rate_millis_per_s() == 0 && loan.holds_anything();
        if self.waiting == 0 && is_ahead_of_demand && !loan.awaits_answer(ctx.now, ctx.settings) {
            loan.record_shortage(ctx.now);
            self.ask(index, Wanted::default(), ctx, seq, &mut requests);
        }
        requests
    }

    /// Reports whether requests have waited since the last plan.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.waiting > 0
    }

    fn ask(
        &mut self,
        index: usize,
        wanted: Wanted,
        ctx: PlanContext<'_>,
        seq: &mut u32,
        requests: &mut Vec<(HostId, LoanRequest)>,
    ) {
        let loan = &mut self.loans[index];
        let Some(lender) = loan.lender().cloned() else {
            return;
        };
        *seq += 1;
        let header = RequestHeader {
            limit: ctx.limit,
            terms: ctx.terms,
            seq: *seq,
        };
        let request = loan.request(header, wanted, ctx.now, ctx.settings);
        requests.push((lender, request));
    }

    /// Asks all lenders for equal parts of the tokens that requests wait for.
    fn ask_all_lenders(
        &mut self,
        ctx: PlanContext<'_>,
        seq: &mut u32,
        requests: &mut Vec<(HostId, LoanRequest)>,
    ) {
        let waiting = u64::from(self.waiting) * MILLIS_PER_TOKEN;
        let lacking = waiting.saturating_sub(self.held(ctx).tokens_millis);
        let awaits_answer = |loan: &Loan| loan.awaits_answer(ctx.now, ctx.settings);
        if lacking == 0 || self.loans.iter().any(awaits_answer) {
            return;
        }
        let can_be_asked = |loan: &Loan| loan.retry_at().is_some_and(|at| at <= ctx.now);
        let mut indexes: Vec<_> = (0..self.loans.len())
            .map(|step| (ctx.local_share + step) % self.loans.len())
            .filter(|index| can_be_asked(&self.loans[*index]))
            .collect();
        // Parts of a token would never add up if most lenders don't answer.
        let is_unresponsive = |index: &usize| self.loans[*index].is_unresponsive();
        let answering = indexes
            .iter()
            .filter(|index| !is_unresponsive(index))
            .count();
        if answering * 2 < self.loans.len() {
            indexes.sort_by_key(is_unresponsive);
            indexes.truncate(1);
        }
        let lenders = answering.clamp(1, indexes.len().max(1)) as u64;
        for index in &indexes {
            let held = self.loans[*index].bucket().tokens_millis();
            let wanted = Wanted {
                capacity_millis: held + lacking.div_ceil(lenders),
                rate_millis_per_s: 0,
            };
            self.ask(*index, wanted, ctx, seq, requests);
        }
    }

    /// Returns what to ask for at the renewal of a loan, if it is due.
    fn renewal(&self, index: usize, ctx: PlanContext<'_>) -> Option<Wanted> {
        let loan = &self.loans[index];
        if loan.awaits_answer(ctx.now, ctx.settings) {
            return None;
        }
        // A return need not wait until the lender may be asked again.
        if loan.is_spent() || loan.is_short_term() && loan.holds_anything() {
            return (self.waiting == 0).then_some(Wanted::default());
        }
        if loan.retry_at()? > ctx.now {
            return None;
        }
        if !loan.is_renewal_due(ctx.now) {
            return None;
        }
        if self.demand.idle_time(ctx.now) > IDLE_TIME {
            return Some(Wanted::default());
        }
        let wanted = self.wanted(index, ctx);
        let is_useful = wanted.rate_millis_per_s > 0 || loan.bucket().rate_millis_per_s() > 0;
        Some(if is_useful { wanted } else { Wanted::default() })
    }

    /// Reports whether another lender should be asked.
    fn needs_another_loan(&self, ctx: PlanContext<'_>) -> bool {
        if self.waiting > 0 {
            let awaits_answer = |loan: &&Loan| loan.awaits_answer(ctx.now, ctx.settings);
            return self.waiting as usize > self.loans.iter().filter(awaits_answer).count();
        }
        let asked_lately = ctx.now < self.asked_at + REQUEST_INTERVAL;
        let target = self.target(ctx);
        if asked_lately {
            return false;
        }
        if self.has_low_tokens(ctx) {
            return true;
        }
        if self.loans[ctx.local_share].tokens_only().is_some() {
            return false;
        }
        let held = self.held(ctx);
        let low_rate = target.rate_millis_per_s * LOW_RATE_PERCENT / 100;
        held.rate_millis_per_s < low_rate
    }

    fn has_low_tokens(&self, ctx: PlanContext<'_>) -> bool {
        let low = match self.loans[ctx.local_share].tokens_only() {
            Some(granted) => granted,
            None => self.target(ctx).capacity_millis * LOW_WATER_PERCENT / 100,
        };
        self.held(ctx).tokens_millis < low.max(MILLIS_PER_TOKEN)
    }

    /// Returns the first lender that may be asked now, beginning with the one in
    /// the local failure domain.
    fn next_lender(&self, ctx: PlanContext<'_>) -> Option<usize> {
        let shares = self.loans.len();
        for step in 0..shares {
            let index = (ctx.local_share + step) % shares;
            let loan = &self.loans[index];
            let Some(retry_at) = loan.retry_at() else {
                continue;
            };
            if retry_at > ctx.now || loan.awaits_answer(ctx.now, ctx.settings) {
                continue;
            }
            if self.waiting == 0 && !self.may_lend_ahead(index, ctx) {
                continue;
            }
            return Some(index);
        }
        None
    }

    /// Reports whether a lender should be asked while no request waits: the local
    /// one for tokens, and any that may still have rate for more rate.
    fn may_lend_ahead(&self, index: usize, ctx: PlanContext<'_>) -> bool {
        if self.loans[index].has_shortage(ctx.now) {
            return index == ctx.local_share
                && self.loans[index].tokens_only().is_none()
                && self.has_low_tokens(ctx);
        }
        let local = &self.loans[ctx.local_share];
        index == ctx.local_share || !local.has_answered() || local.has_shortage(ctx.now)
    }

    /// Returns what to hold from one lender, given the loans of the others.
    fn wanted(&self, index: usize, ctx: PlanContext<'_>) -> Wanted {
        let target = self.target(ctx);
        let bucket = self.loans[index].bucket();
        let mut others = self.held(ctx);
        others.capacity_millis -= bucket.capacity_millis();
        others.rate_millis_per_s -= bucket.rate_millis_per_s();
        let mut rate = target
            .rate_millis_per_s
            .saturating_sub(others.rate_millis_per_s);
        if rate * 100 < target.rate_millis_per_s * MIN_RATE_PERCENT {
            rate = 0;
        }
        let mut capacity = target
            .capacity_millis
            .saturating_sub(others.capacity_millis);
        if rate > 0 {
            capacity = capacity.max(MILLIS_PER_TOKEN);
        }
        if self.waiting > 0 {
            let waiting = u64::from(self.waiting) * MILLIS_PER_TOKEN;
            capacity = capacity.max(bucket.tokens_millis() + waiting);
            if bucket.rate_millis_per_s() == 0 && self.loans[index].has_shortage(ctx.now) {
                // The lender has nothing ahead of demand; ask for these requests only.
                rate = 0;
            }
        }
        Wanted {
            capacity_millis: capacity,
            rate_millis_per_s: rate,
        }
    }

    /// Returns what to hold from all lenders together.
    fn target(&self, ctx: PlanContext<'_>) -> Wanted {
        let per_s = self.demand.per_s(ctx.now);
        let horizon = per_s * ctx.settings.borrow_horizon.as_secs_f64();
        let rate = self.demand_millis_per_s(ctx.now);
        Wanted {
            capacity_millis: (horizon * 1000.0) as u64 + MILLIS_PER_TOKEN,
            rate_millis_per_s: rate.max(1),
        }
    }

    fn held(&self, ctx: PlanContext<'_>) -> Holding {
        let mut held = ctx.own;
        for loan in &self.loans {
            held.add(loan.bucket());
        }
        held
    }
}
