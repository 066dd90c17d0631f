//! What one host holds of one limit, and the decision what to borrow.

use std::time::{Duration, Instant};

use waxwingusher_core::HostId;
use waxwingusher_protocol::loan::{LimitId, LoanRequest};

use crate::bucket::NANOS_PER_TOKEN;
use crate::demand::Demand;
use crate::loan_part::{LoanPart, RequestHeader, Wanted};
use crate::settings::LimiterSettings;
use crate::share::Share;
use crate::shares::MILLIS_PER_TOKEN;

/// Demand below which tokens are borrowed but no rate, in requests a second.
const MIN_RATE_DEMAND_PER_S: f64 = 0.3;
/// The rate that a borrower wants, in percent of its demand.
const RATE_PERCENT: f64 = 125.0;
/// The part of the wanted tokens below which a borrower asks for more.
const LOW_WATER_PERCENT: u64 = 40;
/// The part of the demand below which the rate is too low, in percent.
const LOW_RATE_PERCENT: u64 = 95;
/// The shortest time between requests to a lender while no request waits.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// The time without requests after which a loan is given back.
const IDLE_TIME: Duration = Duration::from_secs(3);

/// What a plan to borrow depends on.
#[derive(Debug, Clone, Copy)]
pub struct PlanContext<'a> {
    /// The limit.
    pub limit: LimitId,
    /// The fingerprint of the rate and burst.
    pub terms: u16,
    /// The index of the share of this host's failure domain.
    pub near_share: usize,
    /// Tokens in this host's own share, if it is a holder.
    pub own: Wanted,
    /// The time.
    pub now: Instant,
    /// The settings.
    pub settings: &'a LimiterSettings,
}

/// The borrowed stock of one limit.
#[derive(Debug)]
pub struct Stock {
    /// The loans, by share.
    parts: Vec<LoanPart>,
    demand: Demand,
    waiting: u32,
    asked_at: Instant,
    list_version: u64,
}

impl Stock {
    /// Creates an empty stock.
    #[must_use]
    pub fn new(shares: usize, now: Instant) -> Self {
        Self {
            parts: (0..shares).map(|_| LoanPart::new(now)).collect(),
            demand: Demand::new(now),
            waiting: 0,
            asked_at: now,
            list_version: 0,
        }
    }

    /// Returns the loans, by share.
    #[must_use]
    pub fn parts(&self) -> &[LoanPart] {
        &self.parts
    }

    /// Returns the loans, by share.
    pub fn parts_mut(&mut self) -> &mut [LoanPart] {
        &mut self.parts
    }

    /// Returns the demand of this host's callers.
    pub fn demand_mut(&mut self) -> &mut Demand {
        &mut self.demand
    }

    /// Returns the demand in thousandths of a request a second.
    #[must_use]
    pub fn demand_millis_per_s(&self, now: Instant) -> u64 {
        (self.demand.per_s(now) * RATE_PERCENT * 10.0) as u64
    }

    /// Counts a request that waits for a loan.
    pub fn add_waiting(&mut self) {
        self.waiting += 1;
    }

    /// Reports whether the stock is empty and has not been used for a while.
    #[must_use]
    pub fn is_idle(&self, now: Instant, settings: &LimiterSettings) -> bool {
        let held = self.parts.iter().any(LoanPart::holds_anything);
        !held && self.demand.idle(now) > settings.loan_term
    }

    /// Takes the token of one request out of the loans and the own share.
    pub fn take(&mut self, share: Option<&mut Share>, now: Instant) -> bool {
        let mut present = 0;
        for part in &mut self.parts {
            part.settle(now);
            present += part.bucket().tokens_nanos();
        }
        let own = share.map(|share| {
            share.settle(now);
            share.bucket_mut()
        });
        let own_tokens = own.as_ref().map_or(0, |bucket| bucket.tokens_nanos());
        if present + own_tokens < NANOS_PER_TOKEN {
            return false;
        }
        let mut needed = NANOS_PER_TOKEN;
        for part in &mut self.parts {
            needed = part.bucket_mut().take_part(needed);
        }
        if let Some(bucket) = own {
            bucket.take_part(needed);
        }
        true
    }

    /// Returns when a lender may have a token, or nothing if there is none.
    #[must_use]
    pub fn next_chance(&self, now: Instant, settings: &LimiterSettings) -> Option<Instant> {
        let awaited = |part: &LoanPart| part.is_awaited(now, settings);
        if self.parts.iter().any(awaited) {
            return Some(now);
        }
        self.parts.iter().filter_map(LoanPart::retry_at).min()
    }

    /// Reports whether a lender has answered the latest request to it.
    #[must_use]
    pub fn has_answer(&self) -> bool {
        self.parts.iter().any(LoanPart::has_answered)
    }

    /// Sets the lenders of a host list version.
    pub fn set_lenders(&mut self, version: u64, lenders: &[Option<HostId>], now: Instant) {
        self.list_version = version;
        for (part, lender) in self.parts.iter_mut().zip(lenders) {
            part.set_lender(lender.as_ref(), now);
        }
    }

