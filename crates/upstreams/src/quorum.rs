//! The number of votes that a coordinator needs.

/// Returns the number of votes of which any two sets share a host, also when
/// they are counted over lists that differ by a tenth of the hosts.
#[must_use]
pub fn quorum(hosts: usize) -> usize {
    let margin = (hosts / 5).max(1);
    hosts.min((hosts + margin) / 2 + 1)
}
