//! Follows the published configuration and instances, and applies them.
//!
//! A source lists everything once and then reports changes. It may be slow, down,
//! unresponsive or without history. Every retry is jittered, so that hosts that
//! lost the source at the same time do not return to it at the same time.
//!
//! A few hosts read the source and pass the changes on; see
//! [`waxwingusher_membership::seeded::readers`]. The others read it only when they
//! have missed changes or hear from no reader.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use waxwingusher_config::routing::{RoutingDocument, RoutingTable};
use waxwingusher_core::{FailureDomain, FeedPosition, InstanceId};
use waxwingusher_membership::seeded::name_hash;
use waxwingusher_upstreams::RosterEffect;

use crate::feed_calls::{
    ANSWER_TIMEOUT, BATCH_DELAY, CATCH_UP_WAIT, CallFailure, FeedCalls, INITIAL_BACKOFF, jittered,
};
use crate::feed_replica::{Applied, EncodedConfiguration};
use crate::feed_source::{Changes, FeedSource, PublishedConfig, SourceError};
use crate::journal::Event;
use crate::state::State;
use crate::units::millis;

/// How often a host that relies on readers checks them and its own position.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// How long a listing may take, which consists of many pages. The source bounds the
/// time of each: 3,000 instances and a configuration of 400 KB take 1.5 s on a link of
/// 10 Mbit/s.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);
/// How long peers may be ahead before the watch is restarted on a new connection.
const MAX_LAG_TIME: Duration = Duration::from_millis(350);

/// Follows the source until the host stops.
pub(crate) async fn follow<S: FeedSource>(state: Rc<State>, source: Rc<S>) {
    let mut follower = Follower {
        state,
        source,
        is_listed: false,
        calls: FeedCalls::default(),
    };
    loop {
        follower.step().await;
    }
}

struct Follower<S> {
    state: Rc<State>,
    source: Rc<S>,
    /// Whether everything was listed, so that only changes are missing.
    is_listed: bool,
    calls: FeedCalls,
}

impl<S: FeedSource> Follower<S> {
    async fn step(&mut self) {
        let result = if !self.is_listed {
            self.list().await
        } else if self.state.must_read_feed() {
            if !self.state.feed.borrow().is_reading() && !self.state.is_alone() {
                // The connection may be dead after a time without calls.
                self.source.reconnect();
            }
            self.watch().await
        } else {
            self.state.feed.borrow_mut().stop_reading();
            self.rely_on_readers().await
        };
        match result {
            Ok(()) => self.mark_feed_regained(),
            Err(SourceError::HistoryGone) => self.list_again("history-gone").await,
            // The same call would get the same answer.
            Err(SourceError::TooLarge) if self.is_listed => {
                self.list_again("too-large").await;
            }
            Err(error @ SourceError::TooLarge) => {
                self.back_off(&error.to_string(), CallFailure::Refused)
                    .await;
            }
            Err(SourceError::Unreachable(cause)) => {
                self.back_off(&cause, CallFailure::Unreachable).await;
            }
            Err(SourceError::Refused(cause)) => self.back_off(&cause, CallFailure::Refused).await,
        }
    }

    /// Waits a moment, and then lists everything again.
    async fn list_again(&mut self, cause: &'static str) {
        self.is_listed = false;
        self.state.journal.write(&Event::Dependency {
            name: "feed",
            state: cause,
            cause: "everything is listed again",
        });
        self.sleep_with_jitter(INITIAL_BACKOFF).await;
    }

    async fn list(&mut self) -> Result<(), SourceError> {
        let listing = tokio::time::timeout(LIST_TIMEOUT, self.source.list()).await;
        let listing = listing.map_err(|_| answer_timeout())??;
        let now = self.state.now();
        let mut roster = self.state.roster.borrow_mut();
        let mut feed = self.state.feed.borrow_mut();
        let applied = feed.on_listing(now, listing, &mut roster);
        drop((roster, feed));
        put_in_force(&self.state, applied, ChangeSource::Listing);
        index_instances(&self.state);
        self.is_listed = true;
        Ok(())
    }

    async fn watch(&mut self) -> Result<(), SourceError> {
        let position = self.state.feed.borrow().position();
        let is_alone = self.state.is_alone();
        let wait = self
            .calls
            .watch_wait(is_alone, &mut self.state.rng.borrow_mut());
        let answer = self.source.changes(position, wait);
        let answer = tokio::time::timeout(wait + ANSWER_TIMEOUT, answer);
        let changes = tokio::select! {
            changes = answer => changes.map_err(|_| answer_timeout())??,
            () = wait_until_behind_peers(&self.state) => {
                self.source.reconnect();
                return Ok(());
            }
        };
        let has_changes = self.apply(position, changes)?;
        self.state.feed.borrow_mut().record_read(self.state.now());
        if has_changes {
            self.state.outbox.send_feed_update_soon();
            tokio::time::sleep(BATCH_DELAY).await;
        }
        Ok(())
    }

