//! Rates over a fleet whose hosts each keep a replica of every bucket.

use std::time::{Duration, Instant};

use waxwingusher_core::WorkspaceName;
use waxwingusher_limits::{
    Admissions, FleetView, PeerCounts, ReplicatedLimits, ReplicatedSettings,
};

const RATE_PER_S: f64 = 40.0;
const BURST: f64 = 40.0;
/// The excess over rate and burst that a deployment tolerates in a window.
const OVERSHOOT: f64 = 0.25;
const SLACK: f64 = 20.0;
const WINDOW: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(10);

/// Hosts that each know all others and reach those of their own side.
struct Fleet {
    hosts: Vec<ReplicatedLimits>,
    /// The side of each host; hosts of different sides do not reach each other.
    sides: Vec<usize>,
    peer_counts: Vec<Vec<PeerCounts>>,
    /// A host whose process does not run.
    paused: Option<usize>,
    name: WorkspaceName,
    now: Instant,
    admitted: Vec<Instant>,
    refused: usize,
    /// Whether a host has admitted a request from a bucket that is running low.
    is_running_low: bool,
}

impl Fleet {
    fn new(hosts: usize) -> Self {
        let now = Instant::now();
        let name = WorkspaceName::new("acme");
        let mut fleet = Self {
            hosts: Vec::new(),
            sides: vec![0; hosts],
            peer_counts: (0..hosts).map(|_| new_peer_counts(hosts)).collect(),
            paused: None,
            name,
            now,
            admitted: Vec::new(),
            refused: 0,
            is_running_low: false,
        };
        for _ in 0..hosts {
            let mut limits = ReplicatedLimits::new(ReplicatedSettings::default());
            limits.set_limit(now, &fleet.name, RATE_PER_S, BURST);
            fleet.hosts.push(limits);
        }
        fleet
    }

    fn view(&self, host: usize) -> FleetView {
        let side = self.sides[host];
        FleetView {
            reachable_hosts: self.sides.iter().filter(|other| **other == side).count(),
            known_hosts: self.hosts.len(),
        }
    }

    fn request(&mut self, host: usize) {
        let view = self.view(host);
        match self.hosts[host].admit(self.now, &self.name, view) {
            Ok(admitted) => {
                self.admitted.push(self.now);
                self.is_running_low |= admitted.is_running_low;
            }
            Err(_) => self.refused += 1,
        }
    }

    /// Reports the admissions of each host to the others of its side.
    fn send_heartbeats(&mut self) {
        for sender in 0..self.hosts.len() {
            let mut admitted = self.hosts[sender].admitted(self.now);
            let Some((_, reported)) = admitted.next() else {
                continue;
            };
            drop(admitted);
            for receiver in 0..self.hosts.len() {
                let is_cut_off = self.sides[receiver] != self.sides[sender];
                let is_paused = [Some(receiver), Some(sender)].contains(&self.paused);
                if receiver == sender || is_cut_off || is_paused {
                    continue;
                }
                let new_admissions =
                    self.peer_counts[receiver][sender].record(self.now, false, [(0, reported)]);
                let new_admissions = new_admissions.first().map_or(0, |(_, count)| *count);
                let view = self.view(receiver);
                self.hosts[receiver].debit(self.now, &self.name, new_admissions, view);
            }
        }
    }

    /// Sends `per_s` requests per second to random hosts, with heartbeats every
    /// 400 ms, or every 50 ms while a bucket is running low.
    fn run(&mut self, seconds: u32, per_s: f64, rng: &mut fastrand::Rng) {
        let steps = seconds * 100;
        for step in 0..steps {
            self.now += STEP;
            let mut due = per_s * STEP.as_secs_f64();
            while rng.f64() < due {
                let host = rng.usize(..self.hosts.len());
                if self.paused != Some(host) {
                    self.request(host);
                }
                due -= 1.0;
            }
            let is_running_low = step % 5 == 4 && std::mem::take(&mut self.is_running_low);
            if step % 40 == 39 || is_running_low {
                self.send_heartbeats();
            }
        }
    }

    fn max_in_window(&self) -> usize {
        let starts = self.admitted.iter().enumerate();
        let counts = starts.map(|(first, start)| {
            let in_window = |at: &&Instant| **at < *start + WINDOW;
            self.admitted[first..].iter().take_while(in_window).count()
        });
        counts.max().unwrap_or(0)
    }
}

fn new_peer_counts(hosts: usize) -> Vec<PeerCounts> {
    (0..hosts).map(|_| PeerCounts::default()).collect()
}

