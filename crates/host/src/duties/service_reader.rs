//! Watches the published configuration and the host list.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_config::publication::{HOSTS_KEY, MANIFEST_KEY};
use waxwingusher_config::{BlobDigest, Manifest, Pack, assemble};
use waxwingusher_core::HostList;

use crate::service_client::{ServiceClient, ServiceError};
use crate::state::HostState;

const WATCH: Duration = Duration::from_secs(5);
const RETRY: Duration = Duration::from_millis(500);

/// Watches the host list until the host stops.
pub(crate) fn run_hosts(state: &HostState) {
    let client = ServiceClient::new(state.settings.config_service);
    let mut revision = 0;
    while !state.stop.is_cancelled() {
        let started_at = state.clock.now();
        match client.watch(HOSTS_KEY, revision, WATCH) {
            Ok(Some(value)) => {
                revision = value.revision;
                take_hosts(state, &value.bytes, started_at);
            }
            Ok(None) => confirm(state, state.host_list().version, started_at),
            Err(e) => pause(state, "hosts", &e),
        }
    }
}

/// Watches the configuration until the host stops.
pub(crate) fn run_config(state: &HostState) {
    let client = ServiceClient::new(state.settings.config_service);
    let mut packs = HashMap::new();
    let mut revision = 0;
    while !state.stop.is_cancelled() {
        match client.watch(MANIFEST_KEY, revision, WATCH) {
            Ok(Some(value)) => {
                if take_manifest(state, &client, &mut packs, &value.bytes) {
                    revision = value.revision;
                } else {
                    state.stop.wait(RETRY);
                }
            }
            Ok(None) => {}
            Err(e) => pause(state, "config", &e),
        }
    }
}

fn take_hosts(state: &HostState, bytes: &[u8], started_at: Instant) {
    let list: HostList = match serde_json::from_slice(bytes) {
        Ok(list) => list,
        Err(e) => {
            log::warn!("members: A host list was refused: {e}.");
            state.metrics.count("hosts.refused");
            return;
        }
    };
    state.apply_host_list(&list);
    confirm(state, list.version, started_at);
}

/// Notes that a read has shown a version to be the newest.
fn confirm(state: &HostState, version: u64, started_at: Instant) {
    state.limits.lock().confirm_host_list(version, started_at);
    state.attempts.lock().registry.confirm_host_list(version);
}

/// Fetches the packs of a manifest and puts the configuration in force.
fn take_manifest(
    state: &HostState,
    client: &ServiceClient,
    packs: &mut HashMap<BlobDigest, Pack>,
    bytes: &[u8],
) -> bool {
    let manifest = match Manifest::parse(bytes) {
        Ok(manifest) => manifest,
        Err(e) => {
            log::warn!("config: A manifest was refused: {e}.");
            state.metrics.count("config.refused");
            return true;
        }
    };
    let mut found = Vec::new();
    for digest in &manifest.packs {
        let Some(pack) = fetch_pack(client, packs, digest) else {
            log::warn!("config: Pack {digest} is not there yet.");
            return false;
        };
        found.push(pack);
    }
    match assemble(&manifest, &found) {
        Ok(snapshot) => state.adopt(&Arc::new(snapshot)),
        Err(e) => {
            log::warn!("config: Version {} was refused: {e}.", manifest.version);
            state.metrics.count("config.refused");
        }
    }
    packs.clear();
    packs.extend(found.into_iter().map(|pack| (pack.digest, pack)));
    true
}

fn fetch_pack(
    client: &ServiceClient,
    packs: &HashMap<BlobDigest, Pack>,
    digest: &BlobDigest,
) -> Option<Pack> {
    if let Some(pack) = packs.get(digest) {
        return Some(pack.clone());
    }
    let value = client.read(&Pack::service_key(digest)).ok()??;
    let pack = Pack::new(Arc::from(value.bytes));
    (pack.digest == *digest).then_some(pack)
}

fn pause(state: &HostState, what: &str, error: &ServiceError) {
    log::warn!("config: The service gave no {what}: {error}.");
    state.stop.wait(RETRY);
}
