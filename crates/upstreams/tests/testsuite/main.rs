//! Tests of detection, the capacity floor, recovery, balance and subsets.

mod detection;
mod drains;
mod ejection;
mod fleet;
mod floor;
mod recovery;
mod subsets;
mod voter;
