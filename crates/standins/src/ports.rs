//! Loopback ports that stay reserved while nothing listens on them.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::Arc;

/// The ports that are reserved. They lie below the range from which Linux takes
/// the ports of outgoing connections and of sockets bound to port 0, so none of
/// those takes a port between the stop and the restart of its listener.
pub const RESERVABLE_PORTS: Range<u16> = 20_000..32_000;
/// The ports of a block that its owner may use.
pub const USABLE_PORTS: usize = 3;
/// The ports of a block: one that marks the block as taken, and the usable ones.
const BLOCK_PORTS: u16 = 4;

/// Loopback ports that no other block contains while it exists, also in other
/// processes.
#[derive(Debug, Clone)]
pub struct PortBlock {
    first: u16,
    // A second listener on the same port fails, so this one marks the block as taken.
    _marker: Arc<TcpListener>,
}

impl PortBlock {
    /// Reserves a random block whose ports are free for TCP and UDP.
    ///
    /// # Errors
    ///
    /// Returns an error if no block is free.
    pub fn reserve() -> io::Result<Self> {
        let blocks = (RESERVABLE_PORTS.end - RESERVABLE_PORTS.start) / BLOCK_PORTS;
        let offset = fastrand::u16(..blocks);
        for number in 0..blocks {
            let number = (number + offset) % blocks;
            let first = RESERVABLE_PORTS.start + number * BLOCK_PORTS;
            let Ok(marker) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) else {
                continue;
            };
            let block = Self {
                first,
                _marker: Arc::new(marker),
            };
            if (0..USABLE_PORTS).all(|index| is_free(block.addr(index))) {
                return Ok(block);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Returns a usable address of the block.
    ///
    /// # Panics
    ///
    /// Panics if `index` is not below [`USABLE_PORTS`].
    #[must_use]
    pub fn addr(&self, index: usize) -> SocketAddr {
        assert!(index < USABLE_PORTS, "a block has {USABLE_PORTS} ports");
        #[expect(clippy::cast_possible_truncation, reason = "checked above")]
        let port = self.first + 1 + index as u16;
        SocketAddr::from((Ipv4Addr::LOCALHOST, port))
    }
}

fn is_free(addr: SocketAddr) -> bool {
    TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok()
}
