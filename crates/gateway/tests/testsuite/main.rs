//! Tests of a host's data path over loopback, with a simulated source, callers and
//! instances.

mod answers;
mod callers;
mod endless;
mod explain;
mod feed;
mod feed_log;
mod feed_replica;
mod feed_schedules;
mod harness;
mod journal;
mod load_sharing;
mod peers;
mod permit_schedules;
mod rate_limits;
mod stops;
mod takeover_schedules;
mod takeovers;
