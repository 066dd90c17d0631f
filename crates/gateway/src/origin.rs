//! Where requests come from.

use std::net::IpAddr;

/// Who has sent a request to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// A caller.
    Caller,
    /// A peer without a path to instances, at this address.
    Peer(IpAddr),
}
