//! Tests of the shared types, by concern.

mod cancel;
mod digest;
mod rendezvous;
mod suspension;
