//! The form of a team's file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::model::{Access, Detection, InstanceState};

/// One team's file: services, routes and workspaces by name.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct TeamFile {
    /// The team that owns what the file declares.
    pub owner: Arc<str>,
    /// Services by name.
    pub service: BTreeMap<Arc<str>, ServiceTable>,
    /// Routes by name.
    pub route: BTreeMap<Arc<str>, RouteTable>,
    /// Workspaces by name.
    pub workspace: BTreeMap<Arc<str>, WorkspaceTable>,
}

/// A service as written in a file.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServiceTable {
    /// The part of all slots that stays in use, in percent.
    #[serde(default = "default_floor_percent")]
    pub floor_percent: u8,
    /// The trade of detection time against false ejections.
    #[serde(default)]
    pub detection: Detection,
    /// The path of the health endpoint.
    #[serde(default = "default_health_path")]
    pub health_path: Arc<str>,
    /// Instances by name.
    #[serde(default)]
    pub instance: BTreeMap<Arc<str>, InstanceTable>,
}

/// An instance as written in a file.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct InstanceTable {
    /// The address as IP number and port.
    pub addr: SocketAddr,
    /// Requests that the instance works on at once.
    pub slots: u32,
    /// The failure domain.
    pub failure_domain: Arc<str>,
    /// Whether the instance takes new work.
    #[serde(default)]
    pub state: InstanceState,
}

/// A route as written in a file.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RouteTable {
    /// The service that answers.
    pub service: Arc<str>,
    /// The path prefix.
    pub path_prefix: Arc<str>,
    /// Methods that the route takes; empty for all.
    #[serde(default)]
    pub methods: Vec<Arc<str>>,
    /// Methods whose requests may be repeated.
    #[serde(default = "default_idempotent_methods")]
    pub idempotent_methods: Vec<Arc<str>>,
    /// Who may use the route.
    #[serde(default = "default_access")]
    pub access: Access,
    /// Requests a second of an open route.
    pub open_rate_per_s: Option<f64>,
    /// Requests at once of an open route.
    pub open_burst: Option<u32>,
    /// Workspaces that may use a keyed route; empty for all.
    #[serde(default)]
    pub workspaces: Vec<Arc<str>>,
    /// How long a request may take, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

/// A workspace as written in a file.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct WorkspaceTable {
    /// Digests of the valid keys, each `sha256:` and hexadecimal digits.
    pub key_digests: Vec<Arc<str>>,
    /// Requests a second over all hosts.
    pub rate_per_s: f64,
    /// Requests at once over all hosts.
    pub burst: u32,
    /// The share of a loaded host relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A team's file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{path}: cannot be read: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not valid TOML of the documented form.
    #[error("{path}: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// The cause, with line and column.
        source: Box<toml::de::Error>,
    },
}

impl TeamFile {
    /// Parses the text of a team's file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and the line if the text is not of
    /// the documented form.
    pub fn parse(path: &std::path::Path, text: &str) -> Result<Self, FileError> {
        toml::from_str(text).map_err(|source| FileError::Parse {
            path: path.to_owned(),
            source: Box::new(source),
        })
    }
}

fn default_floor_percent() -> u8 {
    70
}

fn default_health_path() -> Arc<str> {
    Arc::from("/health")
}

fn default_idempotent_methods() -> Vec<Arc<str>> {
    ["GET", "HEAD", "OPTIONS"].map(Arc::from).to_vec()
}

fn default_access() -> Access {
    Access::Keyed
}

fn default_deadline_ms() -> u64 {
    5_000
}

fn default_weight() -> u32 {
    1
}
