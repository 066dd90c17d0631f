//! A fleet under more load than a service can take, in virtual time. Each host has its
//! own view, and sees the loads of others late.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, FeedPosition, InstanceId, ServiceName, WorkspaceName};
use waxwingusher_limits::{FairShares, QueuePosition, WaitQueue, WaitTerms};
use waxwingusher_upstreams::{
    Evidence, HostView, LoadSharing, Observation, PlacementError, PlacementRequest, RequestKind,
    Roster, RosterEntry, RosterState, ScarcityLevel, ScarcityMonitor, place,
};

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
const STEP: Duration = Duration::from_millis(1);
/// How late hosts of the same failure domain learn of loads.
const LOCAL_REPORT_STEPS: u32 = 5;
/// How late hosts of other failure domains do.
const REMOTE_REPORT_STEPS: u32 = 400;
/// As in the gateway: the time without a message after which a host is unreachable.
const SILENT_AFTER: Duration = Duration::from_millis(1_600);
/// How often a host tries to place requests that wait.
const RETRY_STEPS: u32 = 20;
/// As in the gateway: the weight of a new latency, and the first estimate.
const LATENCY_WEIGHT: f64 = 0.1;
const INITIAL_LATENCY_SHARE: f64 = 0.33;
/// As in the gateway without load sharing: the longest wait at a host.
const MAX_QUEUE_WAIT_SHARE: f64 = 0.5;
/// An instance rejects requests beyond this multiple of its slots.
const MAX_AT_INSTANCE: usize = 4;
const MAX_ATTEMPTS: u32 = 3;
/// Longer than any test.
const FAR: Duration = Duration::from_secs(3_600);
/// How long requests arrive after those that are judged.
const TAIL: Duration = Duration::from_secs(1);
/// The time after the last arrival in which requests are answered.
const DRAIN: Duration = Duration::from_secs(7);

const WORKSPACES: usize = 20;

/// A kind of request to the service.
#[derive(Debug, Clone, Copy)]
struct Kind {
    priority: u32,
    requests_per_s: f64,
    work: Duration,
    latency_target: Duration,
    is_idempotent: bool,
}

/// What the callers of a kind got.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    sent: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

impl Tally {
    fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    kind: usize,
    workspace: usize,
    is_over_share: bool,
    arrived_at: Instant,
    attempts: u32,
    is_judged: bool,
}

struct Waiting {
    request: Request,
    position: QueuePosition,
    give_up_at: Instant,
}

struct Host {
    addr: SocketAddr,
    domain: usize,
    evidence: Evidence,
    queue: WaitQueue,
    monitor: ScarcityMonitor,
    shares: FairShares,
    /// By workspace, the admissions that are not yet reported.
    unreported: Vec<u32>,
    waiting: Vec<Waiting>,
    /// The usual time of each kind.
    latencies_s: Vec<f64>,
    changed_local: BTreeSet<usize>,
    changed_remote: BTreeSet<usize>,
    /// The part of the fleet with which it exchanges reports.
    part: usize,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    host: usize,
    request: Request,
    sent_at: Instant,
}

#[derive(Default)]
struct Instance {
    running: Vec<(Instant, Run)>,
    queued: VecDeque<Run>,
}

struct Settings {
    hosts: usize,
    instances: usize,
    slots: u32,
    kinds: Vec<Kind>,
    is_sharing: bool,
    seed: u64,
}

struct Fleet {
    settings: Settings,
    service: ServiceName,
    domains: Vec<FailureDomain>,
    start: Instant,
    now: Instant,
    judged_until: Instant,
    arrivals_until: Instant,
    roster: Roster,
    ids: Vec<InstanceId>,
    hosts: Vec<Host>,
    instances: Vec<Instance>,
    tallies: Vec<Tally>,
    workspaces: Vec<WorkspaceName>,
    /// The requests of each workspace in relation to the others.
    weights: Vec<f64>,
    workspace_tallies: Vec<Tally>,
    rng: fastrand::Rng,
    /// The share of requests that instances reject.
    rejected_share: f64,
    /// Since when no reports arrive.
    reports_lost_at: Option<Instant>,
    /// The level changes of all hosts.
    level_changes: u32,
}

