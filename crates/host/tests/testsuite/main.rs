//! Tests of the host.

mod routes;
