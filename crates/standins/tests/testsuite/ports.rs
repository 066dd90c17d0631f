//! Reserved ports stay with their owner while nothing listens on them.

use std::collections::BTreeSet;
use std::net::{TcpListener, TcpStream};

use waxwingusher_standins::ports::{PortBlock, RESERVABLE_PORTS, USABLE_PORTS};

/// A host restarted on its own ports found one of them taken by an outgoing
/// connection of another test: ports that the system hands out for port 0 come
/// from the same range.
#[test]
fn the_system_hands_out_no_reservable_port() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    assert!(!RESERVABLE_PORTS.contains(&addr.port()));
    let stream = TcpStream::connect(addr).expect("the listener accepts");
    let port = stream.local_addr().expect("an address").port();
    assert!(!RESERVABLE_PORTS.contains(&port));
}

#[test]
fn no_two_blocks_share_a_port_and_a_released_port_can_be_bound_again() {
    let blocks: Vec<PortBlock> = (0..50)
        .map(|_| PortBlock::reserve().expect("free ports"))
        .collect();
    let mut ports = BTreeSet::new();
    for block in &blocks {
        for index in 0..USABLE_PORTS {
            let addr = block.addr(index);
            assert!(RESERVABLE_PORTS.contains(&addr.port()));
            assert!(ports.insert(addr.port()), "{addr} is in two blocks");
            drop(TcpListener::bind(addr).expect("reserved for this test"));
            TcpListener::bind(addr).expect("still reserved");
        }
    }
}

#[test]
fn a_block_with_a_port_in_use_is_not_handed_out() {
    let block = PortBlock::reserve().expect("free ports");
    let addr = block.addr(1);
    let _listener = TcpListener::bind(addr).expect("reserved for this test");
    drop(block);
    for _ in 0..20 {
        let other = PortBlock::reserve().expect("free ports");
        assert!((0..USABLE_PORTS).all(|index| other.addr(index) != addr));
    }
}
