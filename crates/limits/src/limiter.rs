//! One host's limiter: spends, borrows and lends tokens.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use waxwingusher_config::model::Snapshot;
use waxwingusher_core::{Clock, HostId, HostList, RouteName, WorkspaceName};
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::loan::{
    LoanGrant, LoanMessage, LoanRequest, MAX_LOAN_ENTRIES, ShareTransfer,
};

use crate::authority::Authority;
use crate::decision::{LimitReport, LimiterReport, RefusalCounts, RefusalReason, SpendDecision};
use crate::holders::Holders;
use crate::limit_key::LimitKey;
use crate::limit_table::{LimitIndex, LimitState, LimitTable};
use crate::loan_part::LoanPart;
use crate::role::Role;
use crate::settings::LimiterSettings;
use crate::share::{Borrower, Share, is_return};
use crate::shares::ShareLimit;
use crate::stock::{Holding, PlanContext, Stock};

/// How far the wall clock may run ahead of the monotonic one between two
/// calls before the machine counts as having been suspended.
const SUSPENSION_SLACK: Duration = Duration::from_secs(1);
/// The shortest time between two offers of a share.
const OFFER_INTERVAL: Duration = Duration::from_millis(100);
/// The number of a query whose answer is no evidence on the host list.
const OFFER_SEQ: u32 = 0;
/// The shortest time that a refused caller is told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// What was last heard of another host.
#[derive(Debug, Clone, Copy)]
struct Peer {
    incarnation: u64,
    heard_at: Instant,
}

/// One host's share of the work that keeps every rate and burst over the
/// whole fleet. It neither reads sockets nor starts threads.
pub struct Limiter {
    self_id: HostId,
    incarnation: u64,
    clock: Arc<dyn Clock>,
    settings: Arc<LimiterSettings>,
    rng: fastrand::Rng,
    started_at: Instant,
    opening: Option<Instant>,
    last_seen: (Instant, SystemTime),
    authority: Authority,
    holders: Holders,
    near_share: Option<usize>,
    table: LimitTable,
    active: Vec<LimitIndex>,
    waiting: Vec<LimitIndex>,
    leaving: Vec<LimitIndex>,
    peers: HashMap<HostId, Peer>,
    offered_at: Instant,
    early_transfers: Vec<(HostId, ShareTransfer)>,
    snapshot_version: u64,
    seq: u32,
    refusals: RefusalCounts,
}

impl Limiter {
    /// Creates the limiter of a process that has just started.
    #[must_use]
    pub fn new(
        self_id: HostId,
        incarnation: u64,
        clock: Arc<dyn Clock>,
        settings: LimiterSettings,
    ) -> Self {
        let now = clock.now();
        let opens_in = settings.opened_at.map(|at| at.duration_since(clock.wall()));
        let opening = opens_in.and_then(Result::ok).map(|wait| now + wait);
        Self {
            authority: Authority::new(self_id.clone(), now),
            self_id,
            incarnation,
            last_seen: (now, clock.wall()),
            clock,
            settings: Arc::new(settings),
            rng: fastrand::Rng::with_seed(incarnation),
            started_at: now,
            opening,
            holders: Holders::default(),
            near_share: None,
            table: LimitTable::default(),
            active: Vec::new(),
            waiting: Vec::new(),
            leaving: Vec::new(),
            peers: HashMap::new(),
            offered_at: now,
            early_transfers: Vec::new(),
            snapshot_version: 0,
            seq: 0,
            refusals: RefusalCounts::default(),
        }
    }

