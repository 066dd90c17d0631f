//! Peers that find each other from a few seeds, without a host list.
//!
//! Hosts join, die and return with nothing. A host asks its seeds for the peers
//! they know, greets each of them, and compares its table with a random peer
//! from time to time. A silent peer is not forgotten while the process lives: it
//! may be cut off and still serve callers. A peer that ends as planned says so
//! and counts no more; the others pass that on with their tables.

mod message;
mod table;

pub use message::{
    AdmissionCounts, CrashReport, Departure, HostReport, InstanceStats, Member, PeerMessage,
    name_hash,
};
pub use table::{Outgoing, PeerStatus, PeerTable};