impl Fleet {
    fn new(settings: Settings) -> Self {
        let start = Instant::now();
        let domains: Vec<FailureDomain> = DOMAINS
            .iter()
            .map(|name| FailureDomain::new(name))
            .collect();
        let ids: Vec<InstanceId> = (0..settings.instances)
            .map(|number| InstanceId::new(&format!("i-{number}")))
            .collect();
        let entries = ids.iter().enumerate().map(|(number, id)| RosterEntry {
            id: id.clone(),
            incarnation: 1,
            service: ServiceName::new("svc"),
            addr: "127.0.0.1:80".parse().expect("an address"),
            failure_domain: domains[number % DOMAINS.len()].clone(),
            software: Arc::from("v1"),
            slots: settings.slots,
            state: RosterState::Ready,
            cold_for: Duration::ZERO,
        });
        let mut roster = Roster::default();
        roster.replace(start, entries.collect(), FeedPosition::new(0, 1));
        let hosts = (0..settings.hosts).map(|number| Host::new(number, &settings.kinds));
        Self {
            service: ServiceName::new("svc"),
            domains,
            start,
            now: start,
            judged_until: start + FAR,
            arrivals_until: start + FAR,
            roster,
            ids,
            hosts: hosts.collect(),
            instances: (0..settings.instances)
                .map(|_| Instance::default())
                .collect(),
            tallies: vec![Tally::default(); settings.kinds.len()],
            workspaces: (0..WORKSPACES)
                .map(|number| WorkspaceName::new(&format!("w-{number}")))
                .collect(),
            weights: vec![1.0; WORKSPACES],
            workspace_tallies: vec![Tally::default(); WORKSPACES],
            rng: fastrand::Rng::with_seed(settings.seed),
            rejected_share: 0.0,
            reports_lost_at: None,
            level_changes: 0,
            settings,
        }
    }

