//! Entries of a live feed: removals, lapses and reappearances.

use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, FeedPosition, InstanceId, ServiceName};
use waxwingusher_upstreams::roster::LAPSE_GRACE;
use waxwingusher_upstreams::{Roster, RosterChange, RosterEffect, RosterEntry, RosterState};

fn entry(id: &str, incarnation: u64, state: RosterState) -> RosterEntry {
    RosterEntry {
        id: InstanceId::new(id),
        incarnation,
        service: ServiceName::new("svc"),
        addr: "127.0.0.1:80".parse().expect("an address"),
        failure_domain: FailureDomain::new("north"),
        software: Arc::from("v1"),
        slots: 4,
        state,
        cold_for: Duration::ZERO,
    }
}

/// Returns a position in the feed's first era.
fn at(revision: u64) -> FeedPosition {
    FeedPosition::new(0, revision)
}

fn ready_ids(roster: &Roster) -> Vec<String> {
    let service = ServiceName::new("svc");
    let ids = roster
        .ready(&service)
        .map(|listed| listed.entry.id.to_string());
    ids.collect()
}

/// Returns a roster of `a` and `b` whose feed is trusted.
fn roster_with_trusted_feed(now: Instant) -> Roster {
    let mut roster = Roster::default();
    roster.mark_feed_restored(now - 2 * LAPSE_GRACE);
    let entries = vec![
        entry("a", 1, RosterState::Ready),
        entry("b", 1, RosterState::Ready),
    ];
    roster.replace(now, entries, at(10));
    roster.expire(now);
    assert!(roster.trusts_removals(now));
    roster
}

#[test]
fn a_removal_counts_at_once_while_the_feed_is_trusted() {
    let now = Instant::now();
    let mut roster = roster_with_trusted_feed(now);
    let effect = roster.apply(now, RosterChange::Removed(InstanceId::new("a")), at(11));
    assert_eq!(effect, RosterEffect::Left);
    assert_eq!(ready_ids(&roster), ["b"]);
}

#[test]
fn an_entry_that_lapsed_while_the_feed_was_lost_may_reappear() {
    let now = Instant::now();
    let mut roster = roster_with_trusted_feed(now);
    roster.mark_feed_lost();
    roster.mark_feed_restored(now);
    let effect = roster.apply(now, RosterChange::Removed(InstanceId::new("a")), at(11));
    assert_eq!(effect, RosterEffect::Held);
    let later = now + LAPSE_GRACE / 2;
    assert!(roster.expire(later).is_empty());
    roster.apply(
        later,
        RosterChange::Put(entry("a", 1, RosterState::Ready)),
        at(12),
    );
    assert!(roster.expire(now + LAPSE_GRACE).is_empty());
    assert_eq!(ready_ids(&roster), ["a", "b"]);
}

#[test]
fn an_entry_that_does_not_reappear_is_removed() {
    let now = Instant::now();
    let mut roster = roster_with_trusted_feed(now);
    roster.mark_feed_lost();
    assert_eq!(ready_ids(&roster), ["a", "b"]);
    roster.mark_feed_restored(now);
    roster.replace(now, vec![entry("b", 1, RosterState::Ready)], at(11));
    assert_eq!(ready_ids(&roster), ["a", "b"]);
    assert_eq!(roster.expire(now + LAPSE_GRACE), [InstanceId::new("a")]);
    assert_eq!(ready_ids(&roster), ["b"]);
}

/// Only one host had lost the feed; it sent requests to an instance that had left
/// 2.2 s before, which its peers knew.
#[test]
fn a_peer_that_never_lost_the_feed_confirms_a_removal() {
    let now = Instant::now();
    let mut roster = roster_with_trusted_feed(now);
    roster.mark_feed_lost();
    roster.mark_feed_restored(now);
    roster.apply(now, RosterChange::Removed(InstanceId::new("a")), at(11));
    roster.confirm_position(at(10));
    assert!(
        roster.expire(now).is_empty(),
        "the peer has not received the removal"
    );
    roster.confirm_position(at(11));
    assert_eq!(roster.expire(now), [InstanceId::new("a")]);
    let effect = roster.apply(now, RosterChange::Removed(InstanceId::new("b")), at(11));
    assert_eq!(effect, RosterEffect::Left);
}

#[test]
fn a_draining_instance_is_not_ready_and_not_held() {
    let now = Instant::now();
    let mut roster = roster_with_trusted_feed(now);
    let effect = roster.apply(
        now,
        RosterChange::Put(entry("a", 1, RosterState::Draining)),
        at(11),
    );
    assert_eq!(effect, RosterEffect::Draining);
    assert_eq!(ready_ids(&roster), ["b"]);
    roster.mark_feed_lost();
    let effect = roster.apply(now, RosterChange::Removed(InstanceId::new("a")), at(12));
    assert_eq!(effect, RosterEffect::Left);
}

