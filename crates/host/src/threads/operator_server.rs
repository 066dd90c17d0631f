//! The HTTP server for operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rouille::{Request, Response, Server};

use crate::admin;
use crate::state::HostState;

/// Threads that answer operators.
const SERVER_THREADS: usize = 4;
/// How long the server waits for a request before it checks whether the host is
/// stopping.
const POLL_TIMEOUT: Duration = Duration::from_millis(100);

/// Why the operators' address cannot be served.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen for operators on {addr}: {cause}")]
pub struct OperatorServerError {
    addr: SocketAddr,
    cause: String,
}

type Handler = Box<dyn Fn(&Request) -> Response + Send + Sync>;

/// A server that listens but does not answer until it runs.
pub(crate) struct OperatorServer {
    server: Server<Handler>,
}

impl OperatorServer {
    pub(crate) fn bind(state: &Arc<HostState>) -> Result<Self, OperatorServerError> {
        let addr = state.settings.operator_addr;
        let state = state.clone();
        let handler: Handler = Box::new(move |request| admin::answer(&state, request));
        let server = Server::new(addr, handler).map_err(|cause| OperatorServerError {
            addr,
            cause: cause.to_string(),
        })?;
        Ok(Self {
            server: server.pool_size(SERVER_THREADS),
        })
    }

    pub(crate) fn local_addr(&self) -> SocketAddr {
        self.server.server_addr()
    }

    /// Runs until the host stops.
    pub(crate) fn run(self, state: &HostState) {
        while !state.stop.is_cancelled() {
            self.server.poll_timeout(POLL_TIMEOUT);
        }
    }
}
