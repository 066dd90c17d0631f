//! Peers that have declined to take over a request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a peer that has declined, or takes no connection, is not asked again.
const DECLINE_PAUSE: Duration = Duration::from_secs(1);

/// The peers that do not take over requests for now.
#[derive(Debug, Default)]
pub(crate) struct DeclinedPeers {
    declined_until: RefCell<HashMap<SocketAddr, Instant>>,
}

impl DeclinedPeers {
    pub(crate) fn record_declined(&self, now: Instant, peer: SocketAddr) {
        let mut declined = self.declined_until.borrow_mut();
        declined.retain(|_, until| *until > now);
        declined.insert(peer, now + DECLINE_PAUSE);
    }

    /// Reports whether a peer has not declined lately.
    pub(crate) fn may_ask(&self, now: Instant, peer: SocketAddr) -> bool {
        let declined = self.declined_until.borrow();
        declined.get(&peer).is_none_or(|until| *until <= now)
    }
}
