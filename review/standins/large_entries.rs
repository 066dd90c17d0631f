//! CONFIG: after a few large entries of another writer, hosts do not follow the store any
//! more until it drops their history.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::callers::{End, HOST_NAME, Requests, head, new_id, send_once};
use crate::record::Record;
use crate::store::Value;
use crate::{CaseError, Deployment, Size, Verdict, config, has_trouble};

/// Each consumer sends one request after the other, which runs for 40 ms.
const CONSUMERS_PER_HOST: usize = 3;
const PATH: &str = "/moved/w40";
const TIME_MS: u64 = 4_000;
const PAUSE: Duration = Duration::from_millis(100);
/// How long all is calm before: over twice `stable-window-ms`.
const CALM: Duration = Duration::from_secs(8);
/// The entries of the other writer, and their size, below `value-bytes`.
const ENTRIES: u32 = 30;
const ENTRY_BYTES: usize = 1_040_000;
/// The time from one of its writes to the next. All of them take longer than a host pauses after
/// a change.
const WRITE_INTERVAL: Duration = Duration::from_millis(12);
/// How long after them the configuration changes.
const CHANGES_AFTER: Duration = Duration::from_secs(1);
/// `config-apply-ms`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// How long the second configuration is watched: longer than `history-s`.
const WATCHED: Duration = Duration::from_secs(26);

pub fn play(record: &Record) -> Result<Verdict, CaseError> {
    let size = Size {
        hosts: 5,
        instances: 4,
        annex_instances: 4,
        slots: 6,
    };
    let fleet = Deployment::start(&size, &moving_config(3, "desk"), record)?;
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
    if has_trouble() {
        // Bytes that cannot be read as an entry.
        let value = Value::new(&"#".repeat(ENTRY_BYTES));
        let started = Instant::now();
        for number in 0..ENTRIES {
            let at = started + WRITE_INTERVAL * number;
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let key = format!("servers/x-{number}");
            fleet.store.put_value(&key, &value);
            record.line(&format!("another writer writes {key}"));
        }
        let took = started.elapsed().as_millis();
        record.tell(&format!("{ENTRIES} entries were written in {took} ms"));
    }
    std::thread::sleep(CHANGES_AFTER);
    fleet.store.put("op/config", &moving_config(7, "annex"));
    let changed_at = Instant::now();
    record.line("store acknowledges r7, which moves the route to annex");
    std::thread::sleep(WATCHED);
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    Ok(judge(&fleet, &requests, changed_at, record))
}

/// Returns a configuration with a route `/moved/` of a service.
fn moving_config(version: u32, service: &str) -> String {
    let route = format!(
        ",{{\"name\":\"moved\",\"host\":\"{HOST_NAME}\",\"prefix\":\"/moved/\",\"kind\":\"safe\",\
         \"timeout-ms\":2000,\"target-latency-ms\":1000,\"priority\":1,\"service\":\"{service}\",\
         \"max-attempts\":2,\"allow-anonymous\":false}}"
    );
    config(version, &route)
}

/// Counts the requests that were sent later than `config-apply-ms` after the acknowledgement
/// and ran at the service of the older version.
fn judge(
    fleet: &Deployment,
    requests: &Requests,
    changed_at: Instant,
    record: &Record,
) -> Verdict {
    let runs = fleet.runs.all();
    let (mut late, mut last) = (0, Duration::ZERO);
    let mut hosts = std::collections::BTreeSet::new();
    let mut answered = 0;
    for request in requests.all() {
        answered += usize::from(request.end == Some(End::Answered(200)));
        if request.sent_at <= changed_at + CONFIG_APPLY {
            continue;
        }
        let run = runs.iter().find(|run| run.request == request.id);
        let Some(run) = run.filter(|run| run.instance.starts_with("i-desk")) else {
            continue;
        };
        late += 1;
        hosts.insert(request.host);
        let after = request.sent_at - changed_at;
        last = last.max(after);
        record.line(&format!(
            "CONFIG: request {} was sent {} ms after the acknowledgement and ran at {}",
            request.id,
            after.as_millis(),
            run.instance
        ));
    }
    record.tell(&format!(
        "{answered} requests answered with 200; {late} ran by the older version, at {} hosts, the last one {} ms \
         after the acknowledgement",
        hosts.len(),
        last.as_millis()
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
