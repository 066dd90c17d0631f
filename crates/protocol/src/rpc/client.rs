//! The RPC client: a blocking interface to a runtime on one thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{RecvTimeoutError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params::ObjectParams;
use jsonrpsee_http_client::HttpClientBuilder;
use tokio::runtime::{Builder, Handle};
use tokio::sync::Notify;
use waxwingusher_core::{CancelToken, ContentDigest, HostId, HostList};

use super::auth::{Answer, Call};
use super::{
    CODE_NOT_FOUND, CODE_UNAUTHENTICATED, DEFAULT_MAX_CALLS, DEFAULT_TIMEOUT, MAX_REQUEST_BYTES,
    MAX_RESPONSE_BYTES, Method, RpcError, StartError,
};
use crate::secret::FleetSecret;

// The runtime applies the timeout of a call; this is added to it for the case
// that the runtime itself is stuck.
const STUCK_RUNTIME_TIMEOUT: Duration = Duration::from_secs(5);

/// The settings of a peer client.
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// This host's name.
    pub self_id: HostId,
    /// The secret of the fleet.
    pub secret: FleetSecret,
    /// The timeout of a call.
    pub timeout: Duration,
    /// The limit on calls in flight; more are refused.
    pub max_calls: usize,
}

impl ClientSettings {
    /// Creates settings with the default limits.
    #[must_use]
    pub fn new(self_id: HostId, secret: FleetSecret) -> Self {
        Self {
            self_id,
            secret,
            timeout: DEFAULT_TIMEOUT,
            max_calls: DEFAULT_MAX_CALLS,
        }
    }
}

/// Calls the peers of a host. Each call blocks its thread.
#[derive(Debug)]
pub struct PeerClient {
    settings: ClientSettings,
    runtime: Handle,
    calls_in_flight: Arc<AtomicUsize>,
    token: CancelToken,
    thread: Option<JoinHandle<()>>,
}

impl PeerClient {
    /// Starts the client's thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime or the thread cannot be created.
    pub fn start(settings: ClientSettings, token: &CancelToken) -> Result<Self, StartError> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let token = token.child();
        let stop = Arc::new(Notify::new());
        let stopping = stop.clone();
        token.on_cancel(move || stopping.notify_one());
        let thread = std::thread::Builder::new()
            .name("peer-rpc-client".to_owned())
            .spawn(move || runtime.block_on(stop.notified()))?;
        Ok(Self {
            settings,
            runtime: handle,
            calls_in_flight: Arc::new(AtomicUsize::new(0)),
            token,
            thread: Some(thread),
        })
    }

    /// Checks that a peer answers calls.
    ///
    /// # Errors
    ///
    /// Returns why no authentic answer was received.
    pub fn ping(&self, peer: &HostId, addr: SocketAddr) -> Result<(), RpcError> {
        self.call(peer, addr, Method::Ping, "").map(|_| ())
    }

    /// Fetches a pack or a manifest of the configuration.
    ///
    /// # Errors
    ///
    /// Returns why no authentic answer was received.
    pub fn fetch_pack(
        &self,
        peer: &HostId,
        addr: SocketAddr,
        digest: &ContentDigest,
    ) -> Result<Vec<u8>, RpcError> {
        let content = self.call(peer, addr, Method::FetchPack, &digest.to_string())?;
        if ContentDigest::of(&content) != *digest {
            return Err(RpcError::WrongContent);
        }
        Ok(content)
    }

    /// Fetches a peer's host list.
    ///
    /// # Errors
    ///
    /// Returns why no authentic answer was received.
    pub fn fetch_host_list(&self, peer: &HostId, addr: SocketAddr) -> Result<HostList, RpcError> {
        let content = self.call(peer, addr, Method::FetchHostList, "")?;
        serde_json::from_slice(&content).map_err(|_| RpcError::Malformed)
    }

    fn call(
        &self,
        peer: &HostId,
        addr: SocketAddr,
        method: Method,
        argument: &str,
    ) -> Result<Vec<u8>, RpcError> {
        let _permit = CallPermit::acquire(&self.calls_in_flight, self.settings.max_calls)?;
        let secret = &self.settings.secret;
        let call = Call::new(secret, method, &self.settings.self_id, peer, argument)?;
        let nonce = call.nonce.clone();
        let timeout = self.settings.timeout;
        let (result, answer) = sync_channel(1);
        self.runtime.spawn(async move {
            let sent = tokio::time::timeout(timeout, send(addr, method, call, timeout)).await;
            let _ = result.send(sent.unwrap_or(Err(RpcError::Timeout)));
        });
        match answer.recv_timeout(timeout + STUCK_RUNTIME_TIMEOUT) {
            Ok(answer) => answer?.verified_content(secret, method, &nonce),
            Err(RecvTimeoutError::Timeout) => Err(RpcError::Timeout),
            Err(RecvTimeoutError::Disconnected) => Err(RpcError::Stopped),
        }
    }
}

impl Drop for PeerClient {
    fn drop(&mut self) {
        self.token.cancel();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A permit for one call in flight.
struct CallPermit {
    calls_in_flight: Arc<AtomicUsize>,
}

impl CallPermit {
    fn acquire(calls_in_flight: &Arc<AtomicUsize>, max_calls: usize) -> Result<Self, RpcError> {
        let permit = Self {
            calls_in_flight: calls_in_flight.clone(),
        };
        if calls_in_flight.fetch_add(1, Ordering::AcqRel) >= max_calls {
            return Err(RpcError::Busy);
        }
        Ok(permit)
    }
}

impl Drop for CallPermit {
    fn drop(&mut self) {
        self.calls_in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn send(
    addr: SocketAddr,
    method: Method,
    call: Call,
    timeout: Duration,
) -> Result<Answer, RpcError> {
    let client = HttpClientBuilder::default()
        .max_request_size(MAX_REQUEST_BYTES)
        .max_response_size(MAX_RESPONSE_BYTES)
        .request_timeout(timeout)
        .build(format!("http://{addr}"))?;
    let params = params(&call)?;
    let answer = client.request(method.name(), params).await;
    answer.map_err(rpc_error)
}

fn params(call: &Call) -> Result<ObjectParams, RpcError> {
    let value = serde_json::to_value(call).map_err(ClientError::from)?;
    let fields = value.as_object().ok_or(RpcError::Malformed)?;
    let mut params = ObjectParams::new();
    for (name, field) in fields {
        params.insert(name, field).map_err(ClientError::from)?;
    }
    Ok(params)
}

fn rpc_error(error: ClientError) -> RpcError {
    match error {
        ClientError::Call(object) if object.code() == CODE_NOT_FOUND => RpcError::NotFound,
        ClientError::Call(object) if object.code() == CODE_UNAUTHENTICATED => {
            RpcError::Unauthenticated
        }
        ClientError::RequestTimeout => RpcError::Timeout,
        error => RpcError::Transport(error),
    }
}
