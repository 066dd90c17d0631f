//! Which hosts read the source: few while all is well, others soon when they stop.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_membership::seeded::readers::{READERS, ReaderSchedule, reader_rank};

const HOSTS: u8 = 250;
const STEP: Duration = Duration::from_millis(50);
/// The interval of a reader's updates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(400);

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

/// A fleet whose hosts pass updates on at once.
struct Fleet {
    now: Instant,
    schedules: Vec<ReaderSchedule>,
    /// Hosts that no longer run, though the others still count them as reachable.
    dead: Vec<u8>,
    /// Hosts that the source turns away.
    refused: Vec<u8>,
    last_update_at: Instant,
    calls: usize,
}

impl Fleet {
    fn new() -> Self {
        let now = Instant::now();
        let mut schedules: Vec<ReaderSchedule> =
            (0..HOSTS).map(|_| ReaderSchedule::default()).collect();
        for schedule in &mut schedules {
            schedule.record_listing(now);
        }
        Self {
            now,
            schedules,
            dead: Vec::new(),
            refused: Vec::new(),
            last_update_at: now,
            calls: 0,
        }
    }

    fn rank(host: u8) -> usize {
        let peers = (0..HOSTS).filter(|peer| *peer != host);
        reader_rank(addr(host), peers.map(addr))
    }

    /// Runs for a time; each host that must read calls the source in each step.
    fn run(&mut self, time: Duration) {
        let ranks: Vec<usize> = (0..HOSTS).map(Self::rank).collect();
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let mut reader = None;
            for host in (0..HOSTS).filter(|host| !self.dead.contains(host)) {
                let index = usize::from(host);
                let reads_from = self.schedules[index].reads_from(ranks[index]);
                if reads_from.is_some_and(|at| self.now < at) {
                    continue;
                }
                self.calls += 1;
                if !self.refused.contains(&host) {
                    let first = reader.get_or_insert(host);
                    if ranks[index] < ranks[usize::from(*first)] {
                        *first = host;
                    }
                }
            }
            let Some(reader) = reader else {
                continue;
            };
            if self.now - self.last_update_at < UPDATE_INTERVAL {
                continue;
            }
            self.last_update_at = self.now;
            for (host, schedule) in (0..HOSTS).zip(&mut self.schedules) {
                if host != reader {
                    schedule.record_update(self.now, addr(host), addr(reader));
                }
            }
        }
    }

    fn readers(&self) -> Vec<u8> {
        (0..HOSTS)
            .filter(|host| Self::rank(*host) < READERS)
            .collect()
    }
}

/// Each of 292 hosts watched the store by itself, which took up to half of a day's
/// worth in calls.
#[test]
fn only_a_few_hosts_read_while_their_updates_arrive() {
    let mut fleet = Fleet::new();
    assert_eq!(fleet.readers().len(), READERS);
    let time = Duration::from_secs(10);
    fleet.run(time);
    let steps = usize::try_from(time.as_millis() / STEP.as_millis()).expect("few steps");
    assert_eq!(fleet.calls, READERS * steps);
}

#[test]
fn when_all_readers_stop_others_read_within_a_second() {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(2));
    fleet.dead = fleet.readers();
    fleet.run(Duration::from_millis(1_500));
    let silence = fleet.now - fleet.last_update_at;
    assert!(silence < UPDATE_INTERVAL + 2 * STEP, "{silence:?}");
}

#[test]
fn when_the_source_refuses_the_readers_others_take_over() {
    let mut fleet = Fleet::new();
    fleet.refused = fleet.readers();
    fleet.run(Duration::from_secs(3));
    let silence = fleet.now - fleet.last_update_at;
    assert!(silence < Duration::from_millis(1_400), "{silence:?}");
}

#[test]
fn one_host_replaces_readers_that_the_source_refuses_for_long() {
    let mut fleet = Fleet::new();
    fleet.refused = fleet.readers();
    fleet.run(Duration::from_secs(5));
    fleet.calls = 0;
    let time = Duration::from_secs(10);
    fleet.run(time);
    let steps = usize::try_from(time.as_millis() / STEP.as_millis()).expect("few steps");
    assert_eq!(fleet.calls, (READERS + 1) * steps);
}

/// During an outage of the source all hosts called it at the same moment.
#[test]
fn hosts_that_lose_their_readers_together_do_not_read_together() {
    let mut fleet = Fleet::new();
    fleet.refused = (0..HOSTS).collect();
    fleet.run(Duration::from_millis(1_500));
    let most = READERS + usize::from(HOSTS) / 5;
    let waiting = fleet
        .schedules
        .iter()
        .zip(0..HOSTS)
        .filter(|(schedule, host)| {
            let reads_from = schedule.reads_from(Fleet::rank(*host));
            reads_from.is_some_and(|at| fleet.now < at)
        })
        .count();
    assert!(usize::from(HOSTS) - waiting <= most, "{waiting} wait");
}

#[test]
fn a_host_that_reaches_no_peer_reads_at_once() {
    let schedule = ReaderSchedule::default();
    assert_eq!(schedule.reads_from(reader_rank(addr(1), [])), None);
    assert_eq!(ReaderSchedule::default().reads_from(200), None);
}
