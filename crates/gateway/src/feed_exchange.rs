//! The messages about the feed between hosts of protocol 3, without a socket.
//!
//! A reader sends each change once, down the trees of
//! [`waxwingusher_membership::seeded::fanout`], and its position every 400 ms. A host that
//! is behind asks peers for the changes, and for a configuration that it cannot derive.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_core::FeedPosition;
use waxwingusher_membership::seeded::fanout::{FeedView, TREES};
use waxwingusher_membership::seeded::{
    Delivery, DocumentChunk, DocumentRequest, FeedChanges, FeedRequest, PeerMessage,
};
use waxwingusher_upstreams::Roster;

use crate::feed_repair::GapRepair;
use crate::feed_replica::{Applied, FeedReplica};
use crate::feed_transfer::{Download, DownloadStep, Uploads};

/// The delay of a reader's update for each reader before it; the others do not send
/// what the first one has sent.
const READER_STAGGER: Duration = Duration::from_millis(40);
/// When a reader repeats its position after a change, so that a host which has missed the
/// change notices it before the next heartbeat.
const POSITION_REPEAT_DELAY: Duration = Duration::from_millis(150);
/// The messages that are remembered as forwarded.
const MAX_FORWARDED: usize = 256;

/// A message and the hosts that get it.
#[derive(Debug, Clone)]
pub struct FeedOutgoing {
    /// The hosts.
    pub targets: Vec<SocketAddr>,
    /// The message.
    pub message: PeerMessage,
}

/// What a [`FeedExchange`] works with.
#[derive(Debug)]
pub struct FeedContext<'a> {
    /// The time.
    pub now: Instant,
    /// The hosts of this build.
    pub view: &'a FeedView,
    /// The part of the feed that this host has applied.
    pub replica: &'a mut FeedReplica,
    /// The instances.
    pub roster: &'a mut Roster,
    /// Draws peers and delays.
    pub rng: &'a mut fastrand::Rng,
}

/// Decides which messages about the feed go to which hosts.
#[derive(Debug, Default)]
pub struct FeedExchange {
    outgoing: VecDeque<FeedOutgoing>,
    sequence: Option<u32>,
    /// The reader, sequence and tree of messages that were forwarded.
    forwarded: VecDeque<(SocketAddr, u32, u8)>,
    update_at: Option<Instant>,
    position_at: Option<Instant>,
    heartbeats: u8,
    repair: GapRepair,
    download: Download,
    uploads: Uploads,
}

impl FeedExchange {
    /// Takes the next message that is to be sent.
    pub fn take_outgoing(&mut self) -> Option<FeedOutgoing> {
        self.outgoing.pop_front()
    }

    /// Returns when [`run_timers`](Self::run_timers) has something to do.
    #[must_use]
    pub fn next_timer(&self) -> Option<Instant> {
        let timers = [
            self.update_at,
            self.position_at,
            self.repair.next_at(),
            self.download.next_at(),
            self.uploads.next_at(),
        ];
        timers.into_iter().flatten().min()
    }

    /// Schedules an update with the changes that this host has read. `rank` is the number
    /// of readers before it.
    pub fn schedule_update(&mut self, now: Instant, rank: usize) {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let at = now + READER_STAGGER.saturating_mul(rank.min(u32::from(u8::MAX)));
        self.update_at = Some(self.update_at.map_or(at, |known| known.min(at)));
    }

    /// Asks a peer for missed changes at once.
    pub fn ask_now(&mut self, now: Instant) {
        self.repair.ask_now(now);
    }

    /// Records the position that a peer has applied.
    pub fn record_position(
        &mut self,
        cx: &mut FeedContext<'_>,
        peer: SocketAddr,
        position: FeedPosition,
    ) {
        cx.replica.record_peer_position(position);
        self.repair
            .record_position(peer, position, cx.replica.position());
        self.check(cx);
    }

    /// Records the position of a host of an earlier build, which sends no changes that this
    /// host can use.
    pub fn record_former_position(&mut self, cx: &mut FeedContext<'_>, position: FeedPosition) {
        cx.replica.record_peer_position(position);
        self.check(cx);
    }

    /// Sends the position of a reader.
    pub fn heartbeat(&mut self, cx: &mut FeedContext<'_>) {
        self.check(cx);
        if !cx.replica.is_reader(cx.now) {
            return;
        }
        self.send_position(cx);
    }

