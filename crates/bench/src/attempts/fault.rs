//! Faults that a schedule injects.

use std::time::Duration;

use waxwingusher_core::{FailureDomain, HostId};
use waxwingusher_standins::LinkFaults;

/// What happens to a host's entry in the list when it stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// The list keeps the host.
    Kept,
    /// The host is removed from the list after this time.
    RemovedAfter(Duration),
}

/// An injected fault.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A process is killed.
    Kill {
        /// The host.
        host: HostId,
        /// When a process without state replaces it, if ever.
        replaced_after: Option<Duration>,
        /// What becomes of the host's entry.
        listing: Listing,
    },
    /// A planned stop.
    Stop {
        /// The host.
        host: HostId,
        /// Whether records are handed off.
        hands_off_records: bool,
        /// When a new process replaces it, if ever.
        replaced_after: Option<Duration>,
        /// What becomes of the host's entry.
        listing: Listing,
    },
    /// A process is paused: it does not run for a while.
    Pause {
        /// The host.
        host: HostId,
        /// How long.
        time: Duration,
    },
    /// A machine is suspended: its monotonic clock does not advance.
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
    /// A failure domain is cut off from the others.
    CutDomain {
        /// The failure domain.
        domain: FailureDomain,
        /// Whether messages to it are lost as well as those from it.
        both_ways: bool,
        /// How long.
        time: Duration,
    },
    /// All links lose, delay or duplicate messages.
    FaultyLinks {
        /// The faults of the links.
        faults: LinkFaults,
        /// How long.
        time: Duration,
    },
    /// No host can read the list.
    ListUnavailable {
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
    /// A running host is removed from the list for a while.
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
