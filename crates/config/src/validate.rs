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
pub struct Fault {
    /// Whether the problem prevents publication.
    pub severity: Severity,
    /// What it is about.
    pub subject: Subject,
    /// What is wrong.
    pub problem: Problem,
}

impl Fault {
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
pub fn validate(snapshot: &Snapshot) -> Vec<Fault> {
    let mut faults = Vec::new();
    services::validate(snapshot, &mut faults);
    routes::validate(snapshot, &mut faults);
    workspaces::validate(snapshot, &mut faults);
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
        faults.push(Fault::error(Subject::of_item(row.item()), problem));
    }
    faults
}
