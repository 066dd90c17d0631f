//! Tests of the callers' edge and of the upstream client over real sockets.

mod callers;
mod framing;
mod rig;
mod upstreams;
