//! Publications that are incomplete, altered or wrong.

use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use waxwingusher_bench::config::sample::change;
use waxwingusher_bench::config::service::ServiceMode;
use waxwingusher_config::publication::{HOSTS_KEY, MANIFEST_KEY};
use waxwingusher_config::{Pack, PublicationError, publish};

use super::harness::{Harness, TARGET};

/// Runs for a while and checks that version 1 stays in force, with one refusal on
/// each host that read the value.
fn expect_refused_once_by_readers(test: &mut Harness) {
    let readers = test.readers().len();
    test.fleet.run(Duration::from_secs(400));
    assert_eq!(test.versions(), vec![1; 12]);
    assert_eq!(test.refusals(), readers);
}

#[test]
fn a_manifest_whose_packs_are_missing_waits_for_them() {
    let mut test = Harness::new(12, 21);
    let publication = test.next();
    test.fleet
        .service
        .put(MANIFEST_KEY, publication.manifest.clone());
    test.fleet.run(Duration::from_secs(45));
    assert_eq!(test.versions(), vec![1; 12]);
    assert_eq!(test.refusals(), 0);
    let host = test.readers()[0].clone();
    test.fleet.restart(&host);
    test.expect_everywhere(1, Duration::from_secs(10));
    test.fleet.service.put_packs(&publication.packs);
    test.expect_everywhere(2, Duration::from_secs(30) + TARGET);
}

#[test]
fn a_half_written_version_does_not_hide_the_one_before() {
    let mut test = Harness::new(12, 22);
    let second = test.next();
    let third = test.next();
    let reader = test.readers()[0].clone();
    // One reader sees the third version without its packs, the others see the
    // second.
    test.fleet.service.put(MANIFEST_KEY, third.manifest.clone());
    test.fleet.run(Duration::from_secs(2));
    test.fleet.service.cut(&reader);
    test.fleet.service.publish(&second);
    test.expect_everywhere(2, TARGET);
}

#[test]
fn a_manifest_that_cannot_be_decoded_is_refused_once() {
    let mut test = Harness::new(12, 23);
    test.fleet
        .service
        .put(MANIFEST_KEY, Arc::from(&b"{\"format\":"[..]));
    expect_refused_once_by_readers(&mut test);
    test.publish();
    test.expect_everywhere(2, TARGET);
}

#[test]
fn packs_with_wrong_digests_are_refused_once() {
    let mut test = Harness::new(12, 24);
    let publication = test.next();
    let packs: Vec<_> = publication
        .packs
        .iter()
        .map(|pack| Pack {
            digest: pack.digest,
            bytes: Arc::from(&b"altered"[..]),
        })
        .collect();
    test.fleet.service.put_packs(&packs);
    test.fleet.service.put(MANIFEST_KEY, publication.manifest);
    expect_refused_once_by_readers(&mut test);
    for node in test.fleet.nodes.values() {
        for refusal in &node.refusals {
            assert_matches!(refusal.reason, PublicationError::WrongDigest { .. });
        }
    }
    test.publish();
    test.expect_everywhere(3, TARGET);
}

#[test]
fn a_publication_that_fails_its_checks_is_refused_once() {
    let mut test = Harness::new(12, 25);
    let mut bad = test.snapshot.clone();
    bad.version = 2;
    bad.services.clear();
    let publication = publish(&bad).expect("publishing checks sizes only");
    test.fleet.service.publish(&publication);
    expect_refused_once_by_readers(&mut test);
    test.snapshot.version = 2;
    test.publish();
    test.expect_everywhere(3, TARGET);
}

#[test]
fn the_same_version_with_other_content_is_refused_once() {
    let mut test = Harness::new(12, 26);
    let mut other = test.snapshot.clone();
    change(&mut other, &mut test.rng);
    let publication = publish(&other).expect("it is good");
    test.fleet.service.publish(&publication);
    expect_refused_once_by_readers(&mut test);
    for id in test.fleet.nodes.keys() {
        assert_eq!(test.fleet.current(id).as_deref(), Some(&test.snapshot));
    }
    test.fleet.service.set_mode(ServiceMode::Unavailable);
}

#[test]
fn a_host_list_that_cannot_be_decoded_is_refused_and_the_last_stays() {
    let mut test = Harness::new(12, 27);
    test.fleet.service.put(HOSTS_KEY, Arc::from(&b"[]"[..]));
    expect_refused_once_by_readers(&mut test);
    for node in test.fleet.nodes.values() {
        assert_eq!(node.agent.hosts().map(|list| list.version), Some(1));
    }
}
