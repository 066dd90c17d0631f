//! Checks the configuration version of each host, and the keys and leaving
//! instances in it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use waxwingusher_config::{Instance, InstanceState, Snapshot};
use waxwingusher_core::InstanceId;

use super::{
    CONFIG_TARGET, Conditions, DRAIN_MEMORY, LEAVING_TARGET, Observation, Oracle, Run, Violation,
};
use crate::call::Call;
use crate::sample;

#[derive(Debug, Default)]
pub(super) struct HostWatch {
    incarnation: u64,
    started_at: Duration,
    newest_at_start: u64,
    version: u64,
    behind_since: Option<Duration>,
    leaving_since: BTreeMap<InstanceId, Duration>,
    pub(super) drains_since: BTreeMap<InstanceId, Duration>,
    /// The versions of the running processes that it reaches.
    reachable_versions: Vec<u64>,
}

impl Oracle {
    pub(super) fn check_key(&mut self, call: &Call, run: &Run<'_>) {
        let is_own = *run.workspace == sample::workspace_name(call.workspace);
        if !is_own || !self.has_key(run.version, call) {
            self.record_violation(Violation::ForeignKey {
                host: run.host.clone(),
                call: call.id,
                version: run.version,
            });
        }
        let watch = self.hosts.get(run.host);
        let reachable_versions = watch.map_or(&[][..], |watch| &watch.reachable_versions);
        let newest = reachable_versions.iter().max().copied().unwrap_or(0);
        let is_linked = run.now >= self.linked_since + CONFIG_TARGET;
        if !is_linked || newest <= run.version {
            return;
        }
        let accepted = self.accepted_at.range(run.version + 1..=newest);
        let mut withdrawn_at = None;
        for (version, at) in accepted {
            if self.has_key(*version, call) {
                withdrawn_at = None;
            } else {
                withdrawn_at = withdrawn_at.or(Some(*at));
            }
        }
        let age = withdrawn_at.map(|at| run.now - at);
        let Some(age) = age.filter(|age| *age > CONFIG_TARGET) else {
            return;
        };
        self.record_violation(Violation::WithdrawnKey {
            host: run.host.clone(),
            call: call.id,
            version: run.version,
            age,
        });
    }

    fn has_key(&self, version: u64, call: &Call) -> bool {
        let snapshot = self.published.get(&version);
        let name = sample::workspace_name(call.workspace);
        let workspace = snapshot.and_then(|one| one.workspaces.get(&name));
        workspace.is_some_and(|one| one.key_digests.contains(&call.key_digest()))
    }

    pub(super) fn check_leaving(&mut self, run: &Run<'_>) {
        let Some(watch) = self.hosts.get(run.host) else {
            return;
        };
        let leaving = watch.leaving_since.get(run.instance);
        let leaving = leaving.filter(|_| self.is_leaving(run));
        let drains = watch.drains_since.get(run.instance);
        let drains = drains.filter(|since| run.now < **since + DRAIN_MEMORY);
        let since = leaving.into_iter().chain(drains).min();
        let age = since.map(|since| run.now - *since);
        if let Some(age) = age.filter(|age| *age > LEAVING_TARGET) {
            self.record_violation(Violation::WorkForLeaving {
                host: run.host.clone(),
                instance: run.instance.clone(),
                age,
            });
        }
    }

    /// Reports whether the version in force at a run marks its instance as
    /// leaving. That version may be newer than the last observed one.
    fn is_leaving(&self, run: &Run<'_>) -> bool {
        let snapshot = self.published.get(&run.version);
        let service = snapshot.and_then(|one| one.services.get(&sample::service_name()));
        let is_it = |one: &Instance| one.id == *run.instance && one.state == InstanceState::Leaving;
        service.is_some_and(|service| service.instances.iter().any(is_it))
    }

    pub(super) fn observe_version(
        &mut self,
        observation: &Observation,
        observations: &[Observation],
        conditions: Conditions,
        now: Duration,
    ) {
        let version = observation.version();
        let running = observation
            .reachable
            .iter()
            .filter(|at| observations[**at].is_running);
        let reachable_versions: Vec<u64> = running.map(|at| observations[*at].version()).collect();
        let newest = reachable_versions.iter().max().copied().unwrap_or(0);
        let watch = self.hosts.entry(observation.host.clone()).or_default();
        if watch.incarnation != observation.incarnation {
            *watch = HostWatch {
                incarnation: observation.incarnation,
                started_at: now,
                newest_at_start: newest,
                ..HostWatch::default()
            };
        }
        watch.reachable_versions = reachable_versions;
        let mut broken = Vec::new();
        let is_first = watch.version == 0 && version > 0;
        let was_linked = conditions.linked_since <= watch.started_at && !conditions.is_lossy;
        let min_version = if is_first && was_linked {
            watch.newest_at_start
        } else {
            watch.version
        };
        if version < min_version && (version > 0 || watch.version > 0) {
            broken.push(Violation::Reverted {
                host: observation.host.clone(),
                from: min_version,
                to: version,
            });
        }
        if version != watch.version {
            self.accepted_at.entry(version).or_insert(now);
        }
        watch.version = version;
        watch.record_leaving(observation.snapshot.as_deref(), now);
        let is_behind = observation.is_running && newest > version;
        watch.behind_since = watch.behind_since.or(Some(now)).filter(|_| is_behind);
        let since = watch.behind_since.map(|at| at.max(conditions.stable_since));
        if since.is_some_and(|since| now > since + CONFIG_TARGET) {
            broken.push(Violation::LateConfiguration {
                host: observation.host.clone(),
                version,
                newer: newest,
            });
        }
        let published = self.published.get(&version);
        if observation.snapshot.is_some() && observation.snapshot.as_ref() != published {
            broken.push(Violation::Altered {
                host: observation.host.clone(),
                version,
            });
        }
        self.violations.extend(broken);
    }

    /// Returns the oldest configuration in force, once the fleet has had it for
    /// long enough that all processes act on it.
    pub(super) fn settled(
        &self,
        observations: &[Observation],
        now: Duration,
    ) -> Option<Arc<Snapshot>> {
        let lowest = observations.iter().map(Observation::version).min()?;
        let accepted = self.accepted_at.get(&lowest)?;
        if now < *accepted + LEAVING_TARGET {
            return None;
        }
        self.published.get(&lowest).cloned()
    }
}

impl HostWatch {
    /// Reports whether the host knows that an instance leaves or drains.
    pub(super) fn is_closed(&self, instance: &InstanceId) -> bool {
        self.leaving_since.contains_key(instance) || self.drains_since.contains_key(instance)
    }

    fn record_leaving(&mut self, snapshot: Option<&Snapshot>, now: Duration) {
        let service = snapshot.and_then(|one| one.services.get(&sample::service_name()));
        let Some(service) = service else {
            return;
        };
        for instance in &service.instances {
            match instance.state {
                InstanceState::Leaving => {
                    let since = self.leaving_since.entry(instance.id.clone());
                    since.or_insert(now);
                }
                InstanceState::Live => {
                    self.leaving_since.remove(&instance.id);
                }
            }
        }
    }
}
