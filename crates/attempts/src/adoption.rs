//! Transfer of records after a change of the host list: a host that becomes a
//! witness of keys takes over the records of their former witnesses, which keep
//! running and remain witnesses of other keys.

use std::time::{Duration, Instant};

use waxwingusher_core::HostId;
use waxwingusher_protocol::attempt::{AttemptMessage, HandOver};

use crate::buckets::{Bucket, BucketSet};
use crate::registry::AttemptRegistry;
use crate::witness::{Phase, Scope};
use crate::witnesses::HashKey;

/// How long a host asks for records after each new list.
const ADOPTION_TIME: Duration = Duration::from_secs(40);

/// The first delay between two requests for records.
const ASK_AFTER: Duration = Duration::from_secs(1);

/// The state of the requests for records under the list in use.
#[derive(Debug, Default)]
pub(crate) struct AdoptionState {
    topology: Option<u64>,
    ask_until: Option<Instant>,
    ask_at: Option<Instant>,
    tries: u32,
}

impl AttemptRegistry {
    /// Reports whether this host vouches for all keys of which the list in use
    /// makes it a witness.
    #[must_use]
    pub fn vouches_for_all(&self) -> bool {
        self.lists.trusted(&*self.clock).is_some() && self.lacks_no_bucket()
    }

    /// Asks the hosts of this failure domain for the records that this host
    /// lacks.
    pub(crate) fn ask_for_adoption(&mut self, now: Instant) {
        let Some(topology) = self.lists.trusted(&*self.clock).cloned() else {
            return;
        };
        let fingerprint = topology.fingerprint();
        let state = &mut self.hand_over.adoption;
        if state.topology != Some(fingerprint) {
            *state = AdoptionState {
                topology: Some(fingerprint),
                ask_until: Some(now + ADOPTION_TIME),
                ..AdoptionState::default()
            };
        }
        if state.ask_until.is_none() || state.ask_at.is_some_and(|at| now < at) {
            return;
        }
        let is_over = state.ask_until.is_some_and(|until| now >= until);
        state.ask_at = Some(now + ASK_AFTER * (1 << (state.tries / 4)));
        state.tries += 1;
        let is_asking = !is_over
            && self.witness.phase == Phase::Serving
            && self.lists.has_fixed_domains()
            && !self.lacks_no_bucket();
        if !is_asking {
            self.hand_over.adoption.ask_until = None;
            return;
        }
        for host in topology.neighbours(&self.self_id) {
            let topology = fingerprint;
            self.send(&host, AttemptMessage::Adopt { topology });
        }
    }

    /// Hands off the records of the buckets that the list in use has moved to
    /// another host of this failure domain. This host grants no claims on them
    /// since the list came into use.
    pub(crate) fn on_adopt(&mut self, from: &HostId, incarnation: u64, fingerprint: u64) {
        self.witness.expire_inherited(&self.lists, &*self.clock);
        let trusted = self.lists.trusted(&*self.clock);
        let Some(topology) = trusted.filter(|own| own.fingerprint() == fingerprint) else {
            return;
        };
        if !self.lists.has_changed_lately(&*self.clock) {
            return;
        }
        if !self.lists.has_fixed_domains() || !topology.neighbours(&self.self_id).contains(from) {
            return;
        }
        let now = self.clock.now();
        let count = self.settings.plan.witnesses();
        let moved = Bucket::all(self.settings.buckets).filter(|bucket| {
            topology.is_witness(&HashKey::of_bucket(*bucket), count, from)
                && !self.witness.has_given(*bucket)
                && self.witness.holds(*bucket, Scope::Former, &self.lists, now)
                && !self.witness.holds(*bucket, Scope::All, &self.lists, now)
        });
        let moved: BucketSet = moved.collect();
        if moved.is_empty() {
            return;
        }
        self.witness.give(&moved);
        let source = self.rng.u64(..);
        let template = HandOver {
            of: self.self_id.clone(),
            source,
            id: source,
            part: 0,
            parts: 0,
            topology: fingerprint,
            former_hosts: Vec::new(),
            receivers: 1,
            is_complete: false,
            to_incarnation: Some(incarnation),
            buckets: Vec::new(),
            records: Vec::new(),
        };
        log::info!("attempts: handing off the records of moved keys to {from}");
        let mut records = self.witness.store.export();
        let buckets = self.settings.buckets;
        records.retain(|record| moved.contains(Bucket::of(&record.key, buckets)));
        self.start_transfer(from, &template, records, &moved);
    }

    fn lacks_no_bucket(&self) -> bool {
        let Some(topology) = self.lists.active() else {
            return false;
        };
        let now = self.clock.now();
        let count = self.settings.plan.witnesses();
        let mut own = Bucket::all(self.settings.buckets).filter(|bucket| {
            topology.is_witness(&HashKey::of_bucket(*bucket), count, &self.self_id)
        });
        own.all(|bucket| self.witness.holds(bucket, Scope::All, &self.lists, now))
    }
}