    /// Takes a newer configuration.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        let now = self.now();
        if snapshot.version <= self.snapshot_version {
            return;
        }
        self.snapshot_version = snapshot.version;
        self.table
            .apply(snapshot, self.near_share, now, &self.settings);
        self.place_shares(now, true);
    }

    /// Takes a newer host list.
    pub fn apply_host_list(&mut self, list: &HostList) {
        let now = self.now();
        let former = self.authority.list().version;
        let unbroken = list.version == former + 1 || self.authority.is_valid(now);
        if !self.authority.adopt(list, now) {
            return;
        }
        self.holders = Holders::new(list, &self.settings.share_domains);
        let domain = self.authority.domain();
        let domains = &self.settings.share_domains;
        let near = domain.and_then(|domain| domains.iter().position(|other| other == domain));
        if near.is_some() {
            self.near_share = near;
        }
        self.place_shares(now, unbroken);
        self.accept_early_transfers(now);
    }

    /// Records a read of the host list that was started at an instant and
    /// returned this version. Call it after [`Self::apply_host_list`].
    pub fn confirm_host_list(&mut self, version: u64, started_at: Instant) {
        self.authority.confirm(version, started_at, &self.settings);
    }

    /// Spends a token of a workspace.
    pub fn spend(&mut self, workspace: &WorkspaceName) -> SpendDecision {
        match self.table.workspace(workspace) {
            Some(index) => self.spend_new(index),
            None => self.refuse_unknown(),
        }
    }

    /// Spends a token of an open route.
    pub fn spend_open(&mut self, route: &RouteName) -> SpendDecision {
        match self.table.route(route) {
            Some(index) => self.spend_new(index),
            None => self.refuse_unknown(),
        }
    }

    /// Tries again for a request that was told to wait.
    pub fn spend_waiting(&mut self, key: &LimitKey, until: Instant) -> SpendDecision {
        let Some(index) = self.table.find(key) else {
            return self.refuse_unknown();
        };
        let now = self.now();
        self.spend_at(index, now, until)
    }

    /// Takes a message of a peer and returns the answers.
    pub fn on_message(
        &mut self,
        from: &HostId,
        incarnation: u64,
        message: LoanMessage,
    ) -> Vec<Outgoing<LoanMessage>> {
        let now = self.now();
        let peer = Peer {
            incarnation,
            heard_at: now,
        };
        self.peers.insert(from.clone(), peer);
        match message {
            LoanMessage::Requests(requests) => self.lend(from, incarnation, &requests, now),
            LoanMessage::Grants(grants) => {
                self.accept_grants(from, &grants, now);
                Vec::new()
            }
            LoanMessage::Transfers(transfers) => {
                for transfer in transfers {
                    self.accept_transfer(from, &transfer, now);
                }
                Vec::new()
            }
            LoanMessage::ListQuery { seq } => vec![Outgoing {
                to: from.clone(),
                message: self.authority.answer(seq, now),
            }],
            LoanMessage::ListWord(word) => {
                self.authority.on_word(from, word, &self.settings);
                Vec::new()
            }
        }
    }

    /// Renews loans, borrows ahead of demand and moves shares. Call it every
    /// 10 to 50 ms, and soon after [`SpendDecision::Wait`].
    pub fn tick(&mut self) -> Vec<Outgoing<LoanMessage>> {
        let now = self.now();
        self.take_over(now);
        let mut out = self.give_shares(now);
        out.extend(self.borrow_ahead(now));
        let taking_over = !self.waiting.is_empty();
        out.extend(
            self.authority
                .queries(now, taking_over, &self.settings, &mut self.rng),
        );
        out
    }

    /// Gives all loans back and all shares on, before a planned stop. The host
    /// list should already call this host leaving.
    pub fn hand_over(&mut self) -> Vec<Outgoing<LoanMessage>> {
        let now = self.now();
        let mut out = self.give_shares(now);
        let mut requests = BTreeMap::new();
        let settings = Arc::clone(&self.settings);
        let valid_until = self.authority.valid_until();
        for index in std::mem::take(&mut self.active) {
            let state = self.table.get_mut(index);
            let ctx = plan_context(state, self.near_share, valid_until, now, &settings);
            let Some(mut stock) = state.stock.take() else {
                continue;
            };
            collect(&mut requests, stock.give_back(ctx, &mut self.seq));
        }
        out.extend(into_requests(requests));
        out
    }

    /// Returns what operators want to see.
    #[must_use]
    pub fn report(&self) -> LimiterReport {
        let now = self.clock.now();
        let used = |state: &&LimitState| state.stock.is_some() || state.role.share().is_some();
        LimiterReport {
            list_version: self.authority.list().version,
            rights_in_force: self.authority.is_valid(now),
            waiting_shares: self.waiting.len(),
            refusals: self.refusals,
            limits: self
                .table
                .iter()
                .filter(used)
                .map(|state| report_limit(state, now, self.authority.valid_until()))
                .collect(),
        }
    }

    /// Returns the time, and gives up long-held rights if the machine has been
    /// suspended.
    fn now(&mut self) -> Instant {
        let now = self.clock.now();
        let wall = self.clock.wall();
        let (last_now, last_wall) = self.last_seen;
        self.last_seen = (now, wall);
        let counted = now.saturating_duration_since(last_now);
        let passed = wall.duration_since(last_wall).unwrap_or_default();
        if passed > counted + SUSPENSION_SLACK {
            log::warn!("limits: machine was suspended for about {passed:?}, rights are given up");
            self.authority.revoke();
            for index in std::mem::take(&mut self.active) {
                self.table.get_mut(index).stock = None;
            }
        }
        now
    }

    fn spend_new(&mut self, index: LimitIndex) -> SpendDecision {
        let now = self.now();
        let shares = self.settings.share_domains.len();
        let state = self.table.get_mut(index);
        if state.stock.is_none() {
            self.active.push(index);
        }
        let stock = state
            .stock
            .get_or_insert_with(|| Box::new(Stock::new(shares, now)));
        stock.demand_mut().record(now);
        self.spend_at(index, now, now + self.settings.loan_wait)
    }

    fn spend_at(&mut self, index: LimitIndex, now: Instant, until: Instant) -> SpendDecision {
        let valid_until = self.authority.valid_until();
        let state = self.table.get_mut(index);
        let Some(stock) = &mut state.stock else {
            return self.refuse(index, Duration::ZERO, RefusalReason::NoLender);
        };
        let share = state.role.spendable(now, valid_until);
        if stock.take(share, now) {
            state.is_refusing = false;
            return SpendDecision::Spent;
        }
        let own_refill = state
            .role
            .spendable(now, valid_until)
            .map(|share| now + share.next_token());
        if stock.list_version() != self.holders.version() {
            let lenders = self.holders.of_all(&state.key, &self.self_id);
            stock.set_lenders(self.holders.version(), &lenders, now);
        }
        let chances = [stock.next_chance(now, &self.settings), own_refill];
        let Some(chance) = chances.into_iter().flatten().min() else {
            return self.refuse(index, self.settings.loan_wait, RefusalReason::NoLender);
        };
        if chance < until && now < until {
            stock.add_waiting();
            return SpendDecision::Wait(until);
        }
        let reason = if own_refill.is_some() || stock.has_answer() {
            RefusalReason::RateExceeded
        } else {
            RefusalReason::NoLender
        };
        self.refuse(index, chance.saturating_duration_since(now), reason)
    }

    fn refuse(
        &mut self,
        index: LimitIndex,
        retry_after: Duration,
        reason: RefusalReason,
    ) -> SpendDecision {
        let state = self.table.get_mut(index);
        if !state.is_refusing {
            log::info!("limits: {} is refused, {reason}", state.key);
        }
        state.is_refusing = true;
        self.refusals.count(reason);
        SpendDecision::Refused {
            retry_after: retry_after.max(MIN_RETRY_AFTER),
            reason,
        }
    }

    fn refuse_unknown(&mut self) -> SpendDecision {
        self.refusals.count(RefusalReason::UnknownLimit);
        SpendDecision::Refused {
            retry_after: self.settings.loan_wait,
            reason: RefusalReason::UnknownLimit,
        }
    }

    fn lend(
        &mut self,
        from: &HostId,
        incarnation: u64,
        requests: &[LoanRequest],
        now: Instant,
    ) -> Vec<Outgoing<LoanMessage>> {
        let mut grants = Vec::new();
        for request in requests {
            grants.extend(self.lend_one(from, incarnation, request, now));
        }
        if grants.is_empty() {
            return Vec::new();
        }
        vec![Outgoing {
            to: from.clone(),
            message: LoanMessage::Grants(grants),
        }]
    }

    fn lend_one(
        &mut self,
        from: &HostId,
        incarnation: u64,
        request: &LoanRequest,
        now: Instant,
    ) -> Option<LoanGrant> {
        let valid_until = self.authority.valid_until();
        let state = self.table.get_mut(self.table.by_id(request.limit)?);
        let share = state.role.spendable(now, valid_until)?;
        let stock = state.stock.as_ref();
        let borrower = Borrower {
            host: from,
            incarnation,
            lender_demand_millis_per_s: stock.map_or(0, |stock| stock.demand_millis_per_s(now)),
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
            "limits: {} lends {from} {tokens} millitokens and {rate} milli/s",
            state.key
        );
        Some(grant)
    }

    fn accept_grants(&mut self, from: &HostId, grants: &[LoanGrant], now: Instant) {
        for grant in grants {
            let Some(index) = self.table.by_id(grant.limit) else {
                continue;
            };
            let state = self.table.get_mut(index);
            let (true, Some(stock)) = (state.terms == grant.terms, &mut state.stock) else {
                continue;
            };
            let lender = |part: &&mut LoanPart| part.lender() == Some(from);
            let Some(part) = stock.parts_mut().iter_mut().find(lender) else {
                continue;
            };
            part.accept(grant, now);
            log::debug!("limits: {} has a loan from {from}", state.key);
        }
    }

    fn accept_transfer(&mut self, from: &HostId, transfer: &ShareTransfer, now: Instant) {
        if transfer.to_incarnation != self.incarnation {
            return;
        }
        let version = self.authority.list().version;
        if transfer.list_version > version && self.early_transfers.len() < u16::MAX.into() {
            self.early_transfers.push((from.clone(), transfer.clone()));
            return;
        }
        let (Some(index), Some(near)) = (self.table.by_id(transfer.limit), self.near_share) else {
            return;
        };
        let state = self.table.get_mut(index);
        if transfer.list_version != version || !matches!(state.role, Role::Waiting) {
            return;
        }
        let limit = ShareLimit::of(state.limit, near, &self.settings);
        let share = Share::transferred(limit, transfer, from, now, &self.settings);
        log::info!("limits: {} is held here, given by {from}", state.key);
        state.role = Role::Holder(Box::new(share));
        self.waiting.retain(|other| *other != index);
    }

    fn accept_early_transfers(&mut self, now: Instant) {
        for (from, transfer) in std::mem::take(&mut self.early_transfers) {
            self.accept_transfer(&from, &transfer, now);
        }
    }

    /// Sets the role for each limit under the current list. `unbroken` tells
    /// whether no other host can have been a holder under a list that this
    /// host has missed.
    fn place_shares(&mut self, now: Instant, unbroken: bool) {
        let until = self.authority.valid_until();
        self.waiting.clear();
        self.leaving.clear();
        let in_list = self.authority.domain().is_some();
        let Some(near) = self.near_share else {
            return;
        };
        for (index, state) in self.table.iter_mut() {
            let holder = self.holders.of_share(&state.key, near);
            let is_self = in_list && holder == Some(&self.self_id);
            let role = std::mem::take(&mut state.role);
            let was_holder = matches!(role, Role::Holder(_));
            let until = until.filter(|until| now < *until);
            state.role = match holder.filter(|_| !is_self) {
                None if is_self => role.named(now, unbroken),
                to => role.not_named(now, until, to),
            };
            match &state.role {
                Role::Waiting => self.waiting.push(index),
                Role::Leaving(_) => self.leaving.push(index),
                Role::Borrower if was_holder => {
                    log::info!("limits: {} is no longer held here", state.key);
                }
                Role::Borrower | Role::Holder(_) => {}
            }
        }
    }

    /// Starts shares whose former holders have certainly stopped.
    fn take_over(&mut self, now: Instant) {
        let Some(near) = self.near_share else {
            return;
        };
        if self.waiting.is_empty() {
            return;
        }
        let is_settled = now >= self.started_at + self.settings.quarantine()
            && self.authority.may_take_over(now, &self.settings);
        if !is_settled && !self.opens_now(now) {
            return;
        }
        for index in std::mem::take(&mut self.waiting) {
            let state = self.table.get_mut(index);
            let limit = ShareLimit::of(state.limit, near, &self.settings);
            log::info!(
                "limits: {} is held here, former holder has stopped",
                state.key
            );
            state.role = Role::Holder(Box::new(Share::new(limit, now)));
        }
    }

    /// Reports whether the fleet opens for the first time, so that no share
    /// has a former holder.
    fn opens_now(&self, now: Instant) -> bool {
        self.opening.is_some_and(|opening| {
            self.authority.is_valid(now) && self.authority.stood_at(opening, &self.settings)
        })
    }

    /// Gives shares to their next holders, as soon as these have been heard of
    /// and so their present incarnation is known.
    fn give_shares(&mut self, now: Instant) -> Vec<Outgoing<LoanMessage>> {
        let list_version = self.authority.list().version;
        let mut out = Vec::new();
        for index in std::mem::take(&mut self.leaving) {
            let state = self.table.get_mut(index);
            let Role::Leaving(leaving) = &mut state.role else {
                continue;
            };
            if now >= leaving.until {
                log::info!("limits: {} is no longer held here", state.key);
                state.role = Role::Borrower;
                continue;
            }
            let to = leaving.to.as_ref();
            let Some((to, peer)) = to.and_then(|to| self.peers.get_key_value(to)) else {
                self.leaving.push(index);
                continue;
            };
            if peer.heard_at <= leaving.since {
                self.leaving.push(index);
                continue;
            }
            log::info!("limits: {} is given to {to}", state.key);
            let share = &mut leaving.share;
            let transfer = share.transfer(state.id, list_version, peer.incarnation, now);
            out.push(Outgoing {
                to: to.clone(),
                message: LoanMessage::Transfers(vec![transfer]),
            });
            state.role = Role::Borrower;
        }
        out.extend(self.offers(now));
        out
    }

    /// Makes the next holders of shares send their present incarnation.
    fn offers(&mut self, now: Instant) -> Vec<Outgoing<LoanMessage>> {
        if self.leaving.is_empty() || now < self.offered_at + OFFER_INTERVAL {
            return Vec::new();
        }
        self.offered_at = now;
        let mut receivers = BTreeSet::new();
        for index in &self.leaving {
            let Role::Leaving(leaving) = &self.table.get(*index).role else {
                continue;
            };
            receivers.extend(leaving.to.clone());
        }
        let query = |to| Outgoing {
            to,
            message: LoanMessage::ListQuery { seq: OFFER_SEQ },
        };
        receivers.into_iter().map(query).collect()
    }

    fn borrow_ahead(&mut self, now: Instant) -> Vec<Outgoing<LoanMessage>> {
        let mut requests = BTreeMap::new();
        let settings = Arc::clone(&self.settings);
        let valid_until = self.authority.valid_until();
        for index in std::mem::take(&mut self.active) {
            let state = self.table.get_mut(index);
            let ctx = plan_context(state, self.near_share, valid_until, now, &settings);
            let Some(stock) = &mut state.stock else {
                continue;
            };
            if stock.is_idle(now, &self.settings) {
                state.stock = None;
                continue;
            }
            if stock.list_version() != self.holders.version() {
                let lenders = self.holders.of_all(&state.key, &self.self_id);
                stock.set_lenders(self.holders.version(), &lenders, now);
            }
            collect(&mut requests, stock.plan(ctx, &mut self.seq));
            self.active.push(index);
        }
        into_requests(requests)
    }
}

