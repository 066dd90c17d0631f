//! Tests of request outcomes.

mod cluster;
mod contention;
mod fleet_retry_budget;
mod hand_off;
mod lifecycle;
mod messages;
mod quarantine;
mod rebalancing;
mod registry;
mod retry;
mod schedules;
