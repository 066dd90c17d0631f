//! What a host sends to its peers, and how it applies their messages.
//!
//! Peers in the local failure domain get each change within milliseconds. Traffic
//! between failure domains is expensive, so one random host of each remote domain
//! gets the report and relays it to its neighbours: failures at once, the rest
//! with the next heartbeat. In a large domain, collectors distribute the reports;
//! see [`waxwingusher_membership::seeded::collector`].

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use waxwingusher_membership::seeded::collector::{CollectorLink, Gatherer, MAX_DIRECT_NEIGHBOURS};
use waxwingusher_membership::seeded::fanout::FeedView;
use waxwingusher_membership::seeded::{
    FeedUpdate, HostReport, InstanceRateLimit, LeavingNotice, Outgoing, PeerMessage, PeerStatus,
    RateLimitNotice, ReportBatch,
};

use crate::feed::{self, ChangeSource};
use crate::feed_exchange::{FeedContext, FeedExchange};
use crate::permits;
use crate::reports::{PeerRecord, ReportBuilder, apply_report};
use crate::state::State;

/// The shortest time for which changes are batched before they are sent to
/// neighbours.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(4);
/// The rate of datagrams to neighbours above which the batch delay grows, so that
/// a host of a large failure domain does not spend its processor on them.
const MAX_LOCAL_DATAGRAMS_PER_S: u32 = 2_000;
/// How long a collector gathers reports for remote failure domains.
const REMOTE_BATCH_DELAY: Duration = Duration::from_millis(200);
/// The shortest interval between reports to remote failure domains of admissions
/// from a bucket that is running low.
const ADMISSION_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// How long the view of the hosts that exchange changes is used before it is derived
/// again: all known hosts are sorted for it, and several messages arrive in this time.
const FEED_VIEW_INTERVAL: Duration = Duration::from_millis(200);
/// The limits in one datagram, so that it fits without IP fragmentation.
const MAX_RATE_LIMITS_PER_MESSAGE: usize = 64;
/// How often the issuer of an instance's permits repeats its limit to all hosts, some of
/// which may have started or missed it.
const HEARTBEATS_PER_RATE_LIMIT_NOTICE: u32 = 2;
/// The reports in one datagram, so that it fits without IP fragmentation.
const MAX_BATCH_BYTES: usize = 1_300;

/// When something is to be sent next.
#[derive(Debug, Default)]
struct Timers {
    /// This host's changes.
    flush: Option<Instant>,
    /// Gathered reports for neighbours.
    local_batch: Option<Instant>,
    /// Gathered reports for remote failure domains.
    remote_batch: Option<Instant>,
}

/// Moves a timer to `at` if that is earlier.
fn advance(timer: &mut Option<Instant>, at: Instant) {
    *timer = Some(timer.map_or(at, |known| known.min(at)));
}

/// Clears a timer that is due, and reports whether it was.
fn expire(timer: &mut Option<Instant>, now: Instant) -> bool {
    timer.take_if(|at| *at <= now).is_some()
}

/// Decides which messages go to which peers, without a socket.
pub(crate) struct PeerExchange {
    state: Rc<State>,
    /// The messages that are to be sent next, in order.
    outgoing: RefCell<VecDeque<OutgoingDatagram>>,
    builder: ReportBuilder,
    /// When remote failure domains were last sent a report.
    remote_sent_at: Instant,
    peer_records: HashMap<SocketAddr, PeerRecord>,
    link: CollectorLink,
    local_gatherer: Gatherer,
    remote_gatherer: Gatherer,
    timers: Timers,
    heartbeats: u32,
    feed_exchange: FeedExchange,
    feed_view: Option<(Instant, FeedView)>,
}

/// An encoded message and the peers that get it.
#[derive(Debug)]
pub(crate) struct OutgoingDatagram {
    /// The kind of the message, for metrics.
    pub(crate) kind: &'static str,
    pub(crate) targets: Vec<SocketAddr>,
    pub(crate) bytes: Vec<u8>,
}

