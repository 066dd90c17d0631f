//! Simulated links between hosts in virtual time: delay, loss, duplication and
//! cuts.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use waxwingusher_core::HostId;

/// The delay and the faults of every link.
#[derive(Debug, Clone, Copy)]
pub struct LinkFaults {
    /// The shortest one-way delay.
    pub min_delay: Duration,
    /// The longest one-way delay. A delay above the minimum can reorder messages.
    pub max_delay: Duration,
    /// The probability that a message is lost.
    pub loss: f64,
    /// The probability that a message arrives twice.
    pub duplication: f64,
}

impl Default for LinkFaults {
    fn default() -> Self {
        Self {
            min_delay: Duration::from_micros(500),
            max_delay: Duration::from_millis(2),
            loss: 0.0,
            duplication: 0.0,
        }
    }
}

/// A delivered message.
#[derive(Debug, Clone, PartialEq)]
pub struct Delivery<M> {
    /// The sender.
    pub from: HostId,
    /// The receiver.
    pub to: HostId,
    /// The content.
    pub message: M,
}

/// All links of a fleet, with the messages in flight ordered by arrival.
#[derive(Debug)]
pub struct Links<M> {
    faults: LinkFaults,
    rng: fastrand::Rng,
    cuts: HashSet<(HostId, HostId)>,
    in_flight: BTreeMap<(Instant, u64), Delivery<M>>,
    sent_count: u64,
}

impl<M: Clone> Links<M> {
    /// Creates links without cuts. The seed determines the random faults.
    #[must_use]
    pub fn new(seed: u64, faults: LinkFaults) -> Self {
        Self {
            faults,
            rng: fastrand::Rng::with_seed(seed),
            cuts: HashSet::new(),
            in_flight: BTreeMap::new(),
            sent_count: 0,
        }
    }

    /// Sets the faults of messages that are sent from now on.
    pub fn set_faults(&mut self, faults: LinkFaults) {
        self.faults = faults;
    }

    /// Cuts the link in one direction.
    pub fn cut(&mut self, from: &HostId, to: &HostId) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    /// Heals the link in one direction.
    pub fn heal(&mut self, from: &HostId, to: &HostId) {
        self.cuts.remove(&(from.clone(), to.clone()));
    }

    /// Heals all links.
    pub fn heal_all(&mut self) {
        self.cuts.clear();
    }

    /// Reports whether the link is cut in this direction.
    #[must_use]
    pub fn is_cut(&self, from: &HostId, to: &HostId) -> bool {
        !self.cuts.is_empty() && self.cuts.contains(&(from.clone(), to.clone()))
    }

    /// Sends a message at an instant; it may be lost, duplicated or reordered.
    pub fn send(&mut self, now: Instant, from: &HostId, to: &HostId, message: M) {
        if self.is_cut(from, to) || self.rng.f64() < self.faults.loss {
            return;
        }
        if self.rng.f64() < self.faults.duplication {
            self.enqueue(now, from, to, message.clone());
        }
        self.enqueue(now, from, to, message);
    }

    /// Returns the instant of the next arrival.
    #[must_use]
    pub fn next_arrival(&self) -> Option<Instant> {
        self.in_flight.keys().next().map(|(at, _)| *at)
    }

    /// Removes and returns the next message that has arrived by `now`. A message
    /// is lost if its link is cut when it arrives.
    pub fn receive(&mut self, now: Instant) -> Option<Delivery<M>> {
        loop {
            let entry = self.in_flight.first_entry()?;
            if entry.key().0 > now {
                return None;
            }
            let delivery = entry.remove();
            if self.is_cut(&delivery.from, &delivery.to) {
                continue;
            }
            return Some(delivery);
        }
    }

    fn enqueue(&mut self, now: Instant, from: &HostId, to: &HostId, message: M) {
        let delay_range = self.faults.max_delay.saturating_sub(self.faults.min_delay);
        let delay = self.faults.min_delay + delay_range.mul_f64(self.rng.f64());
        self.sent_count += 1;
        let delivery = Delivery {
            from: from.clone(),
            to: to.clone(),
            message,
        };
        self.in_flight
            .insert((now + delay, self.sent_count), delivery);
    }
}