    /// Runs for some time, and then until all requests are answered.
    fn run(&mut self, time: Duration) {
        self.advance(time);
        self.judged_until = self.now;
        self.advance(TAIL);
        self.arrivals_until = self.now;
        self.advance(DRAIN);
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let elapsed = self.now - self.start;
            let step = u32::try_from(elapsed.as_millis()).expect("a short time");
            self.end_work();
            let kinds = self.settings.kinds.len();
            let has_arrivals = self.now <= self.arrivals_until;
            for kind in (0..kinds).filter(|_| has_arrivals) {
                let mut expected = self.settings.kinds[kind].requests_per_s * STEP.as_secs_f64();
                while self.rng.f64() < expected {
                    self.arrive(kind);
                    expected -= 1.0;
                }
            }
            self.exchange(step);
            for host in 0..self.hosts.len() {
                let phase = u32::try_from(host).expect("few hosts");
                if (step + phase).is_multiple_of(RETRY_STEPS) {
                    self.place_waiting(host);
                }
            }
        }
    }

    fn arrive(&mut self, kind: usize) {
        let host = self.rng.usize(..self.hosts.len());
        let workspace = self.pick_workspace();
        let request = Request {
            kind,
            workspace,
            is_over_share: self.apply_share(host, kind, workspace),
            arrived_at: self.now,
            attempts: 0,
            is_judged: self.now <= self.judged_until,
        };
        if request.is_judged {
            self.tallies[kind].sent += 1;
            self.workspace_tallies[workspace].sent += 1;
        }
        let request_kind = self.request_kind(host, kind);
        let monitor = &mut self.hosts[host].monitor;
        monitor.record_request(self.now, &self.service, request_kind);
        self.wait(host, request);
    }

    fn pick_workspace(&mut self) -> usize {
        let mut left = self.rng.f64() * self.weights.iter().sum::<f64>();
        for (workspace, weight) in self.weights.iter().enumerate() {
            if left < *weight {
                return workspace;
            }
            left -= weight;
        }
        WORKSPACES - 1
    }

    /// Admits a request, and reports whether it is above its workspace's share.
    fn apply_share(&mut self, host: usize, kind: usize, workspace: usize) -> bool {
        let usual_time = self.request_kind(host, kind).usual_time;
        let reachable_share = self.reachable_share(host);
        let host = &mut self.hosts[host];
        host.unreported[workspace] += 1;
        let (now, name) = (self.now, &self.workspaces[workspace]);
        let shares = &mut host.shares;
        shares.record_request(now, name, &self.service, usual_time);
        let is_short = host.monitor.level(&self.service) == ScarcityLevel::Short;
        let Some((inputs, _)) = host.monitor.inputs(now, &self.service) else {
            return false;
        };
        if !self.settings.is_sharing || !is_short {
            return false;
        }
        let slots = f64::from(inputs.load.slots);
        let decision = shares.classify(now, name, &self.service, slots, reachable_share);
        decision.is_over_share
    }

    fn request_kind(&self, host: usize, kind: usize) -> RequestKind {
        RequestKind {
            priority: self.settings.kinds[kind].priority,
            usual_time: Duration::from_secs_f64(self.hosts[host].latencies_s[kind]),
            latency_target: self.settings.kinds[kind].latency_target,
        }
    }

    fn wait(&mut self, host: usize, request: Request) {
        let kind = self.request_kind(host, request.kind);
        let queue = &mut self.hosts[host].queue;
        let (position, give_up_at) = if self.settings.is_sharing {
            let terms = WaitTerms {
                start_by: request.arrived_at + kind.spare_time(),
                priority: kind.priority,
                is_over_share: request.is_over_share,
            };
            let position = queue.enqueue_by_terms(&self.service, terms);
            (position, request.arrived_at + kind.max_wait())
        } else {
            let position = queue.enqueue(&self.service, self.now, kind.priority);
            let max_wait = kind.latency_target.mul_f64(MAX_QUEUE_WAIT_SHARE);
            (position, self.now + max_wait)
        };
        self.hosts[host].waiting.push(Waiting {
            request,
            position,
            give_up_at,
        });
        self.place_waiting(host);
    }

    /// Places what may be placed, and refuses what would wait in vain.
    fn place_waiting(&mut self, host: usize) {
        let mut number = 0;
        while number < self.hosts[host].waiting.len() {
            let waiting = &self.hosts[host].waiting[number];
            let (request, position) = (waiting.request, waiting.position);
            let wait_left = waiting.give_up_at.saturating_duration_since(self.now);
            let is_first = self.hosts[host].queue.is_first(&self.service, position);
            if is_first && let Ok(instance) = self.place(host, request) {
                self.leave_queue(host, number);
                let placed = &mut self.hosts[host];
                placed
                    .queue
                    .record_served(self.now, &self.service, position);
                if !request.is_over_share {
                    let priority = self.settings.kinds[request.kind].priority;
                    placed.monitor.record_served(&self.service, priority);
                }
                self.send(host, instance, request);
                number = 0;
                continue;
            }
            let queue = &mut self.hosts[host].queue;
            let is_in_vain = if self.settings.is_sharing {
                let estimate = queue.estimate(self.now, &self.service, position);
                !estimate.is_served_within(wait_left)
            } else {
                queue.is_likely_to_time_out(self.now, &self.service, position, wait_left)
            };
            if wait_left.is_zero() || is_in_vain {
                self.leave_queue(host, number);
                self.refuse(host, request);
                continue;
            }
            number += 1;
        }
    }

    fn leave_queue(&mut self, host: usize, number: usize) {
        let host = &mut self.hosts[host];
        let waiting = host.waiting.remove(number);
        host.queue.remove(&self.service, waiting.position);
    }

    fn refuse(&mut self, host: usize, request: Request) {
        let priority = self.settings.kinds[request.kind].priority;
        let host = &mut self.hosts[host];
        if !request.is_over_share {
            host.monitor.record_outcome(&self.service, priority, false);
        }
        if request.attempts == 0 {
            let name = &self.workspaces[request.workspace];
            host.shares.record_refund(self.now, name);
            let unreported = &mut host.unreported[request.workspace];
            *unreported = unreported.saturating_sub(1);
        }
        if request.is_judged {
            self.tallies[request.kind].refused += 1;
        }
    }

    fn place(&mut self, host: usize, request: Request) -> Result<usize, PlacementError> {
        let kind = self.request_kind(host, request.kind);
        let reachable = self.reachable_share(host);
        let hosts_per_domain = self.hosts.len() / DOMAINS.len();
        let host = &mut self.hosts[host];
        let room = self.settings.is_sharing.then(|| {
            let most_urgent = host.monitor.most_urgent(&self.service);
            // The request that is being placed does not wait for others.
            let waiting = host.queue.waiting(&self.service, most_urgent);
            let is_counted = kind.priority <= most_urgent;
            let view = HostView {
                waiting: waiting.saturating_sub(usize::from(is_counted)),
                reachable_share: reachable,
            };
            let (roster, evidence) = (&self.roster, &host.evidence);
            let change = host
                .monitor
                .update(self.now, &self.service, roster, evidence, view);
            self.level_changes += u32::from(change.is_some());
            let room = host.monitor.room(&self.service, kind);
            if request.is_over_share {
                room.for_excess()
            } else {
                room
            }
        });
        let placement = place(
            self.now,
            &self.roster,
            &host.evidence,
            &PlacementRequest {
                refused_share: 0.0,
                load_sharing: LoadSharing::for_hosts(hosts_per_domain),
                allowed_domains: None,
                service: &self.service,
                is_idempotent: self.settings.kinds[request.kind].is_idempotent,
                attempts_left: MAX_ATTEMPTS - request.attempts,
                attempted: &[],
                failure_domain: &self.domains[host.domain],
                priority: kind.priority,
                usual_time: kind.usual_time,
                latency_target: kind.latency_target,
                room,
            },
            &mut self.rng,
        )?;
        let id = placement.instance.entry.id;
        let number = id.as_str().strip_prefix("i-");
        let number = number.and_then(|number| number.parse().ok());
        Ok(number.expect("the instance is listed"))
    }

    fn reachable_share(&self, host: usize) -> f64 {
        let lost_for = self.reports_lost_at.map(|at| self.now - at);
        if lost_for.is_some_and(|time| time >= SILENT_AFTER) {
            return 1.0 / self.hosts.len() as f64;
        }
        let part = self.hosts[host].part;
        let reachable = self.hosts.iter().filter(|other| other.part == part);
        reachable.count() as f64 / self.hosts.len() as f64
    }

    fn send(&mut self, host: usize, instance: usize, request: Request) {
        let run = Run {
            host,
            request: Request {
                attempts: request.attempts + 1,
                ..request
            },
            sent_at: self.now,
        };
        let id = self.ids[instance].clone();
        self.hosts[host].evidence.record_start(self.now, &id);
        self.mark_changed(host, instance);
        let at_instance = &self.instances[instance];
        let max = usize::try_from(self.settings.slots).expect("few slots") * MAX_AT_INSTANCE;
        let is_full = at_instance.running.len() + at_instance.queued.len() >= max;
        if is_full || self.rng.f64() < self.rejected_share {
            let evidence = &mut self.hosts[host].evidence;
            evidence.record_end(self.now, &id, Observation::Full);
            let monitor = &mut self.hosts[host].monitor;
            monitor.record_rejection(self.now, &self.service);
            if run.request.attempts < MAX_ATTEMPTS {
                self.wait(host, run.request);
            } else {
                self.refuse(host, request);
            }
            return;
        }
        self.instances[instance].queued.push_back(run);
        self.start_work(instance);
    }

    fn start_work(&mut self, instance: usize) {
        let slots = usize::try_from(self.settings.slots).expect("few slots");
        let at_instance = &mut self.instances[instance];
        while at_instance.running.len() < slots {
            let Some(run) = at_instance.queued.pop_front() else {
                return;
            };
            let work = self.settings.kinds[run.request.kind].work;
            let work = work.mul_f64(0.5 + self.rng.f64());
            at_instance.running.push((self.now + work, run));
        }
    }

    fn end_work(&mut self) {
        for instance in 0..self.instances.len() {
            let now = self.now;
            let running = &mut self.instances[instance].running;
            let ended: Vec<(Instant, Run)> = running
                .extract_if(.., |(ends_at, _)| *ends_at <= now)
                .collect();
            for (_, run) in ended {
                self.answer(instance, &run);
            }
            self.start_work(instance);
        }
    }

    fn answer(&mut self, instance: usize, run: &Run) {
        let kind = run.request.kind;
        let latency = self.now - run.request.arrived_at;
        let is_in_time = latency <= self.settings.kinds[kind].latency_target;
        let priority = self.settings.kinds[kind].priority;
        if !run.request.is_over_share {
            let monitor = &mut self.hosts[run.host].monitor;
            monitor.record_outcome(&self.service, priority, is_in_time);
        }
        if run.request.is_judged && is_in_time {
            self.workspace_tallies[run.request.workspace].in_time += 1;
        }
        if run.request.is_judged {
            let tally = &mut self.tallies[kind];
            if is_in_time {
                tally.in_time += 1;
            } else {
                tally.late += 1;
            }
        }
        let took_s = (self.now - run.sent_at).as_secs_f64();
        let host = &mut self.hosts[run.host];
        let usual_s = &mut host.latencies_s[kind];
        let slowness = took_s / usual_s.max(0.001);
        *usual_s += LATENCY_WEIGHT * (took_s - *usual_s);
        let id = &self.ids[instance];
        host.evidence
            .record_end(self.now, id, Observation::Success { slowness });
        self.mark_changed(run.host, instance);
    }

    fn mark_changed(&mut self, host: usize, instance: usize) {
        self.hosts[host].changed_local.insert(instance);
        self.hosts[host].changed_remote.insert(instance);
    }

    /// Delivers the reports that are due in this step.
    fn exchange(&mut self, step: u32) {
        if self.reports_lost_at.is_some() {
            return;
        }
        for sender in 0..self.hosts.len() {
            let phase = u32::try_from(sender).expect("few hosts") * 3;
            if (step + phase).is_multiple_of(LOCAL_REPORT_STEPS) {
                let changed = std::mem::take(&mut self.hosts[sender].changed_local);
                self.deliver(sender, &changed, true);
            }
            if (step + phase).is_multiple_of(REMOTE_REPORT_STEPS) {
                let changed = std::mem::take(&mut self.hosts[sender].changed_remote);
                self.deliver(sender, &changed, false);
                self.deliver_admissions(sender);
            }
        }
    }

    fn deliver_admissions(&mut self, sender: usize) {
        let counts = std::mem::replace(&mut self.hosts[sender].unreported, vec![0; WORKSPACES]);
        let part = self.hosts[sender].part;
        for (number, host) in self.hosts.iter_mut().enumerate() {
            if number == sender || host.part != part {
                continue;
            }
            for (name, count) in self.workspaces.iter().zip(&counts) {
                if *count > 0 {
                    host.shares.record_peer_admissions(self.now, name, *count);
                }
            }
        }
    }

    fn deliver(&mut self, sender: usize, changed: &BTreeSet<usize>, is_local: bool) {
        let from = &self.hosts[sender];
        let (addr, domain, part) = (from.addr, from.domain, from.part);
        for instance in changed {
            let id = &self.ids[*instance];
            let report = self.hosts[sender].evidence.own_report(self.now, id);
            for (number, host) in self.hosts.iter_mut().enumerate() {
                if number == sender || host.part != part || (host.domain == domain) != is_local {
                    continue;
                }
                host.evidence.record_peer_report(self.now, addr, id, report);
            }
        }
    }

    /// Replaces all hosts with new processes; the work at instances goes on.
    fn restart_hosts(&mut self) {
        for number in 0..self.hosts.len() {
            let waiting = std::mem::take(&mut self.hosts[number].waiting);
            for waiting in waiting {
                self.refuse(number, waiting.request);
            }
            self.hosts[number] = Host::new(number, &self.settings.kinds);
        }
    }
}