impl PeerExchange {
    /// Creates the exchange of a host that has not sent anything.
    pub(crate) fn new(state: Rc<State>) -> Self {
        Self {
            outgoing: RefCell::default(),
            builder: ReportBuilder::default(),
            remote_sent_at: state.now(),
            peer_records: HashMap::new(),
            link: CollectorLink::default(),
            local_gatherer: Gatherer::default(),
            remote_gatherer: Gatherer::default(),
            timers: Timers::default(),
            heartbeats: 0,
            feed_exchange: FeedExchange::default(),
            feed_view: None,
            state,
        }
    }

    /// Takes the next message that is to be sent.
    pub(crate) fn take_outgoing(&self) -> Option<OutgoingDatagram> {
        self.outgoing.borrow_mut().pop_front()
    }

    pub(crate) fn next_timer(&self) -> Option<Instant> {
        let timers = [
            self.timers.flush,
            self.timers.local_batch,
            self.timers.remote_batch,
            self.feed_exchange.next_timer(),
            self.link.overdue_at(),
        ];
        timers.into_iter().flatten().min()
    }

    /// Schedules what the outbox holds.
    pub(crate) fn schedule(&mut self) {
        let now = self.state.now();
        let flush_at = now + self.flush_delay();
        advance(&mut self.timers.flush, flush_at);
        if self.state.outbox.is_missed_changes_request_due.take() {
            self.feed_exchange.ask_now(now);
        }
        if self.state.outbox.is_feed_update_due.take() {
            let rank = self.state.reader_rank();
            self.feed_exchange.schedule_update(now, rank);
        }
    }

    pub(crate) fn run_timers(&mut self) {
        let now = self.state.now();
        if expire(&mut self.timers.flush, now) {
            self.flush();
        }
        if expire(&mut self.timers.local_batch, now) {
            let reports = self.local_gatherer.take();
            self.send_to_neighbours(reports);
        }
        if expire(&mut self.timers.remote_batch, now) {
            let reports = self.remote_gatherer.take();
            self.send_to_remote_domains(reports);
        }
        if self.feed_exchange.next_timer().is_some_and(|at| at <= now) {
            self.with_feed(FeedExchange::run_timers);
        }
        if let Some(report) = self.link.take_overdue(now) {
            self.send_directly(report);
        }
    }

    /// Returns how long this host's changes are batched. Failures get the shortest
    /// delay: every request until then may fail, too.
    fn flush_delay(&self) -> Duration {
        if self.state.outbox.is_urgent.get() || self.uses_collectors() {
            MIN_BATCH_DELAY
        } else {
            self.batch_delay()
        }
    }

    /// Returns how long changes are batched for neighbours, by their number.
    fn batch_delay(&self) -> Duration {
        let neighbours = self.state.peers.borrow().local_peers().count();
        let neighbours = u32::try_from(neighbours).unwrap_or(u32::MAX);
        (Duration::from_secs(1) * neighbours / MAX_LOCAL_DATAGRAMS_PER_S).max(MIN_BATCH_DELAY)
    }

    /// Reports whether collectors distribute the reports of this failure domain.
    fn uses_collectors(&self) -> bool {
        self.state.peers.borrow().local_peers().count() > MAX_DIRECT_NEIGHBOURS
    }

    pub(crate) fn heartbeat(&mut self) {
        let now = self.state.now();
        let due = self.state.peers.borrow_mut().tick(now);
        self.send_all(due);
        self.heartbeats = self.heartbeats.wrapping_add(1);
        if self.uses_collectors() {
            // Liveness of so many hosts is reported half as often.
            let has_changes = !self.state.outbox.is_empty();
            if has_changes || self.heartbeats.is_multiple_of(2) {
                self.send_to_collector(true, true);
            }
        } else {
            self.report_to_local_domain();
            self.report_to_remote_domains();
        }
        if self
            .heartbeats
            .is_multiple_of(HEARTBEATS_PER_RATE_LIMIT_NOTICE)
        {
            self.send_rate_limits(&self.state.issued_rate_limits());
        }
        self.with_feed(FeedExchange::heartbeat);
    }

