//! Weighted distribution of a route's requests over services.

use crate::routing::document::Route;
use waxwingusher_core::ServiceName;

/// Picks a service for each request by smooth weighted round robin, which keeps
/// the shares of one host within one request of their weights.
///
/// Hosts start at a random phase, so that the shares also hold over a fleet in
/// which each host receives few requests.
#[derive(Debug, Clone)]
pub struct SplitPicker {
    credits: Vec<i64>,
}

impl SplitPicker {
    /// Creates a picker whose phase is drawn from `rng`.
    #[must_use]
    pub fn new(route: &Route, rng: &mut fastrand::Rng) -> Self {
        let total: i64 = route
            .split
            .iter()
            .map(|share| i64::from(share.weight))
            .sum();
        let mut picker = Self {
            credits: vec![0; route.split.len()],
        };
        let steps = if total > 0 { rng.i64(0..total) } else { 0 };
        for _ in 0..steps {
            picker.next_index(route);
        }
        picker
    }

    /// Returns the service of the next request.
    pub fn pick(&mut self, route: &Route) -> Option<ServiceName> {
        let index = self.next_index(route)?;
        Some(route.split[index].service.clone())
    }

    fn next_index(&mut self, route: &Route) -> Option<usize> {
        let mut total = 0;
        for (credit, share) in self.credits.iter_mut().zip(&route.split) {
            let weight = i64::from(share.weight);
            *credit += weight;
            total += weight;
        }
        let best = (0..self.credits.len())
            .filter(|index| route.split[*index].weight > 0)
            .max_by_key(|index| (self.credits[*index], std::cmp::Reverse(*index)))?;
        self.credits[best] -= total;
        Some(best)
    }
}
