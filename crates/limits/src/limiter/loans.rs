//! Lending to other hosts and borrowing from them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use waxwingusher_core::HostId;
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::loan::{LimitId, LoanGrant, LoanMessage, LoanRequest, MAX_LOAN_ENTRIES};

use super::Limiter;
use crate::borrowing::{Holding, PlanContext};
use crate::limit_table::LimitState;
use crate::loan::Loan;
use crate::settings::LimiterSettings;
use crate::share::{Borrower, is_return, is_starved};
use crate::shares::{MILLIS_PER_TOKEN, ShareLimit};

impl Limiter {
    /// Returns all loans and hands off all shares before a planned stop. The host
    /// list should already mark this host as leaving.
    pub fn hand_off(&mut self) -> Vec<Outgoing<LoanMessage>> {
        let now = self.now();
        let mut out = self.hand_off_shares(now);
        let mut requests = BTreeMap::new();
        let settings = Arc::clone(&self.settings);
        let valid_until = self.list_lease.valid_until();
        for index in std::mem::take(&mut self.active) {
            let state = self.table.get_mut(index);
            let ctx = plan_context(state, self.local_share, valid_until, now, &settings);
            let Some(mut borrowing) = state.borrowing.take() else {
                continue;
            };
            collect(&mut requests, borrowing.return_all(ctx, &mut self.seq));
        }
        out.extend(into_requests(requests));
        out
    }

    pub(super) fn lend(
        &mut self,
        from: &HostId,
        incarnation: u64,
        requests: &[LoanRequest],
        now: Instant,
    ) -> Vec<Outgoing<LoanMessage>> {
        let mut grants = Vec::new();
        let mut recalls = BTreeMap::new();
        for request in requests {
            let Some(grant) = self.lend_one(from, incarnation, request, now) else {
                continue;
            };
            if is_starved(request, &grant) {
                collect(&mut recalls, self.recall(request.limit, from, now));
            }
            grants.push(grant);
        }
        let mut out = into_recalls(recalls);
        if !grants.is_empty() {
            out.push(Outgoing {
                to: from.clone(),
                message: LoanMessage::Grants(grants),
            });
        }
        out
    }

    /// Chooses the host that should return a token, for a host whose requests wait.
    fn recall(
        &mut self,
        limit: LimitId,
        waiting_host: &HostId,
        now: Instant,
    ) -> Vec<(HostId, LimitId)> {
        let Some(index) = self.table.by_id(limit) else {
            return Vec::new();
        };
        let share = self.table.get_mut(index).role.share_mut();
        let host = share.and_then(|share| share.recall(waiting_host, now));
        host.into_iter().map(|host| (host, limit)).collect()
    }

    /// Builds the requests that return recalled tokens held ahead of demand,
    /// unless they are needed here.
    pub(super) fn return_loans(
        &mut self,
        to: &HostId,
        limits: &[LimitId],
        now: Instant,
    ) -> Vec<Outgoing<LoanMessage>> {
        let mut requests = BTreeMap::new();
        let settings = Arc::clone(&self.settings);
        let valid_until = self.list_lease.valid_until();
        for limit in limits {
            let Some(index) = self.table.by_id(*limit) else {
                continue;
            };
            let state = self.table.get_mut(index);
            let ctx = plan_context(state, self.local_share, valid_until, now, &settings);
            let Some(borrowing) = &mut state.borrowing else {
                continue;
            };
            collect(&mut requests, borrowing.return_to(to, ctx, &mut self.seq));
        }
        into_requests(requests)
    }

    pub(super) fn lend_one(
        &mut self,
        from: &HostId,
        incarnation: u64,
        request: &LoanRequest,
        now: Instant,
    ) -> Option<LoanGrant> {
        let valid_until = self.list_lease.valid_until();
        let state = self.table.get_mut(self.table.by_id(request.limit)?);
        let share = state.role.spendable(now, valid_until)?;
        let borrowing = state.borrowing.as_ref();
        let borrower = Borrower {
            host: from,
            incarnation,
            lender_demand_millis_per_s: borrowing
                .map_or(0, |borrowing| borrowing.demand_millis_per_s(now)),
            now,
        };
        if !share.reconcile(request, borrower) {
            return None;
        }
        if request.terms != state.terms || is_return(request) {
            return None;
        }
        let grant = share.lend(request, borrower, &self.settings);
        let (tokens, rate) = (grant.added_tokens_millis, grant.rate_millis_per_s);
        log::debug!(
            "limits: {} lends {tokens} millitokens and {rate} millitokens/s to {from}",
            state.key
        );
        Some(grant)
    }

