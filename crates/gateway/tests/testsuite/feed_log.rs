//! Excerpts of the feed contain all changes between their two positions.

use std::time::{Duration, Instant};

use waxwingusher_core::{FeedPosition, InstanceId};
use waxwingusher_gateway::feed_log::{FeedExcerpt, FeedLog, REPEAT_TIME, RevisedChange};
use waxwingusher_gateway::ports::Change;
use waxwingusher_upstreams::RosterChange;

fn at(revision: u64) -> FeedPosition {
    FeedPosition::new(1, revision)
}

fn removal(revision: u64) -> RevisedChange {
    let id = InstanceId::new(&format!("i-{revision}"));
    RevisedChange {
        revision,
        change: Change::Roster(RosterChange::Removed(id)),
    }
}

fn configuration(revision: u64) -> RevisedChange {
    RevisedChange {
        revision,
        change: Change::Routing(Err("unreadable".to_owned())),
    }
}

fn revisions(excerpt: &FeedExcerpt) -> Vec<u64> {
    let changes: Vec<RevisedChange> =
        postcard::from_bytes(&excerpt.changes).expect("encoded changes");
    changes.iter().map(|change| change.revision).collect()
}

/// A reader learned of a change from another reader and of the next one itself. Its
/// update seemed to cover both, so hosts that relied on it missed the first one: they
/// sent requests to an instance that had said that it leaves (chhutighar-edge-grown
/// trouble-1, DRAIN).
#[test]
fn an_excerpt_contains_what_this_host_learned_from_other_readers() {
    let (mut log, now) = (FeedLog::default(), Instant::now());
    log.add(now, at(10), &[], at(10));
    log.add(now, at(10), &[removal(11)], at(11));
    // From another reader.
    log.add(now, at(8), &[removal(9), removal(11), removal(12)], at(12));
    log.add(now, at(12), &[removal(13)], at(13));
    let excerpt = log.take_excerpt(now).expect("there are changes");
    assert_eq!((excerpt.since, excerpt.until), (at(10), at(13)));
    assert_eq!(revisions(&excerpt), [11, 12, 13]);
}

#[test]
fn an_excerpt_begins_after_a_gap() {
    let (mut log, now) = (FeedLog::default(), Instant::now());
    log.add(now, at(10), &[removal(11)], at(11));
    log.add(now, at(14), &[removal(15)], at(15));
    let excerpt = log.take_excerpt(now).expect("there are changes");
    assert_eq!((excerpt.since, excerpt.until), (at(14), at(15)));
    assert_eq!(revisions(&excerpt), [15]);
}

#[test]
fn changes_are_repeated_for_a_while_and_configurations_are_not() {
    let (mut log, now) = (FeedLog::default(), Instant::now());
    log.add(now, at(10), &[removal(11), configuration(12)], at(12));
    log.add(now, at(12), &[removal(13)], at(13));
    let first = log.take_excerpt(now).expect("there are changes");
    assert_eq!(revisions(&first), [11, 12, 13]);
    let second = log.take_excerpt(now).expect("a position");
    assert_eq!((second.since, second.until), (at(12), at(13)));
    assert_eq!(revisions(&second), [13]);
    let later = now + REPEAT_TIME + Duration::from_millis(1);
    let third = log.take_excerpt(later).expect("a position");
    assert_eq!((third.since, third.until), (at(13), at(13)));
    assert!(revisions(&third).is_empty());
}

#[test]
fn a_new_era_starts_the_log_anew() {
    let (mut log, now) = (FeedLog::default(), Instant::now());
    log.add(now, at(10), &[removal(11)], at(11));
    let restored = FeedPosition::new(2, 9);
    log.add(now, restored, &[], restored);
    let excerpt = log.take_excerpt(now).expect("a position");
    assert_eq!((excerpt.since, excerpt.until), (restored, restored));
}
