//! Which hosts count as cut off from the instances.

use waxwingusher_core::InstanceId;
use waxwingusher_upstreams::PathMonitor;

fn id(number: usize) -> InstanceId {
    InstanceId::new(&format!("i-{number}"))
}

#[test]
fn a_host_is_cut_off_once_several_instances_in_a_row_take_no_connection() {
    let mut paths = PathMonitor::default();
    for _ in 0..10 {
        assert!(!paths.record_unreachable(&id(1)));
    }
    assert!(!paths.record_unreachable(&id(2)));
    assert!(paths.record_unreachable(&id(3)));
    assert!(paths.is_cut_off());
    assert!(!paths.record_unreachable(&id(4)), "reported once");
    assert!(paths.record_open());
    assert!(!paths.is_cut_off());
}

#[test]
fn instances_that_take_connections_in_between_show_that_it_is_not() {
    let mut paths = PathMonitor::default();
    for number in 0..10 {
        assert!(!paths.record_unreachable(&id(2 * number)));
        assert!(!paths.record_unreachable(&id(2 * number + 1)));
        assert!(!paths.record_open());
    }
}