    /// Runs a step of the exchange about the feed, and queues what it sends.
    fn with_feed<T>(
        &mut self,
        step: impl FnOnce(&mut FeedExchange, &mut FeedContext<'_>) -> T,
    ) -> T {
        let now = self.state.now();
        let known = self.feed_view.take();
        let known = known.filter(|(at, _)| now.saturating_duration_since(*at) < FEED_VIEW_INTERVAL);
        let (derived_at, view) =
            known.unwrap_or_else(|| (now, self.state.peers.borrow().feed_view(now)));
        let result = {
            let mut cx = FeedContext {
                now,
                view: &view,
                replica: &mut self.state.feed.borrow_mut(),
                roster: &mut self.state.roster.borrow_mut(),
                rng: &mut self.state.rng.borrow_mut(),
            };
            step(&mut self.feed_exchange, &mut cx)
        };
        self.feed_view = Some((derived_at, view));
        while let Some(outgoing) = self.feed_exchange.take_outgoing() {
            self.send_to(&outgoing.targets, &outgoing.message);
        }
        result
    }

    /// Sends what is due.
    fn flush(&mut self) {
        let is_urgent = self.state.outbox.is_urgent.take();
        self.send_leaving_notice();
        self.send_changed_rate_limits();
        if self.state.outbox.is_departure_notice_due.take() {
            if self.uses_collectors() {
                let report = self.builder.build(&self.state, true, true);
                self.send_directly(report);
            } else {
                self.report_to_remote_domains();
            }
            let notice = self.state.peers.borrow().departure_notices();
            self.send_all(notice);
            return;
        }
        let report_at = self.remote_sent_at + ADMISSION_REPORT_INTERVAL;
        let is_report_due = self.state.outbox.is_admission_report_due.get();
        let includes_remote = is_urgent || (is_report_due && self.state.now() >= report_at);
        if self.uses_collectors() {
            self.send_to_collector(includes_remote, false);
        } else {
            self.report_to_local_domain();
            if includes_remote {
                self.report_to_remote_domains();
            }
        }
        if is_report_due && !includes_remote {
            advance(&mut self.timers.flush, report_at);
        }
    }

    fn report_to_local_domain(&mut self) {
        let report = self.builder.build_local(&self.state);
        let neighbours: Vec<SocketAddr> = self.state.peers.borrow().local_peers().collect();
        self.send_to(&neighbours, &PeerMessage::Report(report));
    }

    fn report_to_remote_domains(&mut self) {
        self.record_remote_report();
        let report = self.builder.build_remote(&self.state);
        let relays = self.state.peers.borrow_mut().relays(self.state.now());
        self.send_to(&relays, &PeerMessage::Report(report));
    }

    fn record_remote_report(&mut self) {
        self.remote_sent_at = self.state.now();
        self.state.outbox.is_admission_report_due.set(false);
    }

    /// Sends this host's changes through the collector of its failure domain.
    fn send_to_collector(&mut self, includes_remote: bool, is_heartbeat: bool) {
        if includes_remote {
            self.record_remote_report();
        }
        let report = self
            .builder
            .build(&self.state, includes_remote, is_heartbeat);
        let singles: Vec<SocketAddr> = {
            let peers = self.state.peers.borrow();
            peers.single_report_neighbours().collect()
        };
        let single = HostReport {
            relay: false,
            ..report.clone()
        };
        self.send_to(&singles, &PeerMessage::Report(single));
        match self.collector() {
            Some(collector) if collector != report.origin => {
                let message = PeerMessage::Collect(vec![report.clone()]);
                self.send_to(&[collector], &message);
                let now = self.state.now();
                self.link.record_sent(now, collector, report);
            }
            _ => self.gather(report),
        }
    }

    fn collector(&mut self) -> Option<SocketAddr> {
        let now = self.state.now();
        let peers = self.state.peers.borrow();
        let candidates = peers.collector_candidates(now);
        self.link
            .choose(now, peers.local_member().addr, &candidates)
    }

    /// Sends a report that no collector has acknowledged.
    fn send_directly(&mut self, report: HostReport) {
        if report.relay {
            self.send_to_remote_domains(vec![report.clone()]);
        }
        self.send_to_neighbours(vec![report]);
    }

    /// Gathers a report as a collector.
    fn gather(&mut self, mut report: HostReport) {
        let now = self.state.now();
        let is_urgent = report.is_urgent();
        let (local_delay, remote_delay) = if is_urgent {
            (MIN_BATCH_DELAY, MIN_BATCH_DELAY)
        } else {
            (self.batch_delay(), REMOTE_BATCH_DELAY)
        };
        if std::mem::take(&mut report.relay) {
            self.remote_gatherer.add(report.clone());
            advance(&mut self.timers.remote_batch, now + remote_delay);
        }
        self.local_gatherer.add(report);
        advance(&mut self.timers.local_batch, now + local_delay);
    }

    /// Sends reports to the neighbours that understand batches.
    fn send_to_neighbours(&self, reports: Vec<HostReport>) {
        let neighbours: Vec<SocketAddr> = {
            let peers = self.state.peers.borrow();
            peers.batch_neighbours().collect()
        };
        for reports in into_batches(reports) {
            let batch = ReportBatch {
                relay: false,
                reports,
            };
            self.send_to(&neighbours, &PeerMessage::Batch(batch));
        }
    }

    /// Sends reports to one host of each remote failure domain.
    fn send_to_remote_domains(&self, reports: Vec<HostReport>) {
        let relays = self.state.peers.borrow_mut().relays(self.state.now());
        let (modern, others): (Vec<SocketAddr>, Vec<SocketAddr>) = {
            let peers = self.state.peers.borrow();
            relays
                .into_iter()
                .partition(|relay| peers.understands_batches(*relay))
        };
        if !others.is_empty() {
            for report in &reports {
                let report = HostReport {
                    relay: true,
                    ..report.clone()
                };
                self.send_to(&others, &PeerMessage::Report(report));
            }
        }
        for reports in into_batches(reports) {
            let batch = ReportBatch {
                relay: true,
                reports,
            };
            self.send_to(&modern, &PeerMessage::Batch(batch));
        }
    }

    /// Distributes reports of remote failure domains in the local one.
    fn relay_reports(&mut self, mut reports: Vec<HostReport>) {
        for report in &mut reports {
            report.relay = false;
        }
        let singles: Vec<SocketAddr> = {
            let peers = self.state.peers.borrow();
            peers.single_report_neighbours().collect()
        };
        for report in &reports {
            self.send_to(&singles, &PeerMessage::Report(report.clone()));
        }
        if !self.uses_collectors() {
            self.send_to_neighbours(reports);
            return;
        }
        let own_addr = self.state.peers.borrow().local_member().addr;
        match self.collector() {
            Some(collector) if collector != own_addr => {
                self.send_to(&[collector], &PeerMessage::Collect(reports));
            }
            _ => {
                for report in reports {
                    self.gather(report);
                }
            }
        }
    }

    fn send_leaving_notice(&self) {
        let instances = std::mem::take(&mut *self.state.outbox.leaving.borrow_mut());
        if instances.is_empty() {
            return;
        }
        let message = |relay| {
            let instances = instances.clone();
            PeerMessage::Leaving(LeavingNotice { relay, instances })
        };
        self.send_to_all_domains(&message(false), &message(true));
    }

    pub(crate) fn send_permit_requests(&self) {
        for (issuer, request) in self.state.outbox.take_permit_requests() {
            self.send_to(&[issuer], &PeerMessage::PermitRequest(request));
        }
    }

    fn send_changed_rate_limits(&self) {
        let changed = std::mem::take(&mut *self.state.outbox.rate_limits.borrow_mut());
        self.send_rate_limits(&self.state.rate_limits_of(changed));
    }

    fn send_rate_limits(&self, limits: &[InstanceRateLimit]) {
        for limits in limits.chunks(MAX_RATE_LIMITS_PER_MESSAGE) {
            let message = |relay| {
                let limits = limits.to_vec();
                PeerMessage::RateLimits(RateLimitNotice { relay, limits })
            };
            self.send_to_all_domains(&message(false), &message(true));
        }
    }

    /// Sends the configuration to a reachable peer of an earlier build that lacks it.
    fn send_configuration(&self, to: SocketAddr, version: u64) {
        let peers = self.state.peers.borrow();
        let mut reachable = peers.reachable_peers(self.state.now());
        if !reachable.any(|peer| peer.addr == to) {
            return;
        }
        let feed = self.state.feed.borrow();
        if let Some(bytes) = feed.configuration_after(version) {
            self.send_to(&[to], &PeerMessage::Configuration(bytes.to_vec()));
        }
    }

    fn send_to_all_domains(&self, local: &PeerMessage, remote: &PeerMessage) {
        let neighbours: Vec<SocketAddr> = self.state.peers.borrow().local_peers().collect();
        self.send_to(&neighbours, local);
        let relays = self.state.peers.borrow_mut().relays(self.state.now());
        self.send_to(&relays, remote);
    }

    fn forward_to_neighbours(&self, message: &PeerMessage) {
        let neighbours: Vec<SocketAddr> = self.state.peers.borrow().local_peers().collect();
        self.send_to(&neighbours, message);
    }

    pub(crate) fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let Ok(message) = postcard::from_bytes(bytes) else {
            log::debug!("peers: Discarded a message from {from} that cannot be decoded.");
            return;
        };
        let now = self.state.now();
        let replies = match message {
            PeerMessage::Hello {
                sender,
                table_digest,
            } => {
                let mut peers = self.state.peers.borrow_mut();
                peers.on_hello(now, sender, table_digest)
            }
            PeerMessage::Members(cards) => self.state.peers.borrow_mut().on_members(now, cards),
            PeerMessage::Profile(profile) => self.state.peers.borrow_mut().on_profile(profile),
            PeerMessage::Report(host_report) => self.receive_report(host_report),
            PeerMessage::Collect(reports) => self.receive_collect(reports),
            PeerMessage::Batch(batch) => self.receive_batch(batch),
            PeerMessage::Departed(departed) => {
                let departed_peers = self.state.peers.borrow_mut().on_departed(now, &departed);
                for peer in departed_peers {
                    self.peer_records.remove(&peer);
                    self.state.evidence.borrow_mut().forget_peer(peer);
                }
                Vec::new()
            }
            PeerMessage::Leaving(notice) => {
                self.receive_leaving_notice(notice);
                Vec::new()
            }
            PeerMessage::RateLimits(notice) => {
                self.receive_rate_limits(notice);
                Vec::new()
            }
            PeerMessage::PermitRequest(request) => {
                let reply = permits::decide(&self.state, request);
                vec![(from, PeerMessage::PermitReply(reply))]
            }
            PeerMessage::PermitReply(reply) => {
                self.state.permits.complete(reply);
                Vec::new()
            }
            PeerMessage::Feed(update) => {
                self.receive_former_update(update);
                Vec::new()
            }
            PeerMessage::ConfigurationRequest { version } => {
                self.send_configuration(from, version);
                Vec::new()
            }
            PeerMessage::Configuration(_) => {
                log::debug!("peers: Discarded a configuration of the earlier build of {from}.");
                Vec::new()
            }
            PeerMessage::FeedChanges(update) => {
                let applied = self.with_feed(|feed, cx| feed.on_changes(cx, from, &update));
                feed::put_in_force(&self.state, applied, ChangeSource::Peer);
                Vec::new()
            }
            // A reply is longer than its request, so only known hosts get one.
            PeerMessage::FeedRequest(_) | PeerMessage::DocumentRequest(_)
                if !self.state.peers.borrow().knows(from) =>
            {
                Vec::new()
            }
            PeerMessage::FeedRequest(request) => {
                self.with_feed(|feed, cx| feed.on_request(cx, from, &request));
                Vec::new()
            }
            PeerMessage::DocumentRequest(request) => {
                self.with_feed(|feed, cx| feed.on_document_request(cx, from, request));
                Vec::new()
            }
            PeerMessage::DocumentChunk(chunk) => {
                let applied = self.with_feed(|feed, cx| feed.on_chunk(cx, from, chunk));
                feed::put_in_force(&self.state, applied, ChangeSource::Peer);
                Vec::new()
            }
        };
        self.send_all(replies);
    }

