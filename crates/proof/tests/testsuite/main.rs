//! Fuzzes the fleet's decision logic with random schedules of actions.

mod machine;
mod regressions;
mod schedules;
mod suspension;