impl Host {
    fn new(number: usize, kinds: &[Kind]) -> Self {
        let initial = |kind: &Kind| kind.latency_target.as_secs_f64() * INITIAL_LATENCY_SHARE;
        Self {
            addr: SocketAddr::from(([10, 0, 0, 1], u16::try_from(number).expect("few hosts"))),
            domain: number % DOMAINS.len(),
            evidence: Evidence::default(),
            queue: WaitQueue::default(),
            monitor: ScarcityMonitor::default(),
            shares: FairShares::default(),
            unreported: vec![0; WORKSPACES],
            waiting: Vec::new(),
            latencies_s: kinds.iter().map(initial).collect(),
            changed_local: BTreeSet::new(),
            changed_remote: BTreeSet::new(),
            part: 0,
        }
    }
}

/// The two kinds of deployment F. `urgent_share` is the urgent kind's part of the work.
fn settings(
    hosts: usize,
    instances: usize,
    load: f64,
    urgent_share: f64,
    is_sharing: bool,
) -> Settings {
    const SLOTS: u32 = 6;
    let work_per_s = load * f64::from(SLOTS) * instances as f64;
    let kind = |priority, share: f64, work_ms, target_s| Kind {
        priority,
        requests_per_s: work_per_s * share / (f64::from(work_ms) / 1_000.0),
        work: Duration::from_millis(u64::from(work_ms)),
        latency_target: Duration::from_secs(target_s),
        // Bookings may run once only.
        is_idempotent: priority > 0,
    };
    Settings {
        hosts,
        instances,
        slots: SLOTS,
        kinds: vec![
            kind(0, urgent_share, 390_u32, 1),
            kind(2, 1.0 - urgent_share, 1_200_u32, 6),
        ],
        is_sharing,
        seed: 11,
    }
}

