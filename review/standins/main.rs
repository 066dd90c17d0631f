//! The cases of the review that are scripts.
//!
//! `cases NAME FOLDER` plays the case NAME in a temporary folder and writes `record.txt` to
//! FOLDER. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
//! run. With `TROUBLE=0` in the environment it leaves the disruption out.

mod callers;
mod hosts;
mod http;
mod instance;
mod record;
mod store;

mod crash_after_restarts;
mod crash_silently;
mod cut_watches;
mod foreign_entries;
mod large_bodies;
mod large_entries;
mod large_weights;
mod late_writes;
mod raised_limits;
mod stop_pipelined;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use crate::hosts::{Host, HostTerms, plan_hosts};
use crate::instance::{Instance, InstanceTerms, Runs};
use crate::record::Record;
use crate::store::Store;

/// The longest time until a host is ready.
pub const START_TIME: Duration = Duration::from_secs(10);

/// The longest time that a case may take.
const CASE_TIME: Duration = Duration::from_secs(115);

/// Whether the rule held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// The case could not run.
pub type CaseError = Box<dyn std::error::Error>;

/// A small deployment that serves.
pub struct Deployment {
    pub store: Store,
    pub plan: Vec<HostTerms>,
    pub hosts: Vec<Host>,
    pub instances: Vec<Instance>,
    pub runs: Runs,
    pub record: Record,
    folder: PathBuf,
}

/// What a deployment consists of.
pub struct Size {
    pub hosts: usize,
    /// The instances of the service `desk`.
    pub instances: usize,
    /// The instances of the service `annex`.
    pub annex_instances: usize,
    pub slots: usize,
}

impl Deployment {
    /// Starts the store, the instances and the hosts, and waits until all are ready.
    pub fn start(size: &Size, config: &str, record: &Record) -> Result<Self, CaseError> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let (store, runs) = (Store::start()?, Runs::default());
        store.put("op/config", config);
        let zones = ["kolkata-north", "howrah"];
        let mut instances = Vec::new();
        for number in 0..size.instances + size.annex_instances {
            let service = if number < size.instances {
                "desk"
            } else {
                "annex"
            };
            let terms = InstanceTerms {
                name: format!("{service}{}", number + 1),
                service: service.to_owned(),
                zone: zones[number % zones.len()].to_owned(),
                slots: size.slots,
            };
            instances.push(Instance::start(terms, &store, &runs, record)?);
        }
        let plan = plan_hosts(size.hosts, &zones)?;
        let mut hosts = Vec::new();
        for terms in &plan {
            hosts.push(Host::start(terms, &plan, store.addr, &folder, record)?);
        }
        for host in &hosts {
            if !host.wait_until_ready(START_TIME) {
                return Err(format!("host {} is not ready", host.terms.name).into());
            }
        }
        Ok(Self {
            store,
            plan,
            hosts,
            instances,
            runs,
            record: record.clone(),
            folder,
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // Processes end before their folder is removed.
        self.hosts.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a configuration with a safe route `/read/` and an unsafe one `/file/`, both of the
/// service `desk`, and a service `annex`.
pub fn config(version: u32, more_routes: &str) -> String {
    let host = callers::HOST_NAME;
    let key = callers::KEY;
    format!(
        "{{\"version\":\"r{version}\",\"routes\":[\
         {{\"name\":\"read\",\"host\":\"{host}\",\"prefix\":\"/read/\",\"kind\":\"safe\",\
         \"timeout-ms\":2000,\"target-latency-ms\":1000,\"priority\":2,\"service\":\"desk\",\
         \"max-attempts\":2,\"allow-anonymous\":false}},\
         {{\"name\":\"file\",\"host\":\"{host}\",\"prefix\":\"/file/\",\"kind\":\"unsafe\",\
         \"timeout-ms\":2000,\"target-latency-ms\":1000,\"priority\":1,\"service\":\"desk\",\
         \"max-attempts\":2,\"allow-anonymous\":false}}{more_routes}],\
         \"services\":[{{\"name\":\"desk\",\"health-check-path\":\"/health\",\
         \"max-connections\":330,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"annex\",\"health-check-path\":\"/health\",\
         \"max-connections\":330,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"college\",\"api-keys\":[\"{key}\"],\"priority\":1,\
         \"requests-per-s\":0,\"burst\":0}}]}}"
    )
}

/// Reports whether the case is to play its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn play(name: &str, record: &Record) -> Result<Verdict, CaseError> {
    match name {
        "crash-after-restarts" => crash_after_restarts::play(record),
        "crash-silently" => crash_silently::play(record),
        "cut-watches" => cut_watches::play(record),
        "foreign-entries" => foreign_entries::play(record),
        "large-bodies" => large_bodies::play(record),
        "large-entries" => large_entries::play(record),
        "large-weights" => large_weights::play(record),
        "late-writes" => late_writes::play(record),
        "raised-limits" => raised_limits::play(record),
        "stop-pipelined" => stop_pipelined::play(record),
        _ => Err(format!("there is no case `{name}`").into()),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = arguments.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    std::thread::spawn(|| {
        std::thread::sleep(CASE_TIME);
        hosts::kill_all();
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let played = std::panic::catch_unwind(|| play(name, &record));
    let played = played.unwrap_or_else(|_| Err("a stand-in has failed".into()));
    match played {
        Ok(Verdict::Held) => {
            record.tell("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.tell("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.tell(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