    /// Waits while readers pass the changes on. If this host has missed some, and no peer
    /// sends them, it reads them from the source.
    async fn rely_on_readers(&mut self) -> Result<(), SourceError> {
        let mut behind_since = None;
        loop {
            self.sleep_with_jitter(READER_CHECK_INTERVAL).await;
            if self.calls.is_lost() && self.is_fed() {
                self.mark_feed_regained();
            }
            if self.state.must_read_feed() {
                return Ok(());
            }
            if !self.state.feed.borrow().is_behind_peers() {
                behind_since = None;
                continue;
            }
            let now = self.state.now();
            let since = *behind_since.get_or_insert(now);
            if self.state.feed.borrow().must_catch_up(now, since) {
                // The connection may be dead after so long a time.
                self.source.reconnect();
                return self.catch_up().await;
            }
        }
    }

    async fn catch_up(&mut self) -> Result<(), SourceError> {
        let position = self.state.feed.borrow().position();
        let answer = self.source.changes(position, CATCH_UP_WAIT);
        let changes = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
        self.apply(position, changes.map_err(|_| answer_timeout())??)?;
        Ok(())
    }

    /// Applies the source's answer with the changes after `since`, and reports whether
    /// there are any.
    fn apply(&mut self, since: FeedPosition, changes: Changes) -> Result<bool, SourceError> {
        let is_empty = changes.items.is_empty();
        let mut roster = self.state.roster.borrow_mut();
        let mut feed = self.state.feed.borrow_mut();
        let applied = feed.on_changes(self.state.now(), since, changes, &mut roster)?;
        drop((roster, feed));
        put_in_force(&self.state, applied, ChangeSource::Store);
        Ok(!is_empty)
    }

    /// Reports whether readers pass the changes on.
    fn is_fed(&self) -> bool {
        self.state.feed.borrow().is_fed(self.state.now())
    }

    fn mark_feed_regained(&mut self) {
        if self.calls.record_answer() {
            self.state.journal.write(&Event::Dependency {
                name: "feed",
                state: "regained",
                cause: "",
            });
        }
    }

    /// Marks the feed as lost and waits before the next call to the source.
    async fn back_off(&mut self, cause: &str, failure: CallFailure) {
        self.source.reconnect();
        let state = &self.state;
        state
            .feed
            .borrow_mut()
            .on_failure(&mut state.roster.borrow_mut());
        if state.feed.borrow().is_behind_peers() {
            state.outbox.request_missed_changes();
        }
        if !self.calls.is_lost() {
            self.state.journal.write(&Event::Dependency {
                name: "feed",
                state: "lost",
                cause,
            });
        }
        let delay = self
            .calls
            .record_failure(failure, &mut self.state.rng.borrow_mut());
        tokio::time::sleep(delay).await;
    }

    async fn sleep_with_jitter(&self, length: Duration) {
        let delay = jittered(length, &mut self.state.rng.borrow_mut());
        tokio::time::sleep(delay).await;
    }
}

fn answer_timeout() -> SourceError {
    SourceError::Unreachable("no answer in time".to_owned())
}

/// Waits until peers have been ahead for [`MAX_LAG_TIME`].
async fn wait_until_behind_peers(state: &State) {
    let mut since = None;
    loop {
        tokio::time::sleep(MAX_LAG_TIME / 2).await;
        if !state.feed.borrow().is_behind_peers() {
            since = None;
            continue;
        }
        let since = *since.get_or_insert_with(Instant::now);
        if since.elapsed() >= MAX_LAG_TIME {
            return;
        }
    }
}

/// How a host learned of a change of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangeSource {
    /// From a complete list.
    Listing,
    /// From the changes of the store.
    Store,
    /// From an update of a peer.
    Peer,
    /// From a peer's notice of an instance that has said that it leaves.
    Notice,
    /// From an answer of the instance or of another one at its address.
    Answer,
    /// The time for which a removed entry is held is over, or a peer has confirmed the removal.
    Expiry,
}

impl ChangeSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Listing => "listing",
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Notice => "notice",
            Self::Answer => "answer",
            Self::Expiry => "expiry",
        }
    }
}

/// Puts what was applied of the feed in force.
pub(crate) fn put_in_force(state: &State, applied: Applied, source: ChangeSource) {
    for published in applied.configurations {
        apply_configuration(state, published);
    }
    for domain in &applied.evacuations {
        report_evacuation(state, domain);
    }
    if applied.instances.is_empty() {
        return;
    }
    for (id, effect) in applied.instances {
        report_roster_change(state, &id, effect, source);
    }
    index_instances(state);
}

