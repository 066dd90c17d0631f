//! Starts an emulated fleet and changes it while it runs.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};

use waxwingusher_config::resolve::{TeamText, resolve};
use waxwingusher_config::{CheckErrors, Pack, PublicationError, publish};
use waxwingusher_core::{
    CancelToken, FailureDomain, HostEntry, HostId, HostList, HostState, SystemClock,
};
use waxwingusher_edge::EdgeSettings;
use waxwingusher_host::{Host, HostError, HostSettings};
use waxwingusher_protocol::secret::{FleetSecret, SecretTooShort};
use waxwingusher_standins::{
    ConfigService, PortBlock, StandinError, UpstreamServer, UpstreamSettings,
};

use crate::caller::{Caller, Operation};
use crate::plan::FleetPlan;
use crate::team_file;

/// The service of an emulated fleet.
pub const SERVICE: &str = "desk";

/// The operators' token of an emulated fleet.
pub const OPERATOR_TOKEN: &str = "emulated-operator-token";

const SECRET: &str = "a secret of an emulated fleet, not of a real one";
/// How long the hosts of a fleet may take until they are ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// The minimum time before the fleet opens when it is started again.
const MIN_OPENING_DELAY: Duration = Duration::from_secs(1);
/// How long the ports of a stopped host may remain in use.
const PORT_RELEASE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(10);