#[test]
fn a_new_incarnation_under_the_same_identity_is_a_new_instance() {
    let now = Instant::now();
    let mut roster = roster_with_trusted_feed(now);
    let again = RosterChange::Put(entry("a", 1, RosterState::Ready));
    assert_eq!(roster.apply(now, again, at(11)), RosterEffect::Unchanged);
    let restarted = RosterChange::Put(entry("a", 2, RosterState::Ready));
    assert_eq!(roster.apply(now, restarted, at(12)), RosterEffect::Joined);
}

#[test]
fn an_unusable_entry_removes_its_instance() {
    let now = Instant::now();
    let mut roster = roster_with_trusted_feed(now);
    let effect = roster.apply(now, RosterChange::Unusable(InstanceId::new("a")), at(11));
    assert_eq!(effect, RosterEffect::Left);
    assert_eq!(ready_ids(&roster), ["b"]);
}

/// The store came back from a copy some seconds old: an instance that had left was
/// listed as ready again, and one that had joined since was missing.
#[test]
fn a_feed_restored_from_a_backup_brings_back_no_instance_that_has_left() {
    let now = Instant::now();
    let mut roster = roster_with_trusted_feed(now);
    roster.apply(now, RosterChange::Removed(InstanceId::new("a")), at(11));
    let draining = entry("b", 1, RosterState::Draining);
    roster.apply(now, RosterChange::Put(draining), at(12));
    let fresh = entry("c", 1, RosterState::Ready);
    roster.apply(now, RosterChange::Put(fresh), at(13));
    assert_eq!(ready_ids(&roster), ["c"]);

    let backup = vec![
        entry("a", 1, RosterState::Ready),
        entry("b", 1, RosterState::Ready),
    ];
    roster.replace(now, backup, FeedPosition::new(1, 10));
    assert_eq!(ready_ids(&roster), ["c"], "c may write its entry again");

    let position = FeedPosition::new(1, 11);
    let restarted = entry("a", 2, RosterState::Ready);
    roster.apply(now, RosterChange::Put(restarted), position);
    assert_eq!(ready_ids(&roster), ["a", "c"]);
    assert_eq!(roster.expire(now + LAPSE_GRACE), [InstanceId::new("c")]);
}

/// Revisions are assigned again in a new era, so a position of a peer in the former
/// era confirms nothing.
#[test]
fn a_position_of_another_era_confirms_no_removal() {
    let now = Instant::now();
    let mut roster = roster_with_trusted_feed(now);
    roster.replace(now, Vec::new(), FeedPosition::new(1, 5));
    roster.confirm_position(at(900));
    assert!(roster.expire(now).is_empty());
    assert_eq!(ready_ids(&roster), ["a", "b"]);
    roster.confirm_position(FeedPosition::new(1, 5));
    assert_eq!(roster.expire(now).len(), 2);
}

#[test]
fn an_instance_that_says_it_leaves_is_used_again_only_after_a_restart() {
    let now = Instant::now();
    let mut roster = roster_with_trusted_feed(now);
    let id = InstanceId::new("a");
    assert!(roster.mark_leaving(now, &id, 1));
    assert!(!roster.mark_leaving(now, &id, 1));
    assert_eq!(ready_ids(&roster), ["b"]);
    assert_eq!(roster.leaving_count(&ServiceName::new("svc")), 1);
    // Its entry stays ready, lapses and reappears.
    let again = || RosterChange::Put(entry("a", 1, RosterState::Ready));
    roster.apply(now, again(), at(11));
    roster.apply(now, RosterChange::Removed(id.clone()), at(12));
    roster.apply(now, again(), at(13));
    assert_eq!(ready_ids(&roster), ["b"]);
    let restarted = RosterChange::Put(entry("a", 2, RosterState::Ready));
    roster.apply(now, restarted, at(14));
    assert_eq!(ready_ids(&roster), ["a", "b"]);
}

/// A host that relies on readers has not lost the feed itself, but its reader has.
#[test]
fn an_unconfirmed_removal_is_held_even_if_the_feed_is_trusted() {
    let now = Instant::now();
    let mut roster = roster_with_trusted_feed(now);
    let removal = RosterChange::Removed(InstanceId::new("a"));
    let effect = roster.apply_unconfirmed(now, removal, at(11));
    assert_eq!(effect, RosterEffect::Held);
    assert!(roster.expire(now + LAPSE_GRACE / 2).is_empty());
    assert_eq!(roster.expire(now + LAPSE_GRACE), [InstanceId::new("a")]);
}
