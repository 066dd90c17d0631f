//! Tests of keys, limits and fair queueing.

mod bound;
mod early_transfers;
mod evidence;
mod fair_shares;
mod fleet;
mod keys;
mod opening;
mod oracle;
mod partition;
mod queue;
mod recall;
mod refusals;
mod replicated;
mod schedule;
mod service;
mod wait_queue;
