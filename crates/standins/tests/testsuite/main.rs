//! Tests of the stand-ins.

mod client;
mod config_service;
mod fleet;
mod ports;
mod upstream;
mod upstream_faults;
