//! The hosts that read the store are killed and start again, and then instances leave that do
//! not report that they drain.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::Fleet;
use crate::instance::{Instance, Runs};
use crate::load::Load;
use crate::record::Record;
use crate::store::Store;

const HOSTS: usize = 9;
/// The largest share of hosts that are killed: 3 of 9.
const MAX_KILLED_HOSTS: usize = 3;
const ROUNDS: usize = 3;
/// The instances that leave in each round, and the time between them.
const LEAVING_PER_ROUND: usize = 3;
const LEAVING_GAP: Duration = Duration::from_millis(150);
/// The instances that stay.
const STAYING: usize = 4;
const DRAIN: Duration = Duration::from_millis(2_000);
/// The delay after which the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// How long requests are sent after the instances have left.
const WATCHED: Duration = Duration::from_millis(3_500);
/// The time until all hosts are in touch, and the next round.
const CALM: Duration = Duration::from_secs(7);
/// The time between the last watches that mark a host as a reader.
const WATCH_INTERVAL: Duration = Duration::from_millis(1_600);

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let (store, stores) = Store::start(HOSTS).map_err(text)?;
    let runs = Runs::default();
    let mut leaving = Vec::new();
    for number in 0..STAYING + ROUNDS * LEAVING_PER_ROUND {
        let instance = Instance::start(&format!("i-{number}"), &runs).map_err(text)?;
        store.put(&instance.key(), &instance.entry());
        if number >= STAYING {
            leaving.push(instance);
        }
    }
    store.put("op/config", CONFIG);
    let mut fleet = Fleet::start(&stores).map_err(text)?;
    fleet.wait_until_ready()?;
    record.line(&format!("{HOSTS} hosts are ready"));
    thread::sleep(CALM);
    let mut late = 0;
    for round in 0..ROUNDS {
        let leaving = &leaving[round * LEAVING_PER_ROUND..][..LEAVING_PER_ROUND];
        late += run_round(
            record,
            &store,
            &mut fleet,
            &runs,
            leaving,
            round,
            has_trouble,
        )?;
        thread::sleep(CALM);
    }
    record.line(&format!("{late} requests arrived late in {ROUNDS} rounds"));
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Lets instances leave, and returns how many requests reached them later than the bound from
/// hosts in touch.
fn run_round(
    record: &Record,
    store: &Store,
    fleet: &mut Fleet,
    runs: &Runs,
    leaving: &[Instance],
    round: usize,
    has_trouble: bool,
) -> Result<usize, String> {
    let readers = store.watching(WATCH_INTERVAL);
    if readers.len() > MAX_KILLED_HOSTS || readers.is_empty() {
        return Err(format!("{} hosts read the store", readers.len()));
    }
    let in_touch = (0..HOSTS).filter(|host| !readers.contains(host));
    let in_touch: Vec<(usize, SocketAddr)> =
        in_touch.map(|host| (host, fleet.front(host))).collect();
    let load = Load::start(&format!("round{round}"), &in_touch, "key");
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        for host in &readers {
            fleet.kill(*host).map_err(|error| error.to_string())?;
        }
        record.line(&format!("round {round}: hosts {readers:?} are killed"));
        thread::sleep(RESTART_DELAY);
        for host in &readers {
            fleet.spawn(*host).map_err(|error| error.to_string())?;
        }
        record.line(&format!("round {round}: they start again"));
        fleet.wait_until_ready()?;
        record.line(&format!("round {round}: they are ready"));
    }
    let mut left: Vec<(&str, Instant)> = Vec::new();
    for instance in leaving {
        let acknowledged_at = store.remove(&instance.key());
        record.line_at(
            acknowledged_at,
            &format!(
                "round {round}: the removal of the entry of {} is acknowledged",
                instance.id
            ),
        );
        left.push((&instance.id, acknowledged_at));
        thread::sleep(LEAVING_GAP);
    }
    thread::sleep(WATCHED);
    let sent = load.stop();
    let sent: HashMap<&str, _> = sent
        .iter()
        .map(|sent| (sent.request.as_str(), sent))
        .collect();
    let mut late = 0;
    for (id, acknowledged_at) in left {
        let runs: Vec<_> = runs
            .lock()
            .unwrap()
            .iter()
            .filter(|run| run.instance == id)
            .cloned()
            .collect();
        let last = runs.iter().map(|run| run.arrived_at).max();
        for run in &runs {
            let Some(request) = sent.get(run.request.as_str()) else {
                continue;
            };
            if run.arrived_at <= acknowledged_at + DRAIN {
                continue;
            }
            late += 1;
            let after = run
                .arrived_at
                .saturating_duration_since(acknowledged_at)
                .as_millis();
            record.line_at(
                request.sent_at,
                &format!(
                    "round {round}: request {} is sent to host {}",
                    run.request, request.host
                ),
            );
            record.line_at(
                run.arrived_at,
                &format!(
                    "round {round}: {} reaches {id} {after} ms after the acknowledgement, answered {}",
                    run.request, request.status
                ),
            );
        }
        let after = last.map(|at| at.saturating_duration_since(acknowledged_at).as_millis());
        record.line(&format!(
            "round {round}: the last request reached {id} {after:?} ms after the acknowledgement"
        ));
    }
    record.line(&format!(
        "round {round}: {} requests sent, {late} arrived late",
        sent.len()
    ));
    Ok(late)
}

const CONFIG: &str = r#"{"version":"r1","routes":[{"name":"read","host":"shop.example","prefix":"/read/","kind":"safe","timeout-ms":2000,"target-latency-ms":1000,"priority":1,"service":"svc","max-attempts":2,"allow-anonymous":false}],"services":[{"name":"svc","health-check-path":"/health","max-connections":330,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"tenant","api-keys":["key"],"priority":1,"requests-per-s":0,"burst":0}]}"#;
