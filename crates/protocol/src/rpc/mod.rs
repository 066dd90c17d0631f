//! Transfers that are larger than a datagram: JSON-RPC over TCP.
//!
//! The asynchronous runtimes stay on two threads of their own; callers and the
//! served trait are blocking. All methods only read.

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
const DEFAULT_CONNECTIONS: u32 = 64;
const DEFAULT_CALLS: usize = 16;

const CODE_UNAUTHENTICATED: i32 = -32_001;
const CODE_NOT_FOUND: i32 = -32_004;

/// The methods that hosts offer to each other.
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

/// What a host serves to its peers. Calls must not block: all of them run on
/// one thread.
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
    #[error("the peer does not have it")]
    NotFound,
    /// The peer refused the call's code, or the answer's code is wrong.
    #[error("the fleet secrets differ, or the call was altered")]
    Unauthenticated,
    /// No answer came in time.
    #[error("no answer came in time")]
    Timeout,
    /// Too many calls are under way.
    #[error("too many calls are under way")]
    Busy,
    /// The client has been stopped.
    #[error("the client has been stopped")]
    Stopped,
    /// The answer does not have the form that was agreed on.
    #[error("the answer is malformed")]
    Malformed,
    /// The content does not have the digest that was asked for.
    #[error("the content has another digest")]
    WrongContent,
    /// The operating system gave no random numbers.
    #[error("no random numbers")]
    NoRandomness,
    /// The transport failed.
    #[error("transport: {0}")]
    Transport(#[from] jsonrpsee::core::ClientError),
}

/// Why a server or a client could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket, runtime or thread could not be had.
    #[error("peers' RPC: {0}")]
    Io(#[from] io::Error),
    /// A method could not be registered.
    #[error("peers' RPC: {0}")]
    Register(#[from] jsonrpsee::core::RegisterMethodError),
}