fn plan_context<'a>(
    state: &mut LimitState,
    near_share: Option<usize>,
    valid_until: Option<Instant>,
    now: Instant,
    settings: &'a LimiterSettings,
) -> PlanContext<'a> {
    let own = state.role.spendable(now, valid_until).map(|share| {
        share.settle(now);
        let mut own = Holding::default();
        own.add(share.bucket());
        own.room_millis = own.tokens_millis;
        own
    });
    let share_room_millis = ShareLimit::of(state.limit, 0, settings).room_millis;
    PlanContext {
        limit: state.id,
        terms: state.terms,
        near_share: near_share.unwrap_or_default(),
        share_room_millis,
        own: own.unwrap_or_default(),
        now,
        settings,
    }
}

fn report_limit(state: &LimitState, now: Instant, valid_until: Option<Instant>) -> LimitReport {
    let share = state.role.share();
    let spendable = share.filter(|_| state.role.is_spendable(now, valid_until));
    let stock = state.stock.as_ref();
    let borrowed = stock.map(|stock| stock.borrowed(now)).unwrap_or_default();
    LimitReport {
        key: state.key.clone(),
        is_holder: matches!(state.role, Role::Holder(_)),
        share_tokens_millis: spendable.map_or(0, |share| share.bucket().tokens_millis()),
        share_rate_millis_per_s: spendable.map_or(0, |share| share.bucket().rate_millis_per_s()),
        lent_room_millis: share.map_or(0, Share::lent_room_millis),
        lent_rate_millis_per_s: share.map_or(0, Share::lent_rate_millis_per_s),
        borrowers: share.map_or(0, Share::borrowers),
        borrowed_tokens_millis: borrowed.tokens_millis,
        borrowed_rate_millis_per_s: borrowed.rate_millis_per_s,
        demand_millis_per_s: stock.map_or(0, |stock| stock.demand_millis_per_s(now)),
    }
}

fn collect<E>(by_host: &mut BTreeMap<HostId, Vec<E>>, entries: Vec<(HostId, E)>) {
    for (host, entry) in entries {
        by_host.entry(host).or_default().push(entry);
    }
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
