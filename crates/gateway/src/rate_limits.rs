//! The limits that instances name: what this host knows, tells its peers and learns from
//! them.

use std::net::SocketAddr;

use waxwingusher_core::InstanceId;
use waxwingusher_membership::seeded::issuers::permit_issuer;
use waxwingusher_membership::seeded::{InstanceRateLimit, name_hash};
use waxwingusher_upstreams::{RateLimit, RateLimitChange};

use crate::journal::Event;
use crate::state::State;

impl State {
    /// Records the limit that an instance has named to this host, and reports it to peers
    /// if it has changed.
    pub(crate) fn report_rate_limit(&self, id: &InstanceId, change: RateLimitChange) {
        if self.record_rate_limit(id, change, "answer") {
            self.outbox.rate_limits.borrow_mut().insert(id.clone());
            self.outbox.request_urgent_send();
        }
    }

    /// Records the limit that an instance has named to a peer.
    pub(crate) fn apply_rate_limit(&self, limit: InstanceRateLimit) {
        let id = self
            .instances_by_hash
            .borrow()
            .get(&limit.instance)
            .cloned();
        let Some(id) = id else {
            return;
        };
        let incarnation = self
            .roster
            .borrow()
            .get(&id)
            .map(|listed| listed.entry.incarnation);
        if incarnation != Some(limit.incarnation) {
            return;
        }
        let change = limit
            .milli_per_s
            .map_or(RateLimitChange::Lifted, |milli_per_s| {
                RateLimitChange::Named(RateLimit::from_milli_per_s(milli_per_s))
            });
        self.record_rate_limit(&id, change, "peer");
    }

    /// Returns the limits of instances for a message to peers.
    pub(crate) fn rate_limits_of(
        &self,
        ids: impl IntoIterator<Item = InstanceId>,
    ) -> Vec<InstanceRateLimit> {
        let evidence = self.evidence.borrow();
        let roster = self.roster.borrow();
        let limits = ids.into_iter().filter_map(|id| {
            Some(InstanceRateLimit {
                instance: name_hash(id.as_str()),
                incarnation: roster.get(&id)?.entry.incarnation,
                milli_per_s: evidence.rate_limit(&id).map(RateLimit::milli_per_s),
            })
        });
        limits.collect()
    }

    /// Returns the limits of the instances for which this host issues permits.
    pub(crate) fn issued_rate_limits(&self) -> Vec<InstanceRateLimit> {
        let evidence = self.evidence.borrow();
        let limited = evidence.rate_limits().map(|(id, _)| id);
        let issued = limited.filter(|id| self.permit_issuer(id).is_none());
        self.rate_limits_of(issued.cloned())
    }

    fn record_rate_limit(
        &self,
        id: &InstanceId,
        change: RateLimitChange,
        source: &'static str,
    ) -> bool {
        let is_changed = self.evidence.borrow_mut().record_rate_limit(id, change);
        if is_changed {
            self.journal.write(&Event::RateLimit {
                instance: id.as_str(),
                rate_per_s: change.limit().map(RateLimit::per_s),
                source,
            });
            self.capacity_freed.notify_waiters();
        }
        is_changed
    }

    /// Returns the peer that issues the permits for an instance; `None` if this host does.
    pub(crate) fn permit_issuer(&self, id: &InstanceId) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        let own_addr = peers.local_member().addr;
        let candidates = peers.reachable_issuers(self.now());
        let issuer = permit_issuer(name_hash(id.as_str()), own_addr, candidates);
        (issuer != own_addr).then_some(issuer)
    }
}
