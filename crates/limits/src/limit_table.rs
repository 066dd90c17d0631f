//! All limits of the configuration, with this host's state for each.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use waxwingusher_config::model::{RateLimit, Snapshot};
use waxwingusher_core::{RouteName, WorkspaceName};
use waxwingusher_protocol::loan::LimitId;

use crate::borrowing::Borrowing;
use crate::limit_key::LimitKey;
use crate::role::Role;
use crate::settings::LimiterSettings;
use crate::shares::{ShareLimit, fingerprint};

/// Replaces the rate and burst of a limit that is no longer configured.
const REMOVED: RateLimit = RateLimit {
    rate_millis_per_s: 0,
    burst: 0,
};

/// The index of a limit in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LimitIndex(u32);

/// One limit and this host's state for it.
#[derive(Debug)]
pub struct LimitState {
    /// What the limit belongs to.
    pub key: LimitKey,
    /// The short hash that messages carry.
    pub id: LimitId,
    /// The rate and burst over all hosts.
    pub limit: RateLimit,
    /// The fingerprint of the rate and burst.
    pub terms: u16,
    /// This host's role for the share of its failure domain.
    pub role: Role,
    /// This host's loans and demand, if the limit is in use here.
    pub borrowing: Option<Box<Borrowing>>,
    /// Whether the last request was refused.
    pub is_refusing: bool,
}

/// All limits. A removed limit keeps its index, because loans of it may last.
#[derive(Debug, Default)]
pub struct LimitTable {
    states: Vec<LimitState>,
    workspaces: HashMap<WorkspaceName, LimitIndex>,
    routes: HashMap<RouteName, LimitIndex>,
    ids: HashMap<LimitId, LimitIndex>,
}

impl LimitTable {
    /// Applies the limits of a configuration.
    pub fn apply(
        &mut self,
        snapshot: &Snapshot,
        local_share: Option<usize>,
        now: Instant,
        settings: &LimiterSettings,
    ) {
        let mut limits = BTreeMap::new();
        for workspace in snapshot.workspaces.values() {
            limits.insert(LimitKey::Workspace(workspace.name.clone()), workspace.limit);
        }
        for route in snapshot.routes.values() {
            let Some(limit) = route.open_limit else {
                continue;
            };
            limits.insert(LimitKey::OpenRoute(route.name.clone()), limit);
        }
        for state in &mut self.states {
            let limit = limits.remove(&state.key).unwrap_or(REMOVED);
            state.set_limit(limit, local_share, now, settings);
        }
        for (key, limit) in limits {
            self.insert(key, limit);
        }
        self.rebuild_names();
    }

    /// Returns the index of a workspace's limit.
    #[must_use]
    pub fn workspace(&self, name: &WorkspaceName) -> Option<LimitIndex> {
        self.workspaces.get(name).copied()
    }

    /// Returns the index of an open route's limit.
    #[must_use]
    pub fn route(&self, name: &RouteName) -> Option<LimitIndex> {
        self.routes.get(name).copied()
    }

    /// Returns the index of a limit.
    #[must_use]
    pub fn find(&self, key: &LimitKey) -> Option<LimitIndex> {
        match key {
            LimitKey::Workspace(name) => self.workspace(name),
            LimitKey::OpenRoute(name) => self.route(name),
        }
    }

    /// Returns the index of the limit with a short hash.
    #[must_use]
    pub fn by_id(&self, id: LimitId) -> Option<LimitIndex> {
        self.ids.get(&id).copied()
    }

    /// Returns one limit.
    #[must_use]
    pub fn get(&self, index: LimitIndex) -> &LimitState {
        &self.states[index.0 as usize]
    }

    /// Returns one limit.
    pub fn get_mut(&mut self, index: LimitIndex) -> &mut LimitState {
        &mut self.states[index.0 as usize]
    }

    /// Returns all limits with their indexes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (LimitIndex, &mut LimitState)> {
        let index = |at: usize| LimitIndex(at as u32);
        let states = self.states.iter_mut().enumerate();
        states.map(move |(at, state)| (index(at), state))
    }

    /// Returns all limits.
    pub fn iter(&self) -> impl Iterator<Item = &LimitState> {
        self.states.iter()
    }

    fn insert(&mut self, key: LimitKey, limit: RateLimit) {
        let id = key.id();
        if let Some(other) = self.by_id(id) {
            let other = &self.get(other).key;
            log::error!(
                "limits: ignoring {key}, its hash collides with that of {other}; rename one of them"
            );
            return;
        }
        self.ids.insert(id, LimitIndex(self.states.len() as u32));
        self.states.push(LimitState {
            key,
            id,
            limit,
            terms: fingerprint(limit),
            role: Role::Borrower,
            borrowing: None,
            is_refusing: false,
        });
    }

    fn rebuild_names(&mut self) {
        self.workspaces.clear();
        self.routes.clear();
        for (at, state) in self.states.iter().enumerate() {
            if state.limit == REMOVED {
                continue;
            }
            let index = LimitIndex(at as u32);
            match &state.key {
                LimitKey::Workspace(name) => self.workspaces.insert(name.clone(), index),
                LimitKey::OpenRoute(name) => self.routes.insert(name.clone(), index),
            };
        }
    }
}

impl LimitState {
    fn set_limit(
        &mut self,
        limit: RateLimit,
        local_share: Option<usize>,
        now: Instant,
        settings: &LimiterSettings,
    ) {
        if limit == self.limit {
            return;
        }
        if let Some(borrowing) = &mut self.borrowing {
            for (index, loan) in borrowing.loans_mut().iter_mut().enumerate() {
                let former = ShareLimit::of(self.limit, index, settings);
                loan.rescale(former, ShareLimit::of(limit, index, settings), now);
            }
        }
        if let (Some(share), Some(local)) = (self.role.share_mut(), local_share) {
            share.set_limit(ShareLimit::of(limit, local, settings), now);
        }
        self.limit = limit;
        self.terms = fingerprint(limit);
    }
}
