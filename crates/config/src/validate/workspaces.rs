//! Validation of workspaces.

use std::collections::{HashMap, HashSet};

use waxwingusher_core::KeyDigest;

use super::Violation;
use crate::location::{Item, Subject};
use crate::model::{Snapshot, Workspace};
use crate::problem::Problem;

pub fn validate(snapshot: &Snapshot, violations: &mut Vec<Violation>) {
    let mut owners: HashMap<KeyDigest, &Workspace> = HashMap::new();
    for workspace in snapshot.workspaces.values() {
        check_numbers(workspace, violations);
        check_digests(workspace, &mut owners, violations);
    }
}

fn subject(workspace: &Workspace, key: &'static str) -> Subject {
    Subject::of_key(Item::Workspace(workspace.name.clone()), key)
}

fn check_numbers(workspace: &Workspace, violations: &mut Vec<Violation>) {
    if workspace.limit.burst == 0 {
        let problem = Problem::zero_not_allowed("burst", "1 to 4294967295 requests");
        violations.push(Violation::error(subject(workspace, "burst"), problem));
    }
    if workspace.limit.rate_millis_per_s == 0 {
        let problem = Problem::zero_not_allowed("rate-per-s", "above 0, or no workspace at all");
        violations.push(Violation::warning(
            subject(workspace, "rate-per-s"),
            problem,
        ));
    }
    if workspace.weight == 0 {
        let problem = Problem::zero_not_allowed("weight", "1 to 4294967295");
        violations.push(Violation::error(subject(workspace, "weight"), problem));
    }
}

fn check_digests<'a>(
    workspace: &'a Workspace,
    owners: &mut HashMap<KeyDigest, &'a Workspace>,
    violations: &mut Vec<Violation>,
) {
    if workspace.key_digests.is_empty() {
        let name = workspace.name.to_string();
        let problem = Problem::NoKey { workspace: name };
        violations.push(Violation::warning(
            subject(workspace, "key-digests"),
            problem,
        ));
    }
    let mut own = HashSet::new();
    for digest in &workspace.key_digests {
        if !own.insert(*digest) {
            let name = workspace.name.to_string();
            let problem = Problem::RepeatedKey { workspace: name };
            violations.push(Violation::warning(
                subject(workspace, "key-digests"),
                problem,
            ));
            continue;
        }
        let Some(other) = owners.insert(*digest, workspace) else {
            continue;
        };
        let problem = Problem::SharedKey {
            workspace: workspace.name.to_string(),
            other: other.name.to_string(),
        };
        violations.push(Violation::error(subject(workspace, "key-digests"), problem));
    }
}
