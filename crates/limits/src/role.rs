//! Whether this host holds its failure domain's share of a limit.

use std::time::Instant;

use waxwingusher_core::HostId;

use crate::share::Share;

/// A host's part in one share.
#[derive(Debug, Default)]
pub enum Role {
    /// Another host is the holder.
    #[default]
    Borrower,
    /// The host list names this host, but a former holder may still act.
    Waiting,
    /// This host is the holder.
    Holder(Box<Share>),
    /// The host list names another host, which has not been given the share.
    Leaving(Leaving),
}

/// A share that waits to be given to its next holder.
#[derive(Debug)]
pub struct Leaving {
    /// The share.
    pub share: Box<Share>,
    /// The next holder.
    pub to: Option<HostId>,
    /// Since when the host list names the next holder.
    pub since: Instant,
    /// When this host's right ends.
    pub until: Instant,
}

impl Role {
    /// Returns the role under a host list that names this host the holder.
    /// `unbroken` tells whether it has been the holder all the time, if it was.
    #[must_use]
    pub fn named(self, now: Instant, unbroken: bool) -> Self {
        match self {
            Self::Holder(share) if unbroken => Self::Holder(share),
            Self::Leaving(leaving) if now < leaving.until => Self::Holder(leaving.share),
            _ => Self::Waiting,
        }
    }

    /// Returns the role under a host list that names another host, or none.
    /// `until` is the end of the right under the former list.
    #[must_use]
    pub fn not_named(self, now: Instant, until: Option<Instant>, to: Option<&HostId>) -> Self {
        let (share, until) = match (self, until) {
            (Self::Holder(share), Some(until)) => (share, until),
            (Self::Leaving(leaving), _) if leaving.to.as_ref() == to => {
                return Self::Leaving(leaving);
            }
            (Self::Leaving(leaving), _) => (leaving.share, leaving.until),
            _ => return Self::Borrower,
        };
        if now >= until {
            return Self::Borrower;
        }
        let to = to.cloned();
        Self::Leaving(Leaving {
            share,
            to,
            since: now,
            until,
        })
    }

    /// Returns the share that this host may spend from.
    pub fn spendable(&mut self, now: Instant, valid_until: Option<Instant>) -> Option<&mut Share> {
        if self.is_spendable(now, valid_until) {
            self.share_mut()
        } else {
            None
        }
    }

    /// Reports whether this host may spend from a share.
    #[must_use]
    pub fn is_spendable(&self, now: Instant, valid_until: Option<Instant>) -> bool {
        match self {
            Self::Holder(_) => valid_until.is_some_and(|until| now < until),
            Self::Leaving(leaving) => now < leaving.until,
            Self::Borrower | Self::Waiting => false,
        }
    }

    /// Returns the share that this host is the holder of.
    #[must_use]
    pub fn share(&self) -> Option<&Share> {
        match self {
            Self::Holder(share) => Some(share),
            Self::Leaving(leaving) => Some(&leaving.share),
            Self::Borrower | Self::Waiting => None,
        }
    }

    /// Returns the share that this host is the holder of.
    pub fn share_mut(&mut self) -> Option<&mut Share> {
        match self {
            Self::Holder(share) => Some(share),
            Self::Leaving(leaving) => Some(&mut leaving.share),
            Self::Borrower | Self::Waiting => None,
        }
    }
}
