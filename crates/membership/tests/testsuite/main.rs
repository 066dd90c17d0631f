//! Tests of membership.

mod collector;
mod distribution;
mod fanout;
mod liveness_faults;
mod liveness_fleet;
mod liveness_fuzz;
mod liveness_updates;
mod readers;
mod seeded;
