//! The ejections that a judge has made on one pool, within the floor.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use log::info;
use waxwingusher_core::ServiceName;
use waxwingusher_protocol::health::{EjectionPhase, EjectionRow, Evidence, InstanceKey};

use crate::capacity::PoolCapacity;
use crate::score::Score;
use crate::settings::{EJECTION_TERM, UpstreamSettings};

const TRIAL_SUCCESSES: u32 = 5;
const TRIAL_FAILURES: u32 = 2;
const STRIKE_MEMORY: Duration = Duration::from_secs(600);
const MAX_STRIKES: u8 = 16;
const SWAP_MARGIN: f64 = 0.3;
const SILENT_TRIAL_FACTOR: u32 = 3;

/// What an update changed.
#[derive(Debug, Default)]
pub struct EjectionChanges {
    /// Whether the granted set changed.
    pub any: bool,
    /// Instances whose evidence so far is used up.
    pub settled: Vec<InstanceKey>,
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
struct Strikes {
    count: u8,
    returned_at: Instant,
}

/// All ejections of one pool, oldest first.
#[derive(Debug)]
pub struct EjectionBook {
    service: ServiceName,
    rows: Vec<Ejection>,
    strikes: BTreeMap<InstanceKey, Strikes>,
}

impl EjectionBook {
    /// Creates a book without ejections.
    #[must_use]
    pub fn new(service: &ServiceName) -> Self {
        Self {
            service: service.clone(),
            rows: Vec::new(),
            strikes: BTreeMap::new(),
        }
    }

    /// Reports whether nothing is ejected.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.rows.is_empty()
    }

    /// Reports whether an instance is ejected or just released.
    #[must_use]
    pub fn contains(&self, instance: InstanceKey) -> bool {
        self.rows.iter().any(|e| e.row.instance == instance)
    }

    /// Counts the outcomes of trials.
    pub fn on_evidence(&mut self, evidence: &Evidence) {
        for row in &evidence.instances {
            let trial = self
                .rows
                .iter_mut()
                .find(|e| e.row.instance == row.instance && e.row.phase == EjectionPhase::Trial);
            let Some(trial) = trial else {
                continue;
            };
            let slow = row.counts.slow.min(row.counts.ok);
            trial.trial_ok += row.counts.ok - slow;
            trial.trial_failed += row.counts.failed + slow;
        }
    }

