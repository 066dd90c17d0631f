//! Test doubles for the environment of the fleet: the configuration service, the
//! host list, upstream instances, and the links between hosts in virtual time.
//!
//! The servers listen on free loopback ports as threads of one process. They
//! implement HTTP/1.1 directly, because a server library would hide the failures
//! that they have to inject. Each stops when it is dropped or its token is
//! cancelled.

pub mod config_service;
pub mod error;
pub mod fleet;
pub mod http;
pub mod links;
pub mod ports;
mod server;
pub mod upstream;

pub use config_service::{CallCounts, ConfigService, HostListLag, ServiceMode};
pub use error::StandinError;
pub use fleet::{VirtualFleet, VirtualHost};
pub use http::HttpRequest;
pub use links::{Delivery, LinkFaults, Links};
pub use ports::PortBlock;
pub use upstream::{
    Cut, Faults, GrayFailure, GrayKind, Phase, RequestOutcome, RequestRecord, UpstreamServer,
    UpstreamSettings,
};
