//! Tests of the binary, by concern.

mod check_published;
mod commands;
mod crashes;
mod end_to_end;
mod fleet;
mod keys;
mod opening;
mod operators;
mod processes;
mod rolling;
mod serve;
