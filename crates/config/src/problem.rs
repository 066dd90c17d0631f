//! Problems of a configuration and their locations.

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;

use serde::Serialize;

/// Whether a finding prevents publication.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The configuration cannot be published.
    Error,
    /// The configuration can be published but probably contains a mistake.
    Warning,
}

/// A line of a team's file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Location {
    /// The file.
    pub file: PathBuf,
    /// The line, counted from 1.
    pub line: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file.display(), self.line)
    }
}

/// A problem of the configuration. Messages never contain a caller's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, thiserror::Error)]
#[serde(tag = "code", rename_all = "kebab-case")]
#[allow(missing_docs, reason = "the names and messages describe the fields")]
pub enum Problem {
    /// The file is not valid TOML.
    #[error("invalid TOML: {message}")]
    Syntax { message: String },
    /// A value has the wrong type.
    #[error("`{key}` is {found}, allowed is {allowed}")]
    WrongType {
        key: String,
        found: &'static str,
        allowed: &'static str,
    },
    /// A required key is missing.
    #[error("`{key}` is missing, allowed is {allowed}")]
    MissingKey {
        key: &'static str,
        allowed: &'static str,
    },
    /// A key is not known.
    #[error("unknown key `{key}`{}; allowed are {}", hint(near.as_deref()), list(allowed))]
    UnknownKey {
        key: String,
        near: Option<String>,
        allowed: Vec<&'static str>,
    },
    /// A value is not one of the allowed words.
    #[error("`{key}` is \"{value}\", allowed are {}", list(allowed))]
    UnknownWord {
        key: &'static str,
        value: String,
        allowed: Vec<&'static str>,
    },
    /// A number is out of range.
    #[error("`{key}` is {value}, allowed is {allowed}")]
    OutOfRange {
        key: &'static str,
        value: String,
        allowed: &'static str,
    },
    /// A name is too long, is empty or has characters that are not allowed.
    #[error(
        "the name \"{name}\" is not allowed; a name has 1 to 64 lower-case letters, digits, `-`, `_` or `.`"
    )]
    BadName { name: String },
    /// A name is declared twice.
    #[error("{kind} `{name}` is already declared by {owner} at {first}; a name has one owner")]
    DuplicateName {
        kind: &'static str,
        name: String,
        owner: Arc<str>,
        first: Location,
    },
    /// A value of `key-digests` is not a digest. It may be a key, so the message
    /// does not contain it.
    #[error(
        "a value of `key-digests` is not a digest and is not shown; allowed is `sha256:` and 64 hexadecimal digits, as `waxwingusher key` prints it"
    )]
    NotADigest,
    /// Two workspaces list the same key.
    #[error("a key digest of workspace `{workspace}` is also listed by workspace `{other}`")]
    SharedKey { workspace: String, other: String },
    /// A workspace lists a key twice.
    #[error("workspace `{workspace}` lists a key digest twice")]
    RepeatedKey { workspace: String },
    /// A workspace has no key.
    #[error("workspace `{workspace}` has no key digest, so no caller can use it")]
    NoKey { workspace: String },
    /// Two routes match the same requests.
    #[error(
        "route `{route}` overlaps route `{other}`: both take {methods} on `{prefix}`; allowed is one route for a prefix and method"
    )]
    OverlappingRoutes {
        route: String,
        other: String,
        methods: String,
        prefix: Arc<str>,
    },
    /// A route names a service that no file declares.
    #[error("service `{service}` is not declared by any file{}", hint(near.as_deref()))]
    UnknownService {
        service: String,
        near: Option<String>,
    },
    /// A route names a workspace that no file declares.
    #[error("workspace `{workspace}` is not declared by any file{}", hint(near.as_deref()))]
    UnknownWorkspace {
        workspace: String,
        near: Option<String>,
    },
    /// A method is not allowed.
    #[error(
        "`{method}` is not an allowed method; allowed are GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"
    )]
    BadMethod { method: Arc<str> },
    /// A method is listed as idempotent, but the route does not accept it.
    #[error("`{method}` is in `idempotent-methods` but not in `methods`")]
    MethodNotTaken { method: Arc<str> },
    /// A method that HTTP does not define as idempotent is listed as such.
    #[error(
        "`{method}` is listed in `idempotent-methods`; its requests may then run more than once, which is allowed only with `allow-unsafe-repeats = true`"
    )]
    UnsafeRepeat { method: Arc<str> },
    /// A path does not start with a slash, or has a query, a fragment or white
    /// space.
    #[error("`{key}` is \"{path}\"; allowed is a path that starts with `/`, without `?` and `#`")]
    BadPath { key: &'static str, path: Arc<str> },
    /// An open route has no rate limit.
    #[error("an open route needs `open-rate-per-s` and `open-burst`")]
    OpenWithoutLimit,
    /// A keyed route has the rate limit of an open route.
    #[error("`open-rate-per-s` and `open-burst` are allowed only with `access = \"open\"`")]
    LimitOnKeyedRoute,
    /// An open route lists workspaces.
    #[error("`workspaces` is allowed only with `access = \"keyed\"`")]
    WorkspacesOnOpenRoute,
    /// Two instances of a service have the same address.
    #[error("instance `{instance}` has the same `addr` as instance `{other}`")]
    SharedAddress { instance: String, other: String },
    /// A service has no live instance.
    #[error("service `{service}` has no live instance")]
    NoInstance { service: String },
    /// The floor prevents the ejection of any instance.
    #[error(
        "a floor of {floor_percent}% of {slots} slots leaves no instance ejectable; the smallest instance has {smallest} slots"
    )]
    FloorAllowsNoEjection {
        floor_percent: u8,
        slots: u64,
        smallest: u32,
    },
    /// An entry is too large to publish.
    #[error("`{name}` takes {size_bytes} bytes when published; allowed are {limit_bytes}")]
    TooLarge {
        name: String,
        size_bytes: usize,
        limit_bytes: usize,
    },
}

impl Problem {
    /// Creates the problem of a number that must not be zero.
    #[must_use]
    pub fn zero_not_allowed(key: &'static str, allowed: &'static str) -> Self {
        Self::OutOfRange {
            key,
            value: "0".to_owned(),
            allowed,
        }
    }
}

fn hint(near: Option<&str>) -> String {
    near.map(|near| format!(", did you mean `{near}`?"))
        .unwrap_or_default()
}

fn list(words: &[&'static str]) -> String {
    words.join(", ")
}

/// A problem with its severity and location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Whether the problem prevents publication.
    pub severity: Severity,
    /// The line; absent if the configuration was not read from files.
    pub location: Option<Location>,
    /// The problem, with the allowed values.
    #[serde(flatten)]
    pub problem: Problem,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(location) = &self.location {
            write!(f, "{location}: ")?;
        }
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{severity}: {}", self.problem)
    }
}

/// All findings of a configuration, at least one of which is an error.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}", lines(findings))]
pub struct CheckErrors {
    /// The findings, sorted by file and line.
    pub findings: Vec<Finding>,
}

fn lines(findings: &[Finding]) -> String {
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
