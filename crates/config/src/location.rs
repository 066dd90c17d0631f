//! The file and line of each declared item and key.

use std::collections::HashMap;

use waxwingusher_core::{InstanceId, RouteName, ServiceName, WorkspaceName};

use crate::problem::Location;

/// A declared item.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Item {
    /// A service.
    Service(ServiceName),
    /// An instance of a service.
    Instance(ServiceName, InstanceId),
    /// A route.
    Route(RouteName),
    /// A workspace.
    Workspace(WorkspaceName),
}

/// What a problem is about: an item or one of its keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Subject {
    /// The item.
    pub item: Item,
    /// The key, unless the problem is about the whole item.
    pub key: Option<&'static str>,
}

impl Subject {
    /// Returns the subject for a key of an item.
    pub fn of_key(item: Item, key: &'static str) -> Self {
        Self {
            item,
            key: Some(key),
        }
    }

    /// Returns the subject for a whole item.
    pub fn of_item(item: Item) -> Self {
        Self { item, key: None }
    }
}

/// The locations of all declared items and their keys.
#[derive(Debug, Default)]
pub struct Locations {
    lines: HashMap<Subject, Location>,
}

impl Locations {
    /// Records the location of an item or key. The first location is kept.
    pub fn record(&mut self, subject: Subject, location: Location) {
        self.lines.entry(subject).or_insert(location);
    }

    /// Adds the locations of another file. The first location is kept.
    pub fn extend(&mut self, other: Self) {
        for (subject, location) in other.lines {
            self.record(subject, location);
        }
    }

    /// Returns the location of a subject, or that of its item if the file does
    /// not contain the key.
    pub fn find(&self, subject: &Subject) -> Option<&Location> {
        self.lines
            .get(subject)
            .or_else(|| self.lines.get(&Subject::of_item(subject.item.clone())))
    }
}
