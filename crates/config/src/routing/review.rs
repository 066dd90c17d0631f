//! Finds the mistakes in a published document, and what a publication changes for
//! callers.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use serde::Serialize;
use serde_json::{Value, json};
use waxwingusher_core::{KeyDigest, Region, ServiceName};

use crate::diff::Diff;
use crate::problem::Severity;
use crate::routing::document::{
    EntryKind, FindingEffect, PublishedService, PublishedWorkspace, Route, RoutingDocument,
};
use crate::routing::table::{RoutingError, check_route};
use crate::suggestion::closest;

/// A mistake in a published document. Messages never contain a caller's key.
#[derive(Debug, Clone, PartialEq, Serialize, thiserror::Error)]
#[serde(
    tag = "code",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case"
)]
#[allow(missing_docs, reason = "the names and messages describe the fields")]
pub enum Mistake {
    /// The entry or a value of it cannot be read.
    #[error("{cause}; hosts {}", match effect {
        FindingEffect::LeftOut => "leave the entry out",
        FindingEffect::Restricted => "use the entry with a safe value instead",
        FindingEffect::Ignored => "ignore the field",
    })]
    Unreadable {
        cause: String,
        effect: FindingEffect,
    },
    /// Hosts take only a configuration with a greater version.
    #[error("the version must be greater than r{published}, which is published")]
    VersionNotGreater { published: u64 },
    /// Two entries of one kind have the same name.
    #[error("another entry of this kind has the same name")]
    DuplicateName,
    /// A prefix does not begin and end with a slash.
    #[error("the prefix `{prefix}` must begin and end with a slash; hosts leave the route out")]
    BadPrefix { prefix: String },
    /// The route names a service that the document lacks.
    #[error("there is no service `{service}`{}; hosts leave the route out", hint(near.as_deref()))]
    UnknownService {
        service: String,
        near: Option<String>,
    },
    /// No service of the route has a weight above zero.
    #[error("no service has a weight above zero; hosts leave the route out")]
    NoWeight,
    /// The route allows no attempt.
    #[error("at least one attempt must be allowed; hosts leave the route out")]
    NoAttempts,
    /// An earlier route has the same host name and prefix.
    #[error("route `{other}` has the same host name and prefix and takes all requests")]
    Shadowed { other: String },
    /// No request can have the host name or a path with the prefix.
    #[error("no request matches: {cause}")]
    NeverMatches { cause: &'static str },
    /// A share of the route gets no requests.
    #[error("service `{service}` has weight 0 and gets no requests of this route")]
    ZeroWeight { service: String },
    /// The route names a service twice.
    #[error("service `{service}` is listed twice")]
    RepeatedService { service: String },
    /// No route sends requests to the service.
    #[error("no route sends requests to this service")]
    UnusedService,
    /// The timeout ends requests before they miss their target.
    #[error("the timeout of {timeout_ms} ms is below the latency target of {target_ms} ms")]
    TimeoutBelowTarget { timeout_ms: u64, target_ms: u64 },
    /// No answer meets the target.
    #[error("no answer meets a latency target of 0 ms")]
    ZeroTarget,
    /// The attempts of one request may take more connections than an instance has.
    #[error(
        "{max_attempts} attempts for a request, but an instance of `{service}` takes {max_connections} connections from all hosts together"
    )]
    TooManyAttempts {
        max_attempts: u32,
        service: String,
        max_connections: u32,
    },
    /// The route needs a key, but there is no workspace, so that hosts accept anyone.
    #[error("the route needs a key, but without any workspace hosts accept all callers")]
    NoWorkspaces,
    /// Requests of some workspaces have no region in common with the route.
    #[error(
        "no region is allowed both for this route and for {}; their requests are refused",
        some(workspaces, *workspace_count)
    )]
    NoCommonRegion {
        /// The first of them.
        workspaces: Vec<String>,
        workspace_count: usize,
    },
    /// The limit for cold instances has no duration.
    #[error("the limit for cold instances applies for 0 s")]
    ColdForNoTime,
    /// The workspace has no key.
    #[error("the workspace has no key, so no caller can use it")]
    NoKey,
    /// The workspace lists a key twice.
    #[error("a key is listed twice")]
    RepeatedKey,
    /// Another workspace holds the same key.
    #[error("workspace `{other}` holds the same key; hosts accept it for neither")]
    SharedKey { other: String },
    /// A rate or burst is negative.
    #[error("`{field}` is negative")]
    Negative { field: &'static str },
    /// No request fits into the burst.
    #[error("a burst of {burst} admits no request; hosts take it as 1")]
    BurstBelowOne { burst: f64 },
    /// A burst without a rate.
    #[error("without a rate there is no limit, and the burst of {burst} has no effect")]
    BurstWithoutRate { burst: f64 },
    /// Hosts can read no request.
    #[error("`{field}` is 0, so that hosts read no request")]
    NothingAllowed { field: &'static str },
}

fn hint(near: Option<&str>) -> String {
    near.map(|near| format!(", did you mean `{near}`?"))
        .unwrap_or_default()
}

/// How many workspaces a finding names.
const MAX_NAMED: usize = 5;

fn some(names: &[String], count: usize) -> String {
    let named: Vec<String> = names.iter().map(|name| format!("`{name}`")).collect();
    match count.saturating_sub(names.len()) {
        0 => named.join(", "),
        more => format!("{} and {more} more", named.join(", ")),
    }
}

impl Mistake {
    /// Returns whether the document is not in force as it is published, or is but
    /// probably not as it was meant.
    #[must_use]
    pub fn severity(&self) -> Severity {
        match self {
            Self::Unreadable {
                effect: FindingEffect::Ignored,
                ..
            } => Severity::Warning,
            Self::Unreadable { .. }
            | Self::VersionNotGreater { .. }
            | Self::DuplicateName
            | Self::BadPrefix { .. }
            | Self::UnknownService { .. }
            | Self::NoWeight
            | Self::NoAttempts
            | Self::Shadowed { .. }
            | Self::NeverMatches { .. }
            | Self::SharedKey { .. }
            | Self::Negative { .. }
            | Self::NothingAllowed { .. } => Severity::Error,
            Self::ZeroWeight { .. }
            | Self::RepeatedService { .. }
            | Self::UnusedService
            | Self::TimeoutBelowTarget { .. }
            | Self::ZeroTarget
            | Self::TooManyAttempts { .. }
            | Self::NoWorkspaces
            | Self::NoCommonRegion { .. }
            | Self::ColdForNoTime
            | Self::NoKey
            | Self::RepeatedKey
            | Self::BurstBelowOne { .. }
            | Self::BurstWithoutRate { .. } => Severity::Warning,
        }
    }
}

/// What a mistake is in. Numbers count from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Place {
    /// The document as a whole.
    Document,
    /// The limits for callers.
    Limits,
    /// The finding with this number in [`RoutingDocument::findings`].
    Finding(usize),
    /// The service with this number in [`RoutingDocument::services`].
    Service(usize),
    /// The route with this number in [`RoutingDocument::routes`].
    Route(usize),
    /// The workspace with this number in [`RoutingDocument::workspaces`].
    Workspace(usize),
}

