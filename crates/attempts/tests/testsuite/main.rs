//! Tests of request outcomes.

mod cluster;
mod contention;
mod hand_over;
mod lifecycle;
mod messages;
mod quarantine;
mod registry;
mod retry;
mod schedules;