    /// Sends what is due.
    pub fn run_timers(&mut self, cx: &mut FeedContext<'_>) {
        if self.update_at.take_if(|at| *at <= cx.now).is_some() {
            self.send_update(cx);
        }
        if self.position_at.take_if(|at| *at <= cx.now).is_some() && cx.replica.is_reader(cx.now) {
            self.send_position(cx);
        }
        self.check(cx);
        if self.repair.take_due(cx.now, cx.rng) {
            self.request_changes(cx);
        }
        match self.download.step(cx.now, cx.replica.version(), cx.rng) {
            DownloadStep::Wait => {}
            DownloadStep::Ask { preferred, request } => {
                let peer = preferred.or_else(|| self.draw_peer(cx));
                if let Some(peer) = peer {
                    self.send(vec![peer], PeerMessage::DocumentRequest(request));
                }
            }
            DownloadStep::GiveUp => {
                log::debug!("feed: No peer has sent the configuration that is missing.");
            }
        }
        let is_due = self.uploads.next_at().is_some_and(|at| at <= cx.now);
        if is_due {
            self.send_chunks(cx);
        }
    }

    /// Applies changes or a position, and forwards them.
    pub fn on_changes(
        &mut self,
        cx: &mut FeedContext<'_>,
        from: SocketAddr,
        update: &FeedChanges,
    ) -> Applied {
        if update.reader == cx.view.own.addr {
            return Applied::default();
        }
        self.forward(cx, update);
        let before = cx.replica.position();
        let result = cx
            .replica
            .on_update(cx.now, cx.view.own.addr, update, cx.roster);
        let applied = match result {
            Ok(applied) => applied,
            Err(error) => {
                let reader = update.reader;
                log::warn!("feed: Dropped changes of {reader} that cannot be decoded: {error}.");
                Applied::default()
            }
        };
        if cx.replica.is_covered_by(cx.now, update, cx.roster) {
            self.update_at = None;
        }
        self.repair
            .record_position(update.reader, update.until, cx.replica.position());
        if update.delivery == Delivery::Reply && cx.replica.position() > before {
            self.repair.record_progress(cx.now);
        }
        let is_log_too_short =
            update.delivery == Delivery::Reply && update.since > cx.replica.position();
        if is_log_too_short || cx.replica.wanted_version().is_some() {
            let provider = provider(cx, from, update.delivery);
            self.download.start(cx.now, provider);
        }
        self.check(cx);
        applied
    }

    /// Answers a peer that has missed changes.
    pub fn on_request(
        &mut self,
        cx: &mut FeedContext<'_>,
        from: SocketAddr,
        request: &FeedRequest,
    ) {
        let own = cx.view.own.addr;
        let reply = cx.replica.reply_to(cx.now, own, request, cx.roster);
        for update in reply {
            self.send(vec![from], PeerMessage::FeedChanges(update));
        }
    }

    /// Queues the chunks that a peer has asked for.
    pub fn on_document_request(
        &mut self,
        cx: &mut FeedContext<'_>,
        from: SocketAddr,
        request: DocumentRequest,
    ) {
        self.uploads.request(cx.now, from, request);
        if self.uploads.next_at().is_none_or(|at| at <= cx.now) {
            self.send_chunks(cx);
        }
    }

    /// Adds a chunk, and applies the configuration if it is complete.
    pub fn on_chunk(
        &mut self,
        cx: &mut FeedContext<'_>,
        from: SocketAddr,
        chunk: DocumentChunk,
    ) -> Applied {
        let version = cx.replica.version();
        let document = match self.download.on_chunk(cx.now, version, chunk) {
            Ok(Some(document)) => document,
            Ok(None) => {
                if self.download.is_active() {
                    cx.replica.record_transfer(cx.now);
                }
                return Applied::default();
            }
            Err(error) => {
                log::warn!("feed: Dropped a chunk of {from}: {error}.");
                return Applied::default();
            }
        };
        match cx.replica.on_document(cx.now, document, cx.roster) {
            Ok(applied) => {
                self.check(cx);
                applied
            }
            Err(error) => {
                log::warn!("feed: Dropped the configuration of {from}: {error}.");
                Applied::default()
            }
        }
    }

    /// Starts or ends the requests for what this host lacks. A reader gets it from the
    /// source, so that the fleet learns which removals are departures.
    fn check(&mut self, cx: &mut FeedContext<'_>) {
        let is_behind = cx.replica.is_listed() && cx.replica.is_behind_peers();
        let asks = is_behind && !cx.replica.is_reader(cx.now);
        self.repair.check(cx.now, asks, cx.rng);
        if !is_behind {
            self.download.stop();
        }
    }

    fn request_changes(&mut self, cx: &mut FeedContext<'_>) {
        if self.download.is_active() && cx.replica.wanted_version().is_some() {
            return;
        }
        let position = cx.replica.position();
        if let Some(peer) = self.draw_peer(cx) {
            let request = PeerMessage::FeedRequest(FeedRequest { position });
            self.send(vec![peer], request);
        }
    }

