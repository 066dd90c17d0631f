//! The wire format of messages where it differs from their form in memory.
//!
//! Within one [`Layout`](crate::codec::Layout) the messages of earlier releases
//! keep their format, and new messages are appended. A host drops and counts a
//! message that it does not know.

pub(crate) mod attempt;
pub(crate) mod health;
