//! Tests of hosts in virtual time: order of messages, pauses, kills and restarts.

use std::time::Duration;

use waxwingusher_core::{HostId, ManualClock};
use waxwingusher_protocol::Outgoing;
use waxwingusher_standins::{LinkFaults, VirtualFleet, VirtualHost};

const MESSAGE_BYTES: usize = 10;

/// Sends its tick number to a peer and records the messages that it receives.
struct Counter {
    peer: HostId,
    incarnation: u64,
    ticks: u32,
    received: Vec<(u64, u32)>,
}

impl VirtualHost for Counter {
    type Message = u32;

    fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn tick(&mut self) -> Vec<Outgoing<u32>> {
        self.ticks += 1;
        let to = self.peer.clone();
        let message = self.ticks;
        vec![Outgoing { to, message }]
    }

    fn on_message(&mut self, _: &HostId, incarnation: u64, message: &u32) -> Vec<Outgoing<u32>> {
        self.received.push((incarnation, *message));
        Vec::new()
    }

    fn wire_len_bytes(&self, _: &u32) -> usize {
        MESSAGE_BYTES
    }
}

fn id(name: &str) -> HostId {
    HostId::new(name)
}

fn counter(peer: &str, incarnation: u64) -> Counter {
    Counter {
        peer: id(peer),
        incarnation,
        ticks: 0,
        received: Vec::new(),
    }
}

fn pair() -> VirtualFleet<Counter> {
    let tick = Duration::from_millis(100);
    let mut fleet = VirtualFleet::new(1, LinkFaults::default(), ManualClock::new(), tick);
    fleet.start(&id("a"), counter("b", 1));
    fleet.start(&id("b"), counter("a", 2));
    fleet
}

fn received(fleet: &VirtualFleet<Counter>, name: &str) -> Vec<(u64, u32)> {
    fleet.host(&id(name)).expect("runs").received.clone()
}

#[test]
fn messages_arrive_between_ticks_and_bytes_are_counted() {
    let mut fleet = pair();
    fleet.run_for(Duration::from_secs(1));
    let expected: Vec<_> = (1..=9).map(|i| (1, i)).collect();
    assert_eq!(received(&fleet, "b"), expected);
    assert_eq!(fleet.sent_bytes(&id("a")), 10 * MESSAGE_BYTES as u64);
}

#[test]
fn a_paused_host_receives_its_queued_messages_when_it_resumes() {
    let mut fleet = pair();
    fleet.pause(&id("b"));
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(received(&fleet, "b"), Vec::new());
    assert_eq!(fleet.host(&id("b")).expect("is paused").ticks, 0);
    fleet.resume(&id("b"));
    assert_eq!(received(&fleet, "b").len(), 9);
}

#[test]
fn a_killed_host_sends_nothing_and_restarts_as_a_new_process() {
    let mut fleet = pair();
    fleet.step();
    fleet.kill(&id("a"));
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(received(&fleet, "b"), vec![(1, 1)]);
    fleet.start(&id("a"), counter("b", 7));
    fleet.run_for(Duration::from_millis(200));
    assert_eq!(received(&fleet, "b"), vec![(1, 1), (7, 1)]);
}

#[test]
fn a_cut_holds_in_one_direction_until_it_is_healed() {
    let mut fleet = pair();
    fleet.cut(&id("a"), &id("b"));
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(received(&fleet, "b"), Vec::new());
    assert_eq!(received(&fleet, "a").len(), 9);
    fleet.heal_all();
    fleet.run_for(Duration::from_millis(200));
    assert!(!received(&fleet, "b").is_empty());
}
