//! Small stand-ins for what surrounds the fleet: the configuration service, the
//! host list and upstream instances.
