//! The host's attempt records, shared by workers and the threads that feed them.

use std::collections::HashMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use waxwingusher_attempts::{
    AttemptRegistry, AttemptRequest, AttemptResult, AttemptTicket, Outcome, Permission,
    PermitError, UnknownCause,
};
use waxwingusher_core::Clock;
use waxwingusher_protocol::Message;

use crate::peer_link::PeerLink;

/// Attempt records with a way to wait for a decision.
pub(crate) struct AttemptDesk {
    inner: Mutex<Inner>,
    decided: Condvar,
    clock: Arc<dyn Clock>,
}

pub(crate) struct Inner {
    pub(crate) registry: AttemptRegistry,
    permissions: HashMap<AttemptTicket, Permission>,
}

impl AttemptDesk {
    pub(crate) fn new(registry: AttemptRegistry, clock: Arc<dyn Clock>) -> Self {
        Self {
            inner: Mutex::new(Inner {
                registry,
                permissions: HashMap::new(),
            }),
            decided: Condvar::new(),
            clock,
        }
    }

    /// Runs `work` on the records, sends what it returns, and wakes the
    /// requests that a decision was made on.
    pub(crate) fn with<F>(&self, peers: &PeerLink, work: F)
    where
        F: FnOnce(
            &mut AttemptRegistry,
        ) -> Vec<
            waxwingusher_protocol::Outgoing<waxwingusher_protocol::attempt::AttemptMessage>,
        >,
    {
        let mut inner = self.lock();
        let outgoing = work(&mut inner.registry);
        inner.collect_decisions();
        drop(inner);
        self.decided.notify_all();
        peers.send_all(outgoing, Message::Attempt);
    }

    /// Asks whether an operation may run, and waits for the decision.
    pub(crate) fn begin(
        &self,
        request: &AttemptRequest,
        peers: &PeerLink,
    ) -> (AttemptTicket, Permission) {
        let mut inner = self.lock();
        let (ticket, outgoing) = inner.registry.begin(request);
        inner.collect_decisions();
        drop(inner);
        peers.send_all(outgoing, Message::Attempt);
        if let Some(permission) = self.wait_for(ticket, request.deadline) {
            return (ticket, permission);
        }
        // Nothing was sent; a permission that comes later must not hold the key.
        self.finish(ticket, AttemptResult::NotRun, peers);
        self.lock().permissions.remove(&ticket);
        (ticket, Permission::Unknown(UnknownCause::Unreachable))
    }

    /// Checks a permission right before the first byte.
    pub(crate) fn check_before_dispatch(&self, ticket: AttemptTicket) -> Result<(), PermitError> {
        self.lock().registry.check_before_dispatch(ticket)
    }

    /// Ends a permitted attempt.
    pub(crate) fn finish(&self, ticket: AttemptTicket, result: AttemptResult, peers: &PeerLink) {
        self.with(peers, |registry| registry.finish(ticket, result));
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports what is known of a request that an instance says it shed.
    pub(crate) fn shed_outcome(&self, ticket: AttemptTicket) -> Outcome {
        self.lock().registry.shed_outcome(ticket)
    }

    /// Hands records over, and waits until peers have them or time is over.
    pub(crate) fn hand_over(&self, peers: &PeerLink, limit: Duration) {
        self.with(peers, AttemptRegistry::hand_off);
        let deadline = self.clock.now() + limit;
        let mut inner = self.lock();
        while !inner.registry.hand_off_progress().is_done() {
            let left = deadline.saturating_duration_since(self.clock.now());
            if left.is_zero() {
                log::warn!("attempts: Not all records could be handed over.");
                return;
            }
            let waited = self.decided.wait_timeout(inner, left);
            (inner, _) = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn wait_for(&self, ticket: AttemptTicket, deadline: Instant) -> Option<Permission> {
        let mut inner = self.lock();
        loop {
            if let Some(permission) = inner.permissions.remove(&ticket) {
                return Some(permission);
            }
            let left = deadline.saturating_duration_since(self.clock.now());
            if left.is_zero() {
                return None;
            }
            let (guard, _) = self
                .decided
                .wait_timeout(inner, left)
                .unwrap_or_else(PoisonError::into_inner);
            inner = guard;
        }
    }
}

impl Inner {
    fn collect_decisions(&mut self) {
        for decision in self.registry.take_decisions() {
            self.permissions
                .insert(decision.ticket, decision.permission);
        }
    }
}
