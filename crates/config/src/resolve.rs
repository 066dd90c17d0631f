//! Merging and validation of all teams' files.

use std::path::PathBuf;
use std::sync::Arc;

use waxwingusher_core::{RouteName, ServiceName, WorkspaceName};

use crate::location::{Item, Locations, Subject};
use crate::model::Snapshot;
use crate::problem::{CheckErrors, Finding, Location, Problem, Severity};
use crate::team::{Declared, TeamFile};
use crate::validate::validate;

/// The text of one team's file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamText {
    /// The path that messages show.
    pub path: PathBuf,
    /// The content.
    pub text: String,
}

/// The result of all checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckReport {
    /// The parts of the configuration that could be read.
    pub snapshot: Snapshot,
    /// All problems, sorted by file and line.
    pub findings: Vec<Finding>,
}

impl CheckReport {
    /// Reports whether there is no error. Warnings are allowed.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        self.findings
            .iter()
            .all(|finding| finding.severity != Severity::Error)
    }
}

/// Checks the files together and builds the configuration.
///
/// # Errors
///
/// Returns all findings if at least one is an error.
pub fn resolve(files: &[TeamText], version: u64) -> Result<Snapshot, CheckErrors> {
    let report = check(files, version);
    if report.is_accepted() {
        return Ok(report.snapshot);
    }
    Err(CheckErrors {
        findings: report.findings,
    })
}

/// Checks the files together and reports all findings.
#[must_use]
pub fn check(files: &[TeamText], version: u64) -> CheckReport {
    let mut merger = Merger::default();
    merger.snapshot.version = version;
    for file in files {
        merger.add(TeamFile::parse(&file.path, &file.text));
    }
    merger.finish()
}

/// The team and location that declared a name first.
struct Owner {
    team: Arc<str>,
    location: Location,
}

#[derive(Default)]
struct Merger {
    snapshot: Snapshot,
    locations: Locations,
    owners: std::collections::HashMap<(&'static str, Arc<str>), Owner>,
    findings: Vec<Finding>,
}

impl Merger {
    fn add(&mut self, team: TeamFile) {
        self.findings.extend(team.findings);
        self.locations.extend(team.locations);
        let owner = team.owner;
        for service in team.services {
            if self.claim_name("service", service.content.name.as_str(), &owner, &service) {
                let name: ServiceName = service.content.name.clone();
                let content = Arc::new(service.content);
                self.snapshot.services.insert(name, content);
            }
        }
        for route in team.routes {
            if self.claim_name("route", route.content.name.as_str(), &owner, &route) {
                let name: RouteName = route.content.name.clone();
                let content = Arc::new(route.content);
                self.snapshot.routes.insert(name, content);
            }
        }
        for workspace in team.workspaces {
            let name = workspace.content.name.as_str();
            if self.claim_name("workspace", name, &owner, &workspace) {
                let name: WorkspaceName = workspace.content.name.clone();
                let content = Arc::new(workspace.content);
                self.snapshot.workspaces.insert(name, content);
            }
        }
    }

    /// Records the owner of a name, or reports a duplicate and returns `false`.
    fn claim_name<T>(
        &mut self,
        kind: &'static str,
        name: &str,
        team: &Arc<str>,
        declared: &Declared<T>,
    ) -> bool {
        let key = (kind, Arc::from(name));
        if let Some(owner) = self.owners.get(&key) {
            let problem = Problem::DuplicateName {
                kind,
                name: name.to_owned(),
                owner: owner.team.clone(),
                first: owner.location.clone(),
            };
            self.findings.push(Finding {
                severity: Severity::Error,
                location: Some(declared.location.clone()),
                problem,
            });
            return false;
        }
        let owner = Owner {
            team: team.clone(),
            location: declared.location.clone(),
        };
        self.owners.insert(key, owner);
        true
    }

    /// Reports whether a name is unknown only because its own declaration has
    /// errors.
    fn refers_to_invalid_item(&self, problem: &Problem) -> bool {
        let item = match problem {
            Problem::UnknownService { service, .. } => Item::Service(ServiceName::new(service)),
            Problem::UnknownWorkspace { workspace, .. } => {
                Item::Workspace(WorkspaceName::new(workspace))
            }
            _ => return false,
        };
        self.locations.find(&Subject::of_item(item)).is_some()
    }

    fn finish(mut self) -> CheckReport {
        for violation in validate(&self.snapshot) {
            if self.refers_to_invalid_item(&violation.problem) {
                continue;
            }
            self.findings.push(Finding {
                severity: violation.severity,
                location: self.locations.find(&violation.subject).cloned(),
                problem: violation.problem,
            });
        }
        self.findings.sort_by(|a, b| {
            let by_line = a.location.cmp(&b.location);
            by_line.then_with(|| a.problem.to_string().cmp(&b.problem.to_string()))
        });
        self.findings.dedup();
        CheckReport {
            snapshot: self.snapshot,
            findings: self.findings,
        }
    }
}
