//! Random pauses, stops, restarts, cuts, loss, late messages and differing
//! lists; the detected states are compared with the actual ones.

use std::collections::BTreeSet;
use std::time::Duration;

use waxwingusher_core::HostId;
use waxwingusher_membership::liveness::PeerState;
use waxwingusher_standins::LinkFaults;

use crate::liveness_fleet::{Fleet, Observe, name, start_fleet};

const SIZE: usize = 16;
const SEEDS: u64 = 30;
const ACTIONS: usize = 40;
const SETTLE_S: u64 = 120;

#[derive(Default)]
struct ActualStates {
    stopped: BTreeSet<HostId>,
    paused: BTreeSet<HostId>,
}

fn act(fleet: &mut Fleet, actual: &mut ActualStates, rng: &mut fastrand::Rng) {
    let id = name(rng.usize(0..SIZE));
    match rng.u32(0..8) {
        0 if actual.stopped.len() < SIZE / 4 => {
            fleet.fleet.kill(&id);
            actual.paused.remove(&id);
            actual.stopped.insert(id);
        }
        1 => {
            fleet.start(&id);
            actual.paused.remove(&id);
            actual.stopped.remove(&id);
        }
        2 if !actual.stopped.contains(&id) => {
            fleet.fleet.pause(&id);
            actual.paused.insert(id);
        }
        3 => {
            fleet.fleet.resume(&id);
            actual.paused.remove(&id);
        }
        4 => fleet.fleet.cut(&id, &name(rng.usize(0..SIZE))),
        5 => fleet.fleet.heal_all(),
        6 => apply_shorter_list(fleet, &id, rng),
        _ => fleet.fleet.set_faults(LinkFaults {
            loss: rng.f64() * 0.3,
            duplication: rng.f64() * 0.3,
            max_delay: Duration::from_millis(rng.u64(2..3_000)),
            ..LinkFaults::default()
        }),
    }
}

fn apply_shorter_list(fleet: &mut Fleet, id: &HostId, rng: &mut fastrand::Rng) {
    let mut shorter = fleet.list.clone();
    shorter.hosts.retain(|_| rng.u32(0..4) > 0);
    if let Some(host) = fleet.fleet.host_mut(id) {
        host.liveness.apply_host_list(&shorter);
    }
}

fn settle(fleet: &mut Fleet, actual: &ActualStates) {
    fleet.fleet.heal_all();
    fleet.fleet.set_faults(LinkFaults::default());
    for id in &actual.paused {
        fleet.fleet.resume(id);
    }
    for (_, host) in fleet.fleet.hosts_mut() {
        host.liveness.apply_host_list(&fleet.list);
    }
    fleet.run_s(SETTLE_S);
}

#[test]
fn detectors_agree_with_the_actual_states_once_faults_have_ended() {
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = start_fleet(SIZE, seed);
        let mut actual = ActualStates::default();
        fleet.run_s(20);
        for _ in 0..ACTIONS {
            act(&mut fleet, &mut actual, &mut rng);
            fleet.run_s(rng.u64(0..8));
            for (id, host) in fleet.fleet.hosts() {
                assert_eq!(host.liveness.state(id), PeerState::Alive, "of itself");
            }
        }
        settle(&mut fleet, &actual);
        for i in 0..SIZE {
            let views = fleet.views_of(&name(i));
            let expected = if actual.stopped.contains(&name(i)) {
                PeerState::Dead
            } else {
                PeerState::Alive
            };
            assert!(
                views.iter().all(|view| *view == expected),
                "seed {seed}, host {i}: {views:?} in place of {expected:?}"
            );
        }
    }
}

#[test]
fn the_same_seed_gives_the_same_events() {
    let history = |seed: u64| {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = start_fleet(SIZE, seed);
        let mut actual = ActualStates::default();
        let mut changes = Vec::new();
        for _ in 0..ACTIONS {
            act(&mut fleet, &mut actual, &mut rng);
            fleet.run_s(3);
            for (by, event) in fleet.events() {
                changes.push((by, event.host, event.to.name()));
            }
        }
        changes
    };
    let first = history(77);
    assert!(!first.is_empty());
    assert_eq!(first, history(77));
}