fn bound() -> f64 {
    (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERSHOOT) + SLACK
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn assert_within_bound(fleet: &Fleet, context: &str) {
    let max = fleet.max_in_window() as f64;
    assert!(max <= bound(), "{context}: {max} of {}", bound());
}

/// Covers one workspace that sends several times its rate to all hosts.
#[test]
fn a_workspace_that_sends_eight_times_its_rate_stays_within_the_tolerance() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(32);
        let mut rng = fastrand::Rng::with_seed(seed);
        fleet.run(4, RATE_PER_S * 0.6, &mut rng);
        fleet.run(8, RATE_PER_S * 8.0, &mut rng);
        fleet.run(8, RATE_PER_S * 0.6, &mut rng);
        fleet.run(8, RATE_PER_S * 8.0, &mut rng);
        assert_within_bound(&fleet, &format!("seed {seed}"));
    }
}

/// Covers normal load, with the rate well above what is sent.
#[test]
fn a_workspace_within_its_rate_is_not_refused() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(32);
        let mut rng = fastrand::Rng::with_seed(seed);
        fleet.run(20, RATE_PER_S * 0.6, &mut rng);
        assert_eq!(fleet.refused, 0, "seed {seed}");
    }
}

/// Covers hosts that are cut off from each other while callers reach all of them.
#[test]
fn the_parts_of_a_partitioned_fleet_stay_within_the_tolerance_together() {
    for sides in [2, 3, 32] {
        let mut fleet = Fleet::new(32);
        let mut rng = fastrand::Rng::with_seed(sides as u64);
        fleet.run(4, RATE_PER_S * 0.6, &mut rng);
        for host in 0..fleet.hosts.len() {
            fleet.sides[host] = host % sides;
        }
        fleet.run(12, RATE_PER_S * 4.0, &mut rng);
        fleet.sides.fill(0);
        fleet.run(8, RATE_PER_S * 4.0, &mut rng);
        assert_within_bound(&fleet, &format!("{sides} sides"));
    }
}

/// Guards against refusals after a pause: hosts debited at once all that the
/// others had admitted meanwhile, and refused their callers for four seconds.
#[test]
fn a_host_refuses_nothing_within_the_rate_after_a_pause() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(32);
        let mut rng = fastrand::Rng::with_seed(seed);
        fleet.run(5, RATE_PER_S * 0.6, &mut rng);
        fleet.paused = Some(3);
        fleet.run(10, RATE_PER_S * 0.6, &mut rng);
        fleet.paused = None;
        fleet.run(5, RATE_PER_S * 0.6, &mut rng);
        assert_eq!(fleet.refused, 0, "seed {seed}");
    }
}

/// Covers hosts that are restarted in turn while the others have served for long.
#[test]
fn a_restarted_host_refuses_nothing_within_the_rate() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(32);
        let mut rng = fastrand::Rng::with_seed(seed);
        fleet.run(60, RATE_PER_S * 0.6, &mut rng);
        fleet.hosts[3] = ReplicatedLimits::new(ReplicatedSettings::default());
        fleet.hosts[3].set_limit(fleet.now, &fleet.name, RATE_PER_S, BURST);
        fleet.peer_counts[3] = new_peer_counts(32);
        for receiver in &mut fleet.peer_counts {
            receiver[3] = PeerCounts::after_restart(fleet.now);
        }
        fleet.run(20, RATE_PER_S * 0.6, &mut rng);
        assert_eq!(fleet.refused, 0, "seed {seed}");
    }
}

#[test]
fn a_fleet_refuses_nothing_within_the_rate_after_a_partition() {
    let mut fleet = Fleet::new(32);
    let mut rng = fastrand::Rng::with_seed(1);
    fleet.run(5, RATE_PER_S * 0.6, &mut rng);
    for host in 0..fleet.hosts.len() {
        fleet.sides[host] = host % 2;
    }
    fleet.run(20, RATE_PER_S * 0.6, &mut rng);
    fleet.sides.fill(0);
    fleet.refused = 0;
    fleet.run(10, RATE_PER_S * 0.6, &mut rng);
    assert_eq!(fleet.refused, 0);
}

#[test]
fn a_peers_totals_count_once_and_only_while_it_is_reachable() {
    let start = Instant::now();
    let mut counts = PeerCounts::default();
    let mut record = |after_ms, total, recent| {
        let now = start + Duration::from_millis(after_ms);
        let new_admissions = counts.record(now, false, [(1, Admissions { total, recent })]);
        new_admissions.first().map_or(0, |(_, count)| *count)
    };
    assert_eq!(record(0, 1_000, 3), 0, "admitted before its first message");
    assert_eq!(record(400, 1_000, 3), 0, "reported again");
    assert_eq!(record(800, 1_004, 6), 4);
    assert_eq!(record(1_200, 1_002, 4), 0, "a late message");
    assert_eq!(record(9_000, 1_100, 7), 0, "admitted during a silence");
    assert_eq!(record(9_400, 1_101, 7), 1);
    // This host's clock was stopped meanwhile; one of the nine was debited before.
    assert_eq!(record(9_800, 1_300, 9), 8);
}