    /// Returns the host list version of the lenders.
    #[must_use]
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Decides what to ask of which lender.
    pub fn plan(&mut self, ctx: PlanContext<'_>, seq: &mut u32) -> Vec<(HostId, LoanRequest)> {
        for part in &mut self.parts {
            part.settle(ctx.now);
        }
        let mut requests = Vec::new();
        for index in 0..self.parts.len() {
            if let Some(wanted) = self.renewal(index, ctx) {
                self.ask(index, wanted, ctx, seq, &mut requests);
            }
        }
        let asked_long_ago = ctx.now >= self.asked_at + REQUEST_INTERVAL;
        let needs_more = self.waiting > 0 || (asked_long_ago && self.is_low(ctx));
        if let Some(index) = self.next_lender(ctx).filter(|_| needs_more) {
            let wanted = self.wanted(index, ctx);
            self.asked_at = ctx.now;
            self.ask(index, wanted, ctx, seq, &mut requests);
        }
        self.waiting = 0;
        requests
    }

    /// Gives everything back, as before a planned stop.
    pub fn give_back(&mut self, ctx: PlanContext<'_>, seq: &mut u32) -> Vec<(HostId, LoanRequest)> {
        let mut requests = Vec::new();
        for index in 0..self.parts.len() {
            if self.parts[index].holds_anything() {
                self.ask(index, Wanted::default(), ctx, seq, &mut requests);
            }
        }
        requests
    }

    fn ask(
        &mut self,
        index: usize,
        wanted: Wanted,
        ctx: PlanContext<'_>,
        seq: &mut u32,
        requests: &mut Vec<(HostId, LoanRequest)>,
    ) {
        let part = &mut self.parts[index];
        let Some(lender) = part.lender().cloned() else {
            return;
        };
        *seq += 1;
        let header = RequestHeader {
            limit: ctx.limit,
            terms: ctx.terms,
            seq: *seq,
        };
        let request = part.request(header, wanted, ctx.now, ctx.settings);
        requests.push((lender, request));
    }

    /// Returns what to ask for at the renewal of a loan, if it is due.
    fn renewal(&self, index: usize, ctx: PlanContext<'_>) -> Option<Wanted> {
        let part = &self.parts[index];
        if part.is_awaited(ctx.now, ctx.settings) || part.retry_at()? > ctx.now {
            return None;
        }
        if part.is_spent(ctx.settings) && self.waiting == 0 {
            return Some(Wanted::default());
        }
        if !part.is_due(ctx.now) {
            return None;
        }
        if self.demand.idle(ctx.now) > IDLE_TIME {
            return Some(Wanted::default());
        }
        Some(self.wanted(index, ctx))
    }

    fn is_low(&self, ctx: PlanContext<'_>) -> bool {
        if self.demand.idle(ctx.now) > IDLE_TIME {
            return false;
        }
        let target = self.target(ctx);
        let held = self.held(ctx);
        let low_tokens = held.tokens_millis * 100 < target.tokens_millis * LOW_WATER_PERCENT;
        let needed_rate = target.rate_millis_per_s * LOW_RATE_PERCENT / RATE_PERCENT as u64;
        low_tokens || held.rate_millis_per_s < needed_rate
    }

    /// Returns the nearest lender that may be asked now.
    fn next_lender(&self, ctx: PlanContext<'_>) -> Option<usize> {
        let shares = self.parts.len();
        for step in 0..shares {
            let index = (ctx.near_share + step) % shares;
            let part = &self.parts[index];
            let Some(retry_at) = part.retry_at() else {
                continue;
            };
            if retry_at > ctx.now || part.is_awaited(ctx.now, ctx.settings) {
                continue;
            }
            if self.waiting == 0 && part.is_short(ctx.now) {
                continue;
            }
            return Some(index);
        }
        None
    }

    /// Returns what to hold from one lender, given what the others lend.
    fn wanted(&self, index: usize, ctx: PlanContext<'_>) -> Wanted {
        let target = self.target(ctx);
        let held = self.held(ctx);
        let part = self.parts[index].bucket();
        let others = Wanted {
            tokens_millis: held.tokens_millis - part.tokens_millis(),
            rate_millis_per_s: held.rate_millis_per_s - part.rate_millis_per_s(),
        };
        let tokens = target.tokens_millis.saturating_sub(others.tokens_millis);
        let rate = target
            .rate_millis_per_s
            .saturating_sub(others.rate_millis_per_s);
        Wanted {
            tokens_millis: tokens.max(MILLIS_PER_TOKEN),
            rate_millis_per_s: rate,
        }
    }

    fn target(&self, ctx: PlanContext<'_>) -> Wanted {
        let per_s = self.demand.per_s(ctx.now);
        let horizon = per_s * ctx.settings.stock_horizon.as_secs_f64();
        let tokens = (horizon * 1000.0) as u64 + (u64::from(self.waiting) + 1) * MILLIS_PER_TOKEN;
        let rate = if per_s < MIN_RATE_DEMAND_PER_S {
            0
        } else {
            self.demand_millis_per_s(ctx.now)
        };
        Wanted {
            tokens_millis: tokens,
            rate_millis_per_s: rate,
        }
    }

    fn held(&self, ctx: PlanContext<'_>) -> Wanted {
        let mut held = ctx.own;
        for part in &self.parts {
            held.tokens_millis += part.bucket().tokens_millis();
            held.rate_millis_per_s += part.bucket().rate_millis_per_s();
        }
        held
    }
}
