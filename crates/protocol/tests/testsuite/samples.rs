//! Names, secrets and messages for the tests.

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use waxwingusher_core::HostId;
use waxwingusher_protocol::codec::{self, Decoder, Encoder};
use waxwingusher_protocol::gossip::{GossipMessage, LivenessUpdate, ReportedLiveness};
use waxwingusher_protocol::{FleetSecret, Message};

pub const SECRET: &str = "an example of a fleet secret, 32 bytes or more";
pub const OTHER_SECRET: &str = "another fleet's secret, which has 32 bytes too";

pub fn secret() -> FleetSecret {
    FleetSecret::new(SECRET).expect("long enough")
}

/// Returns the secrets of a sender and a receiver at each step of a secret
/// rotation at which two hosts differ, in both directions.
pub fn secret_rotation_steps() -> Vec<[FleetSecret; 2]> {
    let old = secret();
    let new = FleetSecret::new(OTHER_SECRET).expect("long enough");
    let steps = [
        old.clone(),
        old.accepting(&new),
        new.accepting(&old),
        new.clone(),
    ];
    let pairs = steps.windows(2);
    pairs
        .flat_map(|pair| {
            let (a, b) = (pair[0].clone(), pair[1].clone());
            [[a.clone(), b.clone()], [b, a]]
        })
        .collect()
}

pub fn host(name: &str) -> HostId {
    HostId::new(name)
}

pub fn pair(name: &str, incarnation: u64) -> (Encoder, Decoder) {
    codec::pair(&host(name), incarnation, &secret())
}

pub fn update(name: &str) -> LivenessUpdate {
    LivenessUpdate {
        host: host(name),
        incarnation: 99,
        refutation: 2,
        liveliness: ReportedLiveness::Suspect,
    }
}

pub fn ping(probe: u32) -> Message {
    Message::Gossip(GossipMessage::Ping {
        probe,
        updates: vec![update("host-c")],
    })
}

/// Authenticates any body, independently of the code under test.
pub fn authenticate(version: u8, to: &str, body: &[u8]) -> Vec<u8> {
    let key = Sha256::digest(SECRET.as_bytes());
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&key).expect("any length is fine");
    for part in [
        b"waxwingusher datagram",
        &[version][..],
        to.as_bytes(),
        body,
    ] {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    let mut datagram = vec![version];
    datagram.extend_from_slice(&mac.finalize().into_bytes()[..16]);
    datagram.extend_from_slice(body);
    datagram
}
