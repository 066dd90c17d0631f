//! Upstream instances: detection of sick ones, the capacity floor, recovery,
//! balance and subsets.