/// A mistake and the entry that it is in.
#[derive(Debug, Clone, PartialEq)]
pub struct ReviewFinding {
    /// Which entry it is.
    pub place: Place,
    /// The kind of the entry; `None` for the document.
    pub entry: Option<EntryKind>,
    /// The name of the entry; empty for the document and the limits.
    pub name: String,
    /// The mistake.
    pub mistake: Mistake,
}

impl fmt::Display for ReviewFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.mistake.severity() {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{severity}: ")?;
        if let Some(entry) = self.entry {
            write!(f, "{}", entry.as_str())?;
            if !self.name.is_empty() {
                write!(f, " `{}`", self.name)?;
            }
            write!(f, ": ")?;
        }
        write!(f, "{}", self.mistake)
    }
}

/// Returns the mistakes in a document as it was parsed, before
/// [`RoutingDocument::leave_out_invalid`], in the order of [`Place`]. With `published`,
/// the configuration in force, the version is compared as well.
#[must_use]
pub fn review(
    document: &RoutingDocument,
    published: Option<&RoutingDocument>,
) -> Vec<ReviewFinding> {
    let mut review = Review {
        document,
        findings: Vec::new(),
    };
    if let Some(published) = published.filter(|published| published.version >= document.version) {
        let mistake = Mistake::VersionNotGreater {
            published: published.version,
        };
        review.add(Place::Document, mistake);
    }
    review.check_limits();
    review.check_parsed();
    review.check_services();
    review.check_routes();
    review.check_workspaces();
    review.findings.sort_by_key(|finding| finding.place);
    review.findings
}

