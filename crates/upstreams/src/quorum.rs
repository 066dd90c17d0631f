//! The quorum of votes that a coordinator needs.

/// Returns the quorum for a list of hosts. Any two quorums share a host, even over
/// lists that differ by a tenth of the hosts.
#[must_use]
pub fn quorum(hosts: usize) -> usize {
    let margin = (hosts / 5).max(1);
    hosts.min((hosts + margin) / 2 + 1)
}
