//! Faults that a schedule causes.

use std::time::Duration;

use waxwingusher_core::{FailureDomain, HostId};
use waxwingusher_standins::LinkFaults;

/// What happens to a host's entry of the list when it stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// The list keeps the host.
    Kept,
    /// The list drops the host after a time.
    DroppedAfter(Duration),
}

/// One fault.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A process dies.
    Kill {
        /// The host.
        host: HostId,
        /// When a process without memory takes its place.
        replaced_after: Option<Duration>,
        /// What becomes of the host's entry.
        listing: Listing,
    },
    /// A planned stop.
    Stop {
        /// The host.
        host: HostId,
        /// Whether records are handed over.
        hands_over: bool,
        /// When a new process takes its place.
        replaced_after: Option<Duration>,
        /// What becomes of the host's entry.
        listing: Listing,
    },
    /// A process does nothing for a time.
    Pause {
        /// The host.
        host: HostId,
        /// How long.
        time: Duration,
    },
    /// A machine is suspended: its monotonic clock stands.
    Suspend {
        /// The host.
        host: HostId,
        /// How long.
        time: Duration,
    },
    /// A link is cut in one direction.
    CutLink {
        /// The sender.
        from: HostId,
        /// The receiver.
        to: HostId,
        /// How long.
        time: Duration,
    },
    /// A failure domain is cut off.
    CutDomain {
        /// The failure domain.
        domain: FailureDomain,
        /// Whether messages to it are lost, too.
        both_ways: bool,
        /// How long.
        time: Duration,
    },
    /// All links are bad.
    BadLinks {
        /// How bad.
        faults: LinkFaults,
        /// How long.
        time: Duration,
    },
    /// Nobody can read the list.
    ListAway {
        /// How long.
        time: Duration,
    },
    /// One host cannot read the list.
    ReadsFail {
        /// The host.
        host: HostId,
        /// How long.
        time: Duration,
    },
    /// The list drops a running host for a time.
    Delist {
        /// The host.
        host: HostId,
        /// How long.
        time: Duration,
    },
    /// A host is added.
    Add {
        /// The host's failure domain.
        domain: FailureDomain,
    },
}
