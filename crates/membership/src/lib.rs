//! Membership: failure detection of peers, and distribution of the configuration
//! among hosts.

pub mod distribution;
pub mod liveness;
pub mod seeded;
