//! ROUTE: an entry of another writer, which lacks a field and so names no instance to use,
//! makes hosts send requests to an instance of another service, which runs them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::callers::{HOST_NAME, Requests, head, new_id, send_once};
use crate::record::Record;
use crate::{CaseError, Deployment, Size, Verdict, config, has_trouble};

/// Each consumer sends one request after the other, which runs for 40 ms. All of them are for
/// the service `desk`.
const CONSUMERS_PER_HOST: usize = 4;
const TIME_MS: u64 = 4_000;
const PAUSE: Duration = Duration::from_millis(60);
/// How long all is calm before: over twice `stable-window-ms`.
const CALM: Duration = Duration::from_secs(8);
/// How often the other writer writes, and the pause between two writes.
const WRITES: u32 = 3;
const WRITE_INTERVAL: Duration = Duration::from_secs(4);

pub fn play(record: &Record) -> Result<Verdict, CaseError> {
    let size = Size {
        hosts: 3,
        instances: 4,
        annex_instances: 3,
        slots: 6,
    };
    let annex_route = format!(
        ",{{\"name\":\"annex\",\"host\":\"{HOST_NAME}\",\"prefix\":\"/annex/\",\"kind\":\"safe\",\
         \"timeout-ms\":2000,\"target-latency-ms\":1000,\"priority\":2,\"service\":\"annex\",\
         \"max-attempts\":2,\"allow-anonymous\":false}}"
    );
    let fleet = Deployment::start(&size, &config(3, &annex_route), record)?;
    let requests = Requests::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut consumers = Vec::new();
    for host in &fleet.plan {
        for number in 0..CONSUMERS_PER_HOST {
            let (requests, record, is_over) = (requests.clone(), record.clone(), is_over.clone());
            let front = host.front;
            let (method, path, body) = match number % 2 {
                0 => ("GET", "/read/w40", ""),
                _ => ("POST", "/file/w40", "leave from 3 to 5 December\n"),
            };
            consumers.push(std::thread::spawn(move || {
                let more = format!("Content-Length: {}\r\nConnection: close\r\n", body.len());
                while !is_over.load(Ordering::SeqCst) {
                    let id = new_id();
                    let text = head(method, path, &id, TIME_MS, &more);
                    send_once(&requests, &record, front, &text, &id, body.as_bytes());
                    std::thread::sleep(PAUSE);
                }
            }));
        }
    }
    std::thread::sleep(CALM);
    let annex = &fleet.instances[size.instances];
    for _ in 0..WRITES {
        if has_trouble() {
            write_foreign_entry(&fleet, &annex.id(), annex.addr());
            record.line(&format!("another writer writes the entry of {}", annex.id()));
        }
        std::thread::sleep(WRITE_INTERVAL);
    }
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    Ok(judge(&fleet, &requests, record))
}

/// Writes an entry without `sequence` and `born`, which states another service than the
/// instance's.
fn write_foreign_entry(fleet: &Deployment, id: &str, addr: std::net::SocketAddr) {
    let entry = format!(
        "{{\"address\":\"{addr}\",\"information\":{{\"service\":\"desk\",\"version\":\"v1\",\
         \"zone\":\"howrah\",\"slots\":6}},\"status\":{{\"state\":\"ready\",\
         \"cold-remaining-ms\":0}}}}"
    );
    fleet.store.put(&format!("servers/{id}"), &entry);
}

/// Counts the requests for `desk` that instances of `annex` have run.
fn judge(fleet: &Deployment, requests: &Requests, record: &Record) -> Verdict {
    let all = requests.all();
    let runs = fleet.runs.all();
    let foreign = runs
        .iter()
        .filter(|run| run.instance.starts_with("i-annex"));
    let (mut safe, mut not_idempotent) = (0, 0);
    for run in foreign {
        let Some(request) = all.iter().find(|request| request.id == run.request) else {
            continue;
        };
        if run.body_bytes > 0 {
            not_idempotent += 1;
        } else {
            safe += 1;
        }
        record.line(&format!(
            "ROUTE: request {} for desk ran at {} and ended with {:?}",
            run.request, run.instance, request.end
        ));
    }
    record.tell(&format!(
        "{} requests for desk, of which instances of annex ran {safe} safe and {not_idempotent} unsafe ones",
        all.len()
    ));
    if safe + not_idempotent > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
