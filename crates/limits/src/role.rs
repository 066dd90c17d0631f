//! The role of this host for its failure domain's share of a limit.

use std::time::Instant;

use waxwingusher_core::HostId;

use crate::share::Share;

/// A host's role for one share.
#[derive(Debug, Default)]
pub enum Role {
    /// Another host is the holder.
    #[default]
    Borrower,
    /// The host list assigns the share to this host, but a former holder may
    /// still act.
    Waiting,
    /// This host is the holder.
    Holder(Box<Share>),
    /// The host list assigns the share to another host, which has not received
    /// it yet.
    HandingOff(HandOff),
}

/// A share that waits for the hand-off to its next holder.
#[derive(Debug)]
pub struct HandOff {
    /// The share.
    pub share: Box<Share>,
    /// The next holder.
    pub to: Option<HostId>,
    /// Since when the host list assigns the share to the next holder.
    pub since: Instant,
    /// When this host's right to spend ends.
    pub until: Instant,
}

impl Role {
    /// Returns the role under a host list that assigns the share to this host.
    /// `is_continuous` states that this host, if it is the holder, has been so
    /// without interruption.
    #[must_use]
    pub fn assigned(self, now: Instant, is_continuous: bool) -> Self {
        match self {
            Self::Holder(share) if is_continuous => Self::Holder(share),
            Self::HandingOff(hand_off) if now < hand_off.until => Self::Holder(hand_off.share),
            _ => Self::Waiting,
        }
    }

    /// Returns the role under a host list that assigns the share to another host,
    /// or to none. `until` is the end of this host's right under the former list.
    #[must_use]
    pub fn unassigned(self, now: Instant, until: Option<Instant>, to: Option<&HostId>) -> Self {
        let (share, until) = match (self, until) {
            (Self::Holder(share), Some(until)) => (share, until),
            (Self::HandingOff(hand_off), _) if hand_off.to.as_ref() == to => {
                return Self::HandingOff(hand_off);
            }
            (Self::HandingOff(hand_off), _) => (hand_off.share, hand_off.until),
            _ => return Self::Borrower,
        };
        if now >= until {
            return Self::Borrower;
        }
        let to = to.cloned();
        Self::HandingOff(HandOff {
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
            Self::HandingOff(hand_off) => now < hand_off.until,
            Self::Borrower | Self::Waiting => false,
        }
    }

    /// Returns the share that this host is the holder of.
    #[must_use]
    pub fn share(&self) -> Option<&Share> {
        match self {
            Self::Holder(share) => Some(share),
            Self::HandingOff(hand_off) => Some(&hand_off.share),
            Self::Borrower | Self::Waiting => None,
        }
    }

    /// Returns the share that this host is the holder of.
    pub fn share_mut(&mut self) -> Option<&mut Share> {
        match self {
            Self::Holder(share) => Some(share),
            Self::HandingOff(hand_off) => Some(&mut hand_off.share),
            Self::Borrower | Self::Waiting => None,
        }
    }
}
