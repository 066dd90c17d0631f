//! Exchanges news with peers in datagrams.
//!
//! Neighbours in the own failure domain hear of each change within
//! milliseconds. Bytes between failure domains are dear, so there one random
//! host of each other domain is told, which passes the news on to its
//! neighbours: failures at once, the rest with the next beat.

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

/// How often everything that is new is told, also to other failure domains.
const BEAT: Duration = Duration::from_millis(400);
/// How long changes are gathered at least before neighbours are told.
const MIN_GATHER: Duration = Duration::from_millis(4);
/// Datagrams to neighbours a second at which gathering takes longer, so that a
/// host of a large failure domain does not spend its processor on them.
const NEAR_DATAGRAMS_PER_S: u32 = 2_000;
/// The least time between two words to other failure domains on admissions from
/// a bucket that is running low.
const COUNTS_INTERVAL: Duration = Duration::from_millis(50);
/// The largest message that is taken.
const MAX_MESSAGE_BYTES: usize = 60_000;
/// Words on instances that fit into one datagram without fragments.
const MAX_WORDS: usize = 100;

/// Exchanges news for as long as the host lives.
pub(crate) async fn run(state: Rc<State>, socket: UdpSocket) {
    let mut exchange = Exchange {
        state,
        socket,
        sequence: 0,
        far_at: Instant::now(),
        heard: HashMap::new(),
    };
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    let mut beat = tokio::time::interval(BEAT);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
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
                // Errors of a datagram socket concern datagrams sent before.
                if let Ok((length, from)) = received {
                    exchange.receive(&buffer[..length], from);
                }
            }
            () = state.outbox.changed.notified() => {
                let due = Instant::now() + exchange.gather_time();
                flush_at = Some(flush_at.map_or(due, |at| at.min(due)));
            }
            () = flush => flush_at = exchange.flush(),
            _ = beat.tick() => exchange.beat(),
        }
    }
}

/// What was last heard of a peer.
#[derive(Debug, Default)]
struct Heard {
    incarnation: u64,
    sequence: u32,
    admitted: PeerCounts,
}

struct Exchange {
    state: Rc<State>,
    socket: UdpSocket,
    sequence: u32,
    /// When other failure domains were last told.
    far_at: Instant,
    heard: HashMap<SocketAddr, Heard>,
}

impl Exchange {
    /// Returns how long changes are gathered, by the number of neighbours.
    /// Failures are told at once: every request until then may fail, too.
    fn gather_time(&self) -> Duration {
        if self.state.outbox.is_urgent.get() {
            return MIN_GATHER;
        }
        let neighbours = self.state.peers.borrow().local_peers().count();
        let neighbours = u32::try_from(neighbours).unwrap_or(u32::MAX);
        (Duration::from_secs(1) * neighbours / NEAR_DATAGRAMS_PER_S).max(MIN_GATHER)
    }

    fn beat(&mut self) {
        let now = self.state.now();
        let due = self.state.peers.borrow_mut().tick(now);
        self.send_all(due);
        self.flush_near();
        self.flush_far();
    }

    /// Tells what is due, and returns when more will be.
    fn flush(&mut self) -> Option<Instant> {
        let is_urgent = self.state.outbox.is_urgent.take();
        if self.state.outbox.is_farewell_due.take() {
            self.flush_far();
            let farewell = self.state.peers.borrow().departure_notices();
            self.send_all(farewell);
            return None;
        }
        self.flush_near();
        let counts_at = self.far_at + COUNTS_INTERVAL;
        let counts_soon = self.state.outbox.counts_soon.get();
        if is_urgent || (counts_soon && Instant::now() >= counts_at) {
            self.flush_far();
            return None;
        }
        counts_soon.then_some(counts_at)
    }

    fn flush_near(&mut self) {
        let changed = std::mem::take(&mut *self.state.outbox.instances.borrow_mut());
        let mut news = self.news(changed);
        news.crashes = self.state.outbox.crashes.borrow().clone();
        news.disowned = self.state.outbox.disowned.borrow().clone();
        let neighbours: Vec<SocketAddr> = self.state.peers.borrow().local_peers().collect();
        self.send_to(&neighbours, &PeerMessage::Report(news));
    }

    fn flush_far(&mut self) {
        self.far_at = Instant::now();
        self.state.outbox.counts_soon.set(false);
        let changed = std::mem::take(&mut *self.state.outbox.far_instances.borrow_mut());
        let mut news = self.news(changed);
        news.relay = true;
        news.crashes = std::mem::take(&mut *self.state.outbox.crashes.borrow_mut());
        news.disowned = std::mem::take(&mut *self.state.outbox.disowned.borrow_mut());
        let relays = self.state.peers.borrow_mut().relays(self.state.now());
        self.send_to(&relays, &PeerMessage::Report(news));
    }

    fn news(&mut self, changed: impl IntoIterator<Item = InstanceId>) -> HostReport {
        self.sequence += 1;
        let now = self.state.now();
        let evidence = self.state.evidence.borrow();
        let words = changed.into_iter().take(MAX_WORDS).map(|id| {
            let word = evidence.own_report(now, &id);
            InstanceStats {
                instance: name_hash(id.as_str()),
                in_flight: word.in_flight,
                successes: word.successes,
                failures: word.failures,
                slowness_16ths: word.slowness_16ths,
                success_age_ms: word.success_age.and_then(age_ms),
                failure_age_ms: word.failure_age.and_then(age_ms),
            }
        });
        let me = self.state.peers.borrow().local_member().clone();
        HostReport {
            origin: me.addr,
            incarnation: me.incarnation,
            sequence: self.sequence,
            relay: false,
            feed_position: self.state.feed_position.get(),
            gapless_position: self.state.gapless_position(),
            instances: words.collect(),
            admitted: self.admitted(),
            crashes: Vec::new(),
            disowned: Vec::new(),
        }
    }

