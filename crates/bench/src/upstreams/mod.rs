//! Scenarios of upstreams: outlier ejection, load balancing and subsetting.

mod alternatives;
mod balance;
pub(crate) mod cost;
mod curve;
mod detection;
mod even_load;
mod fleet;
mod placement_time;
mod pool;
mod subsets;

use crate::Scenario;

/// Returns all scenarios of this topic.
#[must_use]
pub fn scenarios() -> Vec<Box<dyn Scenario>> {
    let mut all = detection::scenarios();
    all.push(Box::new(curve::FalseEjections));
    all.push(Box::new(curve::TradeOff));
    all.push(Box::new(balance::Balance));
    all.push(Box::new(subsets::Subsets));
    all.push(Box::new(cost::ControlCost));
    all.push(Box::new(placement_time::PlacementTime));
    all.extend(even_load::scenarios());
    all
}
