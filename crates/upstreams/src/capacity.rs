//! The slots of one pool in one host's view.

use std::collections::{BTreeMap, BTreeSet};

use waxwingusher_protocol::health::{EjectionRow, InstanceKey};

use crate::floor::CapacityFloor;

/// The slots of a pool in one host's view.
#[derive(Debug, Clone, Default)]
pub struct PoolCapacity {
    /// The capacity floor in percent of all slots.
    pub floor_percent: u8,
    /// The slots of each instance.
    pub slots: BTreeMap<InstanceKey, u32>,
    /// Instances that are leaving, draining or cold.
    pub unavailable: Vec<InstanceKey>,
}

impl PoolCapacity {
    /// Returns the number of instances.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Reports whether the pool has no instances.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the floor without the unavailable instances and `excluded`.
    #[must_use]
    pub fn floor_without(&self, excluded: impl Iterator<Item = InstanceKey>) -> CapacityFloor {
        let total = self.slots.values().map(|slots| u64::from(*slots)).sum();
        let mut floor = CapacityFloor::new(total, self.floor_percent);
        let gone: BTreeSet<_> = self.unavailable.iter().copied().chain(excluded).collect();
        for instance in gone {
            floor.take_out(self.slots_of(instance));
        }
        floor
    }

    /// Returns the ejections that the floor allows, in their order.
    ///
    /// Rows never change their order while a host may hold an older list, so hosts
    /// with different lists of one coordinator apply the same first rows. Unless
    /// `are_reports_current`, the instance of a row that is left out may be closed at a
    /// host whose drains no coordinator knows; then either all rows are allowed or
    /// none.
    #[must_use]
    pub fn allowed(
        &self,
        ejections: &[EjectionRow],
        are_reports_current: bool,
    ) -> Vec<EjectionRow> {
        let mut floor = self.floor_without(std::iter::empty());
        let gone: BTreeSet<_> = self.unavailable.iter().collect();
        let mut allowed = Vec::new();
        for row in ejections {
            if gone.contains(&row.instance) || !self.slots.contains_key(&row.instance) {
                continue;
            }
            if !floor.try_eject(self.slots_of(row.instance)) {
                if !are_reports_current {
                    allowed.clear();
                }
                break;
            }
            allowed.push(*row);
        }
        allowed
    }

    /// Returns the slots of an instance, or 0 if it is unknown.
    #[must_use]
    pub fn slots_of(&self, instance: InstanceKey) -> u32 {
        self.slots.get(&instance).copied().unwrap_or(0)
    }
}
