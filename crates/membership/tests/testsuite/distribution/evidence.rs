//! Evidence that the host list is current.

use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, HostEntry, HostId, HostList, HostState};
use waxwingusher_membership::distribution::{ListEvidence, ListFreshness, PeerAnswer};

const VERSION: u64 = 7;
const SECOND: Duration = Duration::from_secs(1);

/// Two hosts in each of four failure domains; this one is `0-0`.
fn list() -> HostList {
    let mut hosts = Vec::new();
    for domain in 0..4 {
        for index in 0..2 {
            hosts.push(HostEntry {
                id: HostId::new(&format!("{domain}-{index}")),
                peer_addr: ([127, 0, 0, 1], 1).into(),
                failure_domain: FailureDomain::new(&domain.to_string()),
                state: HostState::Live,
            });
        }
    }
    HostList {
        version: VERSION,
        hosts,
    }
}

fn answer(host: &str, seen_version: u64, asked_at: Instant) -> PeerAnswer {
    PeerAnswer {
        host: HostId::new(host),
        seen_version,
        asked_at,
    }
}

fn evidence(freshness: &ListFreshness, now: Instant) -> ListEvidence {
    ListEvidence::new(freshness, &list(), &HostId::new("0-0"), now)
}

fn freshness(confirmed_at: Option<Instant>, answers: Vec<PeerAnswer>) -> ListFreshness {
    ListFreshness {
        version: VERSION,
        seen_version: VERSION,
        confirmed_at,
        answers,
    }
}

#[test]
fn answers_count_only_from_a_majority_of_the_failure_domains() {
    let start = Instant::now();
    let now = start + SECOND * 10;
    let own_domain = answer("0-1", VERSION, start + SECOND * 9);
    let second = answer("1-0", VERSION, start + SECOND * 8);
    let third = answer("2-0", VERSION, start + SECOND * 5);
    let half = freshness(None, vec![own_domain.clone(), second.clone()]);
    assert_eq!(evidence(&half, now).known_at, None);
    let majority = freshness(None, vec![own_domain, second, third]);
    let list_evidence = evidence(&majority, now);
    assert_eq!(
        list_evidence.known_at,
        Some(start + SECOND * 5),
        "the oldest of the three"
    );
    assert_eq!(list_evidence.read_at, None, "an answer is not a read");
}

#[test]
fn a_read_is_sufficient_evidence() {
    let start = Instant::now();
    let list_evidence = evidence(&freshness(Some(start), Vec::new()), start + SECOND);
    assert_eq!(list_evidence.read_at, Some(start));
    assert_eq!(list_evidence.known_at, Some(start));
}

#[test]
fn a_newer_list_known_to_any_host_ends_all_evidence() {
    let start = Instant::now();
    let mut superseded = freshness(Some(start), Vec::new());
    superseded.seen_version = VERSION + 1;
    let list_evidence = evidence(&superseded, start + SECOND);
    assert_eq!(
        (list_evidence.read_at, list_evidence.known_at),
        (None, None)
    );
    let answers = ["1-0", "2-0", "3-0"].map(|host| answer(host, VERSION, start));
    let mut answers = answers.to_vec();
    answers.push(answer("3-1", VERSION + 1, start));
    assert_eq!(
        evidence(&freshness(None, answers), start + SECOND).known_at,
        None
    );
}
