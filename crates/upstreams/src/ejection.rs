//! The ejections that a coordinator has granted in one pool, within the capacity
//! floor.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use log::info;
use waxwingusher_core::ServiceName;
use waxwingusher_protocol::health::{EjectionPhase, EjectionRow, Evidence, InstanceKey};

use crate::capacity::PoolCapacity;
use crate::floor::CapacityFloor;
use crate::score::Score;
use crate::settings::{EJECTION_TERM, UpstreamSettings};

const TRIAL_SUCCESSES: u32 = 5;
const TRIAL_FAILURES: u32 = 2;
const PAST_EJECTIONS_MAX_AGE: Duration = Duration::from_secs(600);
const MAX_EJECTION_COUNT: u8 = 16;
const REPLACEMENT_BAD_SHARE_MARGIN: f64 = 0.3;
const IDLE_TRIAL_FACTOR: u32 = 3;

/// The changes of one update.
#[derive(Debug, Default)]
pub struct EjectionChanges {
    /// Whether the ejections to grant have changed.
    pub has_changed: bool,
    /// Returned instances, whose earlier evidence no longer counts.
    pub cleared: Vec<InstanceKey>,
}

/// The inputs of an update apart from the scores.
#[derive(Debug, Clone, Copy)]
pub struct EjectionContext<'a> {
    /// The time of the update.
    pub now: Instant,
    /// The fleet's settings.
    pub settings: &'a UpstreamSettings,
    /// The pool's slots, and what is unavailable in the coordinator's own view.
    pub capacity: &'a PoolCapacity,
    /// The instances that other hosts have reported as unavailable.
    pub unavailable_elsewhere: &'a [InstanceKey],
    /// The earliest time at which a listed host was asked for its latest report of
    /// unavailable instances, or none if a host has not reported.
    pub all_reported_since: Option<Instant>,
    /// Whether these reports are so recent that no unreported drain closes an
    /// instance before the next ejections end.
    pub are_reports_current: bool,
}

#[derive(Debug, Clone)]
struct Ejection {
    row: EjectionRow,
    bad_share: f64,
    phase_since: Instant,
    trial_ok: u32,
    trial_failed: u32,
    granted_at: Option<Instant>,
    released_until: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct PastEjections {
    count: u8,
    ended_at: Instant,
}

/// All ejections of one pool, oldest first, and the counts of past ones.
#[derive(Debug)]
pub struct EjectionList {
    service: ServiceName,
    rows: Vec<Ejection>,
    past_ejections: BTreeMap<InstanceKey, PastEjections>,
}

impl EjectionList {
    /// Creates an empty list.
    #[must_use]
    pub fn new(service: &ServiceName) -> Self {
        Self {
            service: service.clone(),
            rows: Vec::new(),
            past_ejections: BTreeMap::new(),
        }
    }

    /// Reports whether there is no ejection, not even a released one.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.rows.is_empty()
    }

    /// Reports whether an instance is ejected or recently released.
    #[must_use]
    pub fn contains(&self, instance: InstanceKey) -> bool {
        self.rows
            .iter()
            .any(|ejection| ejection.row.instance == instance)
    }

    /// Counts the outcomes of trials. Slow successes count as failures.
    pub fn on_evidence(&mut self, evidence: &Evidence) {
        for row in &evidence.instances {
            let trial = self.rows.iter_mut().find(|ejection| {
                ejection.row.instance == row.instance && ejection.row.phase == EjectionPhase::Trial
            });
            let Some(trial) = trial else {
                continue;
            };
            let slow = row.counts.slow.min(row.counts.ok);
            trial.trial_ok += row.counts.ok - slow;
            trial.trial_failed += row.counts.failed + slow;
        }
    }

    /// Adopts the ejections of a coordinator that has stopped.
    pub fn take_over(&mut self, now: Instant, rows: &[EjectionRow]) -> bool {
        for row in rows {
            if self.contains(row.instance) {
                continue;
            }
            info!(
                "health: service {} takes over ejection of {:?}",
                self.service, row.instance
            );
            self.rows.push(Ejection {
                row: *row,
                bad_share: 1.0,
                phase_since: now,
                trial_ok: 0,
                trial_failed: 0,
                granted_at: Some(now),
                released_until: (!row.phase.is_ejected()).then_some(now),
            });
        }
        !rows.is_empty()
    }

