//! Checks the capacity floor in each host's view and over all hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use waxwingusher_config::{InstanceState, Service, Snapshot};
use waxwingusher_core::{HostId, InstanceId};
use waxwingusher_upstreams::UpstreamSettings;
use waxwingusher_upstreams::settings::EJECTION_TERM;

use super::{Observation, Violation};
use crate::sample;

/// Checks the floor at each observation.
#[derive(Debug, Default)]
pub(super) struct FloorWatch {
    /// Since when each host has had an ejection in force without a break.
    ejecting_since: BTreeMap<HostId, Duration>,
    /// When each instance was first and last observed unavailable at a host.
    unavailable: BTreeMap<InstanceId, Span>,
}

/// A time during which something was observed without a long break.
#[derive(Debug, Clone, Copy)]
struct Span {
    first: Duration,
    last: Duration,
}

impl FloorWatch {
    /// Checks each host's view, and the union over all hosts against the
    /// configuration that all of them act on.
    ///
    /// An instance that only one host knows to be unavailable is in the union
    /// once the host has had an ejection in force for one term: before that, its
    /// report may have reached no coordinator. An instance in slow start is in
    /// the union only while the slow start lasts. Hosts list it until they
    /// receive the coordinator's next grant, when it has long been warm.
    pub(super) fn observe(
        &mut self,
        observations: &[Observation],
        settled: Option<&Snapshot>,
        is_closed: impl Fn(&HostId, &InstanceId) -> bool,
        now: Duration,
    ) -> Vec<Violation> {
        let mut broken = Vec::new();
        let mut all_ejected = BTreeSet::new();
        let mut all_out = BTreeSet::new();
        for observation in observations
            .iter()
            .filter(|observation| observation.is_running)
        {
            let Some(service) = service_of(observation.snapshot.as_deref()) else {
                continue;
            };
            let starting = self.starting(observation, now);
            if observation.ejected.is_empty() {
                self.ejecting_since.remove(&observation.host);
                continue;
            }
            let mut out: BTreeSet<_> = observation.unavailable.iter().cloned().collect();
            out.extend(observation.ejected.iter().cloned());
            broken.extend(check(observation.host.as_str(), service, &out));
            let since = *self
                .ejecting_since
                .entry(observation.host.clone())
                .or_insert(now);
            if now >= since + EJECTION_TERM {
                out.retain(|id| starting.contains(id) || is_closed(&observation.host, id));
                all_out.extend(out);
            }
            all_ejected.extend(observation.ejected.iter().cloned());
        }
        let Some(service) = service_of(settled).filter(|_| !all_ejected.is_empty()) else {
            return broken;
        };
        all_out.extend(all_ejected);
        let instances = service.instances.iter();
        let leaving = instances.filter(|one| one.state == InstanceState::Leaving);
        all_out.extend(leaving.map(|one| one.id.clone()));
        broken.extend(check("all hosts", service, &all_out));
        broken
    }

    /// Returns the instances that a host lists as unavailable for no longer than
    /// a slow start lasts. Ejections may expire at a host and return within a
    /// term; the slow start continues meanwhile.
    fn starting(&mut self, observation: &Observation, now: Duration) -> BTreeSet<InstanceId> {
        let cold_term = UpstreamSettings::default().cold_term;
        let mut starting = BTreeSet::new();
        for id in &observation.unavailable {
            let new = Span {
                first: now,
                last: now,
            };
            let span = self.unavailable.entry(id.clone()).or_insert(new);
            if now > span.last + EJECTION_TERM {
                *span = new;
            }
            span.last = now;
            if now < span.first + cold_term {
                starting.insert(id.clone());
            }
        }
        starting
    }
}

fn service_of(snapshot: Option<&Snapshot>) -> Option<&Service> {
    let service = snapshot?.services.get(&sample::service_name())?;
    Some(service)
}

fn check(view: &str, service: &Service, out: &BTreeSet<InstanceId>) -> Option<Violation> {
    let mut total = 0;
    let mut in_use = 0;
    for instance in &service.instances {
        total += instance.slots;
        if !out.contains(&instance.id) {
            in_use += instance.slots;
        }
    }
    let is_below = in_use * 100 < total * u32::from(service.floor_percent);
    is_below.then(|| Violation::BelowFloor {
        view: view.to_owned(),
        in_use,
        total,
    })
}