struct Review<'a> {
    document: &'a RoutingDocument,
    findings: Vec<ReviewFinding>,
}

impl Review<'_> {
    fn add(&mut self, place: Place, mistake: Mistake) {
        let document = self.document;
        let (entry, name) = match place {
            Place::Document => (None, String::new()),
            Place::Limits => (Some(EntryKind::Limits), String::new()),
            Place::Finding(number) => {
                let finding = &document.findings[number];
                (Some(finding.entry), finding.name.clone())
            }
            Place::Service(number) => {
                let name = document.services[number].name.to_string();
                (Some(EntryKind::Service), name)
            }
            Place::Route(number) => {
                let name = document.routes[number].name.to_string();
                (Some(EntryKind::Route), name)
            }
            Place::Workspace(number) => {
                let name = document.workspaces[number].name.to_string();
                (Some(EntryKind::Workspace), name)
            }
        };
        self.findings.push(ReviewFinding {
            place,
            entry,
            name,
            mistake,
        });
    }

    /// Adds what was found as the document was parsed.
    fn check_parsed(&mut self) {
        for (number, finding) in self.document.findings.iter().enumerate() {
            let mistake = Mistake::Unreadable {
                cause: finding.cause.clone(),
                effect: finding.effect,
            };
            self.add(Place::Finding(number), mistake);
        }
    }

    fn check_limits(&mut self) {
        let limits = &self.document.limits;
        let fields = [
            ("max-header-bytes", limits.max_header_bytes == 0),
            ("header-timeout-ms", limits.header_timeout.is_zero()),
        ];
        for (field, is_zero) in fields {
            if is_zero {
                self.add(Place::Limits, Mistake::NothingAllowed { field });
            }
        }
    }

    fn check_services(&mut self) {
        let document = self.document;
        let shares = document.routes.iter().flat_map(|route| &route.split);
        let shares = shares.filter(|share| share.weight > 0);
        let used: HashSet<&ServiceName> = shares.map(|share| &share.service).collect();
        let mut names = HashSet::new();
        for (number, service) in document.services.iter().enumerate() {
            let place = Place::Service(number);
            if !names.insert(&service.name) {
                self.add(place, Mistake::DuplicateName);
            }
            if !used.contains(&service.name) {
                self.add(place, Mistake::UnusedService);
            }
            if service
                .cold_start
                .is_some_and(|cold| cold.duration.is_zero())
            {
                self.add(place, Mistake::ColdForNoTime);
            }
        }
    }

    fn check_routes(&mut self) {
        let document = self.document;
        let services = document.services.iter();
        let services: HashMap<&ServiceName, &PublishedService> =
            services.map(|service| (&service.name, service)).collect();
        let service_names: HashSet<&ServiceName> = services.keys().copied().collect();
        let regions = WorkspaceRegions::new(&document.workspaces);
        let mut names = HashSet::new();
        let mut taken: HashMap<(String, &str), &Route> = HashMap::new();
        for (number, route) in document.routes.iter().enumerate() {
            let place = Place::Route(number);
            if !names.insert(&route.name) {
                self.add(place, Mistake::DuplicateName);
            }
            match check_route(route, &service_names) {
                Err(RoutingError::UnknownService { .. }) => {
                    self.check_services_exist(place, route, &service_names);
                }
                Err(error) => self.add(place, to_mistake(error)),
                Ok(()) => {}
            }
            let matched = (route.host.to_ascii_lowercase(), route.prefix.as_str());
            match taken.get(&matched) {
                Some(first) => {
                    let other = first.name.to_string();
                    self.add(place, Mistake::Shadowed { other });
                }
                None => {
                    taken.insert(matched, route);
                }
            }
            if let Some(cause) = why_never_matched(route) {
                self.add(place, Mistake::NeverMatches { cause });
            }
            self.check_split(place, route);
            self.check_times(place, route);
            self.check_attempts(place, route, &services);
            if !route.is_open && document.workspaces.is_empty() {
                self.add(place, Mistake::NoWorkspaces);
            }
            let excluded = regions.without_common(&route.home_regions);
            if excluded.count > 0 {
                let mistake = Mistake::NoCommonRegion {
                    workspaces: excluded.names,
                    workspace_count: excluded.count,
                };
                self.add(place, mistake);
            }
        }
    }

    fn check_services_exist(
        &mut self,
        place: Place,
        route: &Route,
        services: &HashSet<&ServiceName>,
    ) {
        for share in &route.split {
            if services.contains(&share.service) {
                continue;
            }
            let names = services.iter().map(|name| name.as_str());
            let mistake = Mistake::UnknownService {
                near: closest(share.service.as_str(), names),
                service: share.service.to_string(),
            };
            self.add(place, mistake);
        }
    }

    fn check_split(&mut self, place: Place, route: &Route) {
        let has_weight = route.split.iter().any(|share| share.weight > 0);
        let mut seen = HashSet::new();
        for share in &route.split {
            let service = share.service.to_string();
            if !seen.insert(&share.service) {
                self.add(place, Mistake::RepeatedService { service });
            } else if share.weight == 0 && has_weight {
                self.add(place, Mistake::ZeroWeight { service });
            }
        }
    }

    fn check_times(&mut self, place: Place, route: &Route) {
        let target = route.latency_target;
        if target.is_zero() {
            self.add(place, Mistake::ZeroTarget);
        }
        if let Some(timeout) = route.timeout.filter(|timeout| *timeout < target) {
            let mistake = Mistake::TimeoutBelowTarget {
                timeout_ms: millis(timeout),
                target_ms: millis(target),
            };
            self.add(place, mistake);
        }
    }

    fn check_attempts(
        &mut self,
        place: Place,
        route: &Route,
        services: &HashMap<&ServiceName, &PublishedService>,
    ) {
        let shares = route.split.iter().filter(|share| share.weight > 0);
        let shares = shares.filter_map(|share| services.get(&share.service));
        // A service that states no number has 0.
        let stated = shares.filter(|service| service.max_connections > 0);
        let Some(least) = stated.min_by_key(|service| service.max_connections) else {
            return;
        };
        if route.max_attempts > least.max_connections {
            let mistake = Mistake::TooManyAttempts {
                max_attempts: route.max_attempts,
                service: least.name.to_string(),
                max_connections: least.max_connections,
            };
            self.add(place, mistake);
        }
    }

    fn check_workspaces(&mut self) {
        let document = self.document;
        let mut names = HashSet::new();
        let mut holders: HashMap<KeyDigest, &PublishedWorkspace> = HashMap::new();
        for (number, workspace) in document.workspaces.iter().enumerate() {
            let place = Place::Workspace(number);
            if !names.insert(&workspace.name) {
                self.add(place, Mistake::DuplicateName);
            }
            if workspace.keys.is_empty() {
                self.add(place, Mistake::NoKey);
            }
            let mut own = HashSet::new();
            let mut reported = HashSet::new();
            for digest in &workspace.keys {
                if !own.insert(*digest) {
                    self.add(place, Mistake::RepeatedKey);
                    continue;
                }
                let holder = *holders.entry(*digest).or_insert(workspace);
                if holder.name != workspace.name && reported.insert(&holder.name) {
                    let other = holder.name.to_string();
                    self.add(place, Mistake::SharedKey { other });
                }
            }
            self.check_rate(place, workspace);
        }
    }

    fn check_rate(&mut self, place: Place, workspace: &PublishedWorkspace) {
        let (rate_per_s, burst) = (workspace.rate_per_s, workspace.burst);
        for (field, number) in [("requests-per-s", rate_per_s), ("burst", burst)] {
            if number < 0.0 {
                self.add(place, Mistake::Negative { field });
            }
        }
        if rate_per_s > 0.0 && (0.0..1.0).contains(&burst) {
            self.add(place, Mistake::BurstBelowOne { burst });
        }
        if rate_per_s == 0.0 && burst > 0.0 {
            self.add(place, Mistake::BurstWithoutRate { burst });
        }
    }
}

