//! Tests of the protocol between hosts, by concern.

mod codec;
mod fuzz;
mod previous_release;
mod rpc;
mod samples;
mod socket;
mod token_bucket;
mod upgrade;
