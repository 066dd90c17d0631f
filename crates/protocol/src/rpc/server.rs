//! The RPC server, which runs on one thread.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use jsonrpsee::server::{BatchRequestConfig, Server, ServerConfig, stop_channel};
use jsonrpsee::types::{ErrorObjectOwned, Params};
use jsonrpsee::{Extensions, Methods, RpcModule};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{Notify, Semaphore};
use waxwingusher_core::{CancelToken, HostId};

use super::auth::{Answer, Call};
use super::{
    CODE_NOT_FOUND, CODE_UNAUTHENTICATED, DEFAULT_MAX_CONNECTIONS, DEFAULT_TIMEOUT, MAX_PACK_BYTES,
    MAX_REQUEST_BYTES, MAX_RESPONSE_BYTES, Method, PeerService, StartError,
};
use crate::secret::FleetSecret;

/// The delay before the next attempt after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The settings of a peer server.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// This host's name.
    pub self_id: HostId,
    /// The address to listen on; port 0 takes a free one.
    pub listen_addr: SocketAddr,
    /// The secret of the fleet.
    pub secret: FleetSecret,
    /// The limit on open connections; more are refused.
    pub max_connections: u32,
    /// How long a connection may last, even if a call is in flight on it.
    pub connection_timeout: Duration,
}

impl ServerSettings {
    /// Creates settings with the default limits.
    #[must_use]
    pub fn new(self_id: HostId, listen_addr: SocketAddr, secret: FleetSecret) -> Self {
        Self {
            self_id,
            listen_addr,
            secret,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            connection_timeout: DEFAULT_TIMEOUT,
        }
    }
}

struct Context {
    self_id: HostId,
    secret: FleetSecret,
    service: Arc<dyn PeerService>,
}

/// Serves a host's packs and host list to its peers.
///
/// It stops when it is dropped or its token is cancelled.
#[derive(Debug)]
pub struct PeerServer {
    addr: SocketAddr,
    token: CancelToken,
    thread: Option<JoinHandle<()>>,
}

impl PeerServer {
    /// Binds the address and starts to serve.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the thread cannot be
    /// started.
    pub fn start(
        settings: &ServerSettings,
        service: Arc<dyn PeerService>,
        token: &CancelToken,
    ) -> Result<Self, StartError> {
        let listener = TcpListener::bind(settings.listen_addr)?;
        Self::start_on(listener, settings, service, token)
    }

    /// Starts to serve on a bound listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be used or the thread cannot be
    /// started.
    pub fn start_on(
        listener: TcpListener,
        settings: &ServerSettings,
        service: Arc<dyn PeerService>,
        token: &CancelToken,
    ) -> Result<Self, StartError> {
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let module = methods(Context {
            self_id: settings.self_id.clone(),
            secret: settings.secret.clone(),
            service,
        })?;
        let listener = {
            let _guard = runtime.enter();
            tokio::net::TcpListener::from_std(listener)?
        };
        let limits = settings.clone();
        let token = token.child();
        let stop = Arc::new(Notify::new());
        let stopping = stop.clone();
        token.on_cancel(move || stopping.notify_one());
        let thread = std::thread::Builder::new()
            .name("peer-rpc-server".to_owned())
            .spawn(move || serve(&runtime, &listener, &limits, module, &stop))?;
        Ok(Self {
            addr,
            token,
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.token.cancel();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn config(settings: &ServerSettings) -> ServerConfig {
    ServerConfig::builder()
        .http_only()
        .max_connections(settings.max_connections)
        .max_request_body_size(MAX_REQUEST_BYTES)
        .max_response_body_size(MAX_RESPONSE_BYTES)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .build()
}

// Connections that are still open are closed when the runtime is dropped.
fn serve(
    runtime: &Runtime,
    listener: &tokio::net::TcpListener,
    settings: &ServerSettings,
    module: RpcModule<Context>,
    stop: &Notify,
) {
    runtime.block_on(async {
        tokio::select! {
            () = accept(listener, settings, module) => {}
            () = stop.notified() => {}
        }
    });
}

/// Accepts connections until it is dropped. A client makes one call on each, so
/// one timeout of the whole connection bounds silent clients, slow bodies, slow
/// readers and idle connections.
async fn accept(
    listener: &tokio::net::TcpListener,
    settings: &ServerSettings,
    module: RpcModule<Context>,
) {
    let methods = Methods::from(module);
    let services = Server::builder()
        .set_config(config(settings))
        .to_service_builder();
    let (stop_handle, _server_handle) = stop_channel();
    let permits = Arc::new(Semaphore::new(settings.max_connections as usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = services.clone().build(methods.clone(), stop_handle.clone());
        let connection = jsonrpsee::server::serve(stream, service);
        let limited = tokio::time::timeout(settings.connection_timeout, connection);
        tokio::spawn(async move {
            // Errors and timeouts are ignored, as they affect only this client.
            let _ = limited.await;
            drop(permit);
        });
    }
}

fn methods(context: Context) -> Result<RpcModule<Context>, StartError> {
    let mut module = RpcModule::new(context);
    module.register_method(Method::Ping.name(), |params, context, _: &Extensions| {
        answer(&params, context, Method::Ping, |_| Some(Vec::new()))
    })?;
    module.register_method(Method::FetchPack.name(), |params, context, _| {
        answer(&params, context, Method::FetchPack, |digest| {
            let pack = context.service.pack(&digest.parse().ok()?)?;
            (pack.len() <= MAX_PACK_BYTES).then(|| pack.to_vec())
        })
    })?;
    module.register_method(Method::FetchHostList.name(), |params, context, _| {
        answer(&params, context, Method::FetchHostList, |_| {
            serde_json::to_vec(&context.service.host_list()?).ok()
        })
    })?;
    Ok(module)
}

fn answer(
    params: &Params<'_>,
    context: &Context,
    method: Method,
    content: impl FnOnce(&str) -> Option<Vec<u8>>,
) -> Result<Answer, ErrorObjectOwned> {
    let call: Call = params.parse()?;
    if !call.is_authentic(&context.secret, method, &context.self_id) {
        log::warn!(
            "peers: refused a call of {}: its authentication tag does not match",
            method.name()
        );
        return Err(error(CODE_UNAUTHENTICATED, "unauthenticated"));
    }
    let content = content(&call.argument).ok_or_else(|| error(CODE_NOT_FOUND, "not found"))?;
    Ok(Answer::new(&context.secret, method, &call.nonce, &content))
}

fn error(code: i32, message: &'static str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message, None::<()>)
}
