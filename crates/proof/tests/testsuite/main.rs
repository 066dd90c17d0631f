//! Stateful fuzzing of the fleet's decision logic.

mod machine;
mod regressions;
mod schedules;
mod suspension;
