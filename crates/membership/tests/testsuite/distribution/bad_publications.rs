//! Publications that are incomplete, altered or wrong.

use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use waxwingusher_bench::config::sample::change;
use waxwingusher_bench::config::service::ServiceMode;
use waxwingusher_config::publication::{HOSTS_KEY, MANIFEST_KEY};
use waxwingusher_config::{Pack, PublicationError, publish};

use super::lab::{Lab, TARGET};

/// Runs for a while and checks that version 1 stays in force, with one refusal on
/// each host that read the value.
fn expect_refused_once_by_readers(lab: &mut Lab) {
    let readers = lab.readers().len();
    lab.fleet.run(Duration::from_secs(400));
    assert_eq!(lab.versions(), vec![1; 12]);
    assert_eq!(lab.refusals(), readers);
}

#[test]
fn a_manifest_whose_packs_are_missing_waits_for_them() {
    let mut lab = Lab::new(12, 21);
    let publication = lab.next();
    lab.fleet
        .service
        .put(MANIFEST_KEY, publication.manifest.clone());
    lab.fleet.run(Duration::from_secs(45));
    assert_eq!(lab.versions(), vec![1; 12]);
    assert_eq!(lab.refusals(), 0);
    let host = lab.readers()[0].clone();
    lab.fleet.restart(&host);
    lab.expect_everywhere(1, Duration::from_secs(10));
    lab.fleet.service.put_packs(&publication.packs);
    lab.expect_everywhere(2, Duration::from_secs(30) + TARGET);
}

#[test]
fn a_half_written_version_does_not_hide_the_one_before() {
    let mut lab = Lab::new(12, 22);
    let second = lab.next();
    let third = lab.next();
    let reader = lab.readers()[0].clone();
    // One reader sees the third version without its packs, the others see the
    // second.
    lab.fleet.service.put(MANIFEST_KEY, third.manifest.clone());
    lab.fleet.run(Duration::from_secs(2));
    lab.fleet.service.cut(&reader);
    lab.fleet.service.publish(&second);
    lab.expect_everywhere(2, TARGET);
}

#[test]
fn a_manifest_that_cannot_be_decoded_is_refused_once() {
    let mut lab = Lab::new(12, 23);
    lab.fleet
        .service
        .put(MANIFEST_KEY, Arc::from(&b"{\"format\":"[..]));
    expect_refused_once_by_readers(&mut lab);
    lab.publish();
    lab.expect_everywhere(2, TARGET);
}

#[test]
fn packs_with_wrong_digests_are_refused_once() {
    let mut lab = Lab::new(12, 24);
    let publication = lab.next();
    let packs: Vec<_> = publication
        .packs
        .iter()
        .map(|pack| Pack {
            digest: pack.digest,
            bytes: Arc::from(&b"altered"[..]),
        })
        .collect();
    lab.fleet.service.put_packs(&packs);
    lab.fleet.service.put(MANIFEST_KEY, publication.manifest);
    expect_refused_once_by_readers(&mut lab);
    for node in lab.fleet.nodes.values() {
        for refusal in &node.refusals {
            assert_matches!(refusal.reason, PublicationError::WrongDigest { .. });
        }
    }
    lab.publish();
    lab.expect_everywhere(3, TARGET);
}

#[test]
fn a_publication_that_fails_its_checks_is_refused_once() {
    let mut lab = Lab::new(12, 25);
    let mut bad = lab.snapshot.clone();
    bad.version = 2;
    bad.services.clear();
    let publication = publish(&bad).expect("publishing checks sizes only");
    lab.fleet.service.publish(&publication);
    expect_refused_once_by_readers(&mut lab);
    lab.snapshot.version = 2;
    lab.publish();
    lab.expect_everywhere(3, TARGET);
}

#[test]
fn the_same_version_with_other_content_is_refused_once() {
    let mut lab = Lab::new(12, 26);
    let mut other = lab.snapshot.clone();
    change(&mut other, &mut lab.rng);
    let publication = publish(&other).expect("it is good");
    lab.fleet.service.publish(&publication);
    expect_refused_once_by_readers(&mut lab);
    for id in lab.fleet.nodes.keys() {
        assert_eq!(lab.fleet.current(id).as_deref(), Some(&lab.snapshot));
    }
    lab.fleet.service.set_mode(ServiceMode::Away);
}

#[test]
fn a_host_list_that_cannot_be_decoded_is_refused_and_the_last_stays() {
    let mut lab = Lab::new(12, 27);
    lab.fleet.service.put(HOSTS_KEY, Arc::from(&b"[]"[..]));
    expect_refused_once_by_readers(&mut lab);
    for node in lab.fleet.nodes.values() {
        assert_eq!(node.agent.hosts().map(|list| list.version), Some(1));
    }
}
