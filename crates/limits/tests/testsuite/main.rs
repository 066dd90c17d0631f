//! Tests of keys, limits and fair shares.

mod bound;
mod fleet;
mod keys;
mod oracle;
mod queue;
mod schedule;
mod service;