fn print(name: &str, fleet: &Fleet) {
    for (kind, tally) in fleet.settings.kinds.iter().zip(&fleet.tallies) {
        println!(
            "{name}, sharing {}, priority {}: {:.3} in time, {tally:?}",
            fleet.settings.is_sharing,
            kind.priority,
            tally.share_in_time()
        );
    }
    println!("  {} changes of the level", fleet.level_changes);
}

/// Runs one pattern without and with load sharing.
fn compare(run: impl Fn(bool) -> Fleet + Sync) -> [Fleet; 2] {
    std::thread::scope(|scope| {
        let runs = [false, true].map(|is_sharing| {
            let run = &run;
            scope.spawn(move || run(is_sharing))
        });
        runs.map(|run| run.join().expect("the run ends"))
    })
}

/// In deployment F the urgent kind earned 0.751 of its value and the tolerant one 0.929.
#[test]
fn urgent_requests_earn_no_smaller_share_than_tolerant_ones_at_129_hosts() {
    let [off, on] = compare(|is_sharing| {
        let mut fleet = Fleet::new(settings(129, 100, 1.1, 0.4, is_sharing));
        fleet.run(Duration::from_secs(6));
        fleet
    });
    for fleet in [&off, &on] {
        print("129 hosts, load 1.1", fleet);
    }
    check_urgency(&off, &on);
}

