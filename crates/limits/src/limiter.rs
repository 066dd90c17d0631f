//! The limiter of one host, which spends, borrows and lends tokens.

mod hand_off;
mod loans;
mod reports;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_config::model::Snapshot;
use waxwingusher_core::{Clock, HostId, HostList, RouteName, SuspensionDetector, WorkspaceName};
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::loan::{LoanMessage, ShareTransfer};

use reports::report_limit;

use crate::borrowing::Borrowing;
use crate::decision::{LimiterReport, RefusalCounts, RefusalReason, SpendDecision};
use crate::holders::Holders;
use crate::limit_key::LimitKey;
use crate::limit_table::{LimitIndex, LimitState, LimitTable};
use crate::list_lease::ListLease;
use crate::settings::LimiterSettings;

/// The shortest time between two queries for the incarnation of a next holder.
const INCARNATION_QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// The number of a query whose reply is no evidence on the host list.
const INCARNATION_QUERY_SEQ: u32 = 0;
/// The shortest `retry_after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The process of another host that sent its last message, and when it arrived.
#[derive(Debug, Clone, Copy)]
struct Peer {
    incarnation: u64,
    received_at: Instant,
}

/// One host's part in enforcing every rate and burst over the whole fleet. It
/// neither reads sockets nor starts threads.
pub struct Limiter {
    self_id: HostId,
    incarnation: u64,
    clock: Arc<dyn Clock>,
    settings: Arc<LimiterSettings>,
    rng: fastrand::Rng,
    started_at: Instant,
    opens_at: Option<Instant>,
    suspension: SuspensionDetector,
    list_lease: ListLease,
    holders: Holders,
    local_share: Option<usize>,
    table: LimitTable,
    active: Vec<LimitIndex>,
    waiting_shares: Vec<LimitIndex>,
    handing_off: Vec<LimitIndex>,
    peers: HashMap<HostId, Peer>,
    incarnations_queried_at: Instant,
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
        let opens_at = opens_in.and_then(Result::ok).map(|wait| now + wait);
        Self {
            list_lease: ListLease::new(self_id.clone(), now),
            self_id,
            incarnation,
            suspension: SuspensionDetector::new(&*clock),
            clock,
            settings: Arc::new(settings),
            rng: fastrand::Rng::with_seed(incarnation),
            started_at: now,
            opens_at,
            holders: Holders::default(),
            local_share: None,
            table: LimitTable::default(),
            active: Vec::new(),
            waiting_shares: Vec::new(),
            handing_off: Vec::new(),
            peers: HashMap::new(),
            incarnations_queried_at: now,
            early_transfers: Vec::new(),
            snapshot_version: 0,
            seq: 0,
            refusals: RefusalCounts::default(),
        }
    }

    /// Applies a configuration if it is newer.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        let now = self.now();
        if snapshot.version <= self.snapshot_version {
            return;
        }
        self.snapshot_version = snapshot.version;
        self.table
            .apply(snapshot, self.local_share, now, &self.settings);
        self.assign_roles(now, true);
        self.accept_early_transfers(now);
    }

    /// Applies a host list if it is newer.
    pub fn apply_host_list(&mut self, list: &HostList) {
        let now = self.now();
        let former = self.list_lease.list().version;
        let is_continuous = list.version == former + 1 || self.list_lease.is_valid(now);
        if !self.list_lease.adopt(list, now) {
            return;
        }
        self.holders = Holders::new(list, &self.settings.share_domains);
        let domain = self.list_lease.domain();
        let domains = &self.settings.share_domains;
        let local = domain.and_then(|domain| domains.iter().position(|other| other == domain));
        if local.is_some() {
            self.local_share = local;
        }
        self.assign_roles(now, is_continuous);
        self.accept_early_transfers(now);
    }

    /// Records a read of the host list that was started at an instant and
    /// returned this version. Call it after [`Self::apply_host_list`].
    pub fn confirm_host_list(&mut self, version: u64, started_at: Instant) {
        self.list_lease
            .confirm_read(version, started_at, &self.settings);
    }

    /// Spends a token of a workspace.
    pub fn spend(&mut self, workspace: &WorkspaceName) -> SpendDecision {
        match self.table.workspace(workspace) {
            Some(index) => self.spend_new(index),
            None => self.refuse_unknown(),
        }
    }

    /// Spends a token of an open route.
    pub fn spend_open_route(&mut self, route: &RouteName) -> SpendDecision {
        match self.table.route(route) {
            Some(index) => self.spend_new(index),
            None => self.refuse_unknown(),
        }
    }

    /// Retries for a request after [`SpendDecision::Wait`].
    pub fn spend_waiting(&mut self, key: &LimitKey, until: Instant) -> SpendDecision {
        let Some(index) = self.table.find(key) else {
            return self.refuse_unknown();
        };
        let now = self.now();
        self.spend_at(index, now, until)
    }

    /// Handles a message of a peer and returns the messages to send.
    pub fn on_message(
        &mut self,
        from: &HostId,
        incarnation: u64,
        message: LoanMessage,
    ) -> Vec<Outgoing<LoanMessage>> {
        let now = self.now();
        let peer = Peer {
            incarnation,
            received_at: now,
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
            LoanMessage::Recalls(limits) => self.return_loans(from, &limits, now),
            LoanMessage::ListQuery { seq } => vec![Outgoing {
                to: from.clone(),
                message: self.list_lease.report(seq, now),
            }],
            LoanMessage::ListReport(report) => {
                self.list_lease.record_report(from, report, &self.settings);
                Vec::new()
            }
        }
    }

    /// Renews loans, borrows ahead of demand and hands off shares. Call it every
    /// 10 to 50 ms, and soon after [`SpendDecision::Wait`].
    pub fn tick(&mut self) -> Vec<Outgoing<LoanMessage>> {
        let now = self.now();
        self.take_over(now);
        let mut out = self.hand_off_shares(now);
        out.extend(self.borrow_ahead(now));
        let is_taking_over = !self.waiting_shares.is_empty();
        out.extend(
            self.list_lease
                .queries(now, is_taking_over, &self.settings, &mut self.rng),
        );
        out
    }

    /// Returns the state for operators.
    #[must_use]
    pub fn report(&self) -> LimiterReport {
        let now = self.clock.now();
        let used = |state: &&LimitState| state.borrowing.is_some() || state.role.share().is_some();
        LimiterReport {
            list_version: self.list_lease.list().version,
            has_valid_rights: self.list_lease.is_valid(now),
            waiting_shares: self.waiting_shares.len(),
            refusals: self.refusals,
            limits: self
                .table
                .iter()
                .filter(used)
                .map(|state| report_limit(state, now, self.list_lease.valid_until()))
                .collect(),
        }
    }

    /// Returns the time. If the machine has been suspended, first discards the
    /// evidence on the host list and all loans, whose terms may be over.
    fn now(&mut self) -> Instant {
        let now = self.clock.now();
        if let Some(passed) = self.suspension.check(&*self.clock) {
            log::warn!(
                "limits: machine was suspended for about {passed:?}, discarding rights and loans"
            );
            self.list_lease.revoke();
            for index in std::mem::take(&mut self.active) {
                self.table.get_mut(index).borrowing = None;
            }
        }
        now
    }

    fn spend_new(&mut self, index: LimitIndex) -> SpendDecision {
        let now = self.now();
        let shares = self.settings.share_domains.len();
        let state = self.table.get_mut(index);
        if state.borrowing.is_none() {
            self.active.push(index);
        }
        let borrowing = state
            .borrowing
            .get_or_insert_with(|| Box::new(Borrowing::new(shares, now)));
        borrowing.demand_mut().record(now);
        self.spend_at(index, now, now + self.settings.loan_wait)
    }

    fn spend_at(&mut self, index: LimitIndex, now: Instant, until: Instant) -> SpendDecision {
        let valid_until = self.list_lease.valid_until();
        let state = self.table.get_mut(index);
        let Some(borrowing) = &mut state.borrowing else {
            return self.refuse(index, Duration::ZERO, RefusalReason::NoLender);
        };
        let share = state.role.spendable(now, valid_until);
        if borrowing.take(share, now) {
            state.is_refusing = false;
            return SpendDecision::Spent;
        }
        let own_refill = state
            .role
            .spendable(now, valid_until)
            .map(|share| now + share.time_to_next_token());
        if borrowing.list_version() != self.holders.version() {
            let lenders = self.holders.of_all(&state.key, &self.self_id);
            borrowing.set_lenders(self.holders.version(), &lenders, now);
        }
        let candidates = [borrowing.earliest_token_at(now, &self.settings), own_refill];
        let Some(token_at) = candidates.into_iter().flatten().min() else {
            return self.refuse(index, self.settings.loan_wait, RefusalReason::NoLender);
        };
        if token_at < until && now < until {
            borrowing.add_waiting();
            return SpendDecision::Wait(until);
        }
        let reason = if own_refill.is_some() || borrowing.has_answer() {
            RefusalReason::RateExceeded
        } else {
            RefusalReason::NoLender
        };
        self.refuse(index, token_at.saturating_duration_since(now), reason)
    }

    fn refuse(
        &mut self,
        index: LimitIndex,
        retry_after: Duration,
        reason: RefusalReason,
    ) -> SpendDecision {
        let state = self.table.get_mut(index);
        if !state.is_refusing {
            log::info!("limits: refusing requests of {}: {reason}", state.key);
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
}
