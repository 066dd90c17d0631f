//! Probes unreachable instances until they are reachable again.
//!
//! The path to an instance may be cut for this host only. No requests are sent
//! over such a path; periodic connections without a request probe it instead. A host that
//! seems to be cut off from all instances probes some others, too, at once: perhaps only
//! the ones that it tried have failed. Instances of evacuated failure domains are not probed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use waxwingusher_core::InstanceId;

use crate::state::State;

/// The interval between probes of blocked paths.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How long opening a connection may take before the probe fails.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// The other instances that a host probes that seems to be cut off.
const OTHER_PROBES: usize = 4;

/// Probes blocked paths until the host stops.
pub(crate) async fn run(state: Rc<State>) {
    loop {
        // The check repeats both after the interval and after a loss.
        let _ = tokio::time::timeout(PROBE_INTERVAL, state.paths_lost.notified()).await;
        let blocked = blocked_instances(&state);
        let others = if state.is_cut_off() {
            choose_others(&state)
        } else {
            Vec::new()
        };
        for (id, addr) in blocked.into_iter().chain(others) {
            tokio::task::spawn_local(probe_path(state.clone(), id, addr));
        }
    }
}

fn blocked_instances(state: &State) -> Vec<(InstanceId, SocketAddr)> {
    let evidence = state.evidence.borrow();
    let roster = state.roster.borrow();
    let blocked = evidence.blocked_paths();
    let entries = blocked.filter_map(|id| Some(&roster.get(id)?.entry));
    let entries = entries.filter(|entry| !roster.evacuations().contains(&entry.failure_domain));
    entries
        .map(|entry| (entry.id.clone(), entry.addr))
        .collect()
}

/// Chooses instances whose paths are not known to be blocked.
fn choose_others(state: &State) -> Vec<(InstanceId, SocketAddr)> {
    let evidence = state.evidence.borrow();
    let roster = state.roster.borrow();
    let now = state.now();
    let others = roster.iter().map(|listed| &listed.entry);
    let others = others.filter(|entry| !roster.evacuations().contains(&entry.failure_domain));
    let others = others.filter(|entry| !evidence.health(now, &entry.id).is_path_blocked);
    let chosen = state.rng.borrow_mut().choose_multiple(others, OTHER_PROBES);
    let chosen = chosen.into_iter();
    chosen.map(|entry| (entry.id.clone(), entry.addr)).collect()
}

async fn probe_path(state: Rc<State>, id: InstanceId, addr: SocketAddr) {
    let opened = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(addr)).await;
    if matches!(opened, Ok(Ok(_))) {
        state
            .evidence
            .borrow_mut()
            .record_open_path(state.now(), &id);
        state.record_open_path();
        state.capacity_freed.notify_waiters();
    }
}
