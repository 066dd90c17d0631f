//! Differences between configurations, and their transfer as a whole.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_config::routing::{PublishedWorkspace, RoutingDocument};
use waxwingusher_core::{KeyDigest, RouteName, WorkspaceName};
use waxwingusher_gateway::feed_codec::{self, RevisedWireChange, WireChange};
use waxwingusher_gateway::feed_delta::{ConfigurationDelta, DeltaError, DigestedDocument};
use waxwingusher_gateway::feed_transfer::{
    CHUNK_BYTES, ChunkError, DocumentStream, Download, DownloadStep, MAX_STREAM_BYTES, MAX_UPLOADS,
    Uploads,
};
use waxwingusher_membership::seeded::{DocumentChunk, DocumentRequest, PeerMessage};

use crate::harness::{document, route};

/// What the largest configurations of the users hold.
const WORKSPACES: usize = 1_500;
const ROUTES: usize = 600;
/// A datagram that is not fragmented on common links.
const MAX_DATAGRAM_BYTES: usize = 1_300;

fn workspace(number: usize) -> PublishedWorkspace {
    PublishedWorkspace {
        name: WorkspaceName::new(&format!("workspace-{number}")),
        keys: vec![KeyDigest::of_key(format!("key-{number}").as_bytes())],
        priority: None,
        rate_per_s: 10.0,
        burst: 20.0,
        home_regions: Vec::new(),
    }
}

fn large(version: u64) -> RoutingDocument {
    let mut large = document();
    large.version = version;
    large.workspaces.extend((0..WORKSPACES).map(workspace));
    large.routes.extend((0..ROUTES).map(|number| {
        let mut route = route("read", true);
        route.name = RouteName::new(&format!("route-{number}"));
        route.prefix = format!("/route-{number}/");
        route
    }));
    large
}

fn digested(document: RoutingDocument) -> DigestedDocument {
    DigestedDocument::new(document).expect("an encoding")
}

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Each host read a configuration of more than 48 KB from the store.
#[test]
fn a_change_of_a_few_entries_fits_into_a_datagram() {
    let base = digested(large(1));
    let mut changed = large(2);
    changed.workspaces[700].keys = vec![KeyDigest::of_key(b"new")];
    changed.workspaces.remove(3);
    changed.routes.insert(50, route("book", false));
    changed.routes[50].name = RouteName::new("inserted");
    changed.services[0].max_connections = 7;
    changed.limits.max_body_bytes = 5;
    let result = digested(changed);
    let delta = ConfigurationDelta::between(&base, &result).expect("a delta");
    assert_eq!(delta.apply(&base), Ok(result));
    let change = RevisedWireChange {
        revision: 1,
        change: WireChange::Configuration(Box::new(delta)),
    };
    let bytes = feed_codec::encode(&[change]).expect("an encoding");
    assert!(bytes.len() < MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
}

/// Random edits, also of the order and with names that occur twice, which a delta cannot
/// express.
#[test]
fn a_delta_gives_the_result_or_there_is_none() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut deltas = 0;
    for _ in 0..300 {
        let mut old = document();
        old.workspaces = (0..rng.usize(..12)).map(workspace).collect();
        let mut new = old.clone();
        new.version = 2;
        for _ in 0..rng.usize(..5) {
            let count = new.workspaces.len();
            match rng.u32(..5) {
                0 if count > 0 => drop(new.workspaces.remove(rng.usize(..count))),
                1 if count > 0 => new.workspaces[rng.usize(..count)].burst += 1.0,
                2 if count > 0 => new.workspaces.swap(0, rng.usize(..count)),
                _ => new
                    .workspaces
                    .insert(rng.usize(..=count), workspace(rng.usize(..20))),
            }
        }
        let (base, result) = (digested(old), digested(new));
        let Some(delta) = ConfigurationDelta::between(&base, &result) else {
            continue;
        };
        deltas += 1;
        assert_eq!(delta.apply(&base), Ok(result));
    }
    assert!(deltas > 100, "{deltas} of 300 edits have a delta");
}

