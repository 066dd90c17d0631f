//! Tests of request outcomes.

mod lifecycle;
mod schedules;
