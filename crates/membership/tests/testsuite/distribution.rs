//! Distribution of the configuration.

mod agent;
mod bad_publications;
mod evidence;
mod follow;
mod lab;
mod readers;
mod restarts;
mod schedule;
mod service;
mod stale_replica;
