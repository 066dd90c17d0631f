//! Probes unreachable instances until they are reachable again.
//!
//! The path to an instance may be cut for this host only. No requests are sent
//! over such a path; periodic connections without a request probe it instead.

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

/// Probes blocked paths until the host stops.
pub(crate) async fn run(state: Rc<State>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        for (id, addr) in blocked_instances(&state) {
            tokio::task::spawn_local(probe_path(state.clone(), id, addr));
        }
    }
}

fn blocked_instances(state: &State) -> Vec<(InstanceId, SocketAddr)> {
    let evidence = state.evidence.borrow();
    let roster = state.roster.borrow();
    let ids = evidence.blocked_paths();
    let instances = ids.filter_map(|id| Some((id.clone(), roster.get(id)?.entry.addr)));
    instances.collect()
}

async fn probe_path(state: Rc<State>, id: InstanceId, addr: SocketAddr) {
    let opened = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(addr)).await;
    if matches!(opened, Ok(Ok(_))) {
        state.evidence.borrow_mut().record_open_path(&id);
        state.record_open_path();
        state.capacity_freed.notify_waiters();
    }
}