/// The same at a larger overload, where the tolerant kind must give way.
#[test]
fn urgent_requests_earn_no_smaller_share_at_a_load_of_1_3() {
    let [off, on] = compare(|is_sharing| {
        let mut fleet = Fleet::new(settings(33, 26, 1.3, 0.4, is_sharing));
        fleet.run(Duration::from_secs(6));
        fleet
    });
    for fleet in [&off, &on] {
        print("33 hosts, load 1.3", fleet);
    }
    check_urgency(&off, &on);
    assert!(
        on.tallies[1].share_in_time() >= 0.5,
        "the tolerant kind is starved"
    );
}

fn check_urgency(off: &Fleet, on: &Fleet) {
    let shares =
        |fleet: &Fleet| -> Vec<f64> { fleet.tallies.iter().map(Tally::share_in_time).collect() };
    let (off, on) = (shares(off), shares(on));
    assert!(off[0] < off[1], "the pattern is not reproduced: {off:?}");
    assert!(on[0] > off[0], "{on:?} instead of {off:?}");
    assert!(on[0] >= on[1], "{on:?}");
}

/// Runs a pattern at 33 hosts and 26 instances, a third of deployment F. `disturb` is
/// called after 2 of 6 s.
fn compare_disturbed(
    name: &str,
    load: f64,
    seed: u64,
    disturb: impl Fn(&mut Fleet) + Sync,
) -> [Fleet; 2] {
    let fleets = compare(|is_sharing| {
        let settings = Settings {
            seed,
            ..settings(33, 26, load, 0.4, is_sharing)
        };
        let mut fleet = Fleet::new(settings);
        fleet.advance(Duration::from_secs(2));
        disturb(&mut fleet);
        fleet.run(Duration::from_secs(4));
        fleet
    });
    for fleet in &fleets {
        print(name, fleet);
    }
    fleets
}

/// What must hold under each failure: the urgent kind is served no worse than without
/// load sharing and than the tolerant kind, and the tolerant kind is not starved.
fn check_disturbed(name: &str, disturb: impl Fn(&mut Fleet) + Sync) {
    let share = |fleet: &Fleet, kind: usize| fleet.tallies[kind].share_in_time();
    for seed in [11, 13, 14] {
        let [off, on] = compare_disturbed(name, 1.2, seed, &disturb);
        assert!(share(&on, 0) >= share(&off, 0), "seed {seed}");
        assert!(share(&on, 0) >= share(&on, 1), "seed {seed}");
        let tolerant = share(&on, 1);
        assert!(tolerant >= 0.3, "seed {seed}: the tolerant kind is starved");
    }
}