fn to_mistake(error: RoutingError) -> Mistake {
    match error {
        RoutingError::Prefix { prefix, .. } => Mistake::BadPrefix { prefix },
        RoutingError::UnknownService { service, .. } => Mistake::UnknownService {
            service: service.to_string(),
            near: None,
        },
        RoutingError::NoWeight { .. } => Mistake::NoWeight,
        RoutingError::NoAttempts { .. } => Mistake::NoAttempts,
        RoutingError::Overlap { first, .. } => Mistake::Shadowed {
            other: first.to_string(),
        },
        RoutingError::SharedKey { first, .. } => Mistake::SharedKey {
            other: first.to_string(),
        },
    }
}

/// Returns why [`RoutingTable::route`](crate::routing::RoutingTable::route) finds a
/// route for no request.
fn why_never_matched(route: &Route) -> Option<&'static str> {
    let is_unprintable = |text: &str| text.contains(|c: char| c.is_whitespace() || c.is_control());
    if route.host.is_empty() {
        Some("the host name is empty")
    } else if route.host.contains(':') {
        Some("the host name contains a colon, but hosts compare names without ports")
    } else if route.host.contains('/') || is_unprintable(&route.host) {
        Some("the host name contains a character that no host name has")
    } else if route.prefix.contains(['?', '#']) {
        Some("the prefix contains `?` or `#`, at which a path ends")
    } else if is_unprintable(&route.prefix) {
        Some("the prefix contains white space, which no path has")
    } else {
        None
    }
}

