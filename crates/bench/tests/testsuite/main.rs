//! Tests of the bench itself, and the scenarios that gate every change.

mod baseline;
mod gate;
