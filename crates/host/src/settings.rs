//! Settings of a host, read from flags and environment variables.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use waxwingusher_core::{FailureDomain, HostId};
use waxwingusher_edge::EdgeSettings;
use waxwingusher_protocol::secret::FleetSecret;

/// The minimum length of the operators' token.
pub const MIN_OPERATOR_TOKEN_BYTES: usize = 16;

/// All settings of one host.
#[derive(Debug, Clone)]
pub struct HostSettings {
    /// The host's name.
    pub host_id: HostId,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// All failure domains of the fleet, in the same order on all hosts.
    pub failure_domains: Vec<FailureDomain>,
    /// The callers' edge.
    pub edge: EdgeSettings,
    /// Where operators connect.
    pub operator_addr: SocketAddr,
    /// Where peers send datagrams and open connections.
    pub peer_addr: SocketAddr,
    /// The configuration service.
    pub config_service: SocketAddr,
    /// The secret with which hosts of the fleet authenticate each other.
    pub fleet_secret: FleetSecret,
    /// The token of operators; without one, only the health endpoints and the
    /// OpenAPI description are served.
    pub operator_token: Option<Arc<str>>,
    /// Where metrics are sent.
    pub statsd_addr: Option<SocketAddr>,
    /// Threads that forward requests.
    pub workers: usize,
    /// The most requests of one workspace that may be queued.
    pub queue_per_workspace: usize,
    /// How long a loan of rate and burst lasts; the same on all hosts.
    pub loan_term: Duration,
    /// How long a request may wait for a loan, within its deadline.
    pub loan_wait: Duration,
    /// How long an operation with an idempotency key runs at most once; the same
    /// on all hosts.
    pub attempt_window: Duration,
    /// When the fleet opens for the first time, if it is new: no host has
    /// served a request before.
    pub fleet_opens_at: Option<SystemTime>,
    /// Peers to contact while there is no host list.
    pub seed_peers: Vec<SeedPeer>,
}

/// A peer that is known without a host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedPeer {
    /// The peer's name.
    pub id: HostId,
    /// Where the peer receives messages.
    pub addr: SocketAddr,
}

/// A setting that is missing or not allowed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("--{flag} ({variable}): {problem}; allowed: {allowed}")]
pub struct SettingError {
    /// The flag.
    pub flag: &'static str,
    /// The environment variable.
    pub variable: &'static str,
    /// What is wrong with the value.
    pub problem: SettingProblem,
    /// What is allowed.
    pub allowed: &'static str,
}

/// What is wrong with a setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingProblem {
    /// There is no value and no default.
    #[error("no value is given")]
    Missing,
    /// The value is not allowed.
    #[error("`{0}` is not allowed")]
    Invalid(Arc<str>),
    /// The value is not allowed; it is not shown, since it may be a secret.
    #[error("the value is not allowed")]
    InvalidSecret,
}

/// One setting: its names, its default and what is allowed.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// The flag, without dashes.
    pub flag: &'static str,
    /// The environment variable.
    pub variable: &'static str,
    /// The value if none is given.
    pub default: Option<&'static str>,
    /// What is allowed, for messages.
    pub allowed: &'static str,
}

const fn setting(
    flag: &'static str,
    variable: &'static str,
    default: Option<&'static str>,
    allowed: &'static str,
) -> Setting {
    Setting {
        flag,
        variable,
        default,
        allowed,
    }
}