    pub(super) fn accept_grants(&mut self, from: &HostId, grants: &[LoanGrant], now: Instant) {
        for grant in grants {
            let Some(index) = self.table.by_id(grant.limit) else {
                continue;
            };
            let state = self.table.get_mut(index);
            let (true, Some(borrowing)) = (state.terms == grant.terms, &mut state.borrowing) else {
                continue;
            };
            let lender = |loan: &&mut Loan| loan.lender() == Some(from);
            let Some(loan) = borrowing.loans_mut().iter_mut().find(lender) else {
                continue;
            };
            loan.accept(grant, now);
            log::debug!("limits: {} has a loan from {from}", state.key);
        }
    }

    pub(super) fn borrow_ahead(&mut self, now: Instant) -> Vec<Outgoing<LoanMessage>> {
        let mut requests = BTreeMap::new();
        let mut recalls = BTreeMap::new();
        let settings = Arc::clone(&self.settings);
        let valid_until = self.list_lease.valid_until();
        for index in std::mem::take(&mut self.active) {
            let state = self.table.get_mut(index);
            let ctx = plan_context(state, self.local_share, valid_until, now, &settings);
            let Some(borrowing) = &mut state.borrowing else {
                continue;
            };
            if borrowing.is_idle(now, &self.settings) {
                state.borrowing = None;
                continue;
            }
            if borrowing.list_version() != self.holders.version() {
                let lenders = self.holders.of_all(&state.key, &self.self_id);
                borrowing.set_lenders(self.holders.version(), &lenders, now);
            }
            if borrowing.has_waiting() && ctx.own.tokens_millis < MILLIS_PER_TOKEN {
                let share = state.role.share_mut();
                let host = share.and_then(|share| share.recall(&self.self_id, now));
                collect(&mut recalls, host.map(|host| (host, state.id)));
            }
            collect(&mut requests, borrowing.plan(ctx, &mut self.seq));
            self.active.push(index);
        }
        let mut out = into_recalls(recalls);
        out.extend(into_requests(requests));
        out
    }
}

fn plan_context<'a>(
    state: &mut LimitState,
    local_share: Option<usize>,
    valid_until: Option<Instant>,
    now: Instant,
    settings: &'a LimiterSettings,
) -> PlanContext<'a> {
    let own = state.role.spendable(now, valid_until).map(|share| {
        share.advance_to(now);
        let mut own = Holding::default();
        own.add(share.bucket());
        own.capacity_millis = own.tokens_millis;
        own
    });
    let share_capacity_millis = ShareLimit::of(state.limit, 0, settings).capacity_millis;
    PlanContext {
        limit: state.id,
        terms: state.terms,
        local_share: local_share.unwrap_or_default(),
        share_capacity_millis,
        own: own.unwrap_or_default(),
        now,
        settings,
    }
}

fn collect<E>(
    by_host: &mut BTreeMap<HostId, Vec<E>>,
    entries: impl IntoIterator<Item = (HostId, E)>,
) {
    for (host, entry) in entries {
        by_host.entry(host).or_default().push(entry);
    }
}

fn into_recalls(by_host: BTreeMap<HostId, Vec<LimitId>>) -> Vec<Outgoing<LoanMessage>> {
    let mut out = Vec::new();
    for (to, limits) in by_host {
        for chunk in limits.chunks(MAX_LOAN_ENTRIES) {
            out.push(Outgoing {
                to: to.clone(),
                message: LoanMessage::Recalls(chunk.to_vec()),
            });
        }
    }
    out
}

fn into_requests(by_host: BTreeMap<HostId, Vec<LoanRequest>>) -> Vec<Outgoing<LoanMessage>> {
    let mut out = Vec::new();
    for (to, requests) in by_host {
        for chunk in requests.chunks(MAX_LOAN_ENTRIES) {
            out.push(Outgoing {
                to: to.clone(),
                message: LoanMessage::Requests(chunk.to_vec()),
            });
        }
    }
    out
}
