//! Tests of the inner protocol, by concern.

mod budget;
mod codec;
mod fuzz;
mod samples;
mod socket;
mod upgrade;
