//! Peer discovery from a few seeds, without a host list.
//!
//! Hosts join, fail and restart without stored state. A host asks its seeds for
//! the peers that they know, sends a hello to each of them, and periodically
//! compares its table with a random peer (anti-entropy). A silent peer is kept
//! while the process runs: it may be cut off and still serve callers. A peer that
//! shuts down as planned sends departure notices and is no longer counted; the
//! others spread the notice with their tables.

pub mod collector;
pub mod fanout;
pub mod issuers;
pub mod readers;

mod message;
mod table;

pub use message::{
    AdmissionCounts, CrashReport, Delivery, Departure, DocumentChunk, DocumentRequest, FeedChanges,
    FeedRequest, FeedUpdate, HostReport, InstanceRateLimit, InstanceStats, LeavingInstance,
    LeavingNotice, Member, PeerMessage, PermitDecision, PermitReply, PermitRequest, Profile,
    RateLimitNotice, ReportBatch, name_hash,
};
pub use table::{Outgoing, PeerStatus, PeerTable};
