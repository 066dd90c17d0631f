//! Prints the sizes of liveness messages, and the time that the codec takes.

use std::error::Error;
use std::io::{self, Write};
use std::time::Instant;

use waxwingusher_core::HostId;
use waxwingusher_protocol::gossip::{GossipMessage, LivenessUpdate, ReportedLiveness};
use waxwingusher_protocol::{FleetSecret, Message, codec, wire_len_bytes};

const SECRET: &str = "an example of a fleet secret, 32 bytes or more";
const INCARNATION: u64 = u64::MAX;
const ROUNDS: u32 = 200_000;

fn main() -> Result<(), Box<dyn Error>> {
    let from = HostId::new("bayern-mitte-host-07");
    let to = HostId::new("bayern-mitte-host-08");
    let mut out = io::stdout().lock();
    for (name, message) in messages(&to) {
        let len_bytes = wire_len_bytes(&from, INCARNATION, &message);
        writeln!(out, "{name}: {len_bytes} bytes with IPv4 and UDP")?;
    }
    let secret = FleetSecret::new(SECRET)?;
    let (mut encoder, _) = codec::pair(&from, INCARNATION, &secret);
    let (_, mut decoder) = codec::pair(&to, INCARNATION, &secret);
    let (_, message) = messages(&to).remove(1);
    let started_at = Instant::now();
    for _ in 0..ROUNDS {
        let datagram = encoder.encode(&to, &message)?;
        decoder.decode(&datagram)?;
    }
    let time_per_round = started_at.elapsed() / ROUNDS;
    writeln!(
        out,
        "encoding and decoding a ping with one update: {time_per_round:?}"
    )?;
    Ok(())
}

fn messages(target: &HostId) -> Vec<(&'static str, Message)> {
    let update = LivenessUpdate {
        host: target.clone(),
        incarnation: INCARNATION,
        refutation: 0,
        liveliness: ReportedLiveness::Suspect,
    };
    let ping = |count: usize| {
        Message::Gossip(GossipMessage::Ping {
            probe: 100_000,
            updates: vec![update.clone(); count],
        })
    };
    let request = Message::Gossip(GossipMessage::PingRequest {
        probe: 100_000,
        target: target.clone(),
        updates: Vec::new(),
    });
    let relayed = Message::Gossip(GossipMessage::RelayedAck {
        probe: 100_000,
        target: target.clone(),
        incarnation: INCARNATION,
        updates: Vec::new(),
    });
    vec![
        ("ping or ack without updates", ping(0)),
        ("ping or ack with one update", ping(1)),
        ("ping or ack with six updates", ping(6)),
        ("ping request", request),
        ("relayed ack", relayed),
    ]
}
