//! Validation of a complete configuration. It runs when files are collected and
//! again on every host before the host adopts a publication.

mod routes;
mod services;
mod workspaces;

use crate::location::Subject;
use crate::model::Snapshot;
use crate::problem::{Problem, Severity};
use crate::rows::{MAX_ROW_BYTES, rows_of};

/// A problem with its severity and the item or key that it is about.
pub struct Violation {
    /// Whether the problem prevents publication.
    pub severity: Severity,
    /// What it is about.
    pub subject: Subject,
    /// What is wrong.
    pub problem: Problem,
}

impl Violation {
    fn error(subject: Subject, problem: Problem) -> Self {
        Self {
            severity: Severity::Error,
            subject,
            problem,
        }
    }

    fn warning(subject: Subject, problem: Problem) -> Self {
        Self {
            severity: Severity::Warning,
            subject,
            problem,
        }
    }
}

/// Returns all problems of a configuration.
pub fn validate(snapshot: &Snapshot) -> Vec<Violation> {
    let mut violations = Vec::new();
    services::validate(snapshot, &mut violations);
    routes::validate(snapshot, &mut violations);
    workspaces::validate(snapshot, &mut violations);
    for row in rows_of(snapshot) {
        let size_bytes = row.encoded_bytes();
        if size_bytes <= MAX_ROW_BYTES {
            continue;
        }
        let problem = Problem::TooLarge {
            name: row.key(),
            size_bytes,
            limit_bytes: MAX_ROW_BYTES,
        };
        violations.push(Violation::error(Subject::of_item(row.item()), problem));
    }
    violations
}
