//! One host's view of one service's instances.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use log::info;
use waxwingusher_config::Service;
use waxwingusher_core::{HostId, InstanceId};
use waxwingusher_protocol::health::{
    EjectionPhase, EjectionRow, Grant, InstanceKey, OriginKey, ServiceKey, Watch,
};

use crate::balance::{self, BalanceContext};
use crate::capacity::PoolCapacity;
use crate::choice::{
    ChoiceReason, ChooseError, ChooseRequest, HealthHint, RequestOrigin, UpstreamResult,
};
use crate::context::PoolContext;
use crate::member::{Availability, Member};
use crate::reporter::{Outcome, Reporter};
use crate::score::Score;
use crate::settings::UpstreamSettings;
use crate::subset;
use crate::view::{ServiceView, millis, view_member};
use crate::voter::Voter;

const MAX_CROSS_CHECKING_HOSTS: usize = 16;

/// The instances of one service.
#[derive(Debug)]
pub struct Pool {
    /// The configured service.
    pub service: Arc<Service>,
    /// This host's vote for a coordinator, and the ejections granted under it.
    pub voter: Voter,
    /// The outcomes to report to the coordinators.
    pub reporter: Reporter,
    members: Vec<Member>,
    index_by_key: BTreeMap<InstanceKey, usize>,
    subset: Vec<usize>,
    choices_made: usize,
}

impl Pool {
    /// Creates a pool whose instances are not cold.
    #[must_use]
    pub fn new(
        service: &Arc<Service>,
        now: Instant,
        voter: Voter,
        settings: &UpstreamSettings,
    ) -> Self {
        let key = ServiceKey::of(&service.name);
        let mut pool = Self {
            service: Arc::clone(service),
            voter,
            reporter: Reporter::new(key, now, settings.report_interval),
            members: Vec::new(),
            index_by_key: BTreeMap::new(),
            subset: Vec::new(),
            choices_made: 0,
        };
        pool.set_members(service, now, None);
        pool
    }

    /// Applies a new configuration. Added instances start cold.
    pub fn configure(&mut self, service: &Arc<Service>, now: Instant, cold_term: Duration) {
        self.service = Arc::clone(service);
        self.set_members(service, now, Some(cold_term));
    }

    /// Updates the subset of instances that this host prefers.
    pub fn update_subset(&mut self, host: &HostId, hosts: &[HostId], preferred: usize) {
        self.subset = subset::subset(host, hosts, &self.service.instances, preferred);
    }

    /// Returns the subset of instances that this host prefers.
    pub fn subset(&self) -> impl Iterator<Item = &InstanceId> {
        self.subset.iter().map(|index| self.members[*index].id())
    }

    /// Returns the members in the order of the configuration.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the slots, and the instances that are unavailable apart from ejections.
    #[must_use]
    pub fn capacity(&self, now: Instant) -> PoolCapacity {
        let mut capacity = PoolCapacity {
            floor_percent: self.service.floor_percent,
            ..PoolCapacity::default()
        };
        for member in &self.members {
            capacity.slots.insert(member.key, member.instance.slots);
            if member.availability(now) != Availability::Ready {
                capacity.unavailable.push(member.key);
            }
        }
        capacity
    }

    /// Returns the ejections in force that the floor allows.
    #[must_use]
    pub fn effective_ejections(&self, now: Instant) -> Vec<EjectionRow> {
        let mut rows = self.effective_rows(now);
        rows.retain(|row| row.phase.is_ejected());
        rows
    }

    /// Returns the members that are closed, cold or in their slow start.
    pub fn unavailable(&self, now: Instant) -> Vec<&Member> {
        let rows = self.effective_rows(now);
        let is_in_slow_start = |member: &Member| {
            rows.iter()
                .any(|row| row.instance == member.key && row.phase == EjectionPhase::Returned)
        };
        let members = self.members.iter();
        members
            .filter(|member| match member.availability(now) {
                Availability::Closed | Availability::Cold => true,
                Availability::Ready | Availability::Closing => is_in_slow_start(member),
            })
            .collect()
    }

    fn effective_rows(&self, now: Instant) -> Vec<EjectionRow> {
        let rows = self.voter.ejections(now);
        if rows.is_empty() {
            return Vec::new();
        }
        let mut capacity = self.capacity(now);
        capacity.unavailable.extend(self.voter.unavailable());
        capacity.allowed(rows, self.voter.are_reports_current())
    }

