//! Tests of keys, limits and fair shares.

mod answers;
mod bound;
mod cut;
mod early;
mod evidence;
mod fleet;
mod keys;
mod opening;
mod oracle;
mod queue;
mod recall;
mod replicated;
mod schedule;
mod service;
mod wait_queue;
