//! Tests of the binary, by concern.

mod commands;
