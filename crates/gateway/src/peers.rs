//! Exchanges updates with peers in datagrams.
//!
//! Peers in the local failure domain get each change within milliseconds. Traffic
//! between failure domains is expensive, so one random host of each remote domain
//! gets the report and relays it to its neighbours: failures at once, the rest
//! with the next heartbeat.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior};
use waxwingusher_core::InstanceId;
use waxwingusher_limits::{Admissions, PeerCounts};
use waxwingusher_membership::seeded::{
    AdmissionCounts, HostReport, InstanceStats, Outgoing, PeerMessage, PeerStatus, name_hash,
};
use waxwingusher_upstreams::InstanceReport;

use crate::state::State;

/// The interval at which all changes are sent, also to remote failure domains.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// The shortest time for which changes are batched before they are sent to
/// neighbours.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(4);
/// The rate of datagrams to neighbours above which the batch delay grows, so that
/// a host of a large failure domain does not spend its processor on them.
const MAX_LOCAL_DATAGRAMS_PER_S: u32 = 2_000;
/// The shortest interval between reports to remote failure domains of admissions
/// from a bucket that is running low.
const ADMISSION_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// The largest message that is received.
const MAX_MESSAGE_BYTES: usize = 60_000;
/// Reports on instances that fit into one datagram without IP fragmentation.
const MAX_INSTANCE_REPORTS: usize = 100;

