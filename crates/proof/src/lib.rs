//! Simulates the decision logic of a whole fleet in virtual time, injects
//! faults, and checks the users' promises with an oracle.
//!
//! Each process is assembled as in the host package, but without sockets and
//! threads. Clock, links, platform and upstreams are small fakes.

pub mod action;
pub mod call;
pub mod fleet;
pub mod flow;
pub mod oracle;
pub mod process;
pub mod sample;
pub mod upstream;

pub use action::Action;
pub use fleet::Fleet;
pub use oracle::{Oracle, Violation};
