//! Builds this host's reports and applies those of peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use waxwingusher_core::InstanceId;
use waxwingusher_limits::{Admissions, FleetView, PeerCounts};
use waxwingusher_membership::seeded::{AdmissionCounts, HostReport, InstanceStats, name_hash};
use waxwingusher_upstreams::InstanceReport;

use crate::state::State;

/// Reports on instances that fit into one datagram without IP fragmentation.
const MAX_INSTANCE_REPORTS: usize = 100;

/// Builds the reports of this host.
#[derive(Debug, Default)]
pub(crate) struct ReportBuilder {
    sequence: u32,
    /// The totals of admissions that were last reported, by workspace.
    reported_admissions: HashMap<u32, u32>,
}

impl ReportBuilder {
    /// Builds the report for the neighbours.
    pub(crate) fn build_local(&mut self, state: &State) -> HostReport {
        let changed = std::mem::take(&mut *state.outbox.local_instances.borrow_mut());
        let admitted = recent_admissions(state);
        let report = self.build_report(state, changed, admitted);
        HostReport {
            crashes: state.outbox.crashes.borrow().clone(),
            disowned: state.outbox.disowned.borrow().clone(),
            ..report
        }
    }

    /// Builds the report for the relays of remote failure domains.
    pub(crate) fn build_remote(&mut self, state: &State) -> HostReport {
        let changed = std::mem::take(&mut *state.outbox.remote_instances.borrow_mut());
        let admitted = recent_admissions(state);
        let report = self.build_report(state, changed, admitted);
        HostReport {
            relay: true,
            crashes: std::mem::take(&mut *state.outbox.crashes.borrow_mut()),
            disowned: std::mem::take(&mut *state.outbox.disowned.borrow_mut()),
            ..report
        }
    }

    /// Builds the report for a collector. It contains all recent admissions if it
    /// is a heartbeat, else those since the last report.
    pub(crate) fn build(
        &mut self,
        state: &State,
        includes_remote: bool,
        is_heartbeat: bool,
    ) -> HostReport {
        let mut changed = std::mem::take(&mut *state.outbox.local_instances.borrow_mut());
        if includes_remote {
            let remote = std::mem::take(&mut *state.outbox.remote_instances.borrow_mut());
            changed.extend(remote);
        }
        let mut admitted = recent_admissions(state);
        if !is_heartbeat {
            admitted.retain(|counts| {
                self.reported_admissions.get(&counts.workspace) != Some(&counts.total)
            });
        }
        for counts in &admitted {
            self.reported_admissions
                .insert(counts.workspace, counts.total);
        }
        let report = self.build_report(state, changed, admitted);
        HostReport {
            relay: includes_remote,
            crashes: std::mem::take(&mut *state.outbox.crashes.borrow_mut()),
            disowned: std::mem::take(&mut *state.outbox.disowned.borrow_mut()),
            ..report
        }
    }

    fn build_report(
        &mut self,
        state: &State,
        changed: impl IntoIterator<Item = InstanceId>,
        admitted: Vec<AdmissionCounts>,
    ) -> HostReport {
        self.sequence += 1;
        let now = state.now();
        let evidence = state.evidence.borrow();
        let reports = changed.into_iter().take(MAX_INSTANCE_REPORTS).map(|id| {
            let report = evidence.own_report(now, &id);
            InstanceStats {
                instance: name_hash(id.as_str()),
                in_flight: report.in_flight,
                successes: report.successes,
                failures: report.failures,
                slowness_16ths: report.slowness_16ths,
                success_age_ms: report.success_age.and_then(age_ms),
                failure_age_ms: report.failure_age.and_then(age_ms),
            }
        });
        let own_member = state.peers.borrow().local_member().clone();
        let feed = state.feed.borrow();
        HostReport {
            origin: own_member.addr,
            incarnation: own_member.incarnation,
            sequence: self.sequence,
            relay: false,
            feed_position: feed.position(),
            gapless_position: feed.gapless_position(state.now(), &state.roster.borrow()),
            instances: reports.collect(),
            admitted,
            crashes: Vec::new(),
            disowned: Vec::new(),
        }
    }
}

