//! Orders to evacuate failure domains.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, FeedPosition, InstanceId, ServiceName};
use waxwingusher_upstreams::{Evacuations, Roster, RosterEntry, RosterState};

/// Longer than a missing order is held after the feed was restored from a backup.
const AFTER_GRACE: Duration = Duration::from_secs(6);

fn domains(names: &[&str]) -> BTreeSet<FailureDomain> {
    names.iter().map(|name| FailureDomain::new(name)).collect()
}

fn entry(id: &str, domain: &str) -> RosterEntry {
    RosterEntry {
        id: InstanceId::new(id),
        incarnation: 1,
        service: ServiceName::new("svc"),
        addr: "127.0.0.1:80".parse().expect("an address"),
        failure_domain: FailureDomain::new(domain),
        software: Arc::from("v1"),
        slots: 4,
        state: RosterState::Ready,
        cold_for: Duration::ZERO,
    }
}

/// Guards against requests to a failure domain that an operator evacuates (shifted
/// trouble-1).
#[test]
fn instances_of_an_evacuated_domain_get_no_requests() {
    let (now, service) = (Instant::now(), ServiceName::new("svc"));
    let mut roster = Roster::default();
    let entries = vec![entry("a", "north"), entry("b", "south")];
    roster.replace(now, entries, FeedPosition::new(0, 1));
    let north = FailureDomain::new("north");
    assert!(roster.evacuations_mut().order(north.clone()));
    assert!(!roster.evacuations_mut().order(north.clone()), "known");
    let ready: Vec<&str> = roster
        .ready(&service)
        .map(|listed| listed.entry.id.as_str())
        .collect();
    assert_eq!(ready, ["b"]);
    assert_eq!(roster.evacuated_count(&service), 1);
    assert!(roster.evacuations_mut().take_back(now, &north));
    assert_eq!(roster.ready(&service).count(), 2);
    assert_eq!(roster.evacuations().ended_at(&north), Some(now));
}

/// An instance that is listed after the order is evacuated, too.
#[test]
fn instances_that_join_an_evacuated_domain_get_no_requests() {
    let (now, service) = (Instant::now(), ServiceName::new("svc"));
    let mut roster = Roster::default();
    roster.evacuations_mut().order(FailureDomain::new("north"));
    roster.replace(now, vec![entry("a", "north")], FeedPosition::new(0, 1));
    assert_eq!(roster.ready(&service).count(), 0);
}

#[test]
fn a_complete_list_begins_and_ends_evacuations() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    assert_eq!(evacuations.replace(now, &domains(&["north"]), 0).len(), 1);
    let changed = evacuations.replace(now, &domains(&["south"]), 0);
    let expected = ["south", "north"].map(FailureDomain::new);
    assert_eq!(changed, expected);
    assert!(!evacuations.contains(&FailureDomain::new("north")));
    assert!(evacuations.contains(&FailureDomain::new("south")));
}

/// Guards against an order that ends since a restored backup lacks it.
#[test]
fn an_order_that_a_backup_lacks_stays_until_it_could_be_written_again() {
    let now = Instant::now();
    let north = FailureDomain::new("north");
    let mut evacuations = Evacuations::default();
    evacuations.replace(now, &domains(&["north"]), 0);
    assert!(evacuations.replace(now, &domains(&[]), 1).is_empty());
    assert!(evacuations.contains(&north));
    assert!(evacuations.expire(now + Duration::from_secs(1)).is_empty());
    assert_eq!(
        evacuations.expire(now + AFTER_GRACE),
        std::slice::from_ref(&north)
    );
    assert!(!evacuations.contains(&north));
}

#[test]
fn an_order_that_is_written_again_after_a_restore_stays() {
    let now = Instant::now();
    let north = FailureDomain::new("north");
    let mut evacuations = Evacuations::default();
    evacuations.replace(now, &domains(&["north"]), 0);
    evacuations.replace(now, &domains(&[]), 1);
    evacuations.order(north.clone());
    assert!(evacuations.expire(now + AFTER_GRACE).is_empty());
    assert!(evacuations.contains(&north));
}
