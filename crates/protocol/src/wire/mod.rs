//! Messages as they are sent, where that differs from the messages in memory.
//!
//! Within a layout of datagrams the messages of earlier releases keep their
//! form, and what is new is appended. A host that does not know a message drops
//! and counts it.

pub(crate) mod attempt;
pub(crate) mod health;
