//! Memory and descriptors that the connections of one process may hold.
//!
//! All connections of a process draw on one [`Account`], whose limits follow from those of
//! the machine. Bytes are charged before they are read and returned when they are freed. A
//! connection that gets no more waits without reading. Meanwhile the account closes those
//! that hold most and progress least, and what waits for too long is refused.
//!
//! The account decides without sockets and takes the time as an argument.

pub mod account;
pub mod limits;
mod pace;

pub use account::{
    Account, Admission, ConnectionId, Decision, Eviction, EvictionKind, Ticket, WaitState,
};
pub use limits::{Class, Origin, Purpose, ResourceLimits};
