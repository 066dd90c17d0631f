//! Transfers that are larger than a datagram: JSON-RPC over TCP.
//!
//! Client and server each run an asynchronous runtime on one thread; callers and
//! [`PeerService`] are blocking. All methods only read.

mod auth;
mod client;
mod server;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use waxwingusher_core::{ContentDigest, HostList};

pub use client::{ClientSettings, PeerClient};
pub use server::{PeerServer, ServerSettings};

/// The largest pack that is served, in bytes.
pub const MAX_PACK_BYTES: usize = 1_000_000;

const MAX_REQUEST_BYTES: u32 = 4 * 1_024;
// Base64 makes a pack a third larger.
const MAX_RESPONSE_BYTES: u32 = 1_500_000;
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_MAX_CONNECTIONS: u32 = 64;
const DEFAULT_MAX_CALLS: usize = 16;

const CODE_UNAUTHENTICATED: i32 = -32_001;
const CODE_NOT_FOUND: i32 = -32_004;

/// The methods that each host serves to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Method {
    Ping,
    FetchPack,
    FetchHostList,
}

impl Method {
    fn name(self) -> &'static str {
        match self {
            Self::Ping => "ping",
            Self::FetchPack => "fetch_pack",
            Self::FetchHostList => "fetch_host_list",
        }
    }
}

/// The data that a host serves to its peers. Implementations must not block, as
/// all calls run on one thread.
pub trait PeerService: Send + Sync + 'static {
    /// Returns a pack or a manifest of the configuration by its digest.
    fn pack(&self, digest: &ContentDigest) -> Option<Arc<[u8]>>;

    /// Returns the newest host list that this host has.
    fn host_list(&self) -> Option<HostList>;
}

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum RpcError {
    /// The peer does not have what was asked for.
    #[error("the peer does not have the requested content")]
    NotFound,
    /// The peer rejected the call's authentication tag, or the answer's tag does
    /// not match.
    #[error(
        "authentication failed: the fleet secrets differ, or the call or its answer was altered"
    )]
    Unauthenticated,
    /// The call timed out.
    #[error("the peer did not answer in time")]
    Timeout,
    /// The limit on calls in flight is reached.
    #[error("too many calls to peers are in flight")]
    Busy,
    /// The client has been stopped.
    #[error("the peer client has been stopped")]
    Stopped,
    /// The answer does not follow the protocol.
    #[error("the peer's answer is malformed")]
    Malformed,
    /// The content does not have the requested digest.
    #[error("the content does not have the requested digest")]
    WrongContent,
    /// The operating system provided no random numbers.
    #[error("the operating system provided no random numbers")]
    NoRandomness,
    /// The transport failed.
    #[error("call to the peer failed: {0}")]
    Transport(#[from] jsonrpsee::core::ClientError),
}

/// Why a server or a client could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket, runtime or thread could not be created.
    #[error("cannot start the peer RPC: {0}")]
    Io(#[from] io::Error),
    /// A method could not be registered.
    #[error("cannot register a method of the peer RPC: {0}")]
    Register(#[from] jsonrpsee::core::RegisterMethodError),
}
