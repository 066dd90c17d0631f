//! Tests of request outcomes.

mod cluster;
mod hand_over;
mod lifecycle;
mod quarantine;
mod registry;
mod retry;
mod schedules;