    fn receive_report(&mut self, mut host_report: HostReport) -> Vec<Outgoing> {
        let is_relayed = std::mem::take(&mut host_report.relay);
        if is_relayed && host_report.origin != self.state.peers.borrow().local_member().addr {
            if self.uses_collectors() {
                self.relay_reports(vec![host_report.clone()]);
            } else {
                self.forward_to_neighbours(&PeerMessage::Report(host_report.clone()));
            }
        }
        self.apply_reports(vec![host_report])
    }

    fn receive_collect(&mut self, reports: Vec<HostReport>) -> Vec<Outgoing> {
        for report in &reports {
            self.gather(report.clone());
        }
        self.apply_reports(reports)
    }

    fn receive_batch(&mut self, batch: ReportBatch) -> Vec<Outgoing> {
        if batch.relay {
            self.relay_reports(batch.reports.clone());
        }
        self.apply_reports(batch.reports)
    }

    /// Applies reports, and returns hellos to hosts that are not known.
    fn apply_reports(&mut self, reports: Vec<HostReport>) -> Vec<Outgoing> {
        let now = self.state.now();
        let own = self.state.peers.borrow().local_member().clone();
        let mut unknown = Vec::new();
        let mut has_outcomes = false;
        let view = self.state.fleet_view();
        for report in reports {
            if report.origin == own.addr {
                if report.incarnation == own.incarnation {
                    self.link.record_acknowledged(report.sequence);
                }
                continue;
            }
            let status = {
                let mut peers = self.state.peers.borrow_mut();
                peers.on_report(now, report.origin, report.incarnation)
            };
            if status == PeerStatus::Unknown {
                unknown.push((report.origin, self.state.peers.borrow().hello()));
            }
            has_outcomes |= !report.instances.is_empty();
            let (origin, position) = (report.origin, report.feed_position);
            let is_former = !self.state.peers.borrow().exchanges_feed(origin);
            self.with_feed(|feed, cx| {
                if is_former {
                    feed.record_former_position(cx, position);
                } else {
                    feed.record_position(cx, origin, position);
                }
            });
            apply_report(&self.state, &mut self.peer_records, &report, view);
        }
        if has_outcomes {
            self.state.capacity_freed.notify_waiters();
        }
        unknown
    }

