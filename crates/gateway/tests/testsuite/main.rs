//! Tests of a host's data path over loopback, with a simulated source, callers and
//! instances.

mod answers;
mod callers;
mod changing_source;
mod cold_instances;
mod cold_schedules;
mod domain_returns;
mod endless;
mod evacuation_schedules;
mod evacuations;
mod explain;
mod feed;
mod feed_compatibility;
mod feed_delta;
mod feed_log;
mod feed_replica;
mod feed_schedules;
mod harness;
mod home_regions;
mod journal;
mod peers;
mod permit_schedules;
mod rate_limits;
mod stops;
mod takeover_schedules;
mod takeovers;