const HOST_ID: Setting = setting("host-id", "WAXWINGUSHER_HOST_ID", None, "a name");
const FAILURE_DOMAIN: Setting = setting(
    "failure-domain",
    "WAXWINGUSHER_FAILURE_DOMAIN",
    None,
    "one of the names in --failure-domains",
);
const FAILURE_DOMAINS: Setting = setting(
    "failure-domains",
    "WAXWINGUSHER_FAILURE_DOMAINS",
    None,
    "names of all failure domains, separated by commas, alike on all hosts",
);
const CALLER_ADDR: Setting = setting(
    "caller-addr",
    "WAXWINGUSHER_CALLER_ADDR",
    Some("0.0.0.0:8080"),
    "an IP number and a port",
);
const OPERATOR_ADDR: Setting = setting(
    "operator-addr",
    "WAXWINGUSHER_OPERATOR_ADDR",
    Some("127.0.0.1:8081"),
    "an IP number and a port",
);
const PEER_ADDR: Setting = setting(
    "peer-addr",
    "WAXWINGUSHER_PEER_ADDR",
    Some("0.0.0.0:8082"),
    "an IP number and a port",
);
const CONFIG_SERVICE: Setting = setting(
    "config-service",
    "WAXWINGUSHER_CONFIG_SERVICE",
    None,
    "an IP number and a port",
);
const STATSD_ADDR: Setting = setting(
    "statsd-addr",
    "WAXWINGUSHER_STATSD_ADDR",
    Some("none"),
    "an IP number and a port, or `none`",
);
const FLEET_SECRET: Setting = setting(
    "fleet-secret",
    "WAXWINGUSHER_FLEET_SECRET",
    None,
    "at least 32 bytes, in the environment only",
);
const FLEET_SECRET_ACCEPTED: Setting = setting(
    "fleet-secret-accepted",
    "WAXWINGUSHER_FLEET_SECRET_ACCEPTED",
    Some("none"),
    "at least 32 bytes, in the environment only, or `none`",
);
const OPERATOR_TOKEN: Setting = setting(
    "operator-token",
    "WAXWINGUSHER_OPERATOR_TOKEN",
    Some("none"),
    "at least 16 bytes, in the environment only, or `none`",
);
const WORKERS: Setting = setting("workers", "WAXWINGUSHER_WORKERS", Some("128"), "1 to 2048");
const QUEUE_PER_WORKSPACE: Setting = setting(
    "queue-per-workspace",
    "WAXWINGUSHER_QUEUE_PER_WORKSPACE",
    Some("64"),
    "1 to 65536",
);
const MAX_CONNECTIONS: Setting = setting(
    "max-connections",
    "WAXWINGUSHER_MAX_CONNECTIONS",
    Some("4096"),
    "1 to 65536",
);
const MAX_BODY_BYTES: Setting = setting(
    "max-body-bytes",
    "WAXWINGUSHER_MAX_BODY_BYTES",
    Some("16777216"),
    "0 to 1073741824",
);
const MAX_TOTAL_BODY_BYTES: Setting = setting(
    "max-total-body-bytes",
    "WAXWINGUSHER_MAX_TOTAL_BODY_BYTES",
    Some("268435456"),
    "1048576 to 1099511627776",
);
const DRAIN_TIMEOUT_MS: Setting = setting(
    "drain-timeout-ms",
    "WAXWINGUSHER_DRAIN_TIMEOUT_MS",
    Some("30000"),
    "0 to 600000",
);
const LOAN_TERM_MS: Setting = setting(
    "loan-term-ms",
    "WAXWINGUSHER_LOAN_TERM_MS",
    Some("10000"),
    "500 to 600000, alike on all hosts",
);
const LOAN_WAIT_MS: Setting = setting(
    "loan-wait-ms",
    "WAXWINGUSHER_LOAN_WAIT_MS",
    Some("300"),
    "0 to 60000",
);
const ATTEMPT_WINDOW_MS: Setting = setting(
    "attempt-window-ms",
    "WAXWINGUSHER_ATTEMPT_WINDOW_MS",
    Some("600000"),
    "1000 to 86400000, alike on all hosts",
);
const FLEET_OPENS_AT: Setting = setting(
    "fleet-opens-at",
    "WAXWINGUSHER_FLEET_OPENS_AT",
    Some("none"),
    "seconds since 1970, alike on all hosts of a new fleet, or `none`",
);
const SEED_PEERS: Setting = setting(
    "seed-peers",
    "WAXWINGUSHER_SEED_PEERS",
    Some("none"),
    "host names with addresses, such as `north-1=10.0.0.1:8082`, separated by commas, or `none`",
);

/// Returns all settings, for the manual.
#[must_use]
pub fn all_settings() -> Vec<Setting> {
    vec![
        HOST_ID,
        FAILURE_DOMAIN,
        FAILURE_DOMAINS,
        CALLER_ADDR,
        OPERATOR_ADDR,
        PEER_ADDR,
        CONFIG_SERVICE,
        STATSD_ADDR,
        FLEET_SECRET,
        FLEET_SECRET_ACCEPTED,
        OPERATOR_TOKEN,
        WORKERS,
        QUEUE_PER_WORKSPACE,
        MAX_CONNECTIONS,
        MAX_BODY_BYTES,
        MAX_TOTAL_BODY_BYTES,
        DRAIN_TIMEOUT_MS,
        LOAN_TERM_MS,
        LOAN_WAIT_MS,
        ATTEMPT_WINDOW_MS,
        FLEET_OPENS_AT,
        SEED_PEERS,
    ]
}

