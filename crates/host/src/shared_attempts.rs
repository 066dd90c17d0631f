//! The host's attempt records, shared by the workers and the threads that
//! receive messages and drive ticks.

use std::collections::HashMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use waxwingusher_attempts::{
    AttemptRegistry, AttemptRequest, AttemptResult, AttemptTicket, Outcome, Permission,
    PermitError, UnknownCause,
};
use waxwingusher_core::Clock;
use waxwingusher_protocol::Message;

use crate::peer_sender::PeerSender;

/// Attempt records on which a request can wait for a decision.
pub(crate) struct SharedAttempts {
    inner: Mutex<Inner>,
    decided: Condvar,
    clock: Arc<dyn Clock>,
}

pub(crate) struct Inner {
    pub(crate) registry: AttemptRegistry,
    permissions: HashMap<AttemptTicket, Permission>,
}

impl SharedAttempts {
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

    /// Runs `work` on the records, sends the messages that it returns, and wakes
    /// the requests that wait for a decision.
    pub(crate) fn with<F>(&self, peers: &PeerSender, work: F)
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

    /// Claims an operation, and waits for the decision whether it may run.
    pub(crate) fn begin(
        &self,
        request: &AttemptRequest,
        peers: &PeerSender,
    ) -> (AttemptTicket, Permission) {
        let mut inner = self.lock();
        let (ticket, outgoing) = inner.registry.begin(request);
        inner.collect_decisions();
        drop(inner);
        peers.send_all(outgoing, Message::Attempt);
        if let Some(permission) = self.wait_for(ticket, request.deadline) {
            return (ticket, permission);
        }
        // Nothing was sent to an instance; a permission that arrives later must not
        // keep the key claimed.
        self.finish(ticket, AttemptResult::NotRun, peers);
        self.lock().permissions.remove(&ticket);
        (ticket, Permission::Unknown(UnknownCause::Unreachable))
    }

    /// Checks a permission right before the first byte is sent.
    pub(crate) fn check_before_dispatch(&self, ticket: AttemptTicket) -> Result<(), PermitError> {
        self.lock().registry.check_before_dispatch(ticket)
    }

    /// Ends a permitted attempt.
    pub(crate) fn finish(&self, ticket: AttemptTicket, result: AttemptResult, peers: &PeerSender) {
        self.with(peers, |registry| registry.finish(ticket, result));
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the outcome of a request that an instance reports as shed.
    pub(crate) fn shed_outcome(&self, ticket: AttemptTicket) -> Outcome {
        self.lock().registry.shed_outcome(ticket)
    }

    /// Hands the records off, and waits until peers have confirmed them or
    /// `limit` has passed.
    pub(crate) fn hand_off(&self, peers: &PeerSender, limit: Duration) {
        self.with(peers, AttemptRegistry::hand_off);
        let deadline = self.clock.now() + limit;
        let mut inner = self.lock();
        while !inner.registry.hand_off_progress().is_done() {
            let left = deadline.saturating_duration_since(self.clock.now());
            if left.is_zero() {
                log::warn!("attempts: Peers did not confirm the hand-off of all records in time.");
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
