//! Which host issues the permits for the requests to an instance.
//!
//! All hosts rank the reachable hosts in the same order for each instance, and the first
//! one issues its permits.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::seeded::readers::order_key;

/// Returns the host that issues the permits for an instance, given by the hash of its
/// identity.
pub fn permit_issuer(
    instance: u32,
    own_addr: SocketAddr,
    peers: impl IntoIterator<Item = SocketAddr>,
) -> SocketAddr {
    let weight = |addr: &SocketAddr| {
        let host = order_key(*addr).to_le_bytes();
        xxh3_64_with_seed(&host, instance.into())
    };
    let peers = peers.into_iter();
    peers.fold(own_addr, |first, addr| {
        if weight(&addr) > weight(&first) {
            addr
        } else {
            first
        }
    })
}