    /// Takes over the ejections of a judge that is gone.
    pub fn inherit(&mut self, now: Instant, rows: &[EjectionRow]) -> bool {
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
                granted_at: None,
                released_until: None,
            });
        }
        !rows.is_empty()
    }

    /// Moves ejections through their phases, gives up those that the floor no
    /// longer allows, and adds `wanted` ones as far as it allows them.
    pub fn update(
        &mut self,
        now: Instant,
        settings: &UpstreamSettings,
        capacity: &PoolCapacity,
        lost: &[InstanceKey],
        wanted: &[Score],
    ) -> EjectionChanges {
        let mut changes = EjectionChanges::default();
        self.advance_phases(now, settings, &mut changes);
        let mut floor = capacity.floor_without(lost.iter().copied());
        let unavailable: BTreeSet<_> = capacity.unavailable.iter().chain(lost).copied().collect();
        let mut fits = true;
        for mut ejection in std::mem::take(&mut self.rows) {
            let instance = ejection.row.instance;
            let slots = capacity.slots_of(instance);
            if !ejection.row.phase.is_out() {
                if !unavailable.contains(&instance) {
                    floor.lose(slots);
                }
                self.rows.push(ejection);
                continue;
            }
            fits &= capacity.slots.contains_key(&instance);
            fits &= unavailable.contains(&instance) || floor.try_eject(slots);
            if fits {
                self.rows.push(ejection);
                continue;
            }
            changes.any = true;
            info!(
                "health: service {} keeps {instance:?} for the floor",
                self.service
            );
            if ejection.granted_at.is_some() {
                release(&mut ejection);
                self.rows.push(ejection);
            }
        }
        for score in wanted {
            if unavailable.contains(&score.instance) || !fits {
                continue;
            }
            if floor.try_eject(capacity.slots_of(score.instance)) {
                self.eject(now, score);
                changes.any = true;
                continue;
            }
            changes.any |= self.make_room_for(score);
            break;
        }
        changes
    }

    /// Returns the rows to grant, and notes that they leave now.
    pub fn grant(&mut self, now: Instant) -> Vec<EjectionRow> {
        for ejection in &mut self.rows {
            if ejection.row.phase.is_out() {
                ejection.granted_at = Some(now);
            }
        }
        self.rows.iter().map(|ejection| ejection.row).collect()
    }

    fn eject(&mut self, now: Instant, score: &Score) {
        let former = self.strikes.get(&score.instance);
        let strikes = former
            .filter(|s| now < s.returned_at + STRIKE_MEMORY)
            .map_or(1, |s| (s.count + 1).min(MAX_STRIKES));
        info!(
            "health: service {} ejects {:?}: {:.0}% of {} requests bad, failure score {:.1}, slow score {:.1}, strike {strikes}",
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
                strikes,
            },
            bad_share: score.bad_share,
            phase_since: now,
            trial_ok: 0,
            trial_failed: 0,
            granted_at: None,
            released_until: None,
        });
    }

    /// Returns the least bad ejected instance to work if `score` is much worse.
    /// The worse one follows once that return is known everywhere.
    fn make_room_for(&mut self, score: &Score) -> bool {
        let least = self
            .rows
            .iter_mut()
            .filter(|ejection| ejection.row.phase.is_out())
            .min_by(|a, b| a.bad_share.total_cmp(&b.bad_share));
        let Some(least) = least else {
            return false;
        };
        if least.bad_share + SWAP_MARGIN > score.bad_share {
            return false;
        }
        info!(
            "health: service {} keeps {:?} to make room for worse {:?}",
            self.service, least.row.instance, score.instance
        );
        release(least);
        true
    }

    fn advance_phases(
        &mut self,
        now: Instant,
        settings: &UpstreamSettings,
        changes: &mut EjectionChanges,
    ) {
        for mut ejection in std::mem::take(&mut self.rows) {
            match next_step(&ejection, now, settings) {
                Step::Stay => {}
                Step::StartTrial => {
                    changes.any = true;
                    start_phase(&mut ejection, EjectionPhase::Trial, now);
                    info!(
                        "health: service {} starts trials of {:?}",
                        self.service, ejection.row.instance
                    );
                }
                Step::EjectAgain => {
                    changes.any = true;
                    ejection.row.strikes = (ejection.row.strikes + 1).min(MAX_STRIKES);
                    info!(
                        "health: service {} ejects {:?} again, strike {}",
                        self.service, ejection.row.instance, ejection.row.strikes
                    );
                    start_phase(&mut ejection, EjectionPhase::Held, now);
                }
                Step::Return => {
                    changes.any = true;
                    changes.settled.push(ejection.row.instance);
                    self.return_instance(&mut ejection, now, settings);
                }
                Step::Forget => continue,
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
            "health: service {} returns {:?} after {} good and {} bad trials",
            self.service, ejection.row.instance, ejection.trial_ok, ejection.trial_failed
        );
        let strikes = Strikes {
            count: ejection.row.strikes,
            returned_at: now,
        };
        self.strikes.insert(ejection.row.instance, strikes);
        ejection.row.phase = EjectionPhase::Returned;
        ejection.released_until = Some(now + EJECTION_TERM + settings.cold_term);
    }
}

/// Lets an instance work again at once. It counts until the last grant that
/// ejected it has surely ended.
fn release(ejection: &mut Ejection) {
    ejection.row.phase = EjectionPhase::Released;
    ejection.released_until = ejection.granted_at.map(|granted| granted + EJECTION_TERM);
}

enum Step {
    Stay,
    StartTrial,
    EjectAgain,
    Return,
    Forget,
}

fn next_step(ejection: &Ejection, now: Instant, settings: &UpstreamSettings) -> Step {
    let age = now.saturating_duration_since(ejection.phase_since);
    match ejection.row.phase {
        EjectionPhase::Held if age >= held_term(ejection.row.strikes, settings) => Step::StartTrial,
        EjectionPhase::Held => Step::Stay,
        EjectionPhase::Released | EjectionPhase::Returned => {
            let over = ejection.released_until.is_none_or(|until| now >= until);
            if over { Step::Forget } else { Step::Stay }
        }
        EjectionPhase::Trial if ejection.trial_failed >= TRIAL_FAILURES => Step::EjectAgain,
        EjectionPhase::Trial if ejection.trial_ok >= TRIAL_SUCCESSES => Step::Return,
        EjectionPhase::Trial => {
            let silent = ejection.trial_ok + ejection.trial_failed == 0;
            if silent && age >= settings.first_ejection * SILENT_TRIAL_FACTOR {
                Step::Return
            } else {
                Step::Stay
            }
        }
    }
}

fn held_term(strikes: u8, settings: &UpstreamSettings) -> Duration {
    let doublings = u32::from(strikes.saturating_sub(1).min(MAX_STRIKES));
    let factor = 2_u32.saturating_pow(doublings);
    settings
        .first_ejection
        .saturating_mul(factor)
        .min(settings.longest_ejection)
}

fn start_phase(ejection: &mut Ejection, phase: EjectionPhase, now: Instant) {
    ejection.row.phase = phase;
    ejection.phase_since = now;
    ejection.trial_ok = 0;
    ejection.trial_failed = 0;
}