/// A host that has another content of the same version must not derive from it.
#[test]
fn a_delta_does_not_apply_to_another_base() {
    let base = digested(large(1));
    let result = digested(large(2));
    let delta = ConfigurationDelta::between(&base, &result).expect("a delta");
    let mut other = large(1);
    other.workspaces[1].burst = 1.0;
    let refused = Err(DeltaError::OtherBase { base_version: 1 });
    assert_eq!(delta.apply(&digested(other)), refused);
    assert_eq!(delta.apply(&digested(large(3))), refused);
}

/// Asks for a configuration, and returns the request.
fn ask(download: &mut Download, now: Instant) -> DocumentRequest {
    match download.step(now, 0, &mut fastrand::Rng::with_seed(1)) {
        DownloadStep::Ask { request, .. } => request,
        other => panic!("{other:?}"),
    }
}

/// Chunks get lost, arrive twice and out of order; those that are missing are requested.
#[test]
fn a_document_arrives_although_chunks_get_lost() {
    let document = large(4);
    let latest = digested(document.clone());
    let stream = DocumentStream::new(&document).expect("a stream");
    assert!(stream.chunk_count() > 20, "the test needs several chunks");
    let mut rng = fastrand::Rng::with_seed(9);
    let (mut now, mut download) = (Instant::now(), Download::default());
    let mut uploads = Uploads::default();
    let mut received = None;
    download.start(now, Some(addr(1)));
    let mut requests = 0;
    while received.is_none() {
        assert!(requests < 10, "not complete after ten requests");
        requests += 1;
        let request = ask(&mut download, now);
        uploads.request(now, addr(2), request);
        let mut sent = Vec::new();
        for _ in 0..100 {
            sent.extend(uploads.take_due(now, 1, Some(&latest)));
            now += Duration::from_millis(4);
        }
        rng.shuffle(&mut sent);
        for (to, chunk) in sent {
            assert_eq!(to, addr(2));
            let message = PeerMessage::DocumentChunk(chunk.clone());
            let bytes = postcard::to_allocvec(&message).expect("an encoding");
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
            if rng.u32(..5) == 0 {
                continue;
            }
            let complete = download.on_chunk(now, 0, chunk.clone()).expect("a chunk");
            received = received.or(complete);
            if received.is_none() {
                assert!(download.on_chunk(now, 0, chunk).expect("a chunk").is_none());
            }
        }
        now += Duration::from_secs(1);
    }
    assert_eq!(received, Some(document));
}

/// A host with a link of 10 Mbit/s that sends at full speed delays its other traffic.
#[test]
fn a_transfer_takes_less_than_half_of_the_link() {
    let latest = digested(large(4));
    let mut now = Instant::now();
    let mut uploads = Uploads::default();
    let request = DocumentRequest {
        version: 0,
        stream_digest: 0,
        chunks: Vec::new(),
    };
    for number in 0..100 {
        uploads.request(now, addr(number), request.clone());
    }
    let mut bytes = 0;
    for _ in 0..250 {
        let due = uploads.take_due(now, 1, Some(&latest));
        bytes += due
            .iter()
            .map(|(_, chunk)| chunk.bytes.len())
            .sum::<usize>();
        now += Duration::from_millis(4);
    }
    assert!(
        (400_000..=550_000).contains(&bytes),
        "{bytes} bytes in a second"
    );
}

/// A peer that announced a configuration may have to fetch it first.
#[test]
fn a_request_waits_for_a_configuration_that_arrives_soon() {
    let (now, mut uploads) = (Instant::now(), Uploads::default());
    let request = DocumentRequest {
        version: 3,
        stream_digest: 0,
        chunks: Vec::new(),
    };
    uploads.request(now, addr(1), request);
    let old = digested(large(3));
    assert!(uploads.take_due(now, 1, Some(&old)).is_empty());
    let later = now + Duration::from_millis(500);
    let new = digested(large(4));
    assert!(!uploads.take_due(later, 1, Some(&new)).is_empty());
    let mut uploads = Uploads::default();
    let request = DocumentRequest {
        version: 4,
        stream_digest: 0,
        chunks: Vec::new(),
    };
    uploads.request(now, addr(1), request);
    let too_late = now + Duration::from_secs(2);
    assert!(uploads.take_due(too_late, 1, Some(&new)).is_empty());
    assert_eq!(uploads.next_at(), None, "the request has expired");
}

