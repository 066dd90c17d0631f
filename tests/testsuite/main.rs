//! Tests of the binary, by concern.

mod commands;
mod crashes;
mod fleet;
mod serve;
mod whole_path;
