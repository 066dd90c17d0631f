//! Follows what is published, and puts it in force.
//!
//! A source lists everything once and then tells changes. It may be slow, down,
//! silent or without history; each way back is jittered, so that a fleet whose
//! hosts lost it together does not return together.

use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use waxwingusher_config::routing::{RoutingDocument, RoutingTable};
use waxwingusher_core::InstanceId;
use waxwingusher_membership::seeded::name_hash;
use waxwingusher_upstreams::{RosterChange, RosterEffect, RosterEntry};

use crate::attempt::millis;
use crate::journal::Event;
use crate::state::State;

/// How long the source holds a question for changes at most. It bounds how long a
/// host that hears no peer waits behind a connection that has gone silent.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(10);
/// How long the source holds the first question after it was lost. The question
/// may be lost, too, so its answer must be due soon.
const RECOVERY_WATCH_WAIT: Duration = Duration::from_millis(500);
/// What an answer may take beside the time that the source holds the question.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The pause between two questions, so that changes in quick succession come
/// in one answer.
const BATCH_DELAY: Duration = Duration::from_millis(500);
/// The first pause after the source gave no answer; each is twice the former.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// The longest pause after the source refused; each question is priced.
const MAX_REFUSED_BACKOFF: Duration = Duration::from_millis(1_000);
/// The longest pause after the source could not be reached, which costs nothing.
/// A host must know of removals again soon after its path is back.
const MAX_UNREACHABLE_BACKOFF: Duration = Duration::from_millis(350);
/// How far peers may be ahead before the question is asked anew.
const MAX_LAG: Duration = Duration::from_millis(350);

/// Where configuration and instances are published.
pub trait FeedSource {
    /// Reads everything.
    fn list(&self) -> impl Future<Output = Result<Listing, SourceError>>;

    /// Waits for changes after `position`, at most for `wait`.
    fn changes(
        &self,
        position: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, SourceError>>;

    /// Drops connections that may have gone silent.
    fn reconnect(&self);
}

/// Everything that is published.
#[derive(Debug)]
pub struct Listing {
    /// The configuration, if there is one.
    pub routing: Option<Published>,
    /// All instances.
    pub roster: Vec<RosterEntry>,
    /// The position from which changes follow.
    pub position: u64,
}

/// Changes in their order.
#[derive(Debug)]
pub struct Changes {
    /// The changes.
    pub items: Vec<Change>,
    /// The position from which further changes follow.
    pub position: u64,
}

/// One change.
#[derive(Debug)]
pub enum Change {
    /// A configuration was published.
    Routing(Published),
    /// An instance's entry changed.
    Roster(RosterChange),
}

/// A configuration as it was published, or why it cannot be read.
pub type Published = Result<RoutingDocument, String>;

/// The source gave no answer that can be used.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// The changes after the position are not known any more.
    #[error("the history after the position is gone")]
    HistoryGone,
    /// The source could not be reached, or its answer was lost.
    #[error("{0}")]
    Unreachable(String),
    /// The source refused to answer.
    #[error("{0}")]
    Refused(String),
}

/// Follows the source for as long as the host lives.
pub(crate) async fn follow(state: Rc<State>, source: impl FeedSource) {
    let mut follower = Follower {
        state,
        source,
        position: None,
        backoff: INITIAL_BACKOFF,
        is_feed_lost: false,
    };
    loop {
        follower.step().await;
    }
}

struct Follower<S> {
    state: Rc<State>,
    source: S,
    /// Where changes follow; none until everything was listed.
    position: Option<u64>,
    backoff: Duration,
    is_feed_lost: bool,
}

