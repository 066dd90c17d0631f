//! Tests of the stand-ins over real sockets, by concern.

mod client;
mod config_service;
mod fleet;
mod upstream;
mod upstream_faults;
