//! What a host tells its peers about its reading of the feed.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use waxwingusher_core::FeedPosition;
use waxwingusher_gateway::feed_replica::FeedReplica;
use waxwingusher_gateway::ports::{Changes, Listing};
use waxwingusher_upstreams::Roster;

/// Readers get an answer within this time.
const ANSWER_TIME: Duration = Duration::from_secs(1);

fn listed(now: Instant, roster: &mut Roster) -> FeedReplica {
    let mut replica = FeedReplica::default();
    let listing = Listing {
        routing: None,
        roster: Vec::new(),
        evacuated: BTreeSet::new(),
        position: FeedPosition::new(0, 1),
    };
    replica.on_listing(now, listing, roster);
    replica
}

/// A reader whose connection was dead kept the others from reading (further scale-2,
/// CONFIG 4).
#[test]
fn a_reader_without_recent_answers_does_not_keep_others_from_reading() {
    let (now, mut roster) = (Instant::now(), Roster::default());
    let mut replica = listed(now, &mut roster);
    assert!(!replica.is_reader(now), "it has listed only");
    replica.record_read(now);
    assert!(replica.is_reader(now + ANSWER_TIME));
    assert!(!replica.is_reader(now + 2 * ANSWER_TIME));
    replica.record_read(now + 2 * ANSWER_TIME);
    replica.on_failure(&mut roster);
    assert!(!replica.is_reader(now + 2 * ANSWER_TIME));
}

/// Positions of a restored store do not compare with earlier ones.
#[test]
fn an_answer_of_another_era_is_no_continuation() {
    let (now, mut roster) = (Instant::now(), Roster::default());
    let mut replica = listed(now, &mut roster);
    let since = replica.position();
    let changes = Changes {
        items: Vec::new(),
        position: FeedPosition::new(1, 5),
    };
    let applied = replica.on_changes(now, since, changes, &mut roster);
    assert!(applied.is_err());
    assert_eq!(replica.position(), since);
}
