//! The callers' HTTP edge and the client that forwards to upstreams.