    /// Returns the median latency, once there are enough samples.
    #[must_use]
    pub fn median_latency(&self) -> Option<Duration> {
        self.reporter.median_latency()
    }

    /// Chooses a member and counts the request there.
    ///
    /// # Errors
    ///
    /// Returns [`ChooseError`] if no instance may take the request now.
    pub fn choose(
        &mut self,
        context: &PoolContext<'_>,
        request: &ChooseRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<(&Member, ChoiceReason), ChooseError> {
        let ejections = self.effective_ejections(context.now);
        let median = self.reporter.median_latency();
        let balance = BalanceContext {
            now: context.now,
            local_domain: context.local_domain,
            ejections: &ejections,
            median_latency_s: median.map(|median| median.as_secs_f64()),
            policy: context.settings.balance,
            local_host_share: context.local_host_share,
            choices_made: self.choices_made,
        };
        self.choices_made = self.choices_made.wrapping_add(1);
        let preferred = self.subset.iter().copied();
        let mut chosen = balance::choose(&balance, &self.members, preferred, request, rng);
        if needs_whole_pool(&chosen) {
            let all = 0..self.members.len();
            chosen = balance::choose(&balance, &self.members, all, request, rng);
        }
        let (index, reason) = chosen?;
        let member = &mut self.members[index];
        member.in_flight += 1;
        member.cross_check_until = None;
        if reason == ChoiceReason::Trial {
            let spacing = context.hosts as f64 / context.settings.trials_per_s;
            let wait = spacing * (0.5 + rng.f64());
            member.next_trial_at = context.now + Duration::from_secs_f64(wait);
        }
        Ok((member, reason))
    }

    /// Records the result of a request to a chosen instance.
    pub fn report(
        &mut self,
        context: &PoolContext<'_>,
        instance: InstanceKey,
        origin: &RequestOrigin,
        result: UpstreamResult,
        rng: &mut fastrand::Rng,
    ) {
        let now = context.now;
        let Some(index) = self.index_by_key.get(&instance) else {
            return;
        };
        let member = &mut self.members[*index];
        member.in_flight = member.in_flight.saturating_sub(1);
        if result == UpstreamResult::Draining {
            info!(
                "health: service {} instance {} is draining",
                self.service.name,
                member.id()
            );
        }
        let outcome = member.on_result(result, context.settings, rng.f64(), now);
        let Some(result) = outcome else {
            return;
        };
        if result.is_err() && member.on_failure(now) {
            info!(
                "health: service {} instance {} is avoided by this host after consecutive failures",
                self.service.name,
                member.id()
            );
        }
        self.reporter.record(
            now,
            &Outcome {
                instance,
                workspace: OriginKey::of_workspace(&origin.workspace),
                route: OriginKey::of_route(&origin.route),
                result,
            },
        );
    }

    /// Applies a coordinator's grant and returns the ballot of the host's vote, if it
    /// may vote.
    pub fn on_grant(
        &mut self,
        context: &PoolContext<'_>,
        from: &HostId,
        incarnation: u64,
        grant: &Grant,
    ) -> Option<u64> {
        let now = context.now;
        let before = self.voter.ejections(now).to_vec();
        let ballot = self.voter.on_grant(now, from, incarnation, grant);
        let after = self.voter.ejections(now).to_vec();
        for row in &after {
            if !before.iter().any(|known| known == row) {
                self.log_ejection(row);
            }
        }
        for row in before {
            let next = after.iter().find(|known| known.instance == row.instance);
            if !row.phase.is_ejected() || next.is_some_and(|next| next.phase.is_ejected()) {
                continue;
            }
            let Some(index) = self.index_by_key.get(&row.instance) else {
                continue;
            };
            let member = &mut self.members[*index];
            if next.is_some_and(|next| next.phase == EjectionPhase::Returned) {
                member.begin_slow_start(now, context.settings.cold_term);
            }
            info!(
                "health: service {} returns {} to use",
                self.service.name,
                member.id()
            );
        }
        ballot
    }

    /// Starts a coordinator's watch: full reports and, if requested, cross-checks from
    /// other failure domains.
    pub fn on_watch(&mut self, context: &PoolContext<'_>, watch: &Watch, rng: &mut fastrand::Rng) {
        let now = context.now;
        let until = now + context.settings.watch_term;
        self.reporter
            .on_watch(now, watch, context.settings.watch_term);
        if !watch.cross_check || rng.usize(..context.hosts.max(1)) >= MAX_CROSS_CHECKING_HOSTS {
            return;
        }
        for instance in &watch.instances {
            let Some(index) = self.index_by_key.get(instance) else {
                continue;
            };
            let member = &mut self.members[*index];
            if &member.instance.failure_domain != context.local_domain {
                member.cross_check_until = Some(until);
            }
        }
    }

    /// Applies the result of a health or load endpoint.
    pub fn hint(&mut self, now: Instant, instance: InstanceKey, hint: HealthHint) {
        let Some(index) = self.index_by_key.get(&instance) else {
            return;
        };
        let member = &mut self.members[*index];
        match hint {
            HealthHint::Healthy => member.hint_health(true, now),
            HealthHint::Unhealthy => member.hint_health(false, now),
            HealthHint::Load(load) => member.hint_load(load, now),
        }
    }

    /// Returns the view for operators, with the scores of this host's coordinator.
    #[must_use]
    pub fn view(&self, now: Instant, scores: &[Score]) -> ServiceView {
        let ejections = self.effective_rows(now);
        let capacity = self.capacity(now);
        let ejected = ejections.iter().map(|row| row.instance);
        let floor = capacity.floor_without(ejected);
        let members = self.members.iter();
        ServiceView {
            service: self.service.name.clone(),
            required_slots: floor.required_slots(),
            in_use_slots: floor.in_use_slots(),
            median_latency_ms: self.reporter.median_latency().map(millis),
            instances: members
                .map(|member| {
                    let row = ejections.iter().find(|row| row.instance == member.key);
                    let score = scores.iter().find(|score| score.instance == member.key);
                    view_member(member, now, row, score)
                })
                .collect(),
        }
    }

    fn log_ejection(&self, row: &EjectionRow) {
        let Some(index) = self.index_by_key.get(&row.instance) else {
            return;
        };
        info!(
            "health: service {} instance {} ({:?}) is {:?}, ejection {} in a row",
            self.service.name,
            self.members[*index].id(),
            row.instance,
            row.phase,
            row.strikes
        );
    }

    /// Ends slow starts that no grant covers any more, and drops removed instances
    /// once they are closed.
    pub fn tick(&mut self, now: Instant) {
        let rows = self.voter.ejections(now);
        for member in &mut self.members {
            let is_covered = rows
                .iter()
                .any(|row| row.instance == member.key && row.phase == EjectionPhase::Returned);
            if !is_covered {
                member.end_slow_start();
            }
        }
        self.drop_removed(now);
    }

    /// Drops removed instances after [`DRAIN_DEFERRAL`](crate::settings::DRAIN_DEFERRAL).
    /// Until then they count as leaving, so that the floor also holds at hosts that
    /// learn of the removal later.
    fn drop_removed(&mut self, now: Instant) {
        let before = self.members.len();
        self.members
            .retain(|member| !member.is_removal_complete(now));
        if self.members.len() != before {
            self.rebuild_index();
        }
    }

    fn set_members(&mut self, service: &Arc<Service>, now: Instant, cold_term: Option<Duration>) {
        let mut old: BTreeMap<InstanceId, Member> = std::mem::take(&mut self.members)
            .into_iter()
            .map(|member| (member.id().clone(), member))
            .collect();
        for instance in &service.instances {
            let member = match old.remove(&instance.id) {
                Some(mut member) => {
                    member.configure(instance.clone(), now);
                    member
                }
                None => Member::new(instance.clone(), now, cold_term),
            };
            self.members.push(member);
        }
        for mut member in old.into_values() {
            member.remove(now);
            self.members.push(member);
        }
        self.rebuild_index();
    }

    fn rebuild_index(&mut self) {
        self.index_by_key = self
            .members
            .iter()
            .enumerate()
            .map(|(index, member)| (member.key, index))
            .collect();
        let configured = self.service.instances.len().min(self.members.len());
        self.subset.retain(|index| *index < configured);
    }
}

fn needs_whole_pool(chosen: &Result<(usize, ChoiceReason), ChooseError>) -> bool {
    matches!(chosen, Err(_) | Ok((_, ChoiceReason::LastResort)))
}
