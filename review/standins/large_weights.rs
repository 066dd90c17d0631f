//! CONFIG: a configuration with large weights stops all hosts for seconds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::callers::{End, HOST_NAME, Requests, head, new_id, send_once};
use crate::record::Record;
use crate::{CaseError, Deployment, Size, Verdict, config, has_trouble};

/// The routes whose requests are split.
const SPLIT_ROUTES: u32 = 4;
/// The weights of the second configuration, and those of the first one, in the same
/// proportion.
const LARGE_WEIGHTS: [u32; 2] = [900_000_000, 100_000_000];
const SMALL_WEIGHTS: [u32; 2] = [90, 10];
/// The consumers of each host. Each sends one request after the other, which runs for 40 ms.
const CONSUMERS_PER_HOST: usize = 6;
const TIME_MS: u64 = 8_000;
const PAUSE: Duration = Duration::from_millis(100);
/// The routes' `timeout-ms`, and how long after it the last answer is due.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2_000);
const ANSWER_DUE: Duration = Duration::from_millis(2_500);
/// How long all is calm before: over twice `stable-window-ms`.
const CALM: Duration = Duration::from_secs(8);
/// How long the second configuration is watched.
const WATCHED: Duration = Duration::from_secs(20);

pub fn play(record: &Record) -> Result<Verdict, CaseError> {
    let size = Size {
        hosts: 3,
        instances: 4,
        annex_instances: 3,
        slots: 6,
    };
    let fleet = Deployment::start(&size, &split_config(3, SMALL_WEIGHTS), record)?;
    let requests = Requests::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut consumers = Vec::new();
    for host in &fleet.plan {
        for number in 0..CONSUMERS_PER_HOST {
            let (requests, record, is_over) = (requests.clone(), record.clone(), is_over.clone());
            let front: SocketAddr = host.front;
            consumers.push(std::thread::spawn(move || {
                let path = format!("/split{}/w40", number % SPLIT_ROUTES as usize);
                while !is_over.load(Ordering::SeqCst) {
                    let id = new_id();
                    let text = head("GET", &path, &id, TIME_MS, "Connection: close\r\n");
                    send_once(&requests, &record, front, &text, &id, b"");
                    std::thread::sleep(PAUSE);
                }
            }));
        }
    }
    std::thread::sleep(CALM);
    let changed_at = Instant::now();
    let weights = if has_trouble() {
        LARGE_WEIGHTS
    } else {
        SMALL_WEIGHTS
    };
    fleet.store.put("op/config", &split_config(7, weights));
    record.line(&format!("store acknowledges r7 with weights {weights:?}"));
    std::thread::sleep(WATCHED);
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    Ok(judge(&requests, changed_at, record))
}

fn split_config(version: u32, weights: [u32; 2]) -> String {
    let [first, second] = weights;
    let routes: Vec<String> = (0..SPLIT_ROUTES)
        .map(|number| {
            format!(
                ",{{\"name\":\"split{number}\",\"host\":\"{HOST_NAME}\",\"prefix\":\"/split{number}/\",\
                 \"kind\":\"safe\",\"timeout-ms\":2000,\"target-latency-ms\":1000,\"priority\":1,\
                 \"traffic-split\":[{{\"service\":\"desk\",\"weight\":{first}}},\
                 {{\"service\":\"annex\",\"weight\":{second}}}],\
                 \"max-attempts\":2,\"allow-anonymous\":false}}"
            )
        })
        .collect();
    config(version, &routes.concat())
}

/// Of the requests that are unanswered at `timeout-ms`, counts those that have no answer
/// half a second later.
fn judge(requests: &Requests, changed_at: Instant, record: &Record) -> Verdict {
    let (mut all, mut slow, mut late, mut longest) = (0, 0, 0, Duration::ZERO);
    for request in requests.all() {
        if request.sent_at < changed_at - ROUTE_TIMEOUT {
            continue;
        }
        all += 1;
        let took = request.ended_at.unwrap_or_else(Instant::now) - request.sent_at;
        longest = longest.max(took);
        slow += usize::from(took >= ROUTE_TIMEOUT);
        if took >= ANSWER_DUE
            || !matches!(request.end, Some(End::Answered(_))) && took >= ROUTE_TIMEOUT
        {
            late += 1;
            record.line(&format!(
                "CONFIG: request {} ended after {} ms",
                request.id,
                took.as_millis()
            ));
        }
    }
    record.tell(&format!(
        "{all} requests since the change, {slow} unanswered at timeout-ms, {late} of them 0.5 s later, \
         the longest took {} ms",
        longest.as_millis()
    ));
    if 2 * late > slow {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