/// A source of settings.
pub trait SettingSource {
    /// Returns the value of a flag, if it was given.
    fn flag(&self, flag: &str) -> Option<String>;

    /// Returns the value of an environment variable, if it is set.
    fn variable(&self, variable: &str) -> Option<String>;
}

impl HostSettings {
    /// Reads all settings; a flag takes precedence over its environment variable.
    ///
    /// # Errors
    ///
    /// Returns every setting that is missing or not allowed.
    pub fn read(source: &dyn SettingSource) -> Result<Self, Vec<SettingError>> {
        let mut reader = SettingReader {
            source,
            errors: Vec::new(),
        };
        let settings = reader.read_all();
        match settings {
            Some(settings) if reader.errors.is_empty() => Ok(settings),
            _ => Err(reader.errors),
        }
    }
}

struct SettingReader<'a> {
    source: &'a dyn SettingSource,
    errors: Vec<SettingError>,
}

impl SettingReader<'_> {
    /// Reads every setting before it fails, so that all errors are reported.
    fn read_all(&mut self) -> Option<HostSettings> {
        let host_id = self.parse(HOST_ID, parse_name);
        let failure_domains = self.parse(FAILURE_DOMAINS, parse_failure_domains);
        let failure_domain = self.failure_domain(failure_domains.as_deref());
        let edge = self.edge();
        let operator_addr = self.parse(OPERATOR_ADDR, parse_from_str);
        let peer_addr = self.parse(PEER_ADDR, parse_from_str);
        let config_service = self.parse(CONFIG_SERVICE, parse_from_str);
        let statsd_addr = self.parse(STATSD_ADDR, parse_optional);
        let fleet_secret = self.fleet_secrets();
        let operator_token = self.operator_token();
        let workers = self.parse(WORKERS, |text| parse_in_range(text, 1, 2_048));
        let queue_per_workspace =
            self.parse(QUEUE_PER_WORKSPACE, |text| parse_in_range(text, 1, 65_536));
        let loan_term = self.parse(LOAN_TERM_MS, |text| parse_millis(text, 500, 600_000));
        let loan_wait = self.parse(LOAN_WAIT_MS, |text| parse_millis(text, 0, 60_000));
        let attempt_window = self.parse(ATTEMPT_WINDOW_MS, |text| {
            parse_millis(text, 1_000, 86_400_000)
        });
        let fleet_opens_at = self.parse(FLEET_OPENS_AT, parse_epoch_time);
        let seed_peers = self.parse(SEED_PEERS, parse_seed_peers);
        Some(HostSettings {
            host_id: HostId::new(&host_id?),
            failure_domain: failure_domain?,
            failure_domains: failure_domains?,
            edge: edge?,
            operator_addr: operator_addr?,
            peer_addr: peer_addr?,
            config_service: config_service?,
            fleet_secret: fleet_secret?,
            operator_token: operator_token?,
            statsd_addr: statsd_addr?,
            workers: workers?,
            queue_per_workspace: queue_per_workspace?,
            loan_term: loan_term?,
            loan_wait: loan_wait?,
            attempt_window: attempt_window?,
            fleet_opens_at: fleet_opens_at?,
            seed_peers: seed_peers?,
        })
    }

    fn edge(&mut self) -> Option<EdgeSettings> {
        let listen = self.parse(CALLER_ADDR, parse_from_str);
        let max_connections = self.parse(MAX_CONNECTIONS, |text| parse_in_range(text, 1, 65_536));
        let max_body_bytes = self.parse(MAX_BODY_BYTES, |text| parse_in_range(text, 0, 1 << 30));
        let max_total_body_bytes = self.parse(MAX_TOTAL_BODY_BYTES, |text| {
            parse_in_range(text, 1 << 20, 1 << 40)
        });
        let drain_timeout = self.parse(DRAIN_TIMEOUT_MS, |text| parse_millis(text, 0, 600_000));
        Some(EdgeSettings {
            listen: listen?,
            max_connections: max_connections?,
            max_body_bytes: max_body_bytes?,
            max_total_body_bytes: max_total_body_bytes?,
            drain_timeout: drain_timeout?,
            ..EdgeSettings::default()
        })
    }

    fn failure_domain(&mut self, known: Option<&[FailureDomain]>) -> Option<FailureDomain> {
        self.parse(FAILURE_DOMAIN, |text| {
            let domain = FailureDomain::new(text);
            let is_known = known.is_none_or(|known| known.contains(&domain));
            (is_known && !text.is_empty()).then_some(domain)
        })
    }

    fn parse<T>(&mut self, setting: Setting, parse: impl Fn(&str) -> Option<T>) -> Option<T> {
        let text = self.raw_value(setting)?;
        let value = parse(text.trim());
        if value.is_none() {
            let problem = SettingProblem::Invalid(Arc::from(text));
            self.add_error(setting, problem);
        }
        value
    }

    fn raw_value(&mut self, setting: Setting) -> Option<String> {
        let given = self.source.flag(setting.flag);
        let given = given.or_else(|| self.source.variable(setting.variable));
        let text = given.or_else(|| setting.default.map(str::to_owned));
        if text.is_none() {
            self.add_error(setting, SettingProblem::Missing);
        }
        text
    }

    /// Reads the fleet's secret and the second one that is accepted, if any. Both
    /// come from the environment only, so that they do not appear in a list of
    /// processes.
    fn fleet_secrets(&mut self) -> Option<FleetSecret> {
        let accepted = self.source.variable(FLEET_SECRET_ACCEPTED.variable);
        let accepted = accepted.filter(|text| text != "none");
        let accepted = accepted.map(|text| self.secret(FLEET_SECRET_ACCEPTED, &text));
        let Some(text) = self.source.variable(FLEET_SECRET.variable) else {
            self.add_error(FLEET_SECRET, SettingProblem::Missing);
            return None;
        };
        let secret = self.secret(FLEET_SECRET, &text)?;
        match accepted {
            Some(accepted) => Some(secret.accepting(&accepted?)),
            None => Some(secret),
        }
    }

    fn secret(&mut self, setting: Setting, text: &str) -> Option<FleetSecret> {
        let secret = FleetSecret::new(text);
        if secret.is_err() {
            self.add_error(setting, SettingProblem::InvalidSecret);
        }
        secret.ok()
    }

    fn operator_token(&mut self) -> Option<Option<Arc<str>>> {
        let text = self.source.variable(OPERATOR_TOKEN.variable);
        match text.as_deref() {
            None | Some("none") => Some(None),
            Some(token) if token.len() >= MIN_OPERATOR_TOKEN_BYTES => Some(Some(Arc::from(token))),
            Some(_) => {
                self.add_error(OPERATOR_TOKEN, SettingProblem::InvalidSecret);
                None
            }
        }
    }

    fn add_error(&mut self, setting: Setting, problem: SettingProblem) {
        self.errors.push(SettingError {
            flag: setting.flag,
            variable: setting.variable,
            problem,
            allowed: setting.allowed,
        });
    }
}

