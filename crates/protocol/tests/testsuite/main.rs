//! Tests of the inner protocol, by concern.

mod budget;
mod codec;
mod former;
mod fuzz;
mod rpc;
mod samples;
mod socket;
mod upgrade;
