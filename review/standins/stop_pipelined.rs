//! LOST: a planned stop cuts requests of a consumer that keeps further safe requests on
//! its connection.

use std::time::{Duration, Instant};

use crate::callers::{End, Pipeline, Requests};
use crate::record::Record;
use crate::{CaseError, Deployment, Size, Verdict, config, has_trouble};

/// The consumers' load: each sends a request every 150 ms, which runs for 300 ms.
const CONSUMERS_PER_HOST: usize = 3;
const INTERVAL: Duration = Duration::from_millis(150);
/// The consumers do not send in step.
const STAGGER: Duration = Duration::from_millis(37);
const PATH: &str = "/read/w300";
const TIME_MS: u64 = 4_000;
/// How long all is calm before the stop: over twice `stable-window-ms`.
const CALM: Duration = Duration::from_secs(8);
/// `grace-s`, and 1 s after it.
const GRACE: Duration = Duration::from_secs(6);
const PLANNED: Duration = Duration::from_secs(7);
/// The sixth of `grace-s` and the time for sending that excuse a long run.
const LAST_SIXTH: Duration = Duration::from_secs(1);
const EXCUSED_SENDING: Duration = Duration::from_secs(3);
/// The route's `timeout-ms`.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2_000);

pub fn play(record: &Record) -> Result<Verdict, CaseError> {
    let size = Size {
        hosts: 3,
        instances: 6,
        annex_instances: 0,
        slots: 6,
    };
    let mut fleet = Deployment::start(&size, &config(3, ""), record)?;
    let requests = Requests::default();
    let until = Instant::now() + CALM + PLANNED + Duration::from_secs(2);
    let mut consumers = Vec::new();
    for number in 0..CONSUMERS_PER_HOST * size.hosts {
        let fronts: Vec<_> = fleet.plan.iter().map(|host| host.front).collect();
        let (requests, record) = (requests.clone(), record.clone());
        consumers.push(std::thread::spawn(move || {
            std::thread::sleep(STAGGER * u32::try_from(number).unwrap_or_default());
            // The first connection goes to the host that the balancer chose; after its end
            // the consumer is sent to a host that stays.
            let mut target = fronts[number % fronts.len()];
            while Instant::now() < until {
                let pipeline = Pipeline {
                    host: target,
                    path: PATH.to_owned(),
                    time_ms: TIME_MS,
                    interval: INTERVAL,
                    until,
                };
                pipeline.run(&requests, &record);
                target = fronts[1 + number % (fronts.len() - 1)];
            }
        }));
    }
    std::thread::sleep(CALM);
    let stopped_at = Instant::now();
    if has_trouble() {
        fleet.hosts[0].signal("TERM");
        while !fleet.hosts[0].has_ended() {
            if stopped_at.elapsed() >= GRACE {
                fleet.hosts[0].signal("KILL");
                fleet.hosts[0].wait();
                break;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let took = stopped_at.elapsed().as_millis();
        record.tell(&format!("host frontend-1 ended {took} ms after SIGTERM"));
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    Ok(judge(&fleet, &requests, stopped_at, record))
}

/// Counts the requests of the stopped host that were passed on and got no response, less
/// those that the rule excuses.
fn judge(fleet: &Deployment, requests: &Requests, stopped_at: Instant, record: &Record) -> Verdict {
    let runs = fleet.runs.all();
    let front = fleet.plan[0].front;
    let (mut answered, mut lost) = (0, 0);
    for request in requests.all() {
        if matches!(request.end, Some(End::Answered(_))) {
            answered += 1;
        }
        let ended_at = request.ended_at.unwrap_or_else(Instant::now);
        let is_cut = matches!(request.end, Some(End::Cut | End::BehindClose));
        let is_planned = ended_at >= stopped_at && ended_at < stopped_at + PLANNED;
        if !is_cut || request.host != front || !is_planned {
            continue;
        }
        let Some(run) = runs.iter().find(|run| run.request == request.id) else {
            continue;
        };
        let was_at_work_late = run
            .ended_at
            .is_none_or(|at| at >= stopped_at + GRACE - LAST_SIXTH);
        let was_sent_early = request.sent_at <= stopped_at + EXCUSED_SENDING;
        let used = ended_at.saturating_duration_since(request.sent_at);
        if (was_at_work_late && was_sent_early) || used >= ROUTE_TIMEOUT {
            continue;
        }
        lost += 1;
        let sent_ms = request
            .sent_at
            .saturating_duration_since(stopped_at)
            .as_millis();
        record.tell(&format!(
            "LOST: request {}, sent {sent_ms} ms after SIGTERM, ran at {} and its connection \
             ended after {} ms without a response ({:?})",
            request.id,
            run.instance,
            used.as_millis(),
            request.end
        ));
    }
    record.tell(&format!("{answered} requests answered, {lost} lost"));
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
