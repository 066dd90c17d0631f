//! Distribution of the configuration.

mod agent;
mod bad_publications;
mod evidence;
mod follow;
mod harness;
mod readers;
mod restarts;
mod schedule;
mod service;
mod stale_replica;