/// The workspaces with home regions, by their regions.
struct WorkspaceRegions {
    groups: BTreeMap<BTreeSet<Region>, WorkspaceGroup>,
}

#[derive(Default)]
struct WorkspaceGroup {
    /// The first [`MAX_NAMED`] names. Naming all for each route would take a time in
    /// proportion to routes times workspaces.
    names: Vec<String>,
    count: usize,
}

impl WorkspaceRegions {
    fn new(workspaces: &[PublishedWorkspace]) -> Self {
        let mut groups: BTreeMap<BTreeSet<Region>, WorkspaceGroup> = BTreeMap::new();
        for workspace in workspaces {
            if workspace.home_regions.is_empty() {
                continue;
            }
            let regions = workspace.home_regions.iter().cloned().collect();
            let group = groups.entry(regions).or_default();
            group.count += 1;
            if group.names.len() < MAX_NAMED {
                group.names.push(workspace.name.to_string());
            }
        }
        Self { groups }
    }

    /// Returns the workspaces that have no region in common with a route's.
    fn without_common(&self, route_regions: &[Region]) -> WorkspaceGroup {
        let mut excluded = WorkspaceGroup::default();
        if route_regions.is_empty() {
            return excluded;
        }
        for (regions, group) in &self.groups {
            if route_regions.iter().any(|region| regions.contains(region)) {
                continue;
            }
            excluded.count += group.count;
            let room = MAX_NAMED - excluded.names.len();
            excluded
                .names
                .extend(group.names.iter().take(room).cloned());
        }
        excluded
    }
}

