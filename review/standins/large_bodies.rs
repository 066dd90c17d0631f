//! LOST: a few consumers that send bodies within `max-body-bytes` at the same time end the
//! process that reads them, and with it the requests of all its other consumers.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::callers::{End, Requests, connect, head, new_id};
use crate::hosts::{Host, MEMORY_MB};
use crate::http::read_message;
use crate::record::Record;
use crate::{CaseError, Deployment, Size, Verdict, config, has_trouble};

/// The consumers that send large bodies, and the length of each: below the
/// `max-body-bytes` of 67,108,864.
const UPLOADS: usize = 8;
const BODY_BYTES: usize = 60_000_000;
/// Each of these requests runs for 1.2 s.
const UPLOAD_PATH: &str = "/file/w1200";
const UPLOAD_TIME_MS: u64 = 15_000;
/// The rate of all bodies together, below the 125 MB a second of a host's link.
const BYTES_PER_S: usize = 96_000_000;
const PIECE_BYTES: usize = 500_000;
/// The consumers that keep a connection to the same host and send one request after the
/// other, which runs for 300 ms.
const KEPT_CONNECTIONS: usize = 8;
const PATH: &str = "/read/w300";
const TIME_MS: u64 = 4_000;
/// How long all is calm before: over twice `stable-window-ms`.
const CALM: Duration = Duration::from_secs(8);
/// How long the uploads are watched.
const WATCHED: Duration = Duration::from_secs(24);
/// How often the platform looks at the memory of the process, and how long it waits before
/// it starts it again.
const MEMORY_CHECK: Duration = Duration::from_millis(3);
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// The requests from kept connections that the rule lets a machine lose.
const ALLOWED: usize = 3;

pub fn play(record: &Record) -> Result<Verdict, CaseError> {
    let size = Size {
        hosts: 2,
        instances: 4,
        annex_instances: 0,
        slots: 6,
    };
    let mut fleet = Deployment::start(&size, &config(3, ""), record)?;
    let (requests, uploads) = (Requests::default(), Requests::default());
    let is_over = Arc::new(AtomicBool::new(false));
    let front = fleet.plan[0].front;
    let mut consumers = Vec::new();
    for _ in 0..KEPT_CONNECTIONS {
        let (requests, record, is_over) = (requests.clone(), record.clone(), is_over.clone());
        consumers.push(std::thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                use_kept_connection(&requests, &record, front, &is_over);
            }
        }));
    }
    std::thread::sleep(CALM);
    let sending = start_uploads(&uploads, record, front);
    let kills = watch_memory(&mut fleet.hosts[0], record)?;
    is_over.store(true, Ordering::SeqCst);
    for thread in consumers.into_iter().chain(sending) {
        let _ = thread.join();
    }
    record.tell(&format!(
        "host frontend-1 was killed {kills} times for its memory"
    ));
    Ok(judge(&fleet, &requests, &uploads, record))
}

