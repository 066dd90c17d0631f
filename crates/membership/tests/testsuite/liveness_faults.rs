//! Dead, paused, restarted and isolated hosts, and lossy links.

use waxwingusher_membership::liveness::PeerState;
use waxwingusher_standins::LinkFaults;

use crate::liveness_fleet::{Fleet, Observe, name, start_fleet};

const SIZE: usize = 40;

fn lossy(loss: f64) -> LinkFaults {
    LinkFaults {
        loss,
        duplication: 0.02,
        ..LinkFaults::default()
    }
}

#[test]
fn no_host_is_suspected_in_a_healthy_fleet() {
    let mut fleet = start_fleet(SIZE, 1);
    fleet.run_s(300);
    assert_eq!(fleet.suspected(), Vec::new());
    for i in 0..SIZE {
        let is_alive = |state: &PeerState| *state == PeerState::Alive;
        assert!(fleet.views_of(&name(i)).iter().all(is_alive));
    }
}

#[test]
fn a_dead_host_is_dead_everywhere_and_no_other_is_suspected() {
    for seed in 0..10 {
        let mut fleet = start_fleet(SIZE, seed);
        fleet.run_s(60);
        fleet.fleet.kill(&name(7));
        fleet.run_s(30);
        let is_dead = |state: &PeerState| *state == PeerState::Dead;
        assert!(fleet.views_of(&name(7)).iter().all(is_dead), "seed {seed}");
        assert!(fleet.suspected().iter().all(|(host, _)| *host == name(7)));
    }
}

#[test]
fn a_paused_host_is_suspected_but_suspects_no_other_when_it_resumes() {
    for seed in 0..10 {
        let mut fleet = start_fleet(SIZE, seed);
        fleet.run_s(60);
        fleet.events();
        fleet.fleet.pause(&name(7));
        fleet.run_s(10);
        fleet.fleet.resume(&name(7));
        fleet.run_s(20);
        let suspected = fleet.suspected();
        assert!(!suspected.is_empty());
        assert!(
            suspected
                .iter()
                .all(|(host, by)| *host == name(7) && *by != name(7))
        );
        let is_alive = |state: &PeerState| *state == PeerState::Alive;
        assert!(fleet.views_of(&name(7)).iter().all(is_alive), "seed {seed}");
    }
}

#[test]
fn a_resumed_host_does_not_declare_old_suspects_dead() {
    for seed in 0..10 {
        let mut fleet = start_fleet(SIZE, seed);
        fleet.run_s(60);
        fleet.fleet.pause(&name(7));
        let view = |fleet: &Fleet| {
            let host = fleet.fleet.host(&name(3)).expect("runs");
            host.liveness.state(&name(7))
        };
        while view(&fleet).is_usable() {
            fleet.fleet.step();
        }
        fleet.fleet.pause(&name(3));
        // Early enough that no running host declares it dead.
        fleet.run_s(1);
        fleet.fleet.resume(&name(7));
        fleet.run_s(9);
        fleet.events();
        fleet.fleet.resume(&name(3));
        fleet.run_s(20);
        let died = fleet.events().into_iter();
        let died: Vec<_> = died
            .filter(|(_, e)| e.host != name(3) && e.to == PeerState::Dead)
            .collect();
        assert_eq!(died, Vec::new(), "seed {seed}");
    }
}

#[test]
fn a_restarted_host_is_known_with_its_new_process() {
    for down_s in [0, 2, 30] {
        let mut fleet = start_fleet(SIZE, 4);
        fleet.run_s(60);
        fleet.fleet.kill(&name(7));
        fleet.run_s(down_s);
        fleet.start(&name(7));
        fleet.run_s(30);
        let is_alive = |state: &PeerState| *state == PeerState::Alive;
        assert!(fleet.views_of(&name(7)).iter().all(is_alive), "{down_s} s");
        fleet.fleet.kill(&name(7));
        fleet.run_s(30);
        let is_dead = |state: &PeerState| *state == PeerState::Dead;
        assert!(fleet.views_of(&name(7)).iter().all(is_dead), "{down_s} s");
    }
}

