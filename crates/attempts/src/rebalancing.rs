//! Transfer of records after a change of the host list: a host that becomes a
//! witness of keys takes over the records of their former witnesses, which keep
//! running and remain witnesses of other keys.

use std::time::{Duration, Instant};

use waxwingusher_core::HostId;
use waxwingusher_protocol::attempt::{AttemptMessage, HandOffPart};

use crate::buckets::{Bucket, BucketSet};
use crate::placement::HashKey;
use crate::registry::AttemptRegistry;
use crate::witness::{ListScope, Phase};

/// How long a host asks for records after each new list.
const REQUEST_TIME: Duration = Duration::from_secs(40);

/// The first delay between two requests for records.
const FIRST_REQUEST_DELAY: Duration = Duration::from_secs(1);

/// The state of the requests for records under the list in use.
#[derive(Debug, Default)]
pub(crate) struct RebalancingState {
    topology: Option<u64>,
    request_until: Option<Instant>,
    request_at: Option<Instant>,
    requests: u32,
}

impl AttemptRegistry {
    /// Reports whether this host vouches for all keys of which the list in use
    /// makes it a witness.
    #[must_use]
    pub fn vouches_for_all(&self) -> bool {
        self.lists.trusted(&*self.clock).is_some() && self.covers_all_buckets()
    }

    /// Asks the hosts of this failure domain for the records that this host
    /// lacks.
    pub(crate) fn request_moved_records(&mut self, now: Instant) {
        let Some(topology) = self.lists.trusted(&*self.clock).cloned() else {
            return;
        };
        let fingerprint = topology.fingerprint();
        let state = &mut self.hand_off.rebalancing;
        if state.topology != Some(fingerprint) {
            *state = RebalancingState {
                topology: Some(fingerprint),
                request_until: Some(now + REQUEST_TIME),
                ..RebalancingState::default()
            };
        }
        if state.request_until.is_none() || state.request_at.is_some_and(|at| now < at) {
            return;
        }
        let is_over = state.request_until.is_some_and(|until| now >= until);
        state.request_at = Some(now + FIRST_REQUEST_DELAY * (1 << (state.requests / 4)));
        state.requests += 1;
        let is_requesting = !is_over
            && self.witness.phase == Phase::Serving
            && self.lists.has_fixed_domains()
            && !self.covers_all_buckets();
        if !is_requesting {
            self.hand_off.rebalancing.request_until = None;
            return;
        }
        for host in topology.domain_peers(&self.self_id) {
            let topology = fingerprint;
            self.send(&host, AttemptMessage::Adopt { topology });
        }
    }

    /// Hands off the records of the buckets that the list in use has moved to
    /// another host of this failure domain. This host grants no claims on them
    /// since the list came into use.
    pub(crate) fn on_adopt(&mut self, from: &HostId, incarnation: u64, fingerprint: u64) {
        self.witness.expire_takeovers(&self.lists, &*self.clock);
        let trusted = self.lists.trusted(&*self.clock);
        let Some(topology) = trusted.filter(|own| own.fingerprint() == fingerprint) else {
            return;
        };
        if !self.lists.has_changed_recently(&*self.clock) {
            return;
        }
        if !self.lists.has_fixed_domains() || !topology.domain_peers(&self.self_id).contains(from) {
            return;
        }
        let now = self.clock.now();
        let count = self.settings.plan.witness_count();
        let moved = Bucket::all(self.settings.buckets).filter(|bucket| {
            topology.is_witness(&HashKey::of_bucket(*bucket), count, from)
                && !self.witness.has_handed_off(*bucket)
                && self
                    .witness
                    .covers_bucket(*bucket, ListScope::Former, &self.lists, now)
                && !self
                    .witness
                    .covers_bucket(*bucket, ListScope::All, &self.lists, now)
        });
        let moved: BucketSet = moved.collect();
        if moved.is_empty() {
            return;
        }
        self.witness.mark_handed_off(&moved);
        let source = self.rng.u64(..);
        let template = HandOffPart {
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

    fn covers_all_buckets(&self) -> bool {
        let Some(topology) = self.lists.active() else {
            return false;
        };
        let now = self.clock.now();
        let count = self.settings.plan.witness_count();
        let mut own = Bucket::all(self.settings.buckets).filter(|bucket| {
            topology.is_witness(&HashKey::of_bucket(*bucket), count, &self.self_id)
        });
        own.all(|bucket| {
            self.witness
                .covers_bucket(bucket, ListScope::All, &self.lists, now)
        })
    }
}
