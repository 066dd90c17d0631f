//! The host's limiter, shared by the workers and the threads that receive
//! messages and drive ticks.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use waxwingusher_core::Clock;
use waxwingusher_limits::{LimitKey, Limiter, RefusalReason, SpendDecision};
use waxwingusher_protocol::Message;

use crate::peer_sender::PeerSender;

/// A limiter on which a request can wait for a loan.
pub(crate) struct SharedLimiter {
    limiter: Mutex<Limiter>,
    loan_granted: Condvar,
    clock: Arc<dyn Clock>,
}

/// A token that a request has spent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SpentToken {
    pub(crate) spent_at: Instant,
}

/// Why a request got no token, and when to try again.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SpendRefusal {
    pub(crate) retry_after: Duration,
    pub(crate) reason: RefusalReason,
}

impl SharedLimiter {
    pub(crate) fn new(limiter: Limiter, clock: Arc<dyn Clock>) -> Self {
        Self {
            limiter: Mutex::new(limiter),
            loan_granted: Condvar::new(),
            clock,
        }
    }

    /// Locks the limiter.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Limiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the requests that wait for a loan.
    pub(crate) fn notify(&self) {
        self.loan_granted.notify_all();
    }

    /// Spends a token, and waits for a loan if the limiter asks for it, at most
    /// until `deadline`.
    pub(crate) fn spend(
        &self,
        key: &LimitKey,
        deadline: Instant,
        peers: &PeerSender,
    ) -> Result<SpentToken, SpendRefusal> {
        let mut limiter = self.lock();
        let mut decision = match key {
            LimitKey::Workspace(name) => limiter.spend(name),
            LimitKey::OpenRoute(name) => limiter.spend_open_route(name),
        };
        let mut has_requested_loan = false;
        loop {
            let until = match decision {
                SpendDecision::Spent => {
                    let spent_at = self.clock.now();
                    return Ok(SpentToken { spent_at });
                }
                SpendDecision::Refused {
                    retry_after,
                    reason,
                } => {
                    return Err(SpendRefusal {
                        retry_after,
                        reason,
                    });
                }
                SpendDecision::Wait(until) => until.min(deadline),
            };
            if has_requested_loan {
                limiter = self.wait_until(limiter, until);
            } else {
                has_requested_loan = true;
                let outgoing = limiter.tick();
                drop(limiter);
                peers.send_all(outgoing, Message::Loan);
                limiter = self.lock();
            }
            decision = limiter.spend_waiting(key, until);
        }
    }

    fn wait_until<'a>(
        &self,
        limiter: MutexGuard<'a, Limiter>,
        until: Instant,
    ) -> MutexGuard<'a, Limiter> {
        let left = until.saturating_duration_since(self.clock.now());
        let (limiter, _) = self
            .loan_granted
            .wait_timeout(limiter, left)
            .unwrap_or_else(PoisonError::into_inner);
        limiter
    }
}
