//! The permits that this host issues, and the requests that wait for those of others.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Instant;

use tokio::sync::oneshot;
use waxwingusher_core::InstanceId;
use waxwingusher_limits::{FleetView, PermitDenied, PermitIssuer};
use waxwingusher_membership::seeded::{PermitDecision, PermitReply};

/// The permits that this host issues, and those that it waits for.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    issuer: RefCell<PermitIssuer>,
    pending: RefCell<HashMap<u64, oneshot::Sender<PermitDecision>>>,
    last_id: Cell<u64>,
}

impl Permits {
    /// Registers a request that waits for an issuer's answer. It is removed when the
    /// returned guard is dropped.
    pub(crate) fn register(&self) -> (PendingPermit<'_>, oneshot::Receiver<PermitDecision>) {
        let id = self.last_id.get().wrapping_add(1);
        self.last_id.set(id);
        let (sender, decision) = oneshot::channel();
        self.pending.borrow_mut().insert(id, sender);
        (PendingPermit { permits: self, id }, decision)
    }

    /// Issues a permit as the issuer of an instance.
    pub(crate) fn issue(
        &self,
        now: Instant,
        instance: &InstanceId,
        rate_per_s: f64,
        view: FleetView,
        rng: &mut fastrand::Rng,
    ) -> Result<(), PermitDenied> {
        let mut issuer = self.issuer.borrow_mut();
        issuer.issue(now, instance, rate_per_s, view, rng)
    }

    /// Passes an issuer's answer to the request that waits for it, if it still does.
    pub(crate) fn complete(&self, reply: PermitReply) {
        if let Some(waiting) = self.pending.borrow_mut().remove(&reply.id) {
            // Sending fails only if the request was cancelled just now.
            let _ = waiting.send(reply.decision);
        }
    }

    /// Forgets the permits of instances that this host does not issue any more.
    pub(crate) fn retain(&self, keep: impl Fn(&InstanceId) -> bool) {
        self.issuer.borrow_mut().retain(keep);
    }
}

/// A request that waits for an issuer's answer. It is removed on drop, also when the task
/// that waits is cancelled.
pub(crate) struct PendingPermit<'a> {
    permits: &'a Permits,
    id: u64,
}

impl PendingPermit<'_> {
    /// Returns the id by which the answer refers to the request.
    pub(crate) fn id(&self) -> u64 {
        self.id
    }
}

impl Drop for PendingPermit<'_> {
    fn drop(&mut self) {
        self.permits.pending.borrow_mut().remove(&self.id);
    }
}
