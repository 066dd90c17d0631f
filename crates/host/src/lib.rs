//! One host of the fleet: its threads, the channels between them, and the
//! connection of the decision logic to sockets and clocks.

pub mod credentials;
pub mod decisions;
pub mod host;
pub mod metrics;
pub mod refusal;
pub mod route_table;
pub mod settings;

mod active_config;
mod admin;
mod admission;
mod crash_quarantine;
mod peer_sender;
mod pipeline;
mod service_client;
mod shared_attempts;
mod shared_config_agent;
mod shared_limiter;
mod state;
mod threads;
mod work_queue;

pub use host::{Host, HostError};
pub use settings::HostSettings;
