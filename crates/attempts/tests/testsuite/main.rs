//! Tests of request outcomes.

mod adoption;
mod cluster;
mod contention;
mod fleet_retry_budget;
mod hand_over;
mod lifecycle;
mod messages;
mod quarantine;
mod registry;
mod retry;
mod schedules;
