//! Tests of detection, the capacity floor, recovery, load balancing and subsets.

mod answer_times;
mod cold_start;
mod detection;
mod drains;
mod ejection;
mod evacuation;
mod evidence;
mod fleet;
mod floor;
mod load_estimate;
mod paths;
mod placement;
mod rate_limit;
mod recovery;
mod roster;
mod scarcity;
mod scarcity_fleet;
mod subsets;
mod voter;
