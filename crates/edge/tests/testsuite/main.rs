//! Integration tests of the callers' edge and the upstream client over TCP
//! sockets.

mod callers;
mod drain_plan;
mod framing;
mod harness;
mod upstreams;