/// Exchanges updates until the host stops.
pub(crate) async fn run(state: Rc<State>, socket: UdpSocket) {
    let mut exchange = PeerExchange {
        state,
        socket,
        sequence: 0,
        remote_sent_at: Instant::now(),
        peer_records: HashMap::new(),
    };
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut flush_at: Option<Instant> = None;
    loop {
        let state = exchange.state.clone();
        let flush = async {
            match flush_at {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            received = exchange.socket.recv_from(&mut buffer) => {
                // An error here concerns a datagram that was sent earlier.
                if let Ok((length, from)) = received {
                    exchange.receive(&buffer[..length], from);
                }
            }
            () = state.outbox.changed.notified() => {
                let due = Instant::now() + exchange.batch_delay();
                flush_at = Some(flush_at.map_or(due, |at| at.min(due)));
            }
            () = flush => flush_at = exchange.flush(),
            _ = heartbeat.tick() => exchange.heartbeat(),
        }
    }
}

/// What was last received from a peer.
#[derive(Debug, Default)]
struct PeerRecord {
    incarnation: u64,
    sequence: u32,
    admitted: PeerCounts,
}

struct PeerExchange {
    state: Rc<State>,
    socket: UdpSocket,
    sequence: u32,
    /// When remote failure domains were last sent a report.
    remote_sent_at: Instant,
    peer_records: HashMap<SocketAddr, PeerRecord>,
}

impl PeerExchange {
    /// Returns how long changes are batched, by the number of neighbours.
    /// Failures get the shortest delay: every request until then may fail, too.
    fn batch_delay(&self) -> Duration {
        if self.state.outbox.is_urgent.get() {
            return MIN_BATCH_DELAY;
        }
        let neighbours = self.state.peers.borrow().local_peers().count();
        let neighbours = u32::try_from(neighbours).unwrap_or(u32::MAX);
        (Duration::from_secs(1) * neighbours / MAX_LOCAL_DATAGRAMS_PER_S).max(MIN_BATCH_DELAY)
    }

    fn heartbeat(&mut self) {
        let now = self.state.now();
        let due = self.state.peers.borrow_mut().tick(now);
        self.send_all(due);
        self.send_to_local_domain();
        self.send_to_remote_domains();
    }

    /// Sends what is due, and returns when the next report is due.
    fn flush(&mut self) -> Option<Instant> {
        let is_urgent = self.state.outbox.is_urgent.take();
        if self.state.outbox.is_departure_notice_due.take() {
            self.send_to_remote_domains();
            let notice = self.state.peers.borrow().departure_notices();
            self.send_all(notice);
            return None;
        }
        self.send_to_local_domain();
        let report_at = self.remote_sent_at + ADMISSION_REPORT_INTERVAL;
        let is_report_due = self.state.outbox.is_admission_report_due.get();
        if is_urgent || (is_report_due && Instant::now() >= report_at) {
            self.send_to_remote_domains();
            return None;
        }
        is_report_due.then_some(report_at)
    }

    fn send_to_local_domain(&mut self) {
        let changed = std::mem::take(&mut *self.state.outbox.local_instances.borrow_mut());
        let mut host_report = self.build_report(changed);
        host_report.crashes = self.state.outbox.crashes.borrow().clone();
        host_report.disowned = self.state.outbox.disowned.borrow().clone();
        let neighbours: Vec<SocketAddr> = self.state.peers.borrow().local_peers().collect();
        self.send_to(&neighbours, &PeerMessage::Report(host_report));
    }

    fn send_to_remote_domains(&mut self) {
        self.remote_sent_at = Instant::now();
        self.state.outbox.is_admission_report_due.set(false);
        let changed = std::mem::take(&mut *self.state.outbox.remote_instances.borrow_mut());
        let mut host_report = self.build_report(changed);
        host_report.relay = true;
        host_report.crashes = std::mem::take(&mut *self.state.outbox.crashes.borrow_mut());
        host_report.disowned = std::mem::take(&mut *self.state.outbox.disowned.borrow_mut());
        let relays = self.state.peers.borrow_mut().relays(self.state.now());
        self.send_to(&relays, &PeerMessage::Report(host_report));
    }

    fn build_report(&mut self, changed: impl IntoIterator<Item = InstanceId>) -> HostReport {
        self.sequence += 1;
        let now = self.state.now();
        let evidence = self.state.evidence.borrow();
        let reports = changed.into_iter().take(MAX_INSTANCE_REPORTS).map(|id| {
            let report = evidence.own_report(now, &id);
            InstanceStats {
                instance: name_hash(id.as_str()),
                in_flight: report.in_flight,
                successes: report.successes,
                failures: report.failures,
                slowness_16ths: report.slowness_16ths,
                success_age_ms: report.success_age.and_then(age_ms),
                failure_age_ms: report.failure_age.and_then(age_ms),
            }
        });
        let own_member = self.state.peers.borrow().local_member().clone();
        HostReport {
            origin: own_member.addr,
            incarnation: own_member.incarnation,
            sequence: self.sequence,
            relay: false,
            feed_position: self.state.feed_position.get(),
            gapless_position: self.state.gapless_position(),
            instances: reports.collect(),
            admitted: self.recent_admissions(),
            crashes: Vec::new(),
            disowned: Vec::new(),
        }
    }

    /// Returns the workspaces with recent admissions.
    fn recent_admissions(&self) -> Vec<AdmissionCounts> {
        let mut limits = self.state.limits.borrow_mut();
        let admitted = limits.admitted(self.state.now());
        let recent = admitted.filter(|(_, admissions)| admissions.recent > 0);
        recent
            .map(|(name, admissions)| AdmissionCounts {
                workspace: name_hash(name.as_str()),
                total: admissions.total,
                recent: admissions.recent,
            })
            .collect()
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
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
            PeerMessage::Report(host_report) => self.receive_report(host_report),
            PeerMessage::Departed(departed) => {
                let departed_peers = self.state.peers.borrow_mut().on_departed(now, &departed);
                for peer in departed_peers {
                    self.peer_records.remove(&peer);
                    self.state.evidence.borrow_mut().forget_peer(peer);
                }
                Vec::new()
            }
        };
        self.send_all(replies);
    }

    fn receive_report(&mut self, mut host_report: HostReport) -> Vec<Outgoing> {
        let now = self.state.now();
        let own_addr = self.state.peers.borrow().local_member().addr;
        if host_report.origin == own_addr {
            return Vec::new();
        }
        if std::mem::take(&mut host_report.relay) {
            let neighbours: Vec<SocketAddr> = self.state.peers.borrow().local_peers().collect();
            self.send_to(&neighbours, &PeerMessage::Report(host_report.clone()));
        }
        let origin_state = self.state.peers.borrow_mut().on_report(
            now,
            host_report.origin,
            host_report.incarnation,
        );
        let replies = match origin_state {
            PeerStatus::Unknown => vec![(host_report.origin, self.state.peers.borrow().hello())],
            PeerStatus::Known | PeerStatus::Restarted => Vec::new(),
        };
        self.apply_report(&host_report);
        replies
    }

    fn apply_report(&mut self, host_report: &HostReport) {
        let now = self.state.now();
        let position = self
            .state
            .max_peer_position
            .get()
            .max(host_report.feed_position);
        self.state.max_peer_position.set(position);
        self.state
            .roster
            .borrow_mut()
            .confirm_position(host_report.gapless_position);
        let is_first = !self.peer_records.contains_key(&host_report.origin);
        let record = self.peer_records.entry(host_report.origin).or_default();
        if record.incarnation != host_report.incarnation {
            self.state
                .evidence
                .borrow_mut()
                .forget_peer(host_report.origin);
            let admitted = if is_first {
                PeerCounts::default()
            } else {
                PeerCounts::after_restart(now)
            };
            *record = PeerRecord {
                incarnation: host_report.incarnation,
                sequence: 0,
                admitted,
            };
        }
        for crash in &host_report.crashes {
            self.state.crash_ledger.borrow_mut().record(now, *crash);
        }
        for hash in &host_report.disowned {
            let id = self.state.instances_by_hash.borrow().get(hash).cloned();
            if let Some(id) = id {
                self.state.roster.borrow_mut().disown(&id);
            }
        }
        let is_stale = host_report.sequence <= record.sequence;
        record.sequence = record.sequence.max(host_report.sequence);
        debit_admissions(&self.state, record, host_report);
        if is_stale {
            return;
        }
        let hashes = self.state.instances_by_hash.borrow();
        let mut evidence = self.state.evidence.borrow_mut();
        for item in &host_report.instances {
            let Some(id) = hashes.get(&item.instance) else {
                continue;
            };
            let report = InstanceReport {
                in_flight: item.in_flight,
                successes: item.successes,
                failures: item.failures,
                slowness_16ths: item.slowness_16ths,
                success_age: item
                    .success_age_ms
                    .map(|age| Duration::from_millis(age.into())),
                failure_age: item
                    .failure_age_ms
                    .map(|age| Duration::from_millis(age.into())),
            };
            evidence.record_peer_report(now, host_report.origin, id, report);
        }
        drop(evidence);
        if !host_report.instances.is_empty() {
            self.state.capacity_freed.notify_waiters();
        }
    }

    fn send_all(&self, messages: Vec<Outgoing>) {
        for (to, message) in messages {
            self.send_to(&[to], &message);
        }
    }

    fn send_to(&self, targets: &[SocketAddr], message: &PeerMessage) {
        let bytes = match postcard::to_allocvec(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("peers: Cannot encode a message: {error}.");
                return;
            }
        };
        for target in targets {
            // A datagram that the socket does not take is treated as lost; the
            // next report makes up for it.
            let _ = self.socket.try_send_to(&bytes, *target);
        }
    }
}

/// Debits from the buckets what a peer has admitted since its last report.
fn debit_admissions(state: &State, record: &mut PeerRecord, host_report: &HostReport) {
    let now = state.now();
    let view = state.fleet_view();
    let reported = host_report.admitted.iter().map(|item| {
        let admissions = Admissions {
            total: item.total,
            recent: item.recent,
        };
        (item.workspace, admissions)
    });
    let hashes = state.workspaces_by_hash.borrow();
    let mut limits = state.limits.borrow_mut();
    let is_catching_up = state.is_catching_up();
    for (workspace, count) in record.admitted.record(now, is_catching_up, reported) {
        if let Some(name) = hashes.get(&workspace) {
            limits.debit(now, name, count, view);
        }
    }
}

fn age_ms(age: Duration) -> Option<u16> {
    u16::try_from(age.as_millis()).ok()
}
