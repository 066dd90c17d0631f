//! The lease under which this host may act on its copy of the host list.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, HostId, HostList};
use waxwingusher_protocol::Outgoing;
use waxwingusher_protocol::loan::{ListReport, LoanMessage};

use crate::settings::LimiterSettings;

/// How many times a holder queries its peers within [`LimiterSettings::list_fence`].
const QUERIES_PER_FENCE: u32 = 4;

/// What a peer reported about its host list.
#[derive(Debug, Clone, Copy)]
struct PeerReport {
    version: u64,
    asked_at: Instant,
    adopted_at: Instant,
    counts_for_majority: bool,
    read_at: Option<Instant>,
}

/// The host list and a lease on it, which evidence that the list is current
/// renews.
///
/// Evidence is a read of the list that was started recently, or recent reports
/// from a majority of the listed hosts of this host's failure domain that none
/// of them has seen a newer list.
#[derive(Debug)]
pub struct ListLease {
    self_id: HostId,
    started_at: Instant,
    list: Arc<HostList>,
    domain: Option<FailureDomain>,
    peers: Vec<HostId>,
    adopted_at: Instant,
    read_at: Option<Instant>,
    /// Whether a read that started later than the list lag after the start of
    /// this process has confirmed a list. Only then has this process seen every
    /// list that the host's previous process may have reported.
    counts_for_majority: bool,
    peer_reports: BTreeMap<HostId, PeerReport>,
    query_seq: u32,
    queried_at: Option<Instant>,
    valid_until: Option<Instant>,
}

impl ListLease {
    /// Creates the lease of a host that has no list yet.
    #[must_use]
    pub fn new(self_id: HostId, now: Instant) -> Self {
        Self {
            self_id,
            started_at: now,
            list: Arc::new(HostList::default()),
            domain: None,
            peers: Vec::new(),
            adopted_at: now,
            read_at: None,
            counts_for_majority: false,
            peer_reports: BTreeMap::new(),
            query_seq: 0,
            queried_at: None,
            valid_until: None,
        }
    }

    /// Returns the host list.
    #[must_use]
    pub fn list(&self) -> &Arc<HostList> {
        &self.list
    }

    /// Returns this host's failure domain, if the list names the host.
    #[must_use]
    pub fn domain(&self) -> Option<&FailureDomain> {
        self.domain.as_ref()
    }

    /// Adopts a list if it is newer and reports whether it did.
    pub fn adopt(&mut self, list: &HostList, now: Instant) -> bool {
        if list.version <= self.list.version {
            return false;
        }
        self.list = Arc::new(list.clone());
        self.domain = list
            .get(&self.self_id)
            .map(|entry| entry.failure_domain.clone());
        let in_domain = |domain: &FailureDomain| self.domain.as_ref() == Some(domain);
        self.peers = list
            .hosts
            .iter()
            .filter(|entry| entry.id != self.self_id && in_domain(&entry.failure_domain))
            .map(|entry| entry.id.clone())
            .collect();
        let peers = &self.peers;
        self.peer_reports.retain(|host, _| peers.contains(host));
        self.adopted_at = now;
        self.read_at = None;
        true
    }

    /// Records a read of the list that was started at an instant.
    pub fn confirm_read(&mut self, version: u64, started_at: Instant, settings: &LimiterSettings) {
        if version == 0 || version != self.list.version {
            return;
        }
        self.read_at = self.read_at.max(Some(started_at));
        if started_at >= self.started_at + settings.with_drift(settings.list_lag) {
            self.counts_for_majority = true;
        }
        self.renew(settings);
    }

    /// Discards all evidence, as after a suspension of the machine.
    pub fn revoke(&mut self) {
        self.read_at = None;
        self.peer_reports.clear();
        self.valid_until = None;
    }

    /// Reports whether a holder may act at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Returns when the lease ends unless new evidence arrives.
    #[must_use]
    pub fn valid_until(&self) -> Option<Instant> {
        self.valid_until
    }

    /// Reports whether a host that the list newly assigns a share may start
    /// without a transfer: all former holders and their borrowers have stopped.
    #[must_use]
    pub fn may_take_over(&self, now: Instant, settings: &LimiterSettings) -> bool {
        if !self.counts_for_majority || !self.is_valid(now) {
            return false;
        }
        let Some(since) = self.majority_adopted_at() else {
            return false;
        };
        let fenced = settings.with_drift(settings.list_fence + settings.list_lag * 2);
        now >= since + settings.take_over_wait() && self.evidence_at() >= Some(since + fenced)
    }

    /// Reports whether the list in use was published before an instant and no
    /// newer one was: it was adopted by then, and a read that started at least
    /// twice the list lag later still returned it. The second lag allows for
    /// wall clocks that differ between hosts.
    #[must_use]
    pub fn was_current_at(&self, instant: Instant, settings: &LimiterSettings) -> bool {
        let settled = instant + settings.with_drift(settings.list_lag * 2);
        self.adopted_at <= instant && self.read_at.is_some_and(|read| read >= settled)
    }

