//! BUDGET: after a rolling restart of the hosts, a request that crashes instances reaches
//! them again.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::callers::{Requests, head, new_id, send_once};
use crate::record::Record;
use crate::{CaseError, Deployment, START_TIME, Size, Verdict, config, has_trouble};

/// The request that crashes the instances that run it. It comes again at any machine.
const PATH: &str = "/file/crash";
const BODY: &[u8] = b"the same body each time";
const TIME_MS: u64 = 5_000;
const INTERVAL: Duration = Duration::from_millis(1_500);
/// The crashes after which the rule counts, and the retries that it then lets through.
const CRASHES: usize = 3;
const ALLOWED: usize = 3;
/// `stable-window-ms`, after which a machine is in touch.
const STABLE: Duration = Duration::from_secs(3);
/// How long it takes at most until three instances have crashed.
const CRASH_TIME: Duration = Duration::from_secs(20);
/// The pause between the restarts of two hosts.
const GAP: Duration = Duration::from_secs(5);
const GRACE: Duration = Duration::from_secs(6);
/// How long the request goes on coming after the last restart.
const AFTER: Duration = Duration::from_secs(12);

/// Since when each host runs.
type Starts = Arc<Mutex<Vec<(SocketAddr, Option<Instant>)>>>;

pub fn play(record: &Record) -> Result<Verdict, CaseError> {
    let size = Size {
        hosts: 4,
        instances: 8,
        annex_instances: 0,
        slots: 6,
    };
    let mut fleet = Deployment::start(&size, &config(3, ""), record)?;
    let started_at = Instant::now();
    let fronts = fleet.plan.iter().map(|host| (host.front, Some(started_at)));
    let starts: Starts = Arc::new(Mutex::new(fronts.collect()));
    std::thread::sleep(2 * STABLE);
    let requests = Requests::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let sending = {
        let (requests, record) = (requests.clone(), record.clone());
        let (starts, is_over) = (starts.clone(), is_over.clone());
        std::thread::spawn(move || send_again(&requests, &record, &starts, &is_over))
    };
    let third_at = wait_for_crashes(&fleet)?;
    record.tell("three instances have crashed");
    std::thread::sleep(2 * STABLE);
    if has_trouble() {
        for number in 0..fleet.hosts.len() {
            restart(&mut fleet, number, &starts)?;
            std::thread::sleep(GAP);
        }
    }
    std::thread::sleep(AFTER);
    is_over.store(true, Ordering::SeqCst);
    let in_touch = sending.join().map_err(|_| "the consumer has failed")?;
    Ok(judge(&fleet, &in_touch, third_at, record))
}

/// Sends the request to one ready host after the other. Returns the ids of the requests
/// that were sent to hosts in touch.
fn send_again(
    requests: &Requests,
    record: &Record,
    starts: &Starts,
    is_over: &AtomicBool,
) -> Vec<String> {
    let mut in_touch = Vec::new();
    let mut turn = 0;
    while !is_over.load(Ordering::SeqCst) {
        let hosts = starts.lock().expect("not poisoned").clone();
        turn += 1;
        let (front, started_at) = hosts[turn % hosts.len()];
        let Some(started_at) = started_at else {
            continue;
        };
        let id = new_id();
        if started_at.elapsed() >= STABLE {
            in_touch.push(id.clone());
        }
        let length = format!("Content-Length: {}\r\nConnection: close\r\n", BODY.len());
        let text = head("POST", PATH, &id, TIME_MS, &length);
        send_once(requests, record, front, &text, &id, BODY);
        std::thread::sleep(INTERVAL);
    }
    in_touch
}

/// Waits until three instances have crashed, and returns when the third has.
fn wait_for_crashes(fleet: &Deployment) -> Result<Instant, CaseError> {
    let end = Instant::now() + CRASH_TIME;
    while Instant::now() < end {
        if let Some(third) = fleet.runs.all().get(CRASHES - 1) {
            return Ok(third.arrived_at);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err("the request did not crash three instances".into())
}

/// Stops a host as planned and starts it again.
fn restart(fleet: &mut Deployment, number: usize, starts: &Starts) -> Result<(), CaseError> {
    starts.lock().expect("not poisoned")[number].1 = None;
    let host = &mut fleet.hosts[number];
    host.signal("TERM");
    let stopped_at = Instant::now();
    while !host.has_ended() {
        if stopped_at.elapsed() >= GRACE {
            host.signal("KILL");
            host.wait();
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    host.restart()?;
    let started_at = Instant::now();
    if !host.wait_until_ready(START_TIME) {
        return Err("a restarted host is not ready".into());
    }
    starts.lock().expect("not poisoned")[number].1 = Some(started_at);
    Ok(())
}

/// Counts the retries that reached instances by way of hosts in touch.
fn judge(fleet: &Deployment, in_touch: &[String], third_at: Instant, record: &Record) -> Verdict {
    let runs = fleet.runs.all();
    let counted: Vec<_> = runs
        .iter()
        .filter(|run| run.arrived_at > third_at + STABLE && in_touch.contains(&run.request))
        .collect();
    for run in &counted {
        let after_ms = run.arrived_at.duration_since(third_at).as_millis();
        record.tell(&format!(
            "BUDGET: retry {} crashes {} {after_ms} ms after the third crash",
            run.request, run.instance
        ));
    }
    record.tell(&format!(
        "{} crashes in all, {} of them counted, {ALLOWED} allowed",
        runs.len(),
        counted.len()
    ));
    if counted.len() > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
