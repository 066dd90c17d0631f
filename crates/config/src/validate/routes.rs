//! Validation of routes.

use std::collections::HashMap;
use std::sync::Arc;

use waxwingusher_core::{ServiceName, WorkspaceName};

use super::Violation;
use super::services::bad_path;
use crate::location::{Item, Subject};
use crate::model::{Access, Route, Snapshot};
use crate::problem::Problem;
use crate::suggestion::closest;

const ALLOWED_METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

pub fn validate(snapshot: &Snapshot, violations: &mut Vec<Violation>) {
    let mut by_prefix: HashMap<&str, Vec<&Route>> = HashMap::new();
    for route in snapshot.routes.values() {
        check_names(snapshot, route, violations);
        check_methods(route, violations);
        check_access(route, violations);
        check_ranges(route, violations);
        let prefix = route.path_prefix.trim_end_matches('/');
        let earlier = by_prefix.entry(prefix).or_default();
        for other in &*earlier {
            check_overlap(route, other, violations);
        }
        earlier.push(route);
    }
}

fn subject(route: &Route, key: &'static str) -> Subject {
    Subject::of_key(Item::Route(route.name.clone()), key)
}

fn check_names(snapshot: &Snapshot, route: &Route, violations: &mut Vec<Violation>) {
    if !snapshot.services.contains_key(&route.service) {
        let names = snapshot.services.keys().map(ServiceName::as_str);
        let problem = Problem::UnknownService {
            service: route.service.to_string(),
            near: closest(route.service.as_str(), names),
        };
        violations.push(Violation::error(subject(route, "service"), problem));
    }
    for workspace in &route.workspaces {
        if snapshot.workspaces.contains_key(workspace) {
            continue;
        }
        let names = snapshot.workspaces.keys().map(WorkspaceName::as_str);
        let problem = Problem::UnknownWorkspace {
            workspace: workspace.to_string(),
            near: closest(workspace.as_str(), names),
        };
        violations.push(Violation::error(subject(route, "workspaces"), problem));
    }
}

fn check_methods(route: &Route, violations: &mut Vec<Violation>) {
    let lists = [
        ("methods", &route.methods),
        ("idempotent-methods", &route.idempotent_methods),
    ];
    for (key, methods) in lists {
        for method in methods {
            if ALLOWED_METHODS.contains(&&**method) {
                continue;
            }
            let method = method.clone();
            violations.push(Violation::error(
                subject(route, key),
                Problem::BadMethod { method },
            ));
        }
    }
    for method in &route.idempotent_methods {
        if route.methods.is_empty() || route.methods.contains(method) {
            continue;
        }
        let method = method.clone();
        let problem = Problem::MethodNotTaken { method };
        violations.push(Violation::error(
            subject(route, "idempotent-methods"),
            problem,
        ));
    }
}

fn check_access(route: &Route, violations: &mut Vec<Violation>) {
    match (route.access, &route.open_limit) {
        (Access::Open, None) => {
            let problem = Problem::OpenWithoutLimit;
            let item = Item::Route(route.name.clone());
            violations.push(Violation::error(Subject::of_item(item), problem));
        }
        (Access::Open, Some(limit)) if limit.burst == 0 => {
            let problem = Problem::zero_not_allowed("open-burst", "1 to 4294967295 requests");
            violations.push(Violation::error(subject(route, "open-burst"), problem));
        }
        (Access::Keyed, Some(_)) => {
            let problem = Problem::LimitOnKeyedRoute;
            violations.push(Violation::error(subject(route, "open-rate-per-s"), problem));
        }
        _ => {}
    }
    if route.access == Access::Open && !route.workspaces.is_empty() {
        let problem = Problem::WorkspacesOnOpenRoute;
        violations.push(Violation::error(subject(route, "workspaces"), problem));
    }
}

fn check_ranges(route: &Route, violations: &mut Vec<Violation>) {
    if route.deadline.is_zero() || route.deadline.as_millis() > 3_600_000 {
        let problem = Problem::OutOfRange {
            key: "deadline-ms",
            value: route.deadline.as_millis().to_string(),
            allowed: "1 to 3600000 milliseconds",
        };
        violations.push(Violation::error(subject(route, "deadline-ms"), problem));
    }
    if let Some(problem) = bad_path("path-prefix", &route.path_prefix) {
        violations.push(Violation::error(subject(route, "path-prefix"), problem));
    }
}

fn check_overlap(route: &Route, other: &Route, violations: &mut Vec<Violation>) {
    let Some(methods) = shared_methods(&route.methods, &other.methods) else {
        return;
    };
    let problem = Problem::OverlappingRoutes {
        route: route.name.to_string(),
        other: other.name.to_string(),
        methods,
        prefix: route.path_prefix.clone(),
    };
    violations.push(Violation::error(subject(route, "path-prefix"), problem));
}

/// Returns the methods that both lists contain. An empty list stands for all
/// methods.
fn shared_methods(a: &[Arc<str>], b: &[Arc<str>]) -> Option<String> {
    if a.is_empty() && b.is_empty() {
        return Some("all methods".to_owned());
    }
    if a.is_empty() {
        return Some(b.join(", "));
    }
    if b.is_empty() {
        return Some(a.join(", "));
    }
    let shared: Vec<_> = a.iter().filter(|m| b.contains(m)).cloned().collect();
    (!shared.is_empty()).then(|| shared.join(", "))
}
