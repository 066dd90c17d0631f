//! Accepts the connections of callers, and those over which peers pass on requests.

use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use crate::caller;
use crate::origin::RequestOrigin;
use crate::state::{Phase, State};

/// The delay after which accepting is tried again, when no file descriptor is free.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections of callers until the host closes its listeners.
pub(crate) async fn accept_callers(state: Rc<State>, listener: Rc<TcpListener>) {
    accept(&state, &listener, |_| RequestOrigin::Caller).await;
}

/// Accepts connections of peers until the host closes its listeners.
pub(crate) async fn accept_peers(state: Rc<State>, listener: Rc<TcpListener>) {
    accept(&state, &listener, RequestOrigin::Peer).await;
}

async fn accept(state: &Rc<State>, listener: &TcpListener, origin: fn(IpAddr) -> RequestOrigin) {
    let mut closing = std::pin::pin!(state.reach_phase(Phase::Closing));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closing => break,
        };
        match accepted {
            Ok((stream, from)) => caller::serve(state, stream, origin(from.ip())).await,
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
    // Closing the listener resets connections that wait in its queue.
    loop {
        match take_queued(listener) {
            Ok((stream, from)) => caller::serve(state, stream, origin(from)).await,
            // Its caller has given it up.
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(_) => return,
        }
    }
}

/// Takes a connection from the listener's queue without waiting for one.
fn take_queued(listener: &TcpListener) -> io::Result<(TcpStream, IpAddr)> {
    let (socket, from) = SockRef::from(listener).accept()?;
    socket.set_nonblocking(true)?;
    let from = from.as_socket().ok_or(io::ErrorKind::Unsupported)?;
    Ok((TcpStream::from_std(socket.into())?, from.ip()))
}
