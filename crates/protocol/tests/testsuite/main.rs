//! Tests of the inner protocol, by concern.

mod codec;
mod former;
mod fuzz;
mod rpc;
mod samples;
mod socket;
mod token_bucket;
mod upgrade;