/// Guards against an excessive debit after a pause: a host read the messages of
/// five seconds within a few milliseconds.
#[test]
fn messages_queued_during_a_pause_debit_little() {
    let start = Instant::now();
    let pause_end = start + Duration::from_secs(5);
    for resumed_at in [pause_end, start + Duration::from_millis(400)] {
        let mut counts = PeerCounts::after_restart(start);
        let first = Admissions {
            total: 4,
            recent: 4,
        };
        assert_eq!(counts.record(start, false, [(1, first)]), [(1, 4)]);
        let mut debited = 0;
        // Ten messages, each of them with four more admissions.
        for number in 2..12 {
            let reported = Admissions {
                total: number * 4,
                recent: 10,
            };
            let new_admissions =
                counts.record(resumed_at, resumed_at == pause_end, [(1, reported)]);
            debited += new_admissions.first().map_or(0, |(_, count)| *count);
        }
        // If the clock was stopped as well, only the window bounds the debit.
        assert!(
            debited <= if resumed_at == pause_end { 0 } else { 10 },
            "{debited}"
        );
    }
}

/// Covers a host that resumes while a workspace exceeds its rate at all others.
#[test]
fn a_bucket_is_not_refilled_for_a_pause() {
    let (now, name) = (Instant::now(), WorkspaceName::new("acme"));
    let view = FleetView {
        reachable_hosts: 4,
        known_hosts: 4,
    };
    let mut limits = ReplicatedLimits::new(ReplicatedSettings::default());
    limits.set_limit(now, &name, RATE_PER_S, BURST);
    while limits.admit(now, &name, view).is_ok() {}
    let pause = Duration::from_secs(5);
    limits.exclude_pause(now + pause, pause);
    assert!(limits.admit(now + pause, &name, view).is_err());
    let later = now + pause + Duration::from_secs(1);
    assert!(limits.admit(later, &name, view).is_ok());
}

#[test]
fn all_that_a_restarted_peer_admits_counts() {
    let now = Instant::now();
    let mut counts = PeerCounts::after_restart(now);
    let reported = Admissions {
        total: 2,
        recent: 2,
    };
    assert_eq!(
        counts.record(now, false, [(1, reported), (2, reported)]),
        [(1, 2), (2, 2)]
    );
}

#[test]
fn a_rate_of_zero_is_no_limit_and_a_lower_rate_binds_at_once() {
    let (now, name) = (Instant::now(), WorkspaceName::new("acme"));
    let view = FleetView {
        reachable_hosts: 1,
        known_hosts: 1,
    };
    let mut limits = ReplicatedLimits::new(ReplicatedSettings::default());
    limits.set_limit(now, &name, 0.0, 0.0);
    for _ in 0..1_000 {
        limits.admit(now, &name, view).expect("no limit");
    }
    limits.set_limit(now, &name, 5.0, 2.0);
    let admitted = (0..100)
        .filter(|_| limits.admit(now, &name, view).is_ok())
        .count();
    assert!(admitted <= 2, "{admitted}");
}

#[test]
fn refused_callers_get_increasing_retry_times() {
    let (now, name) = (Instant::now(), WorkspaceName::new("acme"));
    let view = FleetView {
        reachable_hosts: 1,
        known_hosts: 1,
    };
    let mut limits = ReplicatedLimits::new(ReplicatedSettings::default());
    limits.set_limit(now, &name, 10.0, 1.0);
    limits.admit(now, &name, view).expect("the first token");
    let times: Vec<Duration> = (0..5)
        .map(|_| {
            limits
                .admit(now, &name, view)
                .expect_err("no token")
                .retry_after
        })
        .collect();
    assert!(
        times.is_sorted_by(|former, next| former < next),
        "{times:?}"
    );
}

#[test]
fn a_refunded_token_can_be_taken_again() {
    let (now, name) = (Instant::now(), WorkspaceName::new("acme"));
    let view = FleetView {
        reachable_hosts: 1,
        known_hosts: 1,
    };
    let mut limits = ReplicatedLimits::new(ReplicatedSettings::default());
    limits.set_limit(now, &name, 1.0, 1.0);
    limits.admit(now, &name, view).expect("the first token");
    limits.refund(&name);
    let reported = limits.admitted(now).next().map(|(_, reported)| reported);
    assert_eq!(reported.map(|reported| reported.total), Some(0));
    limits.admit(now, &name, view).expect("the token is back");
}