    /// Returns what was admitted lately.
    fn admitted(&self) -> Vec<AdmissionCounts> {
        let mut limits = self.state.limits.borrow_mut();
        let admitted = limits.admitted(self.state.now());
        let lately = admitted.filter(|(_, admissions)| admissions.recent > 0);
        lately
            .map(|(name, admissions)| AdmissionCounts {
                workspace: name_hash(name.as_str()),
                total: admissions.total,
                recent: admissions.recent,
            })
            .collect()
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let Ok(message) = postcard::from_bytes(bytes) else {
            log::debug!("peers: A message from {from} cannot be read.");
            return;
        };
        let now = self.state.now();
        let out = match message {
            PeerMessage::Hello {
                sender,
                table_digest,
            } => {
                let mut peers = self.state.peers.borrow_mut();
                peers.on_hello(now, sender, table_digest)
            }
            PeerMessage::Members(cards) => self.state.peers.borrow_mut().on_members(now, cards),
            PeerMessage::Report(news) => self.receive_news(news),
            PeerMessage::Departed(departed) => {
                let gone = self.state.peers.borrow_mut().on_departed(now, &departed);
                for peer in gone {
                    self.heard.remove(&peer);
                    self.state.evidence.borrow_mut().forget_peer(peer);
                }
                Vec::new()
            }
        };
        self.send_all(out);
    }

    fn receive_news(&mut self, mut news: HostReport) -> Vec<Outgoing> {
        let now = self.state.now();
        let me = self.state.peers.borrow().local_member().addr;
        if news.origin == me {
            return Vec::new();
        }
        if std::mem::take(&mut news.relay) {
            let neighbours: Vec<SocketAddr> = self.state.peers.borrow().local_peers().collect();
            self.send_to(&neighbours, &PeerMessage::Report(news.clone()));
        }
        let known = self
            .state
            .peers
            .borrow_mut()
            .on_report(now, news.origin, news.incarnation);
        let out = match known {
            PeerStatus::Unknown => vec![(news.origin, self.state.peers.borrow().hello())],
            PeerStatus::Known | PeerStatus::Restarted => Vec::new(),
        };
        self.apply(&news);
        out
    }

    fn apply(&mut self, news: &HostReport) {
        let now = self.state.now();
        let ahead = self.state.peers_position.get().max(news.feed_position);
        self.state.peers_position.set(ahead);
        self.state
            .roster
            .borrow_mut()
            .confirm_position(news.gapless_position);
        let is_first = !self.heard.contains_key(&news.origin);
        let heard = self.heard.entry(news.origin).or_default();
        if heard.incarnation != news.incarnation {
            self.state.evidence.borrow_mut().forget_peer(news.origin);
            let admitted = if is_first {
                PeerCounts::default()
            } else {
                PeerCounts::after_restart(now)
            };
            *heard = Heard {
                incarnation: news.incarnation,
                sequence: 0,
                admitted,
            };
        }
        for word in &news.crashes {
            self.state.crashes.borrow_mut().note(now, *word);
        }
        for hash in &news.disowned {
            let id = self.state.instance_hashes.borrow().get(hash).cloned();
            if let Some(id) = id {
                self.state.roster.borrow_mut().disown(&id);
            }
        }
        let is_late = news.sequence <= heard.sequence;
        heard.sequence = heard.sequence.max(news.sequence);
        debit(&self.state, heard, news);
        if is_late {
            return;
        }
        let hashes = self.state.instance_hashes.borrow();
        let mut evidence = self.state.evidence.borrow_mut();
        for item in &news.instances {
            let Some(id) = hashes.get(&item.instance) else {
                continue;
            };
            let word = InstanceReport {
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
            evidence.record_peer_report(now, news.origin, id, word);
        }
        drop(evidence);
        if !news.instances.is_empty() {
            self.state.room_freed.notify_waiters();
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
                log::error!("peers: A message cannot be written: {error}.");
                return;
            }
        };
        for target in targets {
            // A datagram that is not taken is as good as lost; the next one
            // makes up for it.
            let _ = self.socket.try_send_to(&bytes, *target);
        }
    }
}

/// Takes from the buckets what a peer has admitted since its last word.
fn debit(state: &State, heard: &mut Heard, news: &HostReport) {
    let now = state.now();
    let view = state.fleet_view();
    let told = news.admitted.iter().map(|item| {
        let admissions = Admissions {
            total: item.total,
            recent: item.recent,
        };
        (item.workspace, admissions)
    });
    let hashes = state.workspace_hashes.borrow();
    let mut limits = state.limits.borrow_mut();
    let is_catching_up = state.is_catching_up();
    for (workspace, count) in heard.admitted.record(now, is_catching_up, told) {
        if let Some(name) = hashes.get(&workspace) {
            limits.debit(now, name, count, view);
        }
    }
}

fn age_ms(age: Duration) -> Option<u16> {
    u16::try_from(age.as_millis()).ok()
}
