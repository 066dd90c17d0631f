//! Recovery of a host whose source fails.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use waxwingusher_config::routing::RoutingDocument;
use waxwingusher_core::{FeedPosition, KeyDigest};
use waxwingusher_gateway::FeedSource;
use waxwingusher_gateway::ports::{Change, Changes, Listing, SourceError};
use waxwingusher_upstreams::RosterEntry;

use crate::harness::{Instance, KEY, TestHost, answer_with_proof, document, request, roster};

/// The time within which a change must be in force once the source answers
/// again: three seconds without failures and two for the change.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// A source that fails the first watch, never answers the second, and then works.
struct UnresponsiveSource {
    watches: AtomicUsize,
    changed: RoutingDocument,
    roster: Vec<RosterEntry>,
}

impl FeedSource for UnresponsiveSource {
    async fn list(&self) -> Result<Listing, SourceError> {
        Ok(Listing {
            routing: Some(Ok(document())),
            roster: self.roster.clone(),
            evacuated: BTreeSet::new(),
            position: FeedPosition::new(0, 1),
        })
    }

    async fn changes(
        &self,
        position: FeedPosition,
        _wait: Duration,
    ) -> Result<Changes, SourceError> {
        match self.watches.fetch_add(1, Ordering::SeqCst) {
            0 => Err(SourceError::Unreachable("the connection broke".to_owned())),
            number if number > 1 && position.revision == 1 => Ok(Changes {
                items: vec![(2, Change::Routing(Ok(self.changed.clone())))],
                position: FeedPosition::new(0, 2),
            }),
            _ => std::future::pending().await,
        }
    }

    fn reconnect(&self) {}
}

/// After a store outage all hosts waited 11 s for the answer to the watch that they
/// had sent while the store was unresponsive (Chhutighar store-in-trouble, seed
/// 72744296414).
#[test]
fn a_watch_that_was_lost_with_the_source_is_soon_restarted() {
    let instance = Instance::start(Arc::new(|request, _| {
        answer_with_proof(request, "200 OK", "done")
    }));
    let mut changed = document();
    changed.version = 2;
    changed.workspaces[0].keys = vec![KeyDigest::of_key(b"new-key")];
    let source = UnresponsiveSource {
        watches: AtomicUsize::new(0),
        changed,
        roster: roster(&[&instance]),
    };
    let started = Instant::now();
    let host = TestHost::start_with_source(source, Duration::from_secs(1));
    let text = request("GET", "/read/1", "a", "").replace(KEY, "new-key");
    while host.send(&text).status != 200 {
        assert!(
            started.elapsed() < IN_FORCE_WITHIN,
            "the old key still works"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A source that lists one configuration at a position and refuses all other calls.
struct RefusingSource {
    document: RoutingDocument,
    roster: Vec<RosterEntry>,
    position: FeedPosition,
}

impl FeedSource for RefusingSource {
    async fn list(&self) -> Result<Listing, SourceError> {
        Ok(Listing {
            routing: Some(Ok(self.document.clone())),
            roster: self.roster.clone(),
            evacuated: BTreeSet::new(),
            position: self.position,
        })
    }

    async fn changes(
        &self,
        _position: FeedPosition,
        _wait: Duration,
    ) -> Result<Changes, SourceError> {
        Err(SourceError::Refused("turned away".to_owned()))
    }

    fn reconnect(&self) {}
}

/// A host that had missed the update with a configuration, and that the store turned away,
/// served by the old one until the store answered again.
#[test]
fn a_host_that_the_source_turns_away_gets_the_configuration_from_a_peer() {
    let instance = Instance::start(Arc::new(|request, _| {
        answer_with_proof(request, "200 OK", "done")
    }));
    let source = |document, revision| RefusingSource {
        document,
        roster: roster(&[&instance]),
        position: FeedPosition::new(0, revision),
    };
    let mut changed = document();
    changed.version = 2;
    changed.workspaces[0].keys = vec![KeyDigest::of_key(b"new-key")];
    let grace = Duration::from_secs(1);
    let ahead = TestHost::start_with_source(source(changed, 10), grace);
    let behind = TestHost::start_with_seeds(&[ahead.peer_addr], source(document(), 1), grace);
    let started = Instant::now();
    let text = request("GET", "/read/1", "a", "");
    while behind.send(&text.replace(KEY, "new-key")).status != 200 {
        assert!(
            started.elapsed() < IN_FORCE_WITHIN,
            "the old key still works"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(behind.send(&text).status, 401, "the old key is withdrawn");
    assert_eq!(ahead.send(&text).status, 401);
}
