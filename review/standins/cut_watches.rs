//! DRAIN: while the store cuts waiting watches, hosts go on sending requests to an instance
//! whose entry was removed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::callers::{Requests, head, new_id, send_once};
use crate::record::Record;
use crate::{CaseError, Deployment, Size, Verdict, config, has_trouble};

/// Each consumer sends one request after the other, which runs for 40 ms.
const CONSUMERS_PER_HOST: usize = 3;
const PATH: &str = "/read/w40";
const TIME_MS: u64 = 4_000;
const PAUSE: Duration = Duration::from_millis(60);
/// How long all is calm before: over twice `stable-window-ms`.
const CALM: Duration = Duration::from_secs(8);
/// How often the store cuts the watches that wait.
const CUT_INTERVAL: Duration = Duration::from_secs(1);
/// The hosts that read the store.
const READERS: usize = 3;
/// How long after the first cut the instance leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(1_300);
/// `drain-ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long the instance serves after its removal: `drain-ms` and some seconds.
const SERVES_ON: Duration = Duration::from_secs(8);

pub fn play(record: &Record) -> Result<Verdict, CaseError> {
    let size = Size {
        hosts: 6,
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
    let cutting = has_trouble().then(|| {
        let (store, is_over, record) = (fleet.store.clone(), is_over.clone(), record.clone());
        std::thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                store.cut_watches(READERS);
                record.line("the store cuts the watches that wait");
                std::thread::sleep(CUT_INTERVAL);
            }
        })
    });
    std::thread::sleep(LEAVES_AFTER);
    let leaving = &fleet.instances[0];
    let id = leaving.id();
    leaving.leave_silently();
    let left_at = Instant::now();
    std::thread::sleep(SERVES_ON);
    leaving.exit();
    std::thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    if let Some(cutting) = cutting {
        let _ = cutting.join();
    }
    Ok(judge(&fleet, &requests, &id, left_at, record))
}

/// Counts the requests that reached the instance later than `drain-ms` after its removal.
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
            "DRAIN: {} reaches {id} {after} ms after its removal",
            run.request
        ));
    }
    let last = runs.iter().filter(|run| run.instance == id).next_back();
    if let Some(last) = last {
        let after = last
            .arrived_at
            .saturating_duration_since(left_at)
            .as_millis();
        record.tell(&format!(
            "the last request reached {id} {after} ms after its removal"
        ));
    }
    let all = requests.all().len();
    record.tell(&format!(
        "{} of {all} requests reached it later than drain-ms",
        late.len()
    ));
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
