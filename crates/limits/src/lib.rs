//! Keys of workspaces, fleet-wide rate limits, and fair queueing on a loaded
//! host.

mod borrowing;
mod bucket;
mod demand;
mod holders;
mod lending;
mod limit_table;
mod list_lease;
mod loan;
mod role;
mod share;
mod shares;

pub mod decision;
pub mod fair_shares;
pub mod keys;
pub mod limit_key;
pub mod limiter;
pub mod peer_counts;
pub mod permits;
pub mod queue;
pub mod replicated;
pub mod settings;
pub mod wait_queue;

pub use decision::{LimitReport, LimiterReport, RefusalCounts, RefusalReason, SpendDecision};
pub use fair_shares::{FairShares, ShareDecision, max_min_level};
pub use keys::KeyIndex;
pub use limit_key::LimitKey;
pub use limiter::Limiter;
pub use peer_counts::PeerCounts;
pub use permits::{PermitDenied, PermitIssuer};
pub use queue::{Dequeued, FairQueue, FairQueueSettings, QueueRefusal, RequestClass};
pub use replicated::{
    Admissions, Admitted, FleetView, OverRate, ReplicatedLimits, ReplicatedSettings,
};
pub use settings::LimiterSettings;
pub use wait_queue::{QueuePosition, WaitEstimate, WaitQueue, WaitTerms};
