//! One host's vote and the ejections granted under it.

use std::time::{Duration, Instant};

use waxwingusher_core::{HostId, InstanceId};
use waxwingusher_protocol::health::{EjectionPhase, EjectionRow, Grant, InstanceKey, ServiceKey};
use waxwingusher_upstreams::quorum::quorum;
use waxwingusher_upstreams::settings::{EJECTION_TERM, VOTE_TERM};
use waxwingusher_upstreams::voter::Voter;

use crate::fleet::{host_id, service_name};

const TICK: Duration = Duration::from_millis(1);

fn grant(round: u64, ballot: Option<u64>) -> Grant {
    Grant {
        service: ServiceKey::of(&service_name()),
        round,
        ballot,
        ejections: vec![EjectionRow {
            instance: InstanceKey::of(&InstanceId::new("instance-03")),
            phase: EjectionPhase::Held,
            strikes: 1,
        }],
        unavailable: Vec::new(),
        are_reports_current: true,
    }
}

/// Returns a voter that may vote, and the time.
fn voter() -> (Voter, Instant) {
    let started = Instant::now();
    (Voter::new(started, 100), started + VOTE_TERM)
}

fn coordinator() -> HostId {
    host_id(1)
}

#[test]
fn vote_outlasts_every_ejection_under_it() {
    // An ejection may be granted at the end of one term after the request for the
    // vote, and is then in force for another term.
    assert!(VOTE_TERM > 2 * EJECTION_TERM);
    let (mut voter, now) = voter();
    assert!(
        voter
            .on_grant(now, &coordinator(), 1, &grant(1, None))
            .is_some()
    );
    let bound = now + VOTE_TERM - TICK;
    assert_eq!(voter.on_grant(bound, &host_id(2), 1, &grant(1, None)), None);
    assert_eq!(
        voter.on_grant(bound, &coordinator(), 2, &grant(1, None)),
        None
    );
    let free = now + VOTE_TERM;
    assert!(
        voter
            .on_grant(free, &host_id(2), 1, &grant(1, None))
            .is_some()
    );
}

#[test]
fn ejection_needs_a_ballot_that_the_grant_names() {
    let (mut voter, now) = voter();
    let ballot = voter.on_grant(now, &coordinator(), 1, &grant(1, None));
    assert!(voter.ejections(now).is_empty());
    voter.on_grant(now + TICK, &coordinator(), 1, &grant(2, Some(7)));
    assert!(voter.ejections(now + TICK).is_empty());
    voter.on_grant(now + TICK, &coordinator(), 1, &grant(3, ballot));
    assert_eq!(voter.ejections(now + TICK).len(), 1);
}

#[test]
fn ejection_ends_one_term_after_the_named_vote() {
    let (mut voter, now) = voter();
    let ballot = voter.on_grant(now, &coordinator(), 1, &grant(1, None));
    let late = now + EJECTION_TERM - TICK;
    voter.on_grant(late, &coordinator(), 1, &grant(2, ballot));
    assert_eq!(voter.ejections(late).len(), 1);
    assert!(voter.ejections(now + EJECTION_TERM).is_empty());
    voter.on_grant(now + EJECTION_TERM, &coordinator(), 1, &grant(3, ballot));
    assert!(voter.ejections(now + EJECTION_TERM).is_empty());
}

#[test]
fn grant_of_an_older_round_changes_nothing() {
    let (mut voter, now) = voter();
    let ballot = voter.on_grant(now, &coordinator(), 1, &grant(5, None));
    let mut newer = grant(6, ballot);
    newer.ejections.clear();
    voter.on_grant(now, &coordinator(), 1, &newer);
    assert_eq!(
        voter.on_grant(now, &coordinator(), 1, &grant(4, ballot)),
        None
    );
    assert!(voter.ejections(now).is_empty());
}

#[test]
fn new_process_does_not_vote_for_one_term() {
    let started = Instant::now();
    let mut voter = Voter::new(started, 100);
    let early = started + VOTE_TERM - TICK;
    assert_eq!(
        voter.on_grant(early, &coordinator(), 1, &grant(1, None)),
        None
    );
}

#[test]
fn quorums_of_lists_that_differ_by_a_tenth_share_a_host() {
    for hosts in 1..500 {
        let gone = hosts / 10;
        let union = hosts + gone;
        assert!(2 * quorum(hosts) > union, "{hosts} hosts");
        assert!(quorum(hosts) <= hosts);
    }
}

#[test]
fn suspension_ends_granted_ejections() {
    let (mut voter, now) = voter();
    let ballot = voter.on_grant(now, &coordinator(), 1, &grant(1, None));
    voter.on_grant(now + TICK, &coordinator(), 1, &grant(2, ballot));
    assert_eq!(voter.ejections(now + TICK).len(), 1);
    voter.revoke(now + TICK);
    assert!(voter.ejections(now + TICK).is_empty());
    voter.on_grant(now + TICK, &coordinator(), 1, &grant(3, ballot));
    assert!(
        voter.ejections(now + TICK).is_empty(),
        "the vote is too old"
    );
    // The vote itself still binds for its whole term.
    let bound = now + VOTE_TERM - TICK;
    assert_eq!(voter.on_grant(bound, &host_id(2), 1, &grant(1, None)), None);
}