/// An emulated fleet could not be started or changed.
#[derive(Debug, thiserror::Error)]
pub enum EmulatorError {
    /// A stand-in failed.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// A host could not be started.
    #[error(transparent)]
    Host(#[from] HostError),
    /// The fleet secret is not allowed.
    #[error(transparent)]
    Secret(#[from] SecretTooShort),
    /// The configuration was refused.
    #[error("{0}")]
    Config(#[from] CheckErrors),
    /// The configuration could not be published.
    #[error(transparent)]
    Publication(#[from] PublicationError),
    /// A caller's connection failed.
    #[error("a caller's connection failed: {0}")]
    Caller(#[from] std::io::Error),
    /// No ports are free for a host.
    #[error("cannot reserve ports for a host: {0}")]
    Ports(std::io::Error),
    /// A condition did not hold in time.
    #[error("{what} took longer than {} s", limit.as_secs())]
    TooSlow {
        /// The expected condition.
        what: &'static str,
        /// The time limit.
        limit: Duration,
    },
}

/// A host of the fleet, running or stopped.
pub struct FleetHost {
    /// The host's entry in the host list.
    pub entry: HostEntry,
    /// Where callers connect.
    pub caller_addr: SocketAddr,
    /// Where operators and the balancer connect.
    pub operator_addr: SocketAddr,
    /// The host, while it runs.
    pub host: Option<Host>,
    /// The host's ports, which stay reserved while it is stopped.
    ports: HostPorts,
}

/// The reserved addresses on which a host listens.
#[derive(Debug, Clone)]
struct HostPorts(PortBlock);

impl HostPorts {
    fn reserve() -> Result<Self, EmulatorError> {
        PortBlock::reserve().map(Self).map_err(EmulatorError::Ports)
    }

    fn caller(&self) -> SocketAddr {
        self.0.addr(0)
    }

    fn operator(&self) -> SocketAddr {
        self.0.addr(1)
    }

    fn peer(&self) -> SocketAddr {
        self.0.addr(2)
    }
}

/// A running fleet with its platform and upstreams.
pub struct Fleet {
    /// The plan that the fleet was built from.
    pub plan: FleetPlan,
    /// The configuration service.
    pub service: ConfigService,
    /// The upstream instances.
    pub upstreams: Vec<UpstreamServer>,
    /// The hosts.
    pub hosts: Vec<FleetHost>,
    config_version: u64,
    list_version: u64,
    next_incarnation: u64,
    opens_at: SystemTime,
    _token: CancelToken,
}

impl Fleet {
    /// Starts the stand-ins and all hosts, publishes the configuration, and
    /// waits until every host is ready.
    ///
    /// Hosts that learn of each other only after the fleet opens cannot vouch
    /// for keyed operations. If a busy machine exceeds the plan's opening delay,
    /// the fleet is started again with twice the delay.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be started.
    pub fn start(mut plan: FleetPlan, seed: u64) -> Result<Self, EmulatorError> {
        loop {
            let fleet = Self::start_once(plan.clone(), seed)?;
            fleet.wait_until_ready(START_TIMEOUT)?;
            if fleet.covers_attempt_window() {
                return Ok(fleet);
            }
            if plan.opens_after > START_TIMEOUT {
                return Err(EmulatorError::TooSlow {
                    what: "learning of all hosts before the fleet opens",
                    limit: START_TIMEOUT,
                });
            }
            log::warn!(
                "emulator: The fleet opened before all hosts had the host list; it is started again."
            );
            fleet.kill_all();
            plan.opens_after = (plan.opens_after * 2).max(MIN_OPENING_DELAY);
        }
    }

    fn start_once(plan: FleetPlan, seed: u64) -> Result<Self, EmulatorError> {
        let token = CancelToken::new();
        let service = ConfigService::start(&token)?;
        let mut upstreams = Vec::new();
        for index in 0..plan.instances_per_domain * plan.failure_domains.len() {
            let settings = UpstreamSettings {
                slots: plan.slots as usize,
                service_time: plan.service_time,
                seed: seed + index as u64,
                ..UpstreamSettings::default()
            };
            upstreams.push(UpstreamServer::start(settings, &token)?);
        }
        let mut fleet = Self {
            service,
            upstreams,
            hosts: Vec::new(),
            config_version: 0,
            list_version: 0,
            next_incarnation: seed.wrapping_mul(1_000_003).wrapping_add(1),
            opens_at: SystemTime::now() + plan.opens_after,
            plan,
            _token: token,
        };
        fleet.publish_config()?;
        fleet.start_hosts()?;
        fleet.publish_hosts()?;
        Ok(fleet)
    }

    /// Returns the caller addresses of all ready hosts.
    #[must_use]
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        let running = self.hosts.iter().filter_map(|host| host.host.as_ref());
        running
            .filter(|host| host.is_ready())
            .map(Host::caller_addr)
            .collect()
    }

    /// Publishes the plan as the next version of the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is refused.
    pub fn publish_config(&mut self) -> Result<u64, EmulatorError> {
        self.config_version += 1;
        let file = TeamText {
            path: PathBuf::from("emulated.toml"),
            text: team_file::write(&self.plan, &self.upstreams),
        };
        let snapshot = resolve(&[file], self.config_version)?;
        let publication = publish(&snapshot)?;
        for pack in &publication.packs {
            self.service
                .put(&Pack::service_key(&pack.digest), &pack.bytes)?;
        }
        self.service.put(
            waxwingusher_config::publication::MANIFEST_KEY,
            &publication.manifest,
        )?;
        Ok(self.config_version)
    }

    /// Publishes the list of hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if the service refuses it.
    pub fn publish_hosts(&mut self) -> Result<(), EmulatorError> {
        self.list_version += 1;
        let mut hosts: Vec<_> = self.hosts.iter().map(|host| host.entry.clone()).collect();
        hosts.sort_by(|a, b| a.id.cmp(&b.id));
        let list = HostList {
            version: self.list_version,
            hosts,
        };
        self.service.put_hosts(&list)?;
        Ok(())
    }

    /// Waits until every running host has at least this configuration version,
    /// and returns how long it took.
    ///
    /// # Errors
    ///
    /// Returns an error if it takes longer than the limit.
    pub fn wait_for_config(
        &self,
        version: u64,
        limit: Duration,
    ) -> Result<Duration, EmulatorError> {
        wait_until("a configuration in force at all hosts", limit, || {
            let mut running = self.hosts.iter().filter_map(|host| host.host.as_ref());
            running.all(|host| host.config_version().is_some_and(|known| known >= version))
        })
    }

    /// Waits until every running host is ready, and returns how long it took.
    ///
    /// # Errors
    ///
    /// Returns an error if it takes longer than the limit.
    pub fn wait_until_ready(&self, limit: Duration) -> Result<Duration, EmulatorError> {
        wait_until("readiness of all hosts", limit, || {
            let mut running = self.hosts.iter().filter_map(|host| host.host.as_ref());
            running.all(Host::is_ready)
        })
    }

    /// Waits until every host admits requests of every workspace.
    ///
    /// # Errors
    ///
    /// Returns an error if it takes longer than the limit.
    pub fn wait_until_admitting(&self, limit: Duration) -> Result<Duration, EmulatorError> {
        let caller = Caller::new();
        wait_until("admission of all workspaces at all hosts", limit, || {
            let mut pairs = self.caller_addrs().into_iter().flat_map(|addr| {
                let workspaces = self.plan.workspaces.iter();
                workspaces.map(move |workspace| (addr, workspace))
            });
            pairs.all(|(addr, workspace)| {
                let name = &workspace.name;
                let probe = Operation::submission("/desk/echo", &workspace.key, "probe");
                let probe = Operation {
                    idempotency_key: Some(format!("probe-{addr}-{name}-{}", fastrand::u64(..))),
                    ..probe
                };
                let answer = caller.send(addr, &probe);
                answer.is_ok_and(|answer| answer.status == 200)
            })
        })
    }

    /// Begins a planned stop of a host: it is listed as leaving, drains and
    /// stops. The returned thread ends when the host has stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if the list cannot be published.
    pub fn begin_stop(&mut self, index: usize) -> Result<JoinHandle<()>, EmulatorError> {
        self.hosts[index].entry.state = HostState::Leaving;
        self.publish_hosts()?;
        let host = self.hosts[index].host.take();
        Ok(std::thread::spawn(move || {
            if let Some(host) = host {
                host.shut_down();
            }
        }))
    }

    /// Kills a host without notice. It stays in the host list.
    pub fn kill_host(&mut self, index: usize) {
        if let Some(host) = self.hosts[index].host.take() {
            host.kill();
        }
    }

    fn kill_all(mut self) {
        for index in 0..self.hosts.len() {
            self.kill_host(index);
        }
    }

    fn covers_attempt_window(&self) -> bool {
        let mut running = self.hosts.iter().filter_map(|host| host.host.as_ref());
        running.all(Host::covers_attempt_window)
    }

    /// Restarts a stopped or killed host under its name, on other ports and
    /// without its state.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot start.
    pub fn restart_host(&mut self, index: usize) -> Result<(), EmulatorError> {
        self.restart_host_on(index, &HostPorts::reserve()?)
    }

    /// Restarts a stopped or killed host under its name and on its ports, without
    /// its state.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot start.
    pub fn restart_host_in_place(&mut self, index: usize) -> Result<(), EmulatorError> {
        let ports = self.hosts[index].ports.clone();
        self.restart_host_on(index, &ports)
    }

    /// Starts a host under a new name.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot start.
    pub fn add_host(&mut self, id: HostId, domain: &FailureDomain) -> Result<(), EmulatorError> {
        let host = self.start_fleet_host(id, domain, HostPorts::reserve()?)?;
        self.hosts.push(host);
        self.publish_hosts()
    }

    /// Removes a stopped host from the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the list cannot be published.
    pub fn drop_host(&mut self, index: usize) -> Result<(), EmulatorError> {
        self.hosts.remove(index);
        self.publish_hosts()
    }

    fn restart_host_on(&mut self, index: usize, ports: &HostPorts) -> Result<(), EmulatorError> {
        let former = self.hosts[index].entry.clone();
        let started = Instant::now();
        let host = loop {
            let domain = &former.failure_domain;
            let host = self.start_fleet_host(former.id.clone(), domain, ports.clone());
            // Threads of the former host may hold its ports for a moment, as both
            // hosts run in one process here.
            match host {
                Err(EmulatorError::Host(e)) if started.elapsed() < PORT_RELEASE_TIMEOUT => {
                    log::debug!("emulator: {} cannot start yet: {e}.", former.id);
                    std::thread::sleep(POLL);
                }
                other => break other?,
            }
        };
        self.hosts[index] = host;
        self.publish_hosts()
    }

    fn start_fleet_host(
        &mut self,
        id: HostId,
        domain: &FailureDomain,
        ports: HostPorts,
    ) -> Result<FleetHost, EmulatorError> {
        let host = self.start_host(&id, domain, &ports)?;
        let entry = HostEntry {
            id,
            peer_addr: host.peer_addr(),
            failure_domain: domain.clone(),
            state: HostState::Live,
        };
        Ok(FleetHost {
            entry,
            caller_addr: host.caller_addr(),
            operator_addr: host.operator_addr(),
            host: Some(host),
            ports,
        })
    }

    fn start_hosts(&mut self) -> Result<(), EmulatorError> {
        for domain in self.plan.failure_domains.clone() {
            for index in 0..self.plan.hosts_per_domain {
                let id = HostId::new(&format!("{domain}-{index}"));
                let failure_domain = FailureDomain::new(&domain);
                let host = self.start_fleet_host(id, &failure_domain, HostPorts::reserve()?)?;
                self.hosts.push(host);
            }
        }
        Ok(())
    }

    fn start_host(
        &mut self,
        id: &HostId,
        failure_domain: &FailureDomain,
        ports: &HostPorts,
    ) -> Result<Host, EmulatorError> {
        self.next_incarnation = self.next_incarnation.wrapping_add(7_919);
        let domains = self.plan.failure_domains.iter();
        let settings = HostSettings {
            host_id: id.clone(),
            failure_domain: failure_domain.clone(),
            failure_domains: domains.map(|name| FailureDomain::new(name)).collect(),
            edge: EdgeSettings {
                listen: ports.caller(),
                drain_notice: Duration::from_secs(2),
                ..EdgeSettings::default()
            },
            operator_addr: ports.operator(),
            peer_addr: ports.peer(),
            config_service: self.service.addr(),
            fleet_secret: FleetSecret::new(SECRET)?,
            operator_token: Some(Arc::from(OPERATOR_TOKEN)),
            statsd_addr: None,
            workers: self.plan.workers,
            queue_per_workspace: 256,
            loan_term: self.plan.loan_term,
            loan_wait: self.plan.loan_wait,
            attempt_window: self.plan.attempt_window,
            fleet_opens_at: Some(self.opens_at),
            seed_peers: Vec::new(),
        };
        let clock = Arc::new(SystemClock);
        Ok(Host::start(settings, clock, self.next_incarnation)?)
    }
}

/// Waits until a condition holds, and returns how long it took.
///
/// # Errors
///
/// Returns an error if it takes longer than the limit.
pub fn wait_until(
    what: &'static str,
    limit: Duration,
    condition: impl Fn() -> bool,
) -> Result<Duration, EmulatorError> {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > limit {
            return Err(EmulatorError::TooSlow { what, limit });
        }
        std::thread::sleep(POLL);
    }
    Ok(started.elapsed())
}
