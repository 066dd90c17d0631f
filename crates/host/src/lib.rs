//! One host of the fleet: its threads, the channels between them, and the
//! connection of the decision logic to sockets and clocks.

pub mod credentials;
pub mod decisions;
pub mod host;
pub mod metrics;
pub mod refusal;
pub mod route_table;
pub mod settings;

mod active;
mod admin;
mod admission;
mod attempt_desk;
mod config_desk;
mod crash_guard;
mod duties;
mod limit_desk;
mod peer_link;
mod pipeline;
mod service_client;
mod state;
mod work_queue;

pub use host::{Host, HostError};
pub use settings::HostSettings;
