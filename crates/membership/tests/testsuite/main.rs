//! Tests of membership, by concern.

mod distribution;