    /// Advances the phases of the ejections, releases those that the floor no longer
    /// allows, and adds the `wanted` ones that it allows.
    pub fn update(&mut self, context: &EjectionContext<'_>, wanted: &[Score]) -> EjectionChanges {
        let mut changes = EjectionChanges::default();
        self.advance_phases(context, &mut changes);
        let mut floor = context
            .capacity
            .floor_without(context.unavailable_elsewhere.iter().copied());
        let kept = self.count_within_floor(&mut floor, context);
        let all_fit = kept == self.rows.len();
        if !all_fit {
            changes.has_changed |=
                self.release_from(if context.are_reports_current { kept } else { 0 });
        }
        for score in wanted {
            if context.is_unavailable(score.instance) || !all_fit {
                continue;
            }
            if floor.try_eject(context.capacity.slots_of(score.instance)) {
                self.eject(context.now, score);
                changes.has_changed = true;
                continue;
            }
            changes.has_changed |= context.are_reports_current && self.make_room_for(score);
            break;
        }
        changes
    }

    /// Takes the rows out of `floor` in their order, and returns the number of rows
    /// before the first that does not fit. A released row that does not fit counts
    /// only while the drains at some host are unknown.
    fn count_within_floor(
        &self,
        floor: &mut CapacityFloor,
        context: &EjectionContext<'_>,
    ) -> usize {
        let mut kept = None;
        for (index, ejection) in self.rows.iter().enumerate() {
            let instance = ejection.row.instance;
            let slots = context.capacity.slots_of(instance);
            if !ejection.row.phase.is_ejected() {
                if context.is_unavailable(instance) || floor.try_eject(slots) {
                    continue;
                }
                floor.take_out(slots);
                if !context.are_reports_current {
                    kept = kept.or(Some(index));
                }
                continue;
            }
            let is_known = context.capacity.slots.contains_key(&instance);
            let does_fit = is_known && (context.is_unavailable(instance) || floor.try_eject(slots));
            if !does_fit {
                kept = kept.or(Some(index));
            }
        }
        kept.unwrap_or(self.rows.len())
    }

    /// Releases all ejected instances from the row `first` on, and reports whether
    /// there was one.
    fn release_from(&mut self, first: usize) -> bool {
        let mut has_released = false;
        for (index, mut ejection) in std::mem::take(&mut self.rows).into_iter().enumerate() {
            if index < first || !ejection.row.phase.is_ejected() {
                self.rows.push(ejection);
                continue;
            }
            has_released = true;
            info!(
                "health: service {} releases {:?}: the capacity floor does not allow its ejection",
                self.service, ejection.row.instance
            );
            if ejection.granted_at.is_some() {
                release(&mut ejection);
                self.rows.push(ejection);
            }
        }
        has_released
    }

    /// Returns the rows to grant, and records `now` as the time of the grant.
    pub fn grant(&mut self, now: Instant) -> Vec<EjectionRow> {
        for ejection in &mut self.rows {
            if ejection.row.phase.is_ejected() {
                ejection.granted_at = Some(now);
            }
        }
        self.rows.iter().map(|ejection| ejection.row).collect()
    }

    fn eject(&mut self, now: Instant, score: &Score) {
        let former = self.past_ejections.get(&score.instance);
        let ejection_count = former
            .filter(|past| now < past.ended_at + PAST_EJECTIONS_MAX_AGE)
            .map_or(1, |past| (past.count + 1).min(MAX_EJECTION_COUNT));
        info!(
            "health: service {} ejects {:?}: {:.0}% of {} requests bad, failure score {:.1}, slow score {:.1}, ejection {ejection_count} in a row",
            self.service,
            score.instance,
            score.bad_share * 100.0,
            score.samples,
            score.failure,
            score.slow
        );
        self.rows.push(Ejection {
            row: EjectionRow {
                instance: score.instance,
                phase: EjectionPhase::Held,
                strikes: ejection_count,
            },
            bad_share: score.bad_share,
            phase_since: now,
            trial_ok: 0,
            trial_failed: 0,
            granted_at: None,
            released_until: None,
        });
    }

    /// Releases the ejected instance with the least bad share if that of `score` is
    /// much higher. The worse instance can be ejected once all hosts know of the
    /// release.
    fn make_room_for(&mut self, score: &Score) -> bool {
        let least = self
            .rows
            .iter_mut()
            .filter(|ejection| ejection.row.phase.is_ejected())
            .min_by(|a, b| a.bad_share.total_cmp(&b.bad_share));
        let Some(least) = least else {
            return false;
        };
        if least.bad_share + REPLACEMENT_BAD_SHARE_MARGIN > score.bad_share {
            return false;
        }
        info!(
            "health: service {} releases {:?} to make room for ejecting the worse {:?}",
            self.service, least.row.instance, score.instance
        );
        release(least);
        true
    }

