//! Failure domains whose instances get no requests until an operator takes the order
//! back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use waxwingusher_core::FailureDomain;

/// How long an order is kept that a restored backup of the feed lacks. What the backup
/// lost is written again within a few seconds.
const BACKUP_GRACE: Duration = Duration::from_secs(5);
/// How long the end of an evacuation is remembered; longer than any instance is cold.
const ENDED_RETENTION: Duration = Duration::from_secs(10 * 60);

/// An order to evacuate a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Order {
    /// When the order ends unless it is published again.
    held_until: Option<Instant>,
}

/// The orders to evacuate failure domains that are in force.
#[derive(Debug, Default)]
pub struct Evacuations {
    orders: BTreeMap<FailureDomain, Order>,
    /// When evacuations ended.
    ended_at: BTreeMap<FailureDomain, Instant>,
    /// The era of the feed at the last complete list.
    era: Option<u16>,
}

impl Evacuations {
    /// Puts an order in force, and returns whether the domain was not evacuated before.
    pub fn order(&mut self, domain: FailureDomain) -> bool {
        self.ended_at.remove(&domain);
        self.orders.insert(domain, Order::default()).is_none()
    }

    /// Takes an order back, and returns whether the domain was evacuated.
    pub fn take_back(&mut self, now: Instant, domain: &FailureDomain) -> bool {
        let is_evacuated = self.orders.remove(domain).is_some();
        if is_evacuated {
            self.ended_at.insert(domain.clone(), now);
        }
        is_evacuated
    }

    /// Replaces the orders with a complete list, and returns the domains whose
    /// evacuation has begun or ended. An order that is missing in a new era of the feed
    /// may only be missing in its backup, and stays in force for 5 s.
    pub fn replace(
        &mut self,
        now: Instant,
        domains: &BTreeSet<FailureDomain>,
        era: u16,
    ) -> Vec<FailureDomain> {
        let is_new_era = self.era.replace(era).is_some_and(|known| known != era);
        let mut changed = Vec::new();
        for domain in domains {
            if self.order(domain.clone()) {
                changed.push(domain.clone());
            }
        }
        let missing = self
            .orders
            .keys()
            .filter(|domain| !domains.contains(*domain));
        for domain in missing.cloned().collect::<Vec<_>>() {
            if is_new_era {
                if let Some(order) = self.orders.get_mut(&domain) {
                    order.held_until.get_or_insert(now + BACKUP_GRACE);
                }
                continue;
            }
            self.take_back(now, &domain);
            changed.push(domain);
        }
        changed
    }

    /// Ends the orders that a restored feed has not published again, and returns their
    /// domains.
    pub fn expire(&mut self, now: Instant) -> Vec<FailureDomain> {
        self.ended_at
            .retain(|_, at| now.saturating_duration_since(*at) < ENDED_RETENTION);
        let is_over = |order: &Order| order.held_until.is_some_and(|until| now >= until);
        let over = self.orders.iter().filter(|(_, order)| is_over(order));
        let over: Vec<FailureDomain> = over.map(|(domain, _)| domain.clone()).collect();
        for domain in &over {
            self.take_back(now, domain);
        }
        over
    }

    /// Reports whether a failure domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &FailureDomain) -> bool {
        !self.orders.is_empty() && self.orders.contains_key(domain)
    }

    /// Returns when the last evacuation of a failure domain ended, if that was not long
    /// ago.
    #[must_use]
    pub fn ended_at(&self, domain: &FailureDomain) -> Option<Instant> {
        self.ended_at.get(domain).copied()
    }

    /// Returns the evacuated failure domains.
    pub fn iter(&self) -> impl Iterator<Item = &FailureDomain> {
        self.orders.keys()
    }
}
