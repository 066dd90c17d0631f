//! Tests of membership.

mod distribution;
mod liveness_faults;
mod liveness_fleet;
mod liveness_fuzz;
mod liveness_updates;
mod seeded;