/// Puts a configuration in force, unless it is not newer than the one in force.
fn apply_configuration(state: &State, published: PublishedConfig) {
    let (version, routes, outcome, cause) = match published {
        Err(cause) => (0, 0, "refused", cause),
        Ok(document) if document.version <= state.config_version() => (
            document.version,
            document.routes.len(),
            "outdated",
            String::new(),
        ),
        Ok(mut document) => {
            document.leave_out_invalid();
            report_findings(state, &document);
            let (version, routes) = (document.version, document.routes.len());
            let encoded = EncodedConfiguration::new(&document);
            match RoutingTable::build(document) {
                Ok(table) => {
                    install_routing_table(state, table);
                    state.feed.borrow_mut().keep_configuration(encoded);
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
    *state.workspaces_by_hash.borrow_mut() = hashes;
    // Weights may have changed; new pickers start at a new random phase.
    state.split_pickers.borrow_mut().clear();
    *state.routing.borrow_mut() = Some(Arc::new(table));
}

/// Removes entries that the source did not report again after it returned.
pub(crate) fn expire_roster(state: &State) {
    let now = state.now();
    let ended = state.roster.borrow_mut().evacuations_mut().expire(now);
    for domain in &ended {
        report_evacuation(state, domain);
    }
    let expired = state.roster.borrow_mut().expire(now);
    for id in &expired {
        report_roster_change(state, id, RosterEffect::Left, ChangeSource::Expiry);
    }
    if !expired.is_empty() {
        index_instances(state);
    }
}

/// Logs and counts the entries of a configuration that cannot be used as published.
fn report_findings(state: &State, document: &RoutingDocument) {
    for finding in &document.findings {
        let (entry, effect) = (finding.entry.as_str(), finding.effect.as_str());
        state.metrics.record_finding(entry, effect);
        state.journal.write(&Event::Finding {
            version: document.version,
            entry,
            name: &finding.name,
            effect,
            cause: &finding.cause,
        });
    }
}

/// Logs and counts that the evacuation of a failure domain has begun or ended.
fn report_evacuation(state: &State, domain: &FailureDomain) {
    let roster = state.roster.borrow();
    let is_evacuated = roster.evacuations().contains(domain);
    let instances = roster.iter();
    let instances = instances.filter(|listed| listed.entry.failure_domain == *domain);
    let change = if is_evacuated {
        "ordered"
    } else {
        "taken-back"
    };
    state.metrics.record_evacuation(change);
    state.journal.write(&Event::Evacuation {
        failure_domain: domain.as_str(),
        change,
        instances: instances.count(),
    });
    drop(roster);
    state.capacity_freed.notify_waiters();
}

fn report_roster_change(
    state: &State,
    id: &InstanceId,
    effect: RosterEffect,
    source: ChangeSource,
) {
    let change = match effect {
        RosterEffect::Joined => "joined",
        RosterEffect::Draining => "draining",
        RosterEffect::Left => "left",
        RosterEffect::Held => "held",
        RosterEffect::Unchanged => return,
    };
    if effect == RosterEffect::Joined {
        state.evidence.borrow_mut().reset(id);
        state.capacity_freed.notify_waiters();
    }
    log_instance(state, id, change, source);
}

/// Logs and counts a change of an instance.
pub(crate) fn log_instance(
    state: &State,
    id: &InstanceId,
    change: &'static str,
    source: ChangeSource,
) {
    let now = state.now();
    let updated_at = state.roster.borrow().updated_at(id);
    let age = updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
    let feed = state.feed.borrow();
    state
        .metrics
        .record_instance_change(change, source.as_str());
    state.journal.write(&Event::Instance {
        instance: id.as_str(),
        change,
        source: source.as_str(),
        revision: feed.position().revision,
        entry_age_ms: millis(age),
        feed_age_ms: feed.answer_age(now).map(millis),
    });
}

/// Logs that this host begins or ceases to take a removed entry for a departure.
pub(crate) fn log_removal_trust(state: &State, former: &mut bool) {
    let now = state.now();
    let trusts_removals = state.roster.borrow().trusts_removals(now);
    if std::mem::replace(former, trusts_removals) == trusts_removals {
        return;
    }
    let answer_age = state.feed.borrow().answer_age(now);
    let answer_age = answer_age.map_or("never".to_owned(), |age| format!("{} ms ago", millis(age)));
    state.journal.write(&Event::Dependency {
        name: "removals",
        state: if trusts_removals { "regained" } else { "lost" },
        cause: &format!("the store last answered {answer_age}"),
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
    *state.instances_by_hash.borrow_mut() = hashes;
}
