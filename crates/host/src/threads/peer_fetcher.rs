//! Fetches manifests and packs from peers for the configuration agent.

use std::sync::mpsc::Receiver;
use std::time::Duration;

use waxwingusher_protocol::PeerClient;

use crate::shared_config_agent::PeerFetch;
use crate::state::HostState;

/// How long the thread waits for a fetch before it checks whether the host is
/// stopping.
const RING_WAIT: Duration = Duration::from_millis(200);

/// Runs until the host stops.
pub(crate) fn run(state: &HostState, ring: &Receiver<PeerFetch>, client: &PeerClient) {
    while !state.stop.is_cancelled() {
        let Ok(fetch) = ring.recv_timeout(RING_WAIT) else {
            continue;
        };
        take(state, client, &fetch);
    }
}

fn take(state: &HostState, client: &PeerClient, fetch: &PeerFetch) {
    let PeerFetch { host, digest } = fetch;
    let Some(addr) = state.peers.address_of(host) else {
        return missing(state, fetch);
    };
    match client.fetch_pack(host, addr, digest) {
        Ok(bytes) => {
            let bytes = bytes.into();
            state
                .config
                .with(state, |agent| agent.on_pack(host, *digest, &bytes));
        }
        Err(e) => {
            log::info!("config: Cannot fetch {digest} from host {host}: {e}.");
            missing(state, fetch);
        }
    }
}

fn missing(state: &HostState, fetch: &PeerFetch) {
    state.config.with(state, |agent| {
        agent.on_pack_missing(&fetch.host, fetch.digest)
    });
}
