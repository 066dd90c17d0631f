//! DRAIN: a write of an instance that the store does late makes hosts send requests to the
//! instance again after it has reported that it leaves.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::callers::{Requests, head, new_id, send_once};
use crate::record::Record;
use crate::{CaseError, Deployment, Size, Verdict, config, has_trouble};

/// Each consumer sends one request after the other, which runs for 40 ms.
const CONSUMERS_PER_HOST: usize = 4;
const PATH: &str = "/read/w40";
const TIME_MS: u64 = 4_000;
const PAUSE: Duration = Duration::from_millis(60);
/// How long all is calm before: over twice `stable-window-ms`.
const CALM: Duration = Duration::from_secs(8);
/// `heartbeat-interval-ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How long the store loses answers, as `platform_lost` of the site.
const LOST_TIME: Duration = Duration::from_millis(4_500);
/// How much later the writes are done, between 1 and 6 s, and those of the instance that
/// leaves. The latter falls between two of its heartbeats.
const DELAYS: [Duration; 5] = [
    Duration::from_millis(1_300),
    Duration::from_millis(2_900),
    Duration::from_millis(4_100),
    Duration::from_millis(2_200),
    Duration::from_millis(3_400),
];
const DELAY_OF_LEAVING: Duration = Duration::from_millis(4_600);
/// How long before the end of the disruption the late write of the leaving instance begins.
const BEFORE_END: Duration = Duration::from_millis(100);
/// How long after the end of the disruption the instance leaves: above `stable-window-ms`.
const LEAVES_AFTER: Duration = Duration::from_millis(3_200);
/// `drain-ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long the instance serves after its report: `drain-ms` and some seconds.
const SERVES_ON: Duration = Duration::from_secs(8);

pub fn play(record: &Record) -> Result<Verdict, CaseError> {
    let size = Size {
        hosts: 4,
        instances: 6,
        annex_instances: 0,
        slots: 6,
    };
    let fleet = Deployment::start(&size, &config(3, ""), record)?;
    let requests = Requests::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut consumers = Vec::new();
    for host in &fleet.plan {
        for _ in 0..CONSUMERS_PER_HOST {
            let (requests, record, is_over) = (requests.clone(), record.clone(), is_over.clone());
            let front = host.front;
            consumers.push(std::thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let id = new_id();
                    let text = head("GET", PATH, &id, TIME_MS, "Connection: close\r\n");
                    send_once(&requests, &record, front, &text, &id, b"");
                    std::thread::sleep(PAUSE);
                }
            }));
        }
    }
    std::thread::sleep(CALM);
    let leaving = &fleet.instances[0];
    let key = |id: &str| format!("servers/{id}");
    // The disruption ends shortly after the fourth heartbeat from now of the leaving instance.
    let last_beat_at = leaving.beaten_at() + 4 * HEARTBEAT;
    let ends_at = last_beat_at + BEFORE_END;
    sleep_until(ends_at - LOST_TIME);
    record.line("the store begins to lose answers");
    if has_trouble() {
        // One of the three writes of each other instance is done late, and the last one of
        // the leaving instance.
        for (instance, delay) in fleet.instances[1..].iter().zip(DELAYS) {
            fleet.store.delay_write(&key(&instance.id()), delay);
        }
    }
    sleep_until(last_beat_at - HEARTBEAT / 2);
    if has_trouble() {
        fleet.store.delay_write(&key(&leaving.id()), DELAY_OF_LEAVING);
    }
    sleep_until(ends_at);
    record.line("the store loses no more answers");
    sleep_until(ends_at + LEAVES_AFTER);
    leaving.drain();
    let left_at = Instant::now();
    watch_entry(&fleet, &key(&leaving.id()), left_at, record);
    leaving.exit();
    std::thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    Ok(judge(&fleet, &requests, &leaving.id(), left_at, record))
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Records the states that the store shows while the instance serves on.
fn watch_entry(fleet: &Deployment, key: &str, left_at: Instant, record: &Record) {
    let mut former = String::new();
    while left_at.elapsed() < SERVES_ON {
        let value = fleet.store.value_of(key).unwrap_or_default();
        if value != former {
            let status = value.split("\"status\":").nth(1).unwrap_or("none");
            record.line(&format!("the entry {key} has the status {status}"));
            former = value;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Counts the requests that reached the instance later than `drain-ms` after its report.
fn judge(
    fleet: &Deployment,
    requests: &Requests,
    id: &str,
    left_at: Instant,
    record: &Record,
) -> Verdict {
    let runs = fleet.runs.all();
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.instance == id && run.arrived_at > left_at + DRAIN)
        .collect();
    for run in &late {
        let after = run.arrived_at.duration_since(left_at).as_millis();
        record.line(&format!(
            "DRAIN: {} reaches {id} {after} ms after its report",
            run.request
        ));
    }
    let all = requests.all().len();
    record.tell(&format!(
        "{} of {all} requests reached the leaving instance later than drain-ms",
        late.len()
    ));
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
