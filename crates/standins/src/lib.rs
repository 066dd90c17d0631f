//! Small stand-ins for what surrounds the fleet: the configuration service, the
//! host list, upstream instances, and the links between hosts in virtual time.

pub mod links;

pub use links::{Delivery, LinkFaults, Links};
