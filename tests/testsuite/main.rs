//! Tests of the binary, by concern.

mod commands;
mod fleet;
mod serve;
mod whole_path;
