//! BUDGET: a request under which the machines of instances go down is not recognised.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::callers::{Requests, head, new_id, send_once};
use crate::instance::Run;
use crate::record::Record;
use crate::{CaseError, Deployment, Size, Verdict, config, has_trouble};

/// The request that crashes the instances that run it, with their machines or, without the
/// disruption, alone. It comes again at any machine.
const DARK_PATH: &str = "/file/crash-dark";
const PATH: &str = "/file/crash";
const BODY: &[u8] = b"the same body each time";
const TIME_MS: u64 = 5_000;
const INTERVAL: Duration = Duration::from_millis(1_500);
/// The crashes after which the rule counts, and the retries that it then lets through.
const CRASHES: usize = 3;
const ALLOWED: usize = 3;
/// `stable-window-ms`.
const STABLE: Duration = Duration::from_secs(3);
/// How long the request comes again.
const COMES: Duration = Duration::from_secs(40);

pub fn play(record: &Record) -> Result<Verdict, CaseError> {
    let size = Size {
        hosts: 4,
        instances: 16,
        annex_instances: 0,
        slots: 6,
    };
    let fleet = Deployment::start(&size, &config(3, ""), record)?;
    std::thread::sleep(2 * STABLE);
    let requests = Requests::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut consumers = Vec::new();
    // Two callers send the request, each to one host after the other.
    for first in 0..2 {
        let (requests, record, is_over) = (requests.clone(), record.clone(), is_over.clone());
        let fronts: Vec<_> = fleet.plan.iter().map(|host| host.front).collect();
        consumers.push(std::thread::spawn(move || {
            let path = if has_trouble() { DARK_PATH } else { PATH };
            for front in fronts.iter().cycle().skip(first * 2) {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let id = new_id();
                let length = format!("Content-Length: {}\r\nConnection: close\r\n", BODY.len());
                let text = head("POST", path, &id, TIME_MS, &length);
                send_once(&requests, &record, *front, &text, &id, BODY);
                std::thread::sleep(INTERVAL);
            }
        }));
    }
    std::thread::sleep(COMES);
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    judge(&fleet.runs.all(), record)
}

/// Counts the retries that reached instances later than `stable-window-ms` after the third
/// crash.
fn judge(runs: &[Run], record: &Record) -> Result<Verdict, CaseError> {
    let third = runs.get(CRASHES - 1);
    let third_at: Instant = third
        .ok_or("the request did not crash three instances")?
        .arrived_at;
    let late = runs.iter().filter(|run| run.arrived_at > third_at + STABLE);
    let late: Vec<_> = late.collect();
    for run in &late {
        let after_ms = run.arrived_at.duration_since(third_at).as_millis();
        record.tell(&format!(
            "BUDGET: retry {} crashes {} {after_ms} ms after the third crash",
            run.request, run.instance
        ));
    }
    record.tell(&format!(
        "{} crashes in all, {} of them counted, {ALLOWED} allowed",
        runs.len(),
        late.len()
    ));
    Ok(if late.len() > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