    fn receive_leaving_notice(&self, mut notice: LeavingNotice) {
        for item in &notice.instances {
            let id = self
                .state
                .instances_by_hash
                .borrow()
                .get(&item.instance)
                .cloned();
            if let Some(id) = id {
                self.state
                    .record_leaving(&id, item.incarnation, ChangeSource::Notice);
            }
        }
        if std::mem::take(&mut notice.relay) {
            self.forward_to_neighbours(&PeerMessage::Leaving(notice));
        }
    }

    fn receive_rate_limits(&self, mut notice: RateLimitNotice) {
        for limit in &notice.limits {
            self.state.apply_rate_limit(*limit);
        }
        if std::mem::take(&mut notice.relay) {
            self.forward_to_neighbours(&PeerMessage::RateLimits(notice));
        }
    }

    /// Forwards an update of a host of an earlier build to the neighbours of such builds,
    /// and records its position. Its content lacks evacuations and home regions, so this
    /// host does not apply it, nor rely on the sender.
    fn receive_former_update(&mut self, mut update: FeedUpdate) {
        let position = update.until;
        let reader = update.reader;
        if std::mem::take(&mut update.relay) {
            let former: Vec<SocketAddr> = {
                let peers = self.state.peers.borrow();
                peers.former_feed_neighbours().collect()
            };
            self.send_to(&former, &PeerMessage::Feed(update));
        }
        if reader != self.state.peers.borrow().local_member().addr {
            self.with_feed(|feed, cx| feed.record_former_position(cx, position));
        }
    }

    fn send_all(&self, messages: Vec<Outgoing>) {
        for (to, message) in messages {
            self.send_to(&[to], &message);
        }
    }

    /// Queues a message for the socket.
    fn send_to(&self, targets: &[SocketAddr], message: &PeerMessage) {
        if targets.is_empty() {
            return;
        }
        let bytes = match postcard::to_allocvec(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("peers: Cannot encode a message: {error}.");
                return;
            }
        };
        let mut outgoing = self.outgoing.borrow_mut();
        outgoing.push_back(OutgoingDatagram {
            kind: message.kind(),
            targets: targets.to_vec(),
            bytes,
        });
    }
}

/// Splits reports into groups of at most [`MAX_BATCH_BYTES`].
fn into_batches(reports: Vec<HostReport>) -> Vec<Vec<HostReport>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut batch_bytes = 0;
    for report in reports {
        let bytes = postcard::to_allocvec(&report).map_or(0, |bytes| bytes.len());
        if batch_bytes + bytes > MAX_BATCH_BYTES && !batch.is_empty() {
            batches.push(std::mem::take(&mut batch));
            batch_bytes = 0;
        }
        batch_bytes += bytes;
        batch.push(report);
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}