    /// Draws a peer that is ahead of this host, or any if none is known to be.
    fn draw_peer(&self, cx: &mut FeedContext<'_>) -> Option<SocketAddr> {
        let ahead = self.repair.peers_ahead(cx.replica.position());
        let peer = cx.view.draw_among(&ahead, cx.rng);
        peer.or_else(|| cx.view.draw_peer(cx.rng))
    }

    fn send_chunks(&mut self, cx: &mut FeedContext<'_>) {
        let capacity = cx.view.own.capacity;
        let due = self
            .uploads
            .take_due(cx.now, capacity, cx.replica.document());
        for (to, chunk) in due {
            self.send(vec![to], PeerMessage::DocumentChunk(chunk));
        }
    }

    /// Sends the changes that no reader has sent yet.
    fn send_update(&mut self, cx: &mut FeedContext<'_>) {
        let own = cx.view.own.addr;
        let parts = cx.replica.take_update(cx.now, own, cx.roster);
        if parts.is_empty() {
            return;
        }
        self.position_at = Some(cx.now + POSITION_REPEAT_DELAY);
        for part in parts {
            for tree in 0..TREES {
                self.distribute(cx, &part, tree, tree == 0);
            }
        }
    }

    /// Sends the position of this host in each of the trees in turn.
    fn send_position(&mut self, cx: &mut FeedContext<'_>) {
        let own = cx.view.own.addr;
        let Some(update) = cx.replica.position_update(cx.now, own, cx.roster) else {
            return;
        };
        self.heartbeats = self.heartbeats.wrapping_add(1);
        self.distribute(cx, &update, self.heartbeats % TREES, true);
    }

    /// Sends a message to the roots of a tree in all failure domains. A reader in a small
    /// domain sends to its neighbours itself, if `includes_neighbours`.
    fn distribute(
        &mut self,
        cx: &mut FeedContext<'_>,
        update: &FeedChanges,
        tree: u8,
        includes_neighbours: bool,
    ) {
        let own = cx.view.own.addr;
        let sequence = self.sequence.get_or_insert_with(|| cx.rng.u32(..));
        *sequence = sequence.wrapping_add(1);
        let message = |delivery| {
            PeerMessage::FeedChanges(FeedChanges {
                sequence: *sequence,
                delivery,
                ..update.clone()
            })
        };
        let (direct, in_tree) = (message(Delivery::Direct), message(Delivery::Tree(tree)));
        let local = cx.view.local.as_ref();
        let remote = cx.view.remote.iter();
        let mut roots: Vec<SocketAddr> = remote.filter_map(|domain| domain.root(tree)).collect();
        if local.is_small() {
            if includes_neighbours {
                let others = local.members().iter().map(|member| member.addr);
                self.send(others.filter(|addr| *addr != own).collect(), direct);
            }
        } else if local.root(tree) == Some(own) {
            roots.extend(local.children(tree, own));
        } else {
            roots.extend(local.root(tree));
        }
        self.send(roots, in_tree);
    }

    /// Forwards a message to the children of this host in its tree, once.
    fn forward(&mut self, cx: &FeedContext<'_>, update: &FeedChanges) {
        let Delivery::Tree(tree) = update.delivery else {
            return;
        };
        let key = (update.reader, update.sequence, tree);
        if self.forwarded.contains(&key) {
            return;
        }
        if self.forwarded.len() >= MAX_FORWARDED {
            self.forwarded.pop_front();
        }
        self.forwarded.push_back(key);
        let local = cx.view.local.as_ref();
        let own = cx.view.own.addr;
        let (children, delivery) = if local.is_small() {
            let others = local.members().iter().map(|member| member.addr);
            let others: Vec<SocketAddr> = others.filter(|addr| *addr != own).collect();
            (others, Delivery::Direct)
        } else {
            (local.children(tree, own), update.delivery)
        };
        let update = FeedChanges {
            delivery,
            ..update.clone()
        };
        self.send(children, PeerMessage::FeedChanges(update));
    }

    fn send(&mut self, targets: Vec<SocketAddr>, message: PeerMessage) {
        if targets.is_empty() {
            return;
        }
        self.outgoing.push_back(FeedOutgoing { targets, message });
    }
}

/// Returns the host that is asked first for a configuration which a message has announced;
/// `None` if it is drawn by capacity. Whoever forwards a message serves those to which it
/// does. In a small domain one host sends to all, so hosts of larger capacity, which will
/// have the configuration soon, serve the others.
fn provider(cx: &mut FeedContext<'_>, from: SocketAddr, delivery: Delivery) -> Option<SocketAddr> {
    let own = cx.view.own;
    let members = cx.view.local.members().iter();
    let has_larger = members
        .into_iter()
        .any(|member| member.capacity > own.capacity);
    if delivery != Delivery::Direct || !has_larger {
        return Some(from);
    }
    cx.view.draw_peer(cx.rng)
}
