//! Accepts the connections over which peers pass on requests.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::caller;
use crate::origin::RequestOrigin;
use crate::state::State;

/// Accepts connections of peers until the host stops.
pub(crate) async fn run(state: Rc<State>, listener: Rc<TcpListener>) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            // No file descriptor is free; a retry may find one.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let origin = RequestOrigin::Peer(from.ip());
        tokio::task::spawn_local(caller::serve(state.clone(), stream, origin));
    }
}
