//! The event-driven data path of a host.
//!
//! One event loop serves callers, sends their requests to instances, and
//! exchanges updates with peers. All decisions are made in crates without
//! sockets: routes and splits in `config`, rate limits in `limits`, retries in
//! `attempts`, instances in `upstreams`, peers in `membership`. An adapter
//! provides the source of configuration and instances and the names of headers
//! through [`ports`].

pub mod cold_instances;
pub mod explain;
pub mod feed_calls;
pub mod feed_codec;
pub mod feed_delta;
pub mod feed_exchange;
pub mod feed_log;
pub mod feed_protocol_2;
pub mod feed_repair;
pub mod feed_replica;
pub mod feed_transfer;
pub mod gateway;
pub mod journal;
pub mod metrics;
pub mod ports;
pub mod settings;
pub mod stop_plan;

mod answer;
mod attempt;
mod body;
mod caller;
mod crash_ledger;
mod declined_peers;
mod dispatch;
mod feed;
mod feed_source;
mod home_regions;
mod in_flight;
mod listener;
mod origin;
mod outbox;
mod path_probe;
mod peers;
mod pending_permits;
mod permits;
mod pipeline;
mod queue_ticket;
mod rate_limits;
mod reports;
mod request_log;
mod resources;
mod state;
mod status_server;
mod takeover;
mod units;
mod upstream;

pub use gateway::{Gateway, GatewayError};
pub use ports::{Command, Dialect, FeedSource};
pub use settings::GatewaySettings;
