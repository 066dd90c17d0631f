//! The event-driven data path of a host.
//!
//! One event loop serves callers, sends their requests to instances, and
//! exchanges news with peers. Whatever decides is in packages without sockets:
//! routes and splits in `config`, rates in `limits`, repeats in `attempts`,
//! instances in `upstreams`, peers in `membership`. Where configuration and
//! instances come from, and what headers are called, is plugged in through
//! [`ports`].

pub mod explain;
pub mod gateway;
pub mod journal;
pub mod metrics;
pub mod ports;
pub mod settings;

mod answer;
mod attempt;
mod caller;
mod crash_ledger;
mod dispatch;
mod feed;
mod path_probe;
mod peers;
mod pipeline;
mod state;
mod status_server;
mod upstream;

pub use gateway::{Gateway, GatewayError};
pub use ports::{Dialect, FeedSource, Order};
pub use settings::GatewaySettings;