fn parse_from_str<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

fn parse_optional<T: FromStr>(text: &str) -> Option<Option<T>> {
    if text == "none" {
        return Some(None);
    }
    text.parse().ok().map(Some)
}

fn parse_in_range(text: &str, min: usize, max: usize) -> Option<usize> {
    text.parse().ok().filter(|n| (min..=max).contains(n))
}

fn parse_millis(text: &str, min_ms: usize, max_ms: usize) -> Option<Duration> {
    let millis = parse_in_range(text, min_ms, max_ms)?;
    Some(Duration::from_millis(u64::try_from(millis).ok()?))
}

fn parse_name(text: &str) -> Option<String> {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (!text.is_empty() && text.chars().all(fits)).then(|| text.to_owned())
}

fn parse_failure_domains(text: &str) -> Option<Vec<FailureDomain>> {
    let mut domains = Vec::new();
    for part in text.split(',') {
        domains.push(FailureDomain::new(&parse_name(part.trim())?));
    }
    domains.sort();
    domains.dedup();
    Some(domains)
}

fn parse_epoch_time(text: &str) -> Option<Option<SystemTime>> {
    let seconds: Option<u64> = parse_optional(text)?;
    Some(seconds.map(|seconds| SystemTime::UNIX_EPOCH + Duration::from_secs(seconds)))
}

fn parse_seed_peers(text: &str) -> Option<Vec<SeedPeer>> {
    if text == "none" {
        return Some(Vec::new());
    }
    let mut peers = Vec::new();
    for part in text.split(',') {
        let (id, addr) = part.trim().split_once('=')?;
        peers.push(SeedPeer {
            id: HostId::new(&parse_name(id)?),
            addr: addr.parse().ok()?,
        });
    }
    Some(peers)
}