/// Returns what a publication changes for callers: routes, services, workspaces and
/// limits, by kind and name. Keys appear as the beginning of their digests.
#[must_use]
pub fn changes_between(old: &RoutingDocument, new: &RoutingDocument) -> Diff {
    Diff::compare(&caller_fields(old), &caller_fields(new), Clone::clone)
}

type Fields = BTreeMap<String, Value>;

fn caller_fields(document: &RoutingDocument) -> BTreeMap<String, Fields> {
    let mut entries = BTreeMap::new();
    for route in &document.routes {
        entries.insert(format!("route/{}", route.name), route_fields(route));
    }
    for service in &document.services {
        let cold = service.cold_start;
        let fields = to_fields([
            ("health-check-path", json!(service.health_path)),
            ("max-connections", json!(service.max_connections)),
            (
                "cold-start-ms",
                json!(cold.map(|cold| millis(cold.duration))),
            ),
            ("cold-per-s", json!(cold.map(|cold| cold.rate_per_s))),
        ]);
        entries.insert(format!("service/{}", service.name), fields);
    }
    for workspace in &document.workspaces {
        let digests = workspace.keys.iter().map(short_digest);
        let fields = to_fields([
            ("keys", json!(digests.collect::<BTreeSet<_>>())),
            ("priority", json!(workspace.priority)),
            ("requests-per-s", json!(workspace.rate_per_s)),
            ("burst", json!(workspace.burst)),
            ("allowed-regions", region_names(&workspace.home_regions)),
        ]);
        entries.insert(format!("workspace/{}", workspace.name), fields);
    }
    let limits = &document.limits;
    let fields = to_fields([
        ("max-header-bytes", json!(limits.max_header_bytes)),
        ("max-body-bytes", json!(limits.max_body_bytes)),
        ("header-timeout-ms", json!(millis(limits.header_timeout))),
        ("idle-timeout-ms", json!(millis(limits.idle_timeout))),
    ]);
    entries.insert("limits".to_owned(), fields);
    entries
}

fn route_fields(route: &Route) -> Fields {
    let mut split: BTreeMap<&str, u32> = BTreeMap::new();
    for share in &route.split {
        let weight = split.entry(share.service.as_str()).or_default();
        *weight = weight.saturating_add(share.weight);
    }
    to_fields([
        ("host", json!(route.host.to_ascii_lowercase())),
        ("prefix", json!(route.prefix)),
        ("may-repeat", json!(route.is_idempotent)),
        ("timeout-ms", json!(route.timeout.map(millis))),
        ("target-latency-ms", json!(millis(route.latency_target))),
        ("priority", json!(route.priority)),
        ("split", json!(split)),
        ("max-attempts", json!(route.max_attempts)),
        ("needs-key", json!(!route.is_open)),
        ("allowed-regions", region_names(&route.home_regions)),
    ])
}

fn to_fields<const N: usize>(fields: [(&str, Value); N]) -> Fields {
    let fields = fields.into_iter();
    fields
        .map(|(name, value)| (name.to_owned(), value))
        .collect()
}

fn region_names(regions: &[Region]) -> Value {
    json!(regions.iter().map(Region::as_str).collect::<BTreeSet<_>>())
}

/// How many characters of a digest identify a key in a list of changes.
const SHORT_DIGEST_CHARS: usize = 19;

fn short_digest(digest: &KeyDigest) -> String {
    digest
        .to_string()
        .chars()
        .take(SHORT_DIGEST_CHARS)
        .collect()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
