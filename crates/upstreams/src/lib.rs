//! Upstream instances: detection and ejection of faulty ones, the capacity floor,
//! recovery, load balancing and subsets.
//!
//! [`UpstreamSet`] is one host's view. Hosts report suspicious outcomes to the
//! coordinators of a service. A coordinator ejects an instance only while votes bind a
//! quorum of hosts to it, so that the capacity floor holds over the whole fleet.

pub mod balance;
pub mod capacity;
pub mod choice;
pub mod cold_start;
pub mod context;
pub mod coordinator;
pub mod ejection;
pub mod evacuation;
pub mod evidence;
pub mod floor;
pub mod host_context;
pub mod latency;
pub mod load_estimate;
pub mod member;
pub mod paths;
pub mod placement;
pub mod pool;
pub mod pooled_evidence;
pub mod quorum;
pub mod rate_limit;
pub mod reporter;
pub mod room;
pub mod roster;
pub mod scarcity;
pub mod score;
pub mod service;
pub mod set;
pub mod settings;
pub mod steps;
pub mod subset;
pub mod usage;
pub mod view;
pub mod voter;
pub mod watch;
pub mod window;

pub use balance::BalancePolicy;
pub use choice::{
    Blame, Choice, ChoiceId, ChoiceReason, ChooseError, ChooseRequest, HealthHint, RequestOrigin,
    UpstreamResult,
};
pub use cold_start::{ColdCause, ColdLimit, ColdPolicy};
pub use evacuation::Evacuations;
pub use evidence::{Evidence, InstanceHealth, InstanceReport, Observation, PermitReason};
pub use load_estimate::LoadSharing;
pub use paths::PathMonitor;
pub use placement::{Placement, PlacementError, PlacementReason, PlacementRequest, place};
pub use rate_limit::{RateLimit, RateLimitChange};
pub use room::RoomLimit;
pub use roster::{ListedInstance, Roster, RosterChange, RosterEffect, RosterEntry, RosterState};
pub use scarcity::{
    HostView, PoolLoad, RequestKind, ScarcityChange, ScarcityInputs, ScarcityLevel, ScarcityMonitor,
};
pub use set::UpstreamSet;
pub use settings::UpstreamSettings;
pub use usage::RefusalMonitor;
pub use view::{InstanceStatus, InstanceView, ServiceView};
