//! The hosts under test, as processes.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::net;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/waxwingusher";
const ROLE: &str = "gateway";
/// How long all hosts may take to report that they are ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

struct Host {
    front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    process: Option<Child>,
}

/// The hosts. Dropping it ends all processes.
pub struct Fleet {
    hosts: Vec<Host>,
    dir: PathBuf,
}

impl Fleet {
    /// Starts one host for each address of the store.
    pub fn start(stores: &[SocketAddr]) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("waxwingusher-review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let addrs = net::free_addrs(3 * stores.len())?;
        let (fronts, rest) = addrs.split_at(stores.len());
        let (readies, controls) = rest.split_at(stores.len());
        let seeds: Vec<String> = controls.iter().take(3).map(SocketAddr::to_string).collect();
        let mut fleet = Self {
            hosts: Vec::new(),
            dir,
        };
        for (number, store) in stores.iter().enumerate() {
            let settings = fleet.dir.join(format!("{number}.conf"));
            let (front, ready) = (fronts[number], readies[number]);
            let text = settings_text(number, front, ready, controls[number], &seeds, *store);
            fs::write(&settings, text)?;
            fleet.hosts.push(Host {
                front,
                ready,
                settings,
                process: None,
            });
        }
        for number in 0..stores.len() {
            fleet.spawn(number)?;
        }
        Ok(fleet)
    }

    /// Starts the process of a host.
    pub fn spawn(&mut self, number: usize) -> io::Result<()> {
        let host = &mut self.hosts[number];
        let process = Command::new(PROGRAM)
            .arg(ROLE)
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| name == "PATH" || name == "HOME"))
            .env("WAXWINGUSHER_BOOT", &host.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        host.process = Some(process);
        Ok(())
    }

    /// Sends SIGKILL to the process of a host.
    pub fn kill(&mut self, number: usize) -> io::Result<()> {
        if let Some(mut process) = self.hosts[number].process.take() {
            process.kill()?;
            process.wait()?;
        }
        Ok(())
    }

    /// Returns the address of a host for clients.
    pub fn front(&self, number: usize) -> SocketAddr {
        self.hosts[number].front
    }

    /// Waits until all hosts report that they are ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + START_TIMEOUT;
        for host in &self.hosts {
            while !is_ready(host.ready) {
                if Instant::now() >= until {
                    return Err("a host did not become ready".to_owned());
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for number in 0..self.hosts.len() {
            // The process has ended already if this fails.
            let _ = self.kill(number);
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn is_ready(addr: SocketAddr) -> bool {
    let headers = [("Host", "ready"), ("Connection", "close")];
    let answer = net::connect(addr)
        .and_then(|mut reader| net::get(&mut reader, "/waxwingusher/readiness", &headers));
    answer.is_ok_and(|answer| answer.status() == 200)
}

/// Returns a settings file with the bounds of chhutighar-edge.
fn settings_text(
    number: usize,
    front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    seeds: &[String],
    store: SocketAddr,
) -> String {
    format!(
        "self.node=frontend-zone-a-{number}\n\
         self.role=gateway\n\
         self.machine-class=frontend\n\
         self.serves=frontend,control_plane\n\
         self.ip-address=127.0.0.1\n\
         self.zone=zone-a\n\
         self.region=region-a\n\
         self.counts-toward-tolerance=false\n\
         self.first-start=true\n\
         self.limits.cpu-share=0.2\n\
         self.limits.cpu-cores=1\n\
         self.limits.memory-mb=260\n\
         self.limits.file-descriptors=4100\n\
         self.limits.link-mbps=1000.0\n\
         self.limits.disk-mb=0\n\
         network.listen-addresses.front={front}\n\
         network.listen-addresses.ready={ready}\n\
         network.listen-addresses.control={control}\n\
         network.internal-port-range=7660,7675\n\
         network.seed-nodes={}\n\
         network.zones.zone-a=region-a\n\
         platform.discovery=platform\n\
         platform.entry=virtual_ip\n\
         platform.heartbeat-interval-ms=1500\n\
         platform.platform.address={store}\n\
         platform.platform.form=read\n\
         platform.platform.writes-per-s=400\n\
         platform.platform.reads-per-s=2000\n\
         platform.platform.history-s=20\n\
         platform.platform.value-bytes=1048576\n\
         platform.platform.ttl-min-ms=1000\n\
         terms.contracts=base,drain,config,cost,retry,recover,health,tenants,quota,platform\n\
         terms.fault-tolerance.machines=2\n\
         terms.fault-tolerance.zones=0\n\
         terms.fault-tolerance.regions=0\n\
         terms.bounds.seed-lag-s=3\n\
         terms.bounds.reuse-after-s=2\n\
         terms.bounds.stable-window-ms=3000\n\
         terms.bounds.acknowledge-ms=4000\n\
         terms.bounds.catch-up-s=4\n\
         terms.bounds.drain-ms=2000\n\
         terms.bounds.grace-s=6\n\
         terms.bounds.lost-slack-ms=200\n\
         terms.bounds.config-apply-ms=2000\n\
         terms.bounds.rollback-slack-ms=250\n\
         terms.bounds.partition-stretch-ms=5000\n\
         terms.bounds.strict-revocation=false\n\
         terms.bounds.revoke-ms=5000\n\
         terms.bounds.retry-budget-ratio=0.2\n\
         terms.bounds.budget-window-s=10\n\
         terms.bounds.retry-budget-slack=56\n\
         terms.bounds.quota-window-s=5\n\
         terms.bounds.quota-overshoot=0.25\n\
         terms.bounds.quota-slack=20\n\
         terms.bounds.recovery-s=15\n\
         terms.bounds.probes-per-s=3\n\
         terms.bounds.floor-share=0.7\n",
        seeds.join(",")
    )
}
