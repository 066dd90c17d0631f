//! Encoding and decoding of the published form.

use std::sync::Arc;

use assert_matches::assert_matches;
use waxwingusher_config::publication::{MAX_VERSION, assemble_hosts, publish_hosts};
use waxwingusher_config::{Manifest, Pack, Publication, PublicationError, assemble, publish};
use waxwingusher_core::{HostEntry, HostList, HostState};

use crate::files::sample;

fn published(version: u64) -> (Manifest, Publication) {
    let publication = publish(&sample(version)).expect("the sample can be published");
    let manifest = Manifest::parse(&publication.manifest).expect("the manifest is valid");
    (manifest, publication)
}

#[test]
fn a_publication_decodes_to_its_configuration() {
    let (manifest, publication) = published(3);
    assert_eq!(manifest.version, 3);
    let snapshot = assemble(&manifest, &publication.packs).expect("all packs are present");
    assert_eq!(snapshot, sample(3));
    assert_eq!(publication, published(3).1);
}

#[test]
fn missing_altered_and_undecodable_packs_are_refused() {
    let (manifest, publication) = published(3);
    assert_matches!(
        assemble(&manifest, &publication.packs[1..]),
        Err(PublicationError::MissingPack { digest }) if digest == manifest.packs[0]
    );
    let mut altered = publication.packs.clone();
    altered[0].bytes = Arc::from(&b"{}"[..]);
    assert_matches!(
        assemble(&manifest, &altered),
        Err(PublicationError::WrongDigest { .. })
    );
    let garbage = Pack::new(Arc::from(&b"garbage"[..]));
    let manifest = Manifest {
        version: 3,
        packs: vec![garbage.digest],
    };
    assert_matches!(
        assemble(&manifest, &[garbage]),
        Err(PublicationError::BadPack { .. })
    );
}

#[test]
fn a_publication_that_fails_its_checks_is_refused() {
    let mut snapshot = sample(3);
    snapshot.services.clear();
    let publication = publish(&snapshot).expect("publishing checks sizes only");
    let manifest = Manifest::parse(&publication.manifest).expect("the manifest is valid");
    let error = assemble(&manifest, &publication.packs).expect_err("the routes have no service");
    assert_matches!(error, PublicationError::Rejected(errors) if errors.findings.len() == 2);
}

#[test]
fn a_row_that_is_published_twice_is_refused() {
    let (mut manifest, publication) = published(3);
    manifest.packs.push(manifest.packs[0]);
    assert_matches!(
        assemble(&manifest, &publication.packs),
        Err(PublicationError::RepeatedRow { .. })
    );
}

#[test]
fn invalid_manifests_are_refused() {
    assert_matches!(
        Manifest::parse(b"{"),
        Err(PublicationError::BadManifest { .. })
    );
    let unknown = br#"{"format":2,"version":1,"packs":[]}"#;
    assert_matches!(
        Manifest::parse(unknown),
        Err(PublicationError::UnknownFormat { format: 2 })
    );
    for version in [0, MAX_VERSION + 1, u64::MAX] {
        let text = format!(r#"{{"format":1,"version":{version},"packs":[]}}"#);
        assert_matches!(
            Manifest::parse(text.as_bytes()),
            Err(PublicationError::BadVersion { .. })
        );
    }
    let huge = vec![b' '; 1_000_000];
    assert_matches!(
        Manifest::parse(&huge),
        Err(PublicationError::TooLarge { .. })
    );
}

#[test]
fn a_pack_that_decompresses_beyond_the_limit_is_refused() {
    use std::io::Write;
    let mut encoder = flate2::write::ZlibEncoder::new(Vec::new(), flate2::Compression::best());
    encoder
        .write_all(&vec![b'\n'; 50_000_000])
        .expect("the lines can be compressed");
    let pack = Pack::new(
        encoder
            .finish()
            .expect("the lines can be compressed")
            .into(),
    );
    let manifest = Manifest {
        version: 1,
        packs: vec![pack.digest],
    };
    assert_matches!(
        assemble(&manifest, &[pack]),
        Err(PublicationError::BadPack { .. })
    );
}

#[test]
fn a_host_list_decodes_from_its_packs() {
    let host = |i: u32| HostEntry {
        id: format!("h{i:03}").as_str().into(),
        peer_addr: ([10, 0, 0, 1], 7000).into(),
        failure_domain: "howrah".into(),
        state: HostState::Live,
    };
    let list = HostList {
        version: 9,
        hosts: (0..100).map(host).collect(),
    };
    let publication = publish_hosts(&list).expect("a list can be published");
    let manifest = Manifest::parse(&publication.manifest).expect("the manifest is valid");
    let decoded = assemble_hosts(&manifest, &publication.packs).expect("all packs are present");
    assert_eq!(decoded, list);
}
