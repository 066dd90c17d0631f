//! The host lists that this host has used, and whether the list in use may still
//! be trusted.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use waxwingusher_core::{Clock, HostId, HostList};
use waxwingusher_protocol::attempt::{FormerHost, MAX_FORMER_HOSTS};

use crate::placement::Topology;
use crate::settings::AttemptSettings;
use crate::stamp::Stamp;

struct PendingList {
    topology: Arc<Topology>,
    received_at: Stamp,
    /// Whether the list was received at most the fence time after its
    /// publication, and published after the fleet opened.
    is_prompt: bool,
}

struct PastList {
    topology: Arc<Topology>,
    superseded_at: Instant,
}

/// Tracks the host list. A host uses a list only after it has known the list for
/// the settle time, so that every reader has received each list that any host
/// uses.
pub(crate) struct ListTracker {
    settings: AttemptSettings,
    newest_version: u64,
    active: Option<Arc<Topology>>,
    /// When the list in use was received, if that was soon after its publication.
    active_since: Option<Stamp>,
    pending: Option<PendingList>,
    past: VecDeque<PastList>,
    newest_received_at: Option<Stamp>,
    confirmed: Option<Stamp>,
    active_confirmed: Option<Stamp>,
    unbroken_since: Option<Instant>,
}

impl ListTracker {
    pub(crate) fn new(settings: AttemptSettings) -> Self {
        Self {
            settings,
            newest_version: 0,
            active: None,
            active_since: None,
            pending: None,
            past: VecDeque::new(),
            newest_received_at: None,
            confirmed: None,
            active_confirmed: None,
            unbroken_since: None,
        }
    }

    /// Applies a list. One that is not newer than the newest list is ignored.
    pub(crate) fn apply(&mut self, list: &HostList, clock: &dyn Clock) {
        self.refresh(clock);
        if self.newest_received_at.is_some() && list.version <= self.newest_version {
            return;
        }
        self.detect_gap(list.version, clock);
        let skipped = list.version > self.newest_version + 1;
        self.newest_version = list.version;
        self.newest_received_at = Some(Stamp::now(clock));
        let topology = Topology::new(list);
        if let Some(pending) = &self.pending {
            if *pending.topology == topology && !skipped {
                return;
            }
        } else if self.active.as_deref() == Some(&topology) {
            return;
        }
        self.pending = Some(PendingList {
            topology: Arc::new(topology),
            received_at: Stamp::now(clock),
            is_prompt: self.is_following_lists(clock),
        });
    }

    /// Records that the list of this version was the newest one at most the list
    /// lag ago.
    pub(crate) fn confirm(&mut self, version: u64, clock: &dyn Clock) {
        if self.newest_received_at.is_none() || version != self.newest_version {
            return;
        }
        self.confirmed = Some(Stamp::now(clock));
        self.refresh(clock);
        if self.pending.is_none() {
            self.active_confirmed = self.confirmed;
        }
    }

    /// Starts to use the pending list once it has settled, and drops lists that
    /// were superseded longer ago than the coverage time.
    pub(crate) fn refresh(&mut self, clock: &dyn Clock) {
        let coverage = self.settings.coverage();
        let now = clock.now();
        while let Some(past) = self.past.front() {
            if now.saturating_duration_since(past.superseded_at) < coverage {
                break;
            }
            self.past.pop_front();
        }
        let Some(pending) = &self.pending else {
            return;
        };
        let settled_at = pending.received_at.monotonic() + self.settings.list_settle;
        let confirmed = self.confirmed.map(|stamp| stamp.monotonic());
        if confirmed.is_none_or(|at| at < settled_at) {
            return;
        }
        self.active_since = Some(pending.received_at).filter(|_| pending.is_prompt);
        let former = self.active.replace(Arc::clone(&pending.topology));
        self.pending = None;
        if let Some(topology) = former {
            self.past.push_back(PastList {
                topology,
                superseded_at: now,
            });
        }
    }

    /// Returns the list in use if it may still be trusted: this host knows the
    /// newest list, and the list in use was the newest one until recently.
    pub(crate) fn trusted(&self, clock: &dyn Clock) -> Option<&Arc<Topology>> {
        let fence = self.settings.list_fence;
        if self.confirmed?.longest_age(clock) > fence {
            return None;
        }
        if self.active_confirmed?.longest_age(clock) > fence + self.settings.list_settle {
            return None;
        }
        self.active.as_ref()
    }

    /// Returns the list in use, even if it may no longer be trusted.
    pub(crate) fn active(&self) -> Option<&Arc<Topology>> {
        self.active.as_ref()
    }

    /// Returns all lists that hosts may have used within the coverage time.
    pub(crate) fn in_coverage(&self) -> impl DoubleEndedIterator<Item = &Arc<Topology>> {
        let past = self.past.iter().map(|past| &past.topology);
        past.chain(&self.active)
    }

    /// Returns the lists used within the coverage time before the list in use.
    pub(crate) fn former(&self) -> impl DoubleEndedIterator<Item = &Arc<Topology>> {
        self.past.iter().map(|past| &past.topology)
    }

