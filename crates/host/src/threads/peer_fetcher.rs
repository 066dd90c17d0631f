//! Fetches manifests and packs from peers for the configuration agent.

use std::sync::mpsc::Receiver;
use std::time::Duration;

use waxwingusher_protocol::PeerClient;

use crate::shared_config_agent::PeerFetch;
use crate::state::HostState;

/// How long the thread waits for a fetch before it checks whether the host is
/// stopping.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs until the host stops.
pub(crate) fn run(state: &HostState, fetches: &Receiver<PeerFetch>, client: &PeerClient) {
    while !state.stop.is_cancelled() {
        let Ok(fetch) = fetches.recv_timeout(RECEIVE_TIMEOUT) else {
            continue;
        };
        fetch_from_peer(state, client, &fetch);
    }
}

fn fetch_from_peer(state: &HostState, client: &PeerClient, fetch: &PeerFetch) {
    let PeerFetch { host, digest } = fetch;
    let Some(addr) = state.peers.address_of(host) else {
        return report_missing(state, fetch);
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
            report_missing(state, fetch);
        }
    }
}

fn report_missing(state: &HostState, fetch: &PeerFetch) {
    state.config.with(state, |agent| {
        agent.on_pack_missing(&fetch.host, fetch.digest)
    });
}
