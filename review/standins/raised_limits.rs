//! CONFIG: kept connections are judged by the limits of an older configuration, however long
//! after a newer one they are used.

use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use crate::callers::{End, Requests, connect, head, new_id};
use crate::http::read_message;
use crate::record::Record;
use crate::{CaseError, Deployment, Size, Verdict, config, has_trouble};

/// The consumers of each host. Each keeps a connection, on which it submits twice; half of
/// them open a new one for the second submission.
const CONSUMERS_PER_HOST: usize = 8;
const PATH: &str = "/file/w40";
const TIME_MS: u64 = 5_000;
const SMALL_BODY_BYTES: usize = 1_200;
const LARGE_BODY_BYTES: usize = 3_000_000;
/// `max-body-bytes` of the first configuration and of the second one.
const FIRST_LIMIT: &str = "\"max-body-bytes\":1048576";
const SECOND_LIMIT: &str = "\"max-body-bytes\":67108864";
/// How long all is calm before: over twice `stable-window-ms`.
const CALM: Duration = Duration::from_secs(8);
/// How long after the first submission the configuration changes, and how long after that the
/// second submission is sent. A connection rests for less than four fifths of
/// `idle-timeout-ms`, which is 15,000.
const CHANGES_AFTER: Duration = Duration::from_secs(2);
const SENT_AFTER: Duration = Duration::from_secs(5);
/// `config-apply-ms`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

pub fn play(record: &Record) -> Result<Verdict, CaseError> {
    let size = Size {
        hosts: 3,
        instances: 6,
        annex_instances: 0,
        slots: 6,
    };
    let first = if has_trouble() {
        config(3, "").replace(SECOND_LIMIT, FIRST_LIMIT)
    } else {
        config(3, "")
    };
    let fleet = Deployment::start(&size, &first, record)?;
    std::thread::sleep(CALM);
    let requests = Requests::default();
    let all = CONSUMERS_PER_HOST * size.hosts;
    let is_changed = Arc::new(Barrier::new(all + 1));
    let mut consumers = Vec::new();
    for number in 0..all {
        let front = fleet.plan[number % size.hosts].front;
        let keeps = number / size.hosts % 2 == 0;
        let (requests, record, is_changed) =
            (requests.clone(), record.clone(), is_changed.clone());
        consumers.push(std::thread::spawn(move || {
            submit_twice(front, keeps, &requests, &record, &is_changed)
        }));
    }
    std::thread::sleep(CHANGES_AFTER);
    fleet.store.put("op/config", &config(7, ""));
    let changed_at = Instant::now();
    record.line("store acknowledges r7, which allows bodies of 67108864 bytes");
    std::thread::sleep(SENT_AFTER);
    is_changed.wait();
    let (mut kept, mut opened) = (Vec::new(), Vec::new());
    for (number, consumer) in consumers.into_iter().enumerate() {
        let request = consumer.join().map_err(|_| "a consumer has failed")?;
        if number / size.hosts % 2 == 0 {
            kept.push(request);
        } else {
            opened.push(request);
        }
    }
    Ok(judge(&requests, &kept, &opened, changed_at, record))
}

/// Submits a small body, and after the change a large one, on the same connection if `keeps`.
/// Returns the number of the second request.
fn submit_twice(
    front: SocketAddr,
    keeps: bool,
    requests: &Requests,
    record: &Record,
    is_changed: &Barrier,
) -> usize {
    let mut stream = connect(front).expect("a host that is ready takes connections");
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut number = 0;
    for body_bytes in [SMALL_BODY_BYTES, LARGE_BODY_BYTES] {
        let id = new_id();
        let more = format!("Content-Length: {body_bytes}\r\n");
        let mut message = head("POST", PATH, &id, TIME_MS, &more).into_bytes();
        message.resize(message.len() + body_bytes, b'x');
        number = requests.start(&id, front);
        record.line(&format!("request {id} to {front}: {body_bytes} bytes"));
        // A host may answer before it has read everything.
        let _ = stream.write_all(&message);
        let answer = read_message(&mut reader);
        let end = answer.map_or(End::Cut, |answer| End::Answered(answer.status()));
        requests.end(number, end, record);
        if body_bytes == SMALL_BODY_BYTES {
            is_changed.wait();
        }
        if !keeps {
            stream = connect(front).expect("a host that is ready takes connections");
            reader = BufReader::new(stream.try_clone().expect("a second handle"));
        }
    }
    number
}

/// Counts the large submissions on kept connections that were refused as only the older
/// configuration allows.
fn judge(
    requests: &Requests,
    kept: &[usize],
    opened: &[usize],
    changed_at: Instant,
    record: &Record,
) -> Verdict {
    let all = requests.all();
    let count = |numbers: &[usize], status: u16| {
        let sent_late = |number: &&usize| all[**number].sent_at > changed_at + CONFIG_APPLY;
        let numbers = numbers.iter().filter(sent_late);
        let ended = numbers.filter(|number| all[**number].end == Some(End::Answered(status)));
        ended.count()
    };
    let refused = count(kept, 413) + count(opened, 413);
    record.tell(&format!(
        "large submissions on kept connections: {} answered with 200, {} refused with 413; on new ones: {} and {}",
        count(kept, 200),
        count(kept, 413),
        count(opened, 200),
        count(opened, 413)
    ));
    if refused > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