impl<S: FeedSource> Follower<S> {
    async fn step(&mut self) {
        let result = match self.position {
            None => self.list().await,
            Some(position) => self.watch(position).await,
        };
        match result {
            Ok(()) => self.mark_feed_regained(),
            Err(SourceError::HistoryGone) => {
                self.position = None;
                self.state.journal.write(&Event::Dependency {
                    name: "feed",
                    state: "history-gone",
                    cause: "everything is listed again",
                });
                self.sleep_with_jitter(INITIAL_BACKOFF).await;
            }
            Err(SourceError::Unreachable(cause)) => {
                self.back_off(&cause, MAX_UNREACHABLE_BACKOFF).await;
            }
            Err(SourceError::Refused(cause)) => self.back_off(&cause, MAX_REFUSED_BACKOFF).await,
        }
    }

    async fn list(&mut self) -> Result<(), SourceError> {
        let listing = tokio::time::timeout(ANSWER_TIMEOUT, self.source.list()).await;
        let listing = listing.map_err(|_| answer_timeout())??;
        self.mark_feed_returned();
        if let Some(published) = listing.routing {
            apply_configuration(&self.state, published);
        }
        replace_roster(&self.state, listing.roster, listing.position);
        self.set_position(listing.position);
        Ok(())
    }

    async fn watch(&mut self, position: u64) -> Result<(), SourceError> {
        let wait = self.watch_wait();
        let answer = self.source.changes(position, wait);
        let answer = tokio::time::timeout(wait + ANSWER_TIMEOUT, answer);
        let changes = tokio::select! {
            changes = answer => changes.map_err(|_| answer_timeout())??,
            () = wait_until_behind_peers(&self.state, position) => {
                self.source.reconnect();
                return Ok(());
            }
        };
        self.mark_feed_returned();
        let is_empty = changes.items.is_empty();
        let position = changes.position.max(position);
        for change in changes.items {
            match change {
                Change::Routing(published) => apply_configuration(&self.state, published),
                Change::Roster(change) => apply_roster_change(&self.state, change, position),
            }
        }
        self.set_position(position);
        if !is_empty {
            index_instances(&self.state);
            tokio::time::sleep(BATCH_DELAY).await;
        }
        Ok(())
    }

    /// Returns how long the source should hold the next question. Hosts that
    /// started together differ, so that not all of them wait behind the same
    /// silence: the first to ask anew leads the others on.
    fn watch_wait(&self) -> Duration {
        if self.is_feed_lost {
            return RECOVERY_WATCH_WAIT;
        }
        MAX_WATCH_WAIT.mul_f64(1.0 - 0.5 * self.state.rng.borrow_mut().f64())
    }

    fn set_position(&mut self, position: u64) {
        self.position = Some(position);
        self.state.feed_position.set(position);
    }

    /// Tells the roster before the first news of the source is applied.
    fn mark_feed_returned(&self) {
        self.state
            .roster
            .borrow_mut()
            .mark_feed_restored(self.state.now());
    }

    fn mark_feed_regained(&mut self) {
        self.backoff = INITIAL_BACKOFF;
        if std::mem::take(&mut self.is_feed_lost) {
            self.state.journal.write(&Event::Dependency {
                name: "feed",
                state: "regained",
                cause: "",
            });
        }
    }

    async fn back_off(&mut self, cause: &str, max_backoff: Duration) {
        self.source.reconnect();
        self.state.roster.borrow_mut().mark_feed_lost();
        if !self.is_feed_lost {
            self.is_feed_lost = true;
            self.state.journal.write(&Event::Dependency {
                name: "feed",
                state: "lost",
                cause,
            });
        }
        self.sleep_with_jitter(self.backoff.min(max_backoff)).await;
        self.backoff = (self.backoff * 2).min(MAX_REFUSED_BACKOFF);
    }

    async fn sleep_with_jitter(&self, length: Duration) {
        let jitter = 0.5 + self.state.rng.borrow_mut().f64();
        tokio::time::sleep(length.mul_f64(jitter)).await;
    }
}

fn answer_timeout() -> SourceError {
    SourceError::Unreachable("no answer in time".to_owned())
}

/// Returns when peers have been ahead of `position` for a while.
async fn wait_until_behind_peers(state: &State, position: u64) {
    let mut since = None;
    loop {
        tokio::time::sleep(MAX_LAG / 2).await;
        if state.max_peer_position.get() <= position {
            since = None;
            continue;
        }
        let since = *since.get_or_insert_with(Instant::now);
        if since.elapsed() >= MAX_LAG {
            return;
        }
    }
}

