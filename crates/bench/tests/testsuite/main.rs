//! Tests of the bench itself and of the scenarios that every change must pass.

mod baseline;
mod gate;
