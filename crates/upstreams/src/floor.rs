//! The capacity floor of one pool.

/// The slots of a pool that are in use, and the number that must stay in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacityFloor {
    required_slots: u64,
    in_use_slots: u64,
}

impl CapacityFloor {
    /// Creates the floor of a pool whose instances are all in use.
    #[must_use]
    pub fn new(total_slots: u64, floor_percent: u8) -> Self {
        let percent = u64::from(floor_percent.min(100));
        Self {
            required_slots: (total_slots * percent).div_ceil(100),
            in_use_slots: total_slots,
        }
    }

    /// Takes slots out of use for a reason that the fleet does not control.
    pub fn take_out(&mut self, slots: u32) {
        self.in_use_slots = self.in_use_slots.saturating_sub(u64::from(slots));
    }

    /// Takes slots out of use if the rest stays at or above the floor, and
    /// reports whether it did.
    #[must_use]
    pub fn try_eject(&mut self, slots: u32) -> bool {
        let slots = u64::from(slots);
        if self.in_use_slots < self.required_slots + slots {
            return false;
        }
        self.in_use_slots -= slots;
        true
    }

    /// Returns the slots that are in use.
    #[must_use]
    pub fn in_use_slots(&self) -> u64 {
        self.in_use_slots
    }

    /// Returns the slots that must stay in use.
    #[must_use]
    pub fn required_slots(&self) -> u64 {
        self.required_slots
    }
}
