//! The ejections of one coordinator within the capacity floor.

use std::time::{Duration, Instant};

use waxwingusher_protocol::health::{EjectionPhase, InstanceKey};
use waxwingusher_upstreams::UpstreamSettings;
use waxwingusher_upstreams::capacity::PoolCapacity;
use waxwingusher_upstreams::ejection::{EjectionContext, EjectionList};
use waxwingusher_upstreams::score::{Score, Verdict};
use waxwingusher_upstreams::settings::EJECTION_TERM;

use crate::fleet::{instance, service_name};

const TICK: Duration = Duration::from_millis(1);

fn key(index: usize) -> InstanceKey {
    InstanceKey::of(&instance(index, 6).id)
}

/// Ten instances of which three may be ejected.
fn capacity() -> PoolCapacity {
    PoolCapacity {
        floor_percent: 70,
        slots: (0..10).map(|index| (key(index), 6)).collect(),
        unavailable: Vec::new(),
    }
}

/// The context of a coordinator with current reports from every host.
fn current_context<'a>(
    now: Instant,
    settings: &'a UpstreamSettings,
    capacity: &'a PoolCapacity,
    unavailable_elsewhere: &'a [InstanceKey],
) -> EjectionContext<'a> {
    EjectionContext {
        now,
        settings,
        capacity,
        unavailable_elsewhere,
        all_reported_since: Some(now),
        are_reports_current: true,
    }
}

fn faulty(index: usize) -> Score {
    Score {
        instance: key(index),
        failure: 20.0,
        suspicion: 20.0,
        slow: 0.0,
        bad_share: 0.9,
        samples: 20,
        verdict: Verdict::InstanceFault,
    }
}

#[test]
fn released_instance_counts_against_the_floor_until_its_last_grant_ends() {
    let settings = UpstreamSettings::default();
    let capacity = capacity();
    let mut list = EjectionList::new(&service_name());
    let now = Instant::now();
    list.update(
        &current_context(now, &settings, &capacity, &[]),
        &[faulty(0), faulty(1), faulty(2)],
    );
    assert_eq!(list.grant(now).len(), 3);
    list.update(
        &current_context(now + TICK, &settings, &capacity, &[key(9)]),
        &[],
    );
    let rows = list.grant(now + TICK);
    assert_eq!(rows[2].phase, EjectionPhase::Released);
    let last = now + EJECTION_TERM - TICK;
    list.update(
        &current_context(last, &settings, &capacity, &[]),
        &[faulty(5)],
    );
    assert!(
        !list.contains(key(5)),
        "four instances may be unavailable at some host"
    );
    let over = now + EJECTION_TERM;
    list.update(
        &current_context(over, &settings, &capacity, &[]),
        &[faulty(5)],
    );
    assert!(list.contains(key(5)));
}

#[test]
fn hosts_with_older_and_newer_lists_eject_the_same_instances() {
    let settings = UpstreamSettings::default();
    let mut smaller = capacity();
    let mut list = EjectionList::new(&service_name());
    let now = Instant::now();
    list.update(
        &current_context(now, &settings, &smaller, &[]),
        &[faulty(0), faulty(1), faulty(2)],
    );
    let older = list.grant(now);
    smaller.unavailable.push(key(9));
    list.update(&current_context(now + TICK, &settings, &smaller, &[]), &[]);
    let newer = list.grant(now + TICK);
    let allowed = |rows| -> Vec<_> {
        let allowed = smaller.allowed(rows, true).into_iter();
        allowed
            .filter(|row| row.phase.is_ejected())
            .map(|row| row.instance)
            .collect()
    };
    assert_eq!(allowed(&older), [key(0), key(1)]);
    assert_eq!(allowed(&newer), [key(0), key(1)]);
}

#[test]
fn all_ejections_end_at_a_tighter_floor_while_a_host_has_not_reported() {
    let settings = UpstreamSettings::default();
    let capacity = capacity();
    let mut list = EjectionList::new(&service_name());
    let now = Instant::now();
    list.update(
        &current_context(now, &settings, &capacity, &[]),
        &[faulty(0), faulty(1)],
    );
    let older = list.grant(now);
    let unavailable_elsewhere = [key(8), key(9)];
    let mut stale = current_context(now + TICK, &settings, &capacity, &unavailable_elsewhere);
    stale.all_reported_since = None;
    stale.are_reports_current = false;
    list.update(&stale, &[]);
    let rows = list.grant(now + TICK);
    assert!(rows.iter().all(|row| row.phase == EjectionPhase::Released));
    let mut smaller = capacity.clone();
    smaller.unavailable.extend(unavailable_elsewhere);
    assert!(smaller.allowed(&older, false).is_empty());
    stale.unavailable_elsewhere = &[];
    stale.now = now + EJECTION_TERM;
    list.update(&stale, &[faulty(4), faulty(5)]);
    assert!(list.contains(key(4)) && !list.contains(key(5)));
    stale.now = now + EJECTION_TERM + settings.drain_term;
    list.update(&stale, &[faulty(5)]);
    assert!(list.contains(key(5)));
}