/// Requests of more peers than a host can serve must not take its memory.
#[test]
fn the_requests_that_wait_are_bounded() {
    let (now, mut uploads) = (Instant::now(), Uploads::default());
    let latest = digested(large(4));
    let request = DocumentRequest {
        version: 0,
        stream_digest: 0,
        chunks: vec![0],
    };
    for number in 0..u16::try_from(2 * MAX_UPLOADS).expect("few") {
        uploads.request(now, addr(number), request.clone());
    }
    let mut peers = std::collections::BTreeSet::new();
    for step in 0..2_000 {
        let at = now + Duration::from_millis(4) * step;
        let due = uploads.take_due(at, 1_000, Some(&latest));
        peers.extend(due.iter().map(|(to, _)| *to));
    }
    assert!(peers.len() <= MAX_UPLOADS, "{} peers", peers.len());
}

/// A damaged chunk, and chunks that claim more than the largest configuration.
#[test]
fn malformed_and_wrong_chunks_are_dropped() {
    let (now, mut download) = (Instant::now(), Download::default());
    let stream = DocumentStream::new(&large(4)).expect("a stream");
    let chunk = stream.chunk(0).expect("a chunk");
    assert!(
        download
            .on_chunk(now, 0, chunk.clone())
            .expect("ignored")
            .is_none(),
        "no configuration was asked for"
    );
    download.start(now, None);
    ask(&mut download, now);
    let huge = u32::try_from(MAX_STREAM_BYTES + 1).expect("a length");
    let malformed = [
        DocumentChunk {
            bytes: vec![0; 3],
            ..chunk.clone()
        },
        DocumentChunk {
            index: u16::MAX,
            ..chunk.clone()
        },
        DocumentChunk {
            stream_bytes: huge,
            ..chunk.clone()
        },
        DocumentChunk {
            stream_bytes: 0,
            ..chunk.clone()
        },
    ];
    for chunk in malformed {
        let result = download.on_chunk(now, 0, chunk);
        assert!(
            matches!(result, Err(ChunkError::Malformed { .. })),
            "{result:?}"
        );
    }
    assert!(
        download
            .on_chunk(now, 4, chunk.clone())
            .expect("ignored")
            .is_none()
    );
    let mut result = Ok(None);
    for index in 0..stream.chunk_count() {
        let mut chunk = stream.chunk(index).expect("a chunk");
        if index == 2 {
            chunk.bytes[CHUNK_BYTES / 2] ^= 1;
        }
        result = download.on_chunk(now, 0, chunk);
    }
    assert!(
        matches!(result, Err(ChunkError::WrongContent { version: 4 })),
        "{result:?}"
    );
    let request = ask(&mut download, now + Duration::from_secs(1));
    assert!(request.chunks.is_empty(), "all chunks are requested again");
}

/// Without an answer the host goes to the source.
#[test]
fn a_transfer_without_answers_is_given_up() {
    let (mut now, mut download) = (Instant::now(), Download::default());
    let mut rng = fastrand::Rng::with_seed(1);
    download.start(now, Some(addr(1)));
    let started = now;
    let mut asked = Vec::new();
    loop {
        match download.step(now, 3, &mut rng) {
            DownloadStep::Wait => now += Duration::from_millis(10),
            DownloadStep::Ask { preferred, .. } => asked.push(preferred),
            DownloadStep::GiveUp => break,
        }
    }
    assert_eq!(asked[0], Some(addr(1)));
    assert!(
        asked[1..].iter().all(Option::is_none),
        "others are asked then"
    );
    assert!(
        now - started < Duration::from_secs(2),
        "{:?}",
        now - started
    );
    assert!(!download.is_active());
}