/// Guards against hosts that regard instances as free whose load they do not see.
#[test]
fn hosts_that_reach_no_other_host_favour_urgent_requests() {
    check_disturbed("all hosts alone, load 1.2", |fleet| {
        for (number, host) in fleet.hosts.iter_mut().enumerate() {
            host.part = number;
        }
    });
}

/// Guards against decisions by loads that are seconds old.
#[test]
fn hosts_with_old_reports_favour_urgent_requests() {
    check_disturbed("no reports, load 1.2", |fleet| {
        fleet.reports_lost_at = Some(fleet.now);
    });
}

#[test]
fn both_parts_of_a_partitioned_fleet_favour_urgent_requests() {
    check_disturbed("partition, load 1.2", |fleet| {
        for host in &mut fleet.hosts {
            host.part = host.domain % 2;
        }
    });
}

/// Guards against decisions that need state from before a restart.
#[test]
fn a_fleet_that_restarts_as_a_whole_favours_urgent_requests() {
    check_disturbed("restart, load 1.2", Fleet::restart_hosts);
}

/// Guards against requests that are held back in vain while all instances reject more
/// than half of what they get, so that waiting does not help. Which requests are tried
/// again is decided by the retry budget.
#[test]
fn rejections_by_all_instances_hold_back_no_kind_of_request() {
    let fleets = compare_disturbed("rejections, load 0.9", 0.9, 11, |fleet| {
        fleet.rejected_share = 0.55;
    });
    let [off, on] = fleets.map(|fleet| [0, 1].map(|kind| fleet.tallies[kind].share_in_time()));
    assert!(
        on[0] >= off[0] - 0.05 && on[1] >= off[1] - 0.05,
        "{off:?} {on:?}"
    );
}

/// Runs a load of 0.9 to which one of twenty workspaces adds five times its usual part,
/// and returns the shares in time of this workspace and of the others, off and on.
fn flood_shares(name: &str, disturb: impl Fn(&mut Fleet) + Sync) -> [[f64; 2]; 2] {
    let load = 0.9 * 25.0 / 20.0;
    let fleets = compare(|is_sharing| {
        let mut fleet = Fleet::new(settings(33, 26, load, 0.4, is_sharing));
        fleet.weights[0] = 6.0;
        fleet.advance(Duration::from_secs(2));
        disturb(&mut fleet);
        fleet.run(Duration::from_secs(5));
        fleet
    });
    fleets.map(|fleet| {
        print(name, &fleet);
        let sum = |tallies: &[Tally]| {
            let sent: u32 = tallies.iter().map(|tally| tally.sent).sum();
            let in_time: u32 = tallies.iter().map(|tally| tally.in_time).sum();
            f64::from(in_time) / f64::from(sent)
        };
        let (flood, others) = fleet.workspace_tallies.split_at(1);
        let shares = [sum(flood), sum(others)];
        println!("  flood {:.3}, others {:.3} in time", shares[0], shares[1]);
        shares
    })
}

/// Guards against capacity that goes to the workspace that sends the most requests.
#[test]
fn a_workspace_at_six_times_its_rate_gives_way_to_the_others() {
    let [off, on] = flood_shares("flood", |_| {});
    assert!(on[1] > off[1] && on[1] > on[0], "{off:?} {on:?}");
    assert!(on[0] >= 1.0 / 6.0, "its usual rate is starved: {on:?}");
}

/// Hosts without reports of others limit the workspace by their own part of the load.
#[test]
fn a_workspace_at_six_times_its_rate_gives_way_in_each_part_of_a_partition() {
    let [off, on] = flood_shares("flood and partition", |fleet| {
        for host in &mut fleet.hosts {
            host.part = host.domain % 2;
        }
    });
    assert!(on[1] > off[1] && on[1] > on[0], "{off:?} {on:?}");
    assert!(on[0] >= 1.0 / 6.0, "its usual rate is starved: {on:?}");
}
