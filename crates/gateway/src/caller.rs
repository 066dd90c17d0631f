//! Connections of callers.
//!
//! HTTP/1.1 is handled here on top of a parser from a library, since pipelined
//! requests must run concurrently, and a caller that disconnects must be noticed
//! while its requests run, also when it has pipelined more of them.

mod connection;
mod linger;
mod reader;
mod writer;

pub(crate) use connection::serve;
