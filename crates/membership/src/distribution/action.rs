//! Actions that the distribution requests from its owner.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use waxwingusher_config::{PublicationError, Snapshot};
use waxwingusher_core::{ContentDigest, HostId, HostList};
use waxwingusher_protocol::{ConfigMessage, Outgoing};

/// The kind of a distributed document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DocumentKind {
    /// The configuration.
    Config,
    /// The host list.
    Hosts,
}

impl fmt::Display for DocumentKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Config => "configuration",
            Self::Hosts => "host list",
        })
    }
}

/// A watch of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watch {
    /// The known revision; the service answers once there is a newer one.
    pub after_revision: u64,
    /// How long the service may hold the call.
    pub wait: Duration,
}

/// A call to the configuration service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRead {
    /// The number to return with the outcome.
    pub ticket: u64,
    /// The value's key.
    pub key: Arc<str>,
    /// How to watch; a plain read if there is none.
    pub watch: Option<Watch>,
}

/// A version that a host does not adopt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// What was refused.
    pub document: DocumentKind,
    /// The version, if it could be read.
    pub version: Option<u64>,
    /// Why.
    pub reason: PublicationError,
}

/// An action that the owner of the agent must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentAction {
    /// Call the configuration service and pass the outcome to one of the
    /// `on_service` methods.
    ReadService(ServiceRead),
    /// Request a manifest or a pack from a peer, and pass it to `on_pack`, or call
    /// `on_pack_missing`.
    FetchFromPeer {
        /// The peer.
        host: HostId,
        /// The digest of the manifest or pack.
        digest: ContentDigest,
    },
    /// Send a message.
    Send(Outgoing<ConfigMessage>),
    /// Use this configuration from now on.
    Adopt(Arc<Snapshot>),
    /// Use this host list from now on.
    AdoptHosts(Arc<HostList>),
    /// A version was refused; count it. The log line has been written.
    Refuse(Refusal),
}
