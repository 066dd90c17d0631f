//! Excerpts of the feed contain all changes between their two positions.

use std::time::Instant;

use waxwingusher_core::{FeedPosition, InstanceId};
use waxwingusher_gateway::feed_codec::{RevisedWireChange, WireChange};
use waxwingusher_gateway::feed_log::{FeedExcerpt, FeedLog, MAX_CHANGES, RETENTION};
use waxwingusher_upstreams::RosterChange;

fn at(revision: u64) -> FeedPosition {
    FeedPosition::new(1, revision)
}

fn removal(revision: u64) -> RevisedWireChange {
    let id = InstanceId::new(&format!("i-{revision}"));
    RevisedWireChange {
        revision,
        change: WireChange::Roster(RosterChange::Removed(id)),
    }
}

fn configuration(revision: u64) -> RevisedWireChange {
    RevisedWireChange {
        revision,
        change: WireChange::Unreadable("unreadable".to_owned()),
    }
}

fn revisions(excerpt: &FeedExcerpt) -> Vec<u64> {
    let changes = excerpt.changes.iter();
    changes.map(|change| change.revision).collect()
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
    let excerpt = log.take_undistributed(now).expect("there are changes");
    assert_eq!((excerpt.since, excerpt.until), (at(10), at(13)));
    assert_eq!(revisions(&excerpt), [11, 12, 13]);
}

#[test]
fn an_excerpt_begins_after_a_gap() {
    let (mut log, now) = (FeedLog::default(), Instant::now());
    log.add(now, at(10), &[removal(11)], at(11));
    log.add(now, at(14), &[removal(15)], at(15));
    let excerpt = log.take_undistributed(now).expect("there are changes");
    assert_eq!((excerpt.since, excerpt.until), (at(14), at(15)));
    assert_eq!(revisions(&excerpt), [15]);
}

/// Readers repeated the changes of 2 s every 400 ms, which filled the links of hosts that
/// forwarded them at 300 hosts. A host that has missed some asks for them.
#[test]
fn changes_are_sent_once_and_kept_for_hosts_that_have_missed_them() {
    let (mut log, now) = (FeedLog::default(), Instant::now());
    log.add(now, at(10), &[removal(11), configuration(12)], at(12));
    let first = log.take_undistributed(now).expect("there are changes");
    assert_eq!((first.since, first.until), (at(10), at(12)));
    assert_eq!(revisions(&first), [11, 12]);
    log.add(now, at(12), &[removal(13)], at(13));
    let second = log.take_undistributed(now).expect("there are changes");
    assert_eq!((second.since, second.until), (at(12), at(13)));
    assert_eq!(revisions(&second), [13]);
    let third = log.take_undistributed(now).expect("a position");
    assert_eq!((third.since, third.until), (at(13), at(13)));
    let missed = log.after(at(11)).expect("the log reaches back");
    assert_eq!((missed.since, missed.until), (at(11), at(13)));
    assert_eq!(revisions(&missed), [12, 13]);
    assert!(log.after(at(9)).is_none(), "change 10 is not in the log");
    let later = now + RETENTION;
    log.add(later, at(13), &[removal(14)], at(14));
    assert!(log.after(at(12)).is_none(), "change 13 is dropped");
    let last = log.after(at(13)).expect("the log reaches back");
    assert_eq!(revisions(&last), [14]);
}

/// Each of the three readers would send the same changes.
#[test]
fn a_reader_does_not_send_what_another_one_has_sent() {
    let (mut log, now) = (FeedLog::default(), Instant::now());
    log.add(now, at(10), &[], at(10));
    assert!(log.take_undistributed(now).is_some());
    log.add(now, at(10), &[removal(11), removal(12)], at(12));
    log.record_distributed(at(10), at(11));
    // A message that does not follow leaves a gap that this reader fills.
    log.record_distributed(at(12), at(13));
    let excerpt = log.take_undistributed(now).expect("there are changes");
    assert_eq!(revisions(&excerpt), [12]);
}

/// Instances that return together write thousands of entries in a few seconds.
#[test]
fn the_log_is_bounded() {
    let (mut log, now) = (FeedLog::default(), Instant::now());
    let count = MAX_CHANGES as u64 + 100;
    let changes: Vec<RevisedWireChange> = (1..=count).map(removal).collect();
    log.add(now, at(0), &changes, at(count));
    assert!(log.after(at(99)).is_none());
    let kept = log.after(at(100)).expect("the log reaches back");
    assert_eq!(kept.changes.len(), MAX_CHANGES);
}

#[test]
fn a_new_era_starts_the_log_anew() {
    let (mut log, now) = (FeedLog::default(), Instant::now());
    log.add(now, at(10), &[removal(11)], at(11));
    let restored = FeedPosition::new(2, 9);
    log.add(now, restored, &[], restored);
    let excerpt = log.take_undistributed(now).expect("a position");
    assert_eq!((excerpt.since, excerpt.until), (restored, restored));
}
