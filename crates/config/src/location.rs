//! Which line of which file declares what.

use std::collections::HashMap;

use waxwingusher_core::{InstanceId, RouteName, ServiceName, WorkspaceName};

use crate::problem::Location;

/// One declared item.
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

/// A key of an item, or the item itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Subject {
    /// The item.
    pub item: Item,
    /// The key, if the problem is about one.
    pub key: Option<&'static str>,
}

impl Subject {
    /// Returns the subject for a key of an item.
    pub fn key(item: Item, key: &'static str) -> Self {
        Self {
            item,
            key: Some(key),
        }
    }

    /// Returns the subject for a whole item.
    pub fn whole(item: Item) -> Self {
        Self { item, key: None }
    }
}

/// The lines of all declared items and their keys.
#[derive(Debug, Default)]
pub struct Locations {
    lines: HashMap<Subject, Location>,
}

impl Locations {
    /// Records where an item or a key of it stands. The first record stays.
    pub fn record(&mut self, subject: Subject, location: Location) {
        self.lines.entry(subject).or_insert(location);
    }

    /// Takes in the lines of another file. The first record stays.
    pub fn extend(&mut self, other: Self) {
        for (subject, location) in other.lines {
            self.record(subject, location);
        }
    }

    /// Returns the line of a subject, or that of its item if the key is not
    /// written.
    pub fn find(&self, subject: &Subject) -> Option<&Location> {
        self.lines
            .get(subject)
            .or_else(|| self.lines.get(&Subject::whole(subject.item.clone())))
    }
}
