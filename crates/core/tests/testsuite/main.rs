//! Tests of the shared types, by concern.

mod cancel;
mod digest;
mod feed_position;
mod rendezvous;
mod suspension;