    fn advance_phases(&mut self, context: &EjectionContext<'_>, changes: &mut EjectionChanges) {
        let now = context.now;
        for mut ejection in std::mem::take(&mut self.rows) {
            match next_phase_step(&ejection, context) {
                PhaseStep::Stay => {}
                PhaseStep::StartTrial => {
                    changes.has_changed = true;
                    start_phase(&mut ejection, EjectionPhase::Trial, now);
                    info!(
                        "health: service {} starts trials of {:?}",
                        self.service, ejection.row.instance
                    );
                }
                PhaseStep::EjectAgain => {
                    changes.has_changed = true;
                    ejection.row.strikes = (ejection.row.strikes + 1).min(MAX_EJECTION_COUNT);
                    info!(
                        "health: service {} ejects {:?} again after failed trials, ejection {} in a row",
                        self.service, ejection.row.instance, ejection.row.strikes
                    );
                    start_phase(&mut ejection, EjectionPhase::Held, now);
                }
                PhaseStep::Return => {
                    changes.has_changed = true;
                    changes.cleared.push(ejection.row.instance);
                    self.return_instance(&mut ejection, now, context.settings);
                }
                PhaseStep::Drop => continue,
            }
            self.rows.push(ejection);
        }
    }

    fn return_instance(
        &mut self,
        ejection: &mut Ejection,
        now: Instant,
        settings: &UpstreamSettings,
    ) {
        info!(
            "health: service {} returns {:?} to use after {} successful and {} failed trials",
            self.service, ejection.row.instance, ejection.trial_ok, ejection.trial_failed
        );
        let past = PastEjections {
            count: ejection.row.strikes,
            ended_at: now,
        };
        self.past_ejections.insert(ejection.row.instance, past);
        ejection.row.phase = EjectionPhase::Returned;
        ejection.released_until = Some(now + EJECTION_TERM + settings.cold_term);
    }
}

/// Releases an instance at once. It counts against the floor until the last grant
/// that ejected it has ended on every host and every host has since reported its
/// unavailable instances, as hosts that did not apply the ejection may have seen the
/// instance drain.
fn release(ejection: &mut Ejection) {
    ejection.row.phase = EjectionPhase::Released;
    ejection.released_until = ejection.granted_at.map(|granted| granted + EJECTION_TERM);
}

enum PhaseStep {
    Stay,
    StartTrial,
    EjectAgain,
    Return,
    Drop,
}

impl EjectionContext<'_> {
    fn is_unavailable(&self, instance: InstanceKey) -> bool {
        self.capacity.unavailable.contains(&instance)
            || self.unavailable_elsewhere.contains(&instance)
    }

    /// Reports whether every drain that a host saw before `until` has been reported
    /// to the coordinator or has ended.
    fn are_drains_reported(&self, until: Instant) -> bool {
        self.all_reported_since.is_some_and(|since| since >= until)
            || self.now >= until + self.settings.drain_term
    }
}

fn next_phase_step(ejection: &Ejection, context: &EjectionContext<'_>) -> PhaseStep {
    let now = context.now;
    let settings = context.settings;
    let age = now.saturating_duration_since(ejection.phase_since);
    match ejection.row.phase {
        EjectionPhase::Held if age >= hold_term(ejection.row.strikes, settings) => {
            PhaseStep::StartTrial
        }
        EjectionPhase::Held => PhaseStep::Stay,
        EjectionPhase::Released | EjectionPhase::Returned => {
            let is_over = ejection
                .released_until
                .is_none_or(|until| now >= until && context.are_drains_reported(until));
            if is_over {
                PhaseStep::Drop
            } else {
                PhaseStep::Stay
            }
        }
        EjectionPhase::Trial if ejection.trial_failed >= TRIAL_FAILURES => PhaseStep::EjectAgain,
        EjectionPhase::Trial if ejection.trial_ok >= TRIAL_SUCCESSES => PhaseStep::Return,
        EjectionPhase::Trial => {
            let is_untested = ejection.trial_ok + ejection.trial_failed == 0;
            if is_untested && age >= settings.first_ejection_term * IDLE_TRIAL_FACTOR {
                PhaseStep::Return
            } else {
                PhaseStep::Stay
            }
        }
    }
}

fn hold_term(ejection_count: u8, settings: &UpstreamSettings) -> Duration {
    let doublings = u32::from(ejection_count.saturating_sub(1).min(MAX_EJECTION_COUNT));
    let factor = 2_u32.saturating_pow(doublings);
    settings
        .first_ejection_term
        .saturating_mul(factor)
        .min(settings.max_ejection_term)
}

fn start_phase(ejection: &mut Ejection, phase: EjectionPhase, now: Instant) {
    ejection.row.phase = phase;
    ejection.phase_since = now;
    ejection.trial_ok = 0;
    ejection.trial_failed = 0;
}