/// Sends one request after the other until the connection ends.
fn use_kept_connection(
    requests: &Requests,
    record: &Record,
    front: SocketAddr,
    is_over: &AtomicBool,
) {
    let Some(mut stream) = connect(front) else {
        std::thread::sleep(Duration::from_millis(100));
        return;
    };
    let Ok(read_half) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(read_half);
    while !is_over.load(Ordering::SeqCst) {
        let id = new_id();
        let text = head("GET", PATH, &id, TIME_MS, "");
        let number = requests.start(&id, front);
        record.line(&format!("request {id} to {front}: GET {PATH}"));
        let sent = stream.write_all(text.as_bytes());
        let answer = sent.ok().and_then(|()| read_message(&mut reader));
        let end = answer
            .as_ref()
            .map_or(End::Cut, |answer| End::Answered(answer.status()));
        requests.end(number, end, record);
        if answer.is_none_or(|answer| answer.is_last()) {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Sends the large bodies: at the same time, or without the disruption one after the other.
fn start_uploads(
    uploads: &Requests,
    record: &Record,
    front: SocketAddr,
) -> Vec<std::thread::JoinHandle<()>> {
    let (at_once, in_turn) = if has_trouble() {
        (UPLOADS, 1)
    } else {
        (1, UPLOADS)
    };
    let threads = (0..at_once).map(|_| {
        let (uploads, record) = (uploads.clone(), record.clone());
        std::thread::spawn(move || {
            for _ in 0..in_turn {
                upload(&uploads, &record, front, BYTES_PER_S / at_once);
            }
        })
    });
    threads.collect()
}

/// Sends one large body at a rate, and waits for the response.
fn upload(uploads: &Requests, record: &Record, front: SocketAddr, bytes_per_s: usize) {
    let id = new_id();
    let length = format!("Content-Length: {BODY_BYTES}\r\nConnection: close\r\n");
    let text = head("POST", UPLOAD_PATH, &id, UPLOAD_TIME_MS, &length);
    let number = uploads.start(&id, front);
    record.line(&format!(
        "request {id} to {front}: POST {UPLOAD_PATH}, {BODY_BYTES} bytes"
    ));
    let Some(mut stream) = connect(front) else {
        uploads.end(number, End::NotConnected, record);
        return;
    };
    let piece = vec![b'x'; PIECE_BYTES];
    let started = Instant::now();
    let mut sent = stream.write_all(text.as_bytes());
    for written in (0..BODY_BYTES).step_by(PIECE_BYTES) {
        if sent.is_err() {
            break;
        }
        let due = Duration::from_secs_f64(written as f64 / bytes_per_s as f64);
        std::thread::sleep(due.saturating_sub(started.elapsed()));
        sent = stream.write_all(&piece[..PIECE_BYTES.min(BODY_BYTES - written)]);
    }
    let _ = stream.set_read_timeout(Some(Duration::from_millis(UPLOAD_TIME_MS)));
    let answer = sent
        .ok()
        .and_then(|()| read_message(&mut BufReader::new(stream)));
    let end = answer.map_or(End::Cut, |answer| End::Answered(answer.status()));
    uploads.end(number, end, record);
}

/// Does what the platform does: it kills a process that exceeds `memory-mb` and starts it
/// again. Returns how often.
fn watch_memory(host: &mut Host, record: &Record) -> Result<usize, CaseError> {
    let end = Instant::now() + WATCHED;
    let (mut kills, mut peak_kb) = (0, 0);
    while Instant::now() < end {
        let memory_kb = host.memory_kb();
        peak_kb = peak_kb.max(memory_kb);
        if memory_kb > MEMORY_MB * 1_024 {
            record.tell(&format!(
                "host frontend-1 holds {} MB of {MEMORY_MB}",
                memory_kb / 1_024
            ));
            host.signal("KILL");
            host.wait();
            kills += 1;
            std::thread::sleep(RESTART_DELAY);
            host.restart()?;
        }
        std::thread::sleep(MEMORY_CHECK);
    }
    record.tell(&format!("the largest memory was {} MB", peak_kb / 1_024));
    Ok(kills)
}

/// Counts the requests from kept connections that an instance ran and that got no response.
fn judge(fleet: &Deployment, requests: &Requests, uploads: &Requests, record: &Record) -> Verdict {
    let runs = fleet.runs.all();
    let (mut answered, mut lost) = (0, 0);
    for request in requests.all() {
        match request.end {
            Some(End::Answered(_)) => answered += 1,
            Some(End::Cut) => {
                let Some(run) = runs.iter().find(|run| run.request == request.id) else {
                    continue;
                };
                lost += 1;
                record.tell(&format!(
                    "LOST: request {} ran at {}",
                    request.id, run.instance
                ));
            }
            _ => {}
        }
    }
    for upload in uploads.all() {
        let run = runs.iter().find(|run| run.request == upload.id);
        let bytes = run.map_or(0, |run| run.body_bytes);
        record.tell(&format!(
            "upload {}: {:?}, {bytes} bytes run",
            upload.id, upload.end
        ));
    }
    record.tell(&format!(
        "kept connections: {answered} answered, {lost} lost, {ALLOWED} allowed"
    ));
    if lost > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