/// Puts a configuration in force, unless it is older than the present one.
fn apply_configuration(state: &State, published: Published) {
    let (version, routes, outcome, cause) = match published {
        Err(cause) => (0, 0, "refused", cause),
        Ok(document) if document.version <= state.config_version() => (
            document.version,
            document.routes.len(),
            "outdated",
            String::new(),
        ),
        Ok(document) => {
            let (version, routes) = (document.version, document.routes.len());
            match RoutingTable::build(document) {
                Ok(table) => {
                    install_routing_table(state, table);
                    (version, routes, "in-force", String::new())
                }
                Err(error) => (version, routes, "refused", error.to_string()),
            }
        }
    };
    state.journal.write(&Event::Configuration {
        version,
        routes,
        outcome,
        cause: &cause,
    });
}

fn install_routing_table(state: &State, table: RoutingTable) {
    let now = state.now();
    let mut hashes = HashMap::new();
    let mut limits = state.limits.borrow_mut();
    for workspace in table.workspaces() {
        limits.set_limit(now, &workspace.name, workspace.rate_per_s, workspace.burst);
        hashes.insert(name_hash(workspace.name.as_str()), workspace.name.clone());
    }
    limits.retain(|name| hashes.contains_key(&name_hash(name.as_str())));
    *state.workspace_hashes.borrow_mut() = hashes;
    // Weights may have changed; hosts pick new phases.
    state.split_pickers.borrow_mut().clear();
    *state.routing.borrow_mut() = Some(Arc::new(table));
}

fn replace_roster(state: &State, entries: Vec<RosterEntry>, position: u64) {
    let now = state.now();
    let news = state.roster.borrow_mut().replace(now, entries, position);
    for (id, change) in news {
        report_roster_change(state, &id, change);
    }
    state.has_roster.set(true);
    index_instances(state);
}

fn apply_roster_change(state: &State, change: RosterChange, position: u64) {
    let id = match &change {
        RosterChange::Put(entry) => entry.id.clone(),
        RosterChange::Removed(id) | RosterChange::Unusable(id) => id.clone(),
    };
    let news = state
        .roster
        .borrow_mut()
        .apply(state.now(), change, position);
    report_roster_change(state, &id, news);
}

/// Drops entries that did not come back after the source had.
pub(crate) fn expire_roster(state: &State) {
    let expired = state.roster.borrow_mut().expire(state.now());
    for id in &expired {
        report_roster_change(state, id, RosterEffect::Left);
    }
    if !expired.is_empty() {
        index_instances(state);
    }
}

fn report_roster_change(state: &State, id: &InstanceId, news: RosterEffect) {
    let change = match news {
        RosterEffect::Joined => "joined",
        RosterEffect::Draining => "draining",
        RosterEffect::Left => "left",
        RosterEffect::Held => "held",
        RosterEffect::Unchanged => return,
    };
    if news == RosterEffect::Joined {
        state.evidence.borrow_mut().reset(id);
        state.capacity_freed.notify_waiters();
    }
    let updated_at = state
        .roster
        .borrow()
        .get(id)
        .map(|listed| listed.updated_at);
    let age = updated_at.map_or(Duration::ZERO, |at| {
        state.now().saturating_duration_since(at)
    });
    state.journal.write(&Event::Instance {
        instance: id.as_str(),
        change,
        entry_age_ms: millis(age),
    });
}

fn index_instances(state: &State) {
    let roster = state.roster.borrow();
    let ids = roster.iter().map(|listed| listed.entry.id.clone());
    let hashes: HashMap<u32, InstanceId> = ids.map(|id| (name_hash(id.as_str()), id)).collect();
    state
        .evidence
        .borrow_mut()
        .retain(|id| hashes.contains_key(&name_hash(id.as_str())));
    *state.instance_hashes.borrow_mut() = hashes;
}
