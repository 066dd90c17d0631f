//! Hand-off of shares between holders.

use std::collections::BTreeSet;
use std::time::Instant;

use waxwingusher_core::HostId;
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::loan::{LoanMessage, ShareTransfer};

use super::{INCARNATION_QUERY_INTERVAL, INCARNATION_QUERY_SEQ, Limiter};
use crate::role::Role;
use crate::share::Share;
use crate::shares::ShareLimit;

impl Limiter {
    pub(super) fn accept_transfer(
        &mut self,
        from: &HostId,
        transfer: &ShareTransfer,
        now: Instant,
    ) {
        if transfer.to_incarnation != self.incarnation {
            return;
        }
        let version = self.list_lease.list().version;
        // A process that has just started may have neither a list nor a
        // configuration when the former holder receives its first message.
        let is_early = transfer.list_version > version || self.snapshot_version == 0;
        if is_early && self.early_transfers.len() < u16::MAX.into() {
            self.early_transfers.push((from.clone(), transfer.clone()));
            return;
        }
        let (Some(index), Some(local)) = (self.table.by_id(transfer.limit), self.local_share)
        else {
            return;
        };
        let state = self.table.get_mut(index);
        if transfer.list_version != version || !matches!(state.role, Role::Waiting) {
            return;
        }
        let limit = ShareLimit::of(state.limit, local, &self.settings);
        let share = Share::from_transfer(limit, transfer, from, now, &self.settings);
        log::info!(
            "limits: share of {} is held here, received from {from}",
            state.key
        );
        state.role = Role::Holder(Box::new(share));
        self.waiting_shares.retain(|other| *other != index);
    }

    pub(super) fn accept_early_transfers(&mut self, now: Instant) {
        for (from, transfer) in std::mem::take(&mut self.early_transfers) {
            self.accept_transfer(&from, &transfer, now);
        }
    }

    /// Sets the role for each limit under the current list. `is_continuous` states
    /// that no other host can have been a holder under a list that this host has
    /// missed.
    pub(super) fn assign_roles(&mut self, now: Instant, is_continuous: bool) {
        let until = self.list_lease.valid_until();
        self.waiting_shares.clear();
        self.handing_off.clear();
        let in_list = self.list_lease.domain().is_some();
        let Some(local) = self.local_share else {
            return;
        };
        for (index, state) in self.table.iter_mut() {
            let holder = self.holders.of_share(&state.key, local);
            let is_self = in_list && holder == Some(&self.self_id);
            let role = std::mem::take(&mut state.role);
            let was_holder = matches!(role, Role::Holder(_));
            let until = until.filter(|until| now < *until);
            state.role = match holder.filter(|_| !is_self) {
                None if is_self => role.assigned(now, is_continuous),
                to => role.unassigned(now, until, to),
            };
            match &state.role {
                Role::Waiting => self.waiting_shares.push(index),
                Role::HandingOff(_) => self.handing_off.push(index),
                Role::Borrower if was_holder => {
                    log::info!(
                        "limits: share of {} dropped, the right to it ended before the hand-off",
                        state.key
                    );
                }
                Role::Borrower | Role::Holder(_) => {}
            }
        }
    }

    /// Takes over the shares whose former holders have certainly stopped.
    pub(super) fn take_over(&mut self, now: Instant) {
        let Some(local) = self.local_share else {
            return;
        };
        if self.waiting_shares.is_empty() {
            return;
        }
        let is_settled = now >= self.started_at + self.settings.restart_wait()
            && self.list_lease.may_take_over(now, &self.settings);
        if !is_settled && !self.is_first_opening(now) {
            return;
        }
        let taken = std::mem::take(&mut self.waiting_shares);
        // One line for all: a first start takes over thousands of shares while
        // the limiter is locked.
        log::info!(
            "limits: shares of {} limits are held here, their former holders have stopped",
            taken.len()
        );
        for index in taken {
            let state = self.table.get_mut(index);
            let limit = ShareLimit::of(state.limit, local, &self.settings);
            log::debug!("limits: share of {} is held here", state.key);
            state.role = Role::Holder(Box::new(Share::new(limit, now)));
        }
    }

    /// Reports whether the fleet opens for the first time, so that no share has a
    /// former holder.
    fn is_first_opening(&self, now: Instant) -> bool {
        self.opens_at.is_some_and(|opens_at| {
            self.list_lease.is_valid(now)
                && self.list_lease.was_current_at(opens_at, &self.settings)
        })
    }

    /// Hands shares off to their next holders as soon as a message of these has
    /// arrived, which states their current incarnation.
    pub(super) fn hand_off_shares(&mut self, now: Instant) -> Vec<Outgoing<LoanMessage>> {
        let list_version = self.list_lease.list().version;
        let mut out = Vec::new();
        for index in std::mem::take(&mut self.handing_off) {
            let state = self.table.get_mut(index);
            let Role::HandingOff(hand_off) = &mut state.role else {
                continue;
            };
            if now >= hand_off.until {
                log::info!(
                    "limits: share of {} dropped, the right to it ended before the hand-off",
                    state.key
                );
                state.role = Role::Borrower;
                continue;
            }
            let to = hand_off.to.as_ref();
            let Some((to, peer)) = to.and_then(|to| self.peers.get_key_value(to)) else {
                self.handing_off.push(index);
                continue;
            };
            if peer.received_at <= hand_off.since {
                self.handing_off.push(index);
                continue;
            }
            log::info!("limits: share of {} is handed off to {to}", state.key);
            let share = &mut hand_off.share;
            let transfer = share.transfer(state.id, list_version, peer.incarnation, now);
            out.push(Outgoing {
                to: to.clone(),
                message: LoanMessage::Transfers(vec![transfer]),
            });
            state.role = Role::Borrower;
        }
        out.extend(self.incarnation_queries(now));
        out
    }

    /// Returns queries to the next holders, whose replies state their current
    /// incarnation.
    pub(super) fn incarnation_queries(&mut self, now: Instant) -> Vec<Outgoing<LoanMessage>> {
        if self.handing_off.is_empty()
            || now < self.incarnations_queried_at + INCARNATION_QUERY_INTERVAL
        {
            return Vec::new();
        }
        self.incarnations_queried_at = now;
        let mut receivers = BTreeSet::new();
        for index in &self.handing_off {
            let Role::HandingOff(hand_off) = &self.table.get(*index).role else {
                continue;
            };
            receivers.extend(hand_off.to.clone());
        }
        let query = |to| Outgoing {
            to,
            message: LoanMessage::ListQuery {
                seq: INCARNATION_QUERY_SEQ,
            },
        };
        receivers.into_iter().map(query).collect()
    }
}
