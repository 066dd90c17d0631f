//! Replay protection: a sliding window that accepts each sequence number once.

const WINDOW_LEN: u64 = 64;

/// Whether a sequence number is received for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The number was not received before.
    Fresh,
    /// The number was received before, or is older than the window.
    Replayed,
}

/// The sequence numbers that were accepted from one sender's process.
#[derive(Debug, Clone, Default)]
pub struct ReplayWindow {
    highest: u64,
    // Bit `i` is set if `highest - i` was accepted.
    accepted: u64,
}

impl ReplayWindow {
    /// Accepts each number above zero at most once. Numbers may arrive out of
    /// order by less than 64.
    pub fn accept(&mut self, sequence: u64) -> Freshness {
        if sequence == 0 {
            return Freshness::Replayed;
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.accepted = if shift < WINDOW_LEN {
                self.accepted << shift
            } else {
                0
            };
            self.accepted |= 1;
            self.highest = sequence;
            return Freshness::Fresh;
        }
        let age = self.highest - sequence;
        if age >= WINDOW_LEN || self.accepted & (1 << age) != 0 {
            return Freshness::Replayed;
        }
        self.accepted |= 1 << age;
        Freshness::Fresh
    }
}
