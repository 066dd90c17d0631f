//! How one host merges updates: order, refutations, late and duplicate messages.

use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use waxwingusher_core::{HostId, ManualClock};
use waxwingusher_membership::liveness::{Liveness, LivenessSettings, PeerState};
use waxwingusher_protocol::gossip::{GossipMessage, LivenessUpdate, ReportedLiveness};

use crate::liveness_fleet::{list, name};

const OWN_INCARNATION: u64 = 5;

fn host() -> (Liveness, ManualClock) {
    let clock = ManualClock::new();
    let settings = LivenessSettings::default();
    let mut liveness = Liveness::new(
        name(0),
        OWN_INCARNATION,
        Arc::new(clock.clone()),
        1,
        settings,
    );
    liveness.apply_host_list(&list(10));
    (liveness, clock)
}

fn update(
    i: usize,
    incarnation: u64,
    refutation: u32,
    liveliness: ReportedLiveness,
) -> LivenessUpdate {
    LivenessUpdate {
        host: name(i),
        incarnation,
        refutation,
        liveliness,
    }
}

fn receive(liveness: &mut Liveness, update: LivenessUpdate) {
    let updates = vec![update];
    liveness.on_message(&name(9), 1, &GossipMessage::Push { updates });
}

#[test]
fn only_a_higher_refutation_clears_a_suspicion() {
    let (mut liveness, _) = host();
    receive(&mut liveness, update(1, 7, 0, ReportedLiveness::Alive));
    assert_eq!(liveness.state(&name(1)), PeerState::Alive);
    receive(&mut liveness, update(1, 7, 0, ReportedLiveness::Suspect));
    receive(&mut liveness, update(1, 7, 0, ReportedLiveness::Alive));
    assert_matches!(liveness.state(&name(1)), PeerState::Suspect { .. });
    receive(&mut liveness, update(1, 7, 1, ReportedLiveness::Alive));
    assert_eq!(liveness.state(&name(1)), PeerState::Alive);
    receive(&mut liveness, update(1, 7, 0, ReportedLiveness::Suspect));
    assert_eq!(liveness.state(&name(1)), PeerState::Alive);
    receive(&mut liveness, update(1, 7, 1, ReportedLiveness::Dead));
    receive(&mut liveness, update(1, 7, 1, ReportedLiveness::Suspect));
    assert_eq!(liveness.state(&name(1)), PeerState::Dead);
}

#[test]
fn an_update_on_a_former_process_does_not_affect_the_current_one() {
    let (mut liveness, _) = host();
    let push = GossipMessage::Push {
        updates: Vec::new(),
    };
    liveness.on_message(&name(1), 7, &push);
    liveness.on_message(&name(1), 8, &push);
    for liveliness in [
        ReportedLiveness::Suspect,
        ReportedLiveness::Dead,
        ReportedLiveness::Alive,
    ] {
        receive(&mut liveness, update(1, 7, 9, liveliness));
        assert_eq!(liveness.state(&name(1)), PeerState::Alive);
    }
    receive(&mut liveness, update(1, 8, 0, ReportedLiveness::Suspect));
    assert_matches!(liveness.state(&name(1)), PeerState::Suspect { .. });
}

#[test]
fn a_suspected_host_refutes_in_its_answer_with_a_higher_number() {
    let (mut liveness, _) = host();
    for (reported, refuted) in [(0, 1), (0, 1), (4, 5)] {
        let ping = GossipMessage::Ping {
            probe: 3,
            updates: vec![update(0, OWN_INCARNATION, reported, ReportedLiveness::Dead)],
        };
        let answers = liveness.on_message(&name(9), 1, &ping);
        let [answer] = &answers[..] else {
            panic!("{answers:?}");
        };
        assert_eq!(answer.to, name(9));
        let refutation = update(0, OWN_INCARNATION, refuted, ReportedLiveness::Alive);
        assert_matches!(&answer.message, GossipMessage::Ack { probe: 3, .. });
        assert_eq!(answer.message.updates()[0], refutation);
    }
    let former = update(0, OWN_INCARNATION + 1, 4, ReportedLiveness::Dead);
    let ping = GossipMessage::Ping {
        probe: 4,
        updates: vec![former],
    };
    let answers = liveness.on_message(&name(9), 1, &ping);
    let own = |update: &LivenessUpdate| update.incarnation == OWN_INCARNATION;
    assert!(answers[0].message.updates().iter().all(own));
}

#[test]
fn a_suspect_is_declared_dead_at_the_timeout_and_not_before() {
    let (mut liveness, clock) = host();
    receive(&mut liveness, update(1, 7, 0, ReportedLiveness::Suspect));
    let timeout = LivenessSettings::default().suspicion_timeout;
    let step = Duration::from_millis(100);
    while clock.elapsed() + step < timeout {
        clock.advance(step);
        liveness.tick();
        assert_matches!(liveness.state(&name(1)), PeerState::Suspect { .. });
    }
    clock.advance(step);
    liveness.tick();
    assert_eq!(liveness.state(&name(1)), PeerState::Dead);
}

#[test]
fn a_pause_of_this_process_does_not_count_towards_the_suspicion_timeout() {
    let (mut liveness, clock) = host();
    receive(&mut liveness, update(1, 7, 0, ReportedLiveness::Suspect));
    clock.advance(Duration::from_secs(600));
    liveness.tick();
    assert_matches!(liveness.state(&name(1)), PeerState::Suspect { .. });
    for _ in 0..5 {
        clock.advance(Duration::from_secs(1));
        liveness.tick();
    }
    assert_eq!(liveness.state(&name(1)), PeerState::Dead);
}

#[test]
fn a_message_of_a_dead_host_is_answered_with_its_state_but_does_not_revive_it() {
    let (mut liveness, _) = host();
    receive(&mut liveness, update(1, 7, 2, ReportedLiveness::Dead));
    let ping = GossipMessage::Ping {
        probe: 1,
        updates: Vec::new(),
    };
    let answers = liveness.on_message(&name(1), 7, &ping);
    assert_eq!(liveness.state(&name(1)), PeerState::Dead);
    let report = update(1, 7, 2, ReportedLiveness::Dead);
    assert!(answers[0].message.updates().contains(&report));
}

#[test]
fn unlisted_hosts_are_not_learned_from_updates() {
    let (mut liveness, _) = host();
    receive(&mut liveness, update(50, 7, 0, ReportedLiveness::Alive));
    assert_eq!(liveness.state(&name(50)), PeerState::Unknown);
    assert!(liveness.events().iter().all(|event| event.host != name(50)));
}

#[test]
fn a_joining_host_learns_which_peers_are_not_usable() {
    let (mut liveness, _) = host();
    receive(&mut liveness, update(1, 7, 0, ReportedLiveness::Dead));
    receive(&mut liveness, update(2, 7, 0, ReportedLiveness::Suspect));
    receive(&mut liveness, update(3, 7, 1, ReportedLiveness::Alive));
    let answers = liveness.on_message(&name(4), 1, &GossipMessage::Join { probe: 8 });
    let received: Vec<&HostId> = answers[0]
        .message
        .updates()
        .iter()
        .map(|update| &update.host)
        .collect();
    assert_eq!(received, vec![&name(1), &name(2)]);
}