/// Returns the workspaces with recent admissions.
fn recent_admissions(state: &State) -> Vec<AdmissionCounts> {
    let mut limits = state.limits.borrow_mut();
    let admitted = limits.admitted(state.now());
    let recent = admitted.filter(|(_, admissions)| admissions.recent > 0);
    recent
        .map(|(name, admissions)| AdmissionCounts {
            workspace: name_hash(name.as_str()),
            total: admissions.total,
            recent: admissions.recent,
        })
        .collect()
}

/// What was last received from a peer.
#[derive(Debug, Default)]
pub(crate) struct PeerRecord {
    incarnation: u64,
    sequence: u32,
    admitted: PeerCounts,
}

/// Applies a peer's report, unless a later one was applied before.
pub(crate) fn apply_report(
    state: &State,
    peer_records: &mut HashMap<SocketAddr, PeerRecord>,
    host_report: &HostReport,
    view: FleetView,
) {
    let now = state.now();
    state
        .roster
        .borrow_mut()
        .confirm_position(host_report.gapless_position);
    let is_first = !peer_records.contains_key(&host_report.origin);
    let record = peer_records.entry(host_report.origin).or_default();
    if record.incarnation != host_report.incarnation {
        state.evidence.borrow_mut().forget_peer(host_report.origin);
        let admitted = if is_first {
            PeerCounts::default()
        } else {
            PeerCounts::after_restart(now)
        };
        *record = PeerRecord {
            incarnation: host_report.incarnation,
            sequence: 0,
            admitted,
        };
    }
    for crash in &host_report.crashes {
        state.crash_ledger.borrow_mut().record(now, *crash);
    }
    for hash in &host_report.disowned {
        let id = state.instances_by_hash.borrow().get(hash).cloned();
        if let Some(id) = id {
            state.roster.borrow_mut().disown(&id);
        }
    }
    let is_stale = host_report.sequence <= record.sequence;
    record.sequence = record.sequence.max(host_report.sequence);
    debit_admissions(state, record, host_report, view);
    if is_stale {
        return;
    }
    let hashes = state.instances_by_hash.borrow();
    let mut evidence = state.evidence.borrow_mut();
    for item in &host_report.instances {
        let Some(id) = hashes.get(&item.instance) else {
            continue;
        };
        evidence.record_peer_report(now, host_report.origin, id, instance_report(item));
    }
}

fn instance_report(item: &InstanceStats) -> InstanceReport {
    let age = |age_ms: Option<u16>| age_ms.map(|age_ms| Duration::from_millis(age_ms.into()));
    InstanceReport {
        in_flight: item.in_flight,
        successes: item.successes,
        failures: item.failures,
        slowness_16ths: item.slowness_16ths,
        success_age: age(item.success_age_ms),
        failure_age: age(item.failure_age_ms),
    }
}

/// Debits from the buckets what a peer has admitted since its last report.
fn debit_admissions(
    state: &State,
    record: &mut PeerRecord,
    host_report: &HostReport,
    view: FleetView,
) {
    let now = state.now();
    let reported = host_report.admitted.iter().map(|item| {
        let admissions = Admissions {
            total: item.total,
            recent: item.recent,
        };
        (item.workspace, admissions)
    });
    let hashes = state.workspaces_by_hash.borrow();
    let mut limits = state.limits.borrow_mut();
    let is_catching_up = state.is_catching_up();
    for (workspace, count) in record.admitted.record(now, is_catching_up, reported) {
        if let Some(name) = hashes.get(&workspace) {
            limits.debit(now, name, count, view);
            if state.shares_scarce_capacity {
                let mut shares = state.fair_shares.borrow_mut();
                shares.record_peer_admissions(now, name, count);
            }
        }
    }
}

fn age_ms(age: Duration) -> Option<u16> {
    u16::try_from(age.as_millis()).ok()
}
