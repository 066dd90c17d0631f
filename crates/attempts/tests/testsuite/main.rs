//! Tests of request outcomes.

mod lifecycle;
