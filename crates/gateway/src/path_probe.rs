//! Finds out when an instance can be reached again.
//!
//! A path may be cut for this host only. Requests stay away from it, and a
//! connection without a request is tried now and then instead.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use waxwingusher_core::InstanceId;

use crate::state::State;

/// How often blocked paths are tried.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection may take to open.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Tries blocked paths for as long as the host lives.
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
        state.capacity_freed.notify_waiters();
    }
}