#[test]
fn a_new_host_that_fails_soon_is_detected_everywhere() {
    for seed in 0..3 {
        let mut fleet = start_fleet(300, seed);
        fleet.run_s(20);
        fleet.fleet.kill(&name(7));
        fleet.run_s(12);
        let is_detected = |state: &PeerState| !state.is_usable();
        assert!(
            fleet.views_of(&name(7)).iter().all(is_detected),
            "seed {seed}"
        );
    }
}

#[test]
fn a_one_way_cut_between_two_hosts_makes_neither_suspect() {
    let mut fleet = start_fleet(SIZE, 5);
    fleet.fleet.cut(&name(0), &name(4));
    fleet.run_s(300);
    assert_eq!(fleet.suspected(), Vec::new());
}

#[test]
fn a_host_that_receives_nothing_suspects_no_other() {
    let mut fleet = start_fleet(SIZE, 6);
    fleet.run_s(60);
    for i in 1..SIZE {
        fleet.fleet.cut(&name(i), &name(0));
    }
    fleet.events();
    fleet.run_s(60);
    assert!(fleet.suspected().iter().all(|(host, _)| *host == name(0)));
    fleet.fleet.heal_all();
    fleet.run_s(30);
    let is_alive = |state: &PeerState| *state == PeerState::Alive;
    assert!(fleet.views_of(&name(0)).iter().all(is_alive));
}

#[test]
fn a_partitioned_fleet_recovers() {
    let mut fleet = start_fleet(SIZE, 8);
    fleet.run_s(60);
    for i in 0..SIZE / 2 {
        for j in SIZE / 2..SIZE {
            fleet.fleet.cut(&name(i), &name(j));
            fleet.fleet.cut(&name(j), &name(i));
        }
    }
    fleet.run_s(120);
    assert_eq!(
        fleet
            .fleet
            .host(&name(0))
            .unwrap()
            .liveness
            .state(&name(39)),
        PeerState::Dead
    );
    fleet.fleet.heal_all();
    fleet.run_s(180);
    for i in 0..SIZE {
        let is_alive = |state: &PeerState| *state == PeerState::Alive;
        assert!(fleet.views_of(&name(i)).iter().all(is_alive), "host {i}");
    }
}

#[test]
fn the_bytes_stay_within_the_budget_when_most_hosts_are_down() {
    const BUDGET_BYTES_PER_S: u64 = 400;
    const SECONDS: u64 = 200;
    let mut fleet = start_fleet(100, 14);
    fleet.fleet.set_faults(lossy(0.2));
    for i in 10..100 {
        fleet.fleet.kill(&name(i));
    }
    fleet.run_s(SECONDS);
    for i in 0..10 {
        let sent = fleet.fleet.sent_bytes(&name(i));
        assert!(sent <= BUDGET_BYTES_PER_S * SECONDS, "host {i}: {sent}");
    }
}

#[test]
fn loss_makes_no_host_dead() {
    for (loss, seed) in [(0.01, 9), (0.2, 10), (0.2, 11)] {
        let mut fleet = start_fleet(SIZE, seed);
        fleet.fleet.set_faults(lossy(loss));
        fleet.run_s(600);
        let died = fleet.events().into_iter();
        let died: Vec<_> = died.filter(|(_, e)| e.to == PeerState::Dead).collect();
        assert_eq!(died, Vec::new(), "loss {loss}, seed {seed}");
    }
}

#[test]
fn an_unlisted_host_is_known_after_a_message_and_a_removed_one_is_forgotten() {
    let mut fleet = start_fleet(SIZE, 12);
    fleet.start(&name(SIZE));
    fleet.run_s(60);
    let is_alive = |state: &PeerState| *state == PeerState::Alive;
    assert!(fleet.views_of(&name(SIZE)).iter().any(is_alive));
    let mut shorter = fleet.list.clone();
    shorter.hosts.retain(|entry| entry.id != name(7));
    let host = fleet.fleet.host_mut(&name(0)).expect("runs");
    assert_eq!(host.liveness.state(&name(7)), PeerState::Alive);
    host.liveness.apply_host_list(&shorter);
    assert_eq!(host.liveness.state(&name(7)), PeerState::Unknown);
}

#[test]
fn two_hosts_detect_each_others_failure() {
    let mut fleet = start_fleet(2, 13);
    fleet.run_s(10);
    fleet.fleet.kill(&name(1));
    fleet.run_s(20);
    assert_eq!(fleet.views_of(&name(1)), vec![PeerState::Dead]);
}