    /// Returns the former lists that this host has used since an instant.
    pub(crate) fn former_since(&self, since: Instant) -> impl Iterator<Item = &Arc<Topology>> {
        let past = self.past.iter();
        past.filter(move |past| past.superseded_at >= since)
            .map(|past| &past.topology)
    }

    /// Returns a known list by its hash.
    pub(crate) fn find(&self, fingerprint: u64) -> Option<&Arc<Topology>> {
        self.known()
            .find(|known| known.fingerprint() == fingerprint)
    }

    /// Reports whether the list in use replaced another one recently, and this
    /// host had followed the lists until then. No host that became a witness by
    /// this change can vouch with its own records yet.
    pub(crate) fn has_changed_recently(&self, clock: &dyn Clock) -> bool {
        let Some(since) = self.active_since else {
            return false;
        };
        !self.past.is_empty() && since.longest_age(clock) <= self.settings.coverage() / 2
    }

    /// Returns the lists used since an instant, and the pending one.
    pub(crate) fn since(&self, since: Instant) -> impl Iterator<Item = &Arc<Topology>> {
        let pending = self.pending.iter().map(|pending| &pending.topology);
        self.former_since(since).chain(&self.active).chain(pending)
    }

    /// Reports whether all lists that were in use since an instant are known.
    pub(crate) fn is_unbroken_since(&self, since: Instant) -> bool {
        self.unbroken_since.is_none_or(|broken| broken <= since)
    }

    /// Reports whether each key has had one witness in each of the same failure
    /// domains under all known lists.
    pub(crate) fn has_fixed_domains(&self) -> bool {
        let count = self.settings.plan.witness_count();
        let Some(active) = &self.active else {
            return false;
        };
        let mut known = self.known();
        known.all(|topology| topology.has_same_domains(active, count))
    }

    /// Returns all lists that a claimant may use now or soon.
    pub(crate) fn known(&self) -> impl DoubleEndedIterator<Item = &Arc<Topology>> {
        let pending = self.pending.iter().map(|pending| &pending.topology);
        self.in_coverage().chain(pending)
    }

    /// Restores the history of lists from the reports of peers: within the
    /// coverage time only the list in use, and lists with some of these hosts in
    /// addition, were used.
    pub(crate) fn restore_history(&mut self, former_hosts: &[FormerHost], clock: &dyn Clock) {
        self.unbroken_since = None;
        let Some(active) = self.active.as_ref().filter(|_| !former_hosts.is_empty()) else {
            return;
        };
        self.past.push_back(PastList {
            topology: Arc::new(active.with_hosts(former_hosts)),
            superseded_at: clock.now(),
        });
    }

    /// Returns the hosts of earlier lists within the coverage time that the list
    /// in use lacks, if they suffice to tell how long `host` has been a witness
    /// of a key.
    pub(crate) fn former_hosts(&self, host: &HostId, clock: &dyn Clock) -> Option<Vec<FormerHost>> {
        let active = self.trusted(clock)?;
        if !self.is_unbroken(clock.now()) {
            return None;
        }
        let count = self.settings.plan.witness_count();
        let mut former = Vec::new();
        for known in self.known() {
            let is_same = known == active;
            if !known.contains(host) || !is_same && !known.has_same_domains(active, count) {
                return None;
            }
            former.extend(known.hosts_missing_in(active));
        }
        former.sort();
        former.dedup();
        (former.len() <= MAX_FORMER_HOSTS).then_some(former)
    }

    /// Reports whether all lists that were in use within the coverage time are
    /// known.
    pub(crate) fn is_unbroken(&self, now: Instant) -> bool {
        let coverage = self.settings.coverage();
        let since = self.unbroken_since;
        since.is_none_or(|since| now.saturating_duration_since(since) >= coverage)
    }

    fn is_following_lists(&self, clock: &dyn Clock) -> bool {
        let fence = self.settings.list_fence;
        let confirmed = self.confirmed;
        let is_open = self.settings.opened_at.is_none_or(|at| clock.wall() >= at);
        is_open && confirmed.is_some_and(|at| at.longest_age(clock) <= fence)
    }

    fn detect_gap(&mut self, version: u64, clock: &dyn Clock) {
        let Some(received_at) = self.newest_received_at else {
            let opens_later = self.settings.opened_at.is_some_and(|at| clock.wall() < at);
            self.unbroken_since = (!opens_later).then(|| clock.now());
            return;
        };
        let last_evidence = self.confirmed.map_or(received_at, |confirmed| {
            if confirmed.monotonic() > received_at.monotonic() {
                confirmed
            } else {
                received_at
            }
        });
        let skipped = version > self.newest_version + 1;
        if skipped && last_evidence.longest_age(clock) > self.settings.longest_unseen() {
            log::warn!(
                "attempts: missed host lists before version {version}, coverage starts again"
            );
            self.unbroken_since = Some(clock.now());
        }
    }
}
