//! The store leaves the calls of the hosts that read it unanswered and serves all others,
//! while a key is taken away.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::Fleet;
use crate::instance::{Instance, Run, Runs};
use crate::load::Load;
use crate::record::Record;
use crate::store::Store;

const HOSTS: usize = 9;
/// The largest share of hosts that the store turns away: 3 of 9.
const MAX_SILENT_HOSTS: usize = 3;
const ROUNDS: usize = 4;
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// How long the store turns hosts away, as the site's days have it.
const SILENCE: Duration = Duration::from_secs(5);
/// How long before the next round all hosts are in touch again: the stable window, the
/// longest wait of a watch and some time.
const CALM: Duration = Duration::from_secs(7);
/// The time between the last watches that mark a host as a reader.
const WATCH_INTERVAL: Duration = Duration::from_millis(1_600);

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let (store, stores) = Store::start(HOSTS).map_err(text)?;
    let runs = Runs::default();
    for number in 0..4 {
        let instance = Instance::start(&format!("i-{number}"), &runs).map_err(text)?;
        store.put(&instance.key(), &instance.entry());
    }
    store.put("op/config", &config(1, ROUNDS));
    let fleet = Fleet::start(&stores).map_err(text)?;
    fleet.wait_until_ready()?;
    record.line(&format!("{HOSTS} hosts are ready"));
    thread::sleep(CALM);
    let mut late = 0;
    for round in 0..ROUNDS {
        let joining = Instance::start(&format!("i-joins-{round}"), &runs).map_err(text)?;
        late += run_round(record, &store, &fleet, &runs, &joining, round, has_trouble)?;
        thread::sleep(CALM);
    }
    record.line(&format!("{late} requests ran late in {ROUNDS} rounds"));
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Takes one key away, and returns how many requests with it ran although they were sent
/// later than the bound to hosts in touch.
fn run_round(
    record: &Record,
    store: &Store,
    fleet: &Fleet,
    runs: &Runs,
    joining: &Instance,
    round: usize,
    has_trouble: bool,
) -> Result<usize, String> {
    let readers = store.watching(WATCH_INTERVAL);
    if readers.len() > MAX_SILENT_HOSTS || readers.is_empty() {
        return Err(format!("{} hosts read the store", readers.len()));
    }
    let in_touch = (0..HOSTS).filter(|host| !readers.contains(host));
    let in_touch: Vec<(usize, SocketAddr)> =
        in_touch.map(|host| (host, fleet.front(host))).collect();
    let key = key(round);
    let load = Load::start(&format!("round{round}"), &in_touch, &key);
    thread::sleep(Duration::from_secs(1));
    // All readers get an answer to their watches now.
    store.put(&joining.key(), &joining.entry());
    record.line(&format!("round {round}: instance {} joins", joining.id));
    thread::sleep(Duration::from_millis(30));
    if has_trouble {
        for host in &readers {
            store.set_silent(*host, true);
        }
        record.line(&format!(
            "round {round}: the store answers hosts {readers:?} no more"
        ));
    }
    let version = 2 + u64::try_from(round).unwrap_or_default();
    let acknowledged_at = store.put("op/config", &config(version, ROUNDS - 1 - round));
    record.line_at(
        acknowledged_at,
        &format!("round {round}: version r{version} without key {key} is acknowledged"),
    );
    thread::sleep(SILENCE);
    let sent = load.stop();
    for host in &readers {
        store.set_silent(*host, false);
    }
    record.line(&format!("round {round}: the store answers all hosts"));
    let ran: HashMap<String, Run> = {
        let runs = runs.lock().unwrap();
        runs.iter()
            .map(|run| (run.request.clone(), run.clone()))
            .collect()
    };
    let mut late = 0;
    let mut last: Option<Instant> = None;
    for request in &sent {
        let Some(run) = ran.get(&request.request) else {
            continue;
        };
        last = Some(request.sent_at);
        if request.sent_at <= acknowledged_at + CONFIG_APPLY {
            continue;
        }
        late += 1;
        let after = request
            .sent_at
            .saturating_duration_since(acknowledged_at)
            .as_millis();
        record.line_at(
            request.sent_at,
            &format!(
                "round {round}: request {} is sent to host {} with key {key}, {after} ms after the acknowledgement",
                request.request, request.host
            ),
        );
        record.line_at(
            run.arrived_at,
            &format!(
                "round {round}: instance {} runs {}, answered {}",
                run.instance, request.request, request.status
            ),
        );
    }
    let after = last.map(|at| at.saturating_duration_since(acknowledged_at).as_millis());
    record.line(&format!(
        "round {round}: {} requests sent, the last that ran {after:?} ms after the acknowledgement, {late} late",
        sent.len()
    ));
    Ok(late)
}

fn key(round: usize) -> String {
    format!("key-of-round-{round}")
}

/// Returns a configuration in which the last `keys` of the keys are left.
fn config(version: u64, keys: usize) -> String {
    let keys = ((ROUNDS - keys)..ROUNDS).map(|round| format!("\"{}\"", key(round)));
    let keys: Vec<String> = keys.collect();
    format!(
        r#"{{"version":"r{version}","routes":[{{"name":"read","host":"shop.example","prefix":"/read/","kind":"safe","timeout-ms":2000,"target-latency-ms":1000,"priority":1,"service":"svc","max-attempts":2,"allow-anonymous":false}}],"services":[{{"name":"svc","health-check-path":"/health","max-connections":330,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"stays","api-keys":["key-that-stays"],"priority":1,"requests-per-s":0,"burst":0}},{{"name":"tenant","api-keys":[{}],"priority":1,"requests-per-s":0,"burst":0}}]}}"#,
        keys.join(",")
    )
}