    /// Returns the reply to a peer's query.
    #[must_use]
    pub fn report(&self, seq: u32, now: Instant) -> LoanMessage {
        let age = |at: Instant| to_millis(now.saturating_duration_since(at));
        LoanMessage::ListReport(ListReport {
            seq,
            version: self.list.version,
            adopted_age_ms: age(self.adopted_at),
            read_age_ms: self.read_at.map(|at| age(at).saturating_add(1)),
            vouches: self.counts_for_majority,
        })
    }

    /// Records a peer's reply to the latest query.
    pub fn record_report(
        &mut self,
        from: &HostId,
        message: ListReport,
        settings: &LimiterSettings,
    ) {
        let Some(asked_at) = self.queried_at else {
            return;
        };
        if message.seq != self.query_seq || !self.peers.contains(from) {
            return;
        }
        let before = |age: Duration| asked_at.checked_sub(age);
        let adopted_age = Duration::from_millis(message.adopted_age_ms.into());
        let read_age = message
            .read_age_ms
            .map(|ms| Duration::from_millis(ms.into()));
        let read_at = read_age.and_then(|age| before(settings.with_drift(age)));
        let report = PeerReport {
            version: message.version,
            asked_at,
            adopted_at: before(min_real_age(adopted_age, settings)).unwrap_or(asked_at),
            counts_for_majority: message.vouches,
            read_at: read_at.filter(|_| message.version == self.list.version),
        };
        self.peer_reports.insert(from.clone(), report);
        if let Some(read_at) = report.read_at {
            self.confirm_read(message.version, read_at, settings);
        }
        self.renew(settings);
    }

    /// Returns the queries to peers that are due. `is_taking_over` states that
    /// this host waits to become a holder.
    pub fn queries(
        &mut self,
        now: Instant,
        is_taking_over: bool,
        settings: &LimiterSettings,
        rng: &mut fastrand::Rng,
    ) -> Vec<Outgoing<LoanMessage>> {
        let interval = settings.list_fence / QUERIES_PER_FENCE;
        let fresh = |age: Duration| self.read_at.is_some_and(|at| now < at + age);
        let due = self
            .queried_at
            .is_none_or(|at| now >= at + interval || at < self.adopted_at);
        if !due || (fresh(interval) && !is_taking_over) {
            return Vec::new();
        }
        let targets = if fresh(interval * 2) && !is_taking_over {
            self.recent_readers(now, interval * 2, rng)
        } else {
            self.peers.clone()
        };
        self.queried_at = Some(now);
        self.query_seq += 1;
        let seq = self.query_seq;
        let query = |to| Outgoing {
            to,
            message: LoanMessage::ListQuery { seq },
        };
        targets.into_iter().map(query).collect()
    }

    /// Returns a peer that reported a recent read, if any, and a random one.
    fn recent_readers(
        &self,
        now: Instant,
        max_age: Duration,
        rng: &mut fastrand::Rng,
    ) -> Vec<HostId> {
        let recent = |report: &PeerReport| report.read_at.is_some_and(|at| now < at + max_age);
        let known = self
            .peer_reports
            .iter()
            .filter(|(_, report)| recent(report));
        let known: Vec<_> = known.map(|(host, _)| host.clone()).collect();
        let mut targets: Vec<_> = rng.choice(known).into_iter().collect();
        targets.extend(rng.choice(&self.peers).cloned());
        targets.sort();
        targets.dedup();
        targets
    }

    fn renew(&mut self, settings: &LimiterSettings) {
        let until = self.evidence_at().map(|at| at + settings.list_fence);
        self.valid_until = self.valid_until.max(until);
    }

    fn evidence_at(&self) -> Option<Instant> {
        self.read_at.max(self.majority_report_at())
    }

    /// Returns the time up to which a majority had seen no newer list.
    fn majority_report_at(&self) -> Option<Instant> {
        if !self.counts_for_majority {
            return None;
        }
        let version = self.list.version;
        let current = self.peer_reports.values();
        let current =
            current.filter(|report| report.counts_for_majority && report.version <= version);
        let mut times: Vec<_> = current.map(|report| report.asked_at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let others = self.majority() - 1;
        match others {
            0 => None,
            count => times.get(count - 1).copied(),
        }
    }

    /// Returns the time since which a majority has known the current list.
    fn majority_adopted_at(&self) -> Option<Instant> {
        let version = self.list.version;
        let adopters = self.peer_reports.values();
        let adopters =
            adopters.filter(|report| report.counts_for_majority && report.version >= version);
        let mut times: Vec<_> = adopters.map(|report| report.adopted_at).collect();
        times.push(self.adopted_at);
        times.sort_unstable();
        times.get(self.majority() - 1).copied()
    }

    fn majority(&self) -> usize {
        let hosts = self.peers.len() + 1;
        hosts / 2 + 1
    }
}

fn to_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the least real time in which a fast clock counts an age.
fn min_real_age(age: Duration, settings: &LimiterSettings) -> Duration {
    age * (1000 - settings.clock_drift_per_mille.min(1000))
        / (1000 + settings.clock_drift_per_mille)
}
