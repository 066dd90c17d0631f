//! The difference between two versions of a configuration.
//!
//! A configuration of hundreds of kilobytes changes in a few entries. A delta names the
//! entries that were removed, changed and added, and the digests of the configuration to
//! which it applies and of the result. The sender checks that the delta gives the result;
//! if it does not, as with names that occur twice, there is none.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use serde::{Deserialize, Serialize};
use waxwingusher_config::routing::{
    CallerLimits, PublishedService, PublishedWorkspace, Route, RoutingDocument,
};
use waxwingusher_core::{RouteName, ServiceName, WorkspaceName};
use xxhash_rust::xxh3::xxh3_64;

/// A configuration and the digest of its encoded form.
#[derive(Debug, Clone, PartialEq)]
pub struct DigestedDocument {
    document: RoutingDocument,
    digest: u64,
}

impl DigestedDocument {
    /// Computes the digest of a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a value has no encoding.
    pub fn new(document: RoutingDocument) -> Result<Self, postcard::Error> {
        let digest = xxh3_64(&postcard::to_allocvec(&document)?);
        Ok(Self { document, digest })
    }

    /// Returns the configuration.
    #[must_use]
    pub fn document(&self) -> &RoutingDocument {
        &self.document
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// Returns the digest.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }
}

/// A delta does not apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The configuration is not the one to which the delta applies.
    #[error("the delta applies to version {base_version}, or to other content of it")]
    OtherBase {
        /// The version to which it applies.
        base_version: u64,
    },
    /// The result differs from that of the sender.
    #[error("the result differs from version {version} of the sender")]
    OtherResult {
        /// The version of the result.
        version: u64,
    },
}

/// The difference between two versions of a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    base_version: u64,
    base_digest: u64,
    version: u64,
    digest: u64,
    routes: EntryDelta<RouteName, Route>,
    services: EntryDelta<ServiceName, PublishedService>,
    workspaces: EntryDelta<WorkspaceName, PublishedWorkspace>,
    limits: Option<CallerLimits>,
}

impl ConfigurationDelta {
    /// Returns the difference, or `None` if no delta gives `result`.
    #[must_use]
    pub fn between(base: &DigestedDocument, result: &DigestedDocument) -> Option<Self> {
        let (old, new) = (&base.document, &result.document);
        let delta = Self {
            base_version: old.version,
            base_digest: base.digest,
            version: new.version,
            digest: result.digest,
            routes: EntryDelta::between(&old.routes, &new.routes),
            services: EntryDelta::between(&old.services, &new.services),
            workspaces: EntryDelta::between(&old.workspaces, &new.workspaces),
            limits: (old.limits != new.limits).then_some(new.limits),
        };
        delta.apply(base).is_ok().then_some(delta)
    }

    /// Returns the version of the result.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the digest of the result.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the configuration that follows from `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if `base` is another configuration than the sender's, or the
    /// result is.
    pub fn apply(&self, base: &DigestedDocument) -> Result<DigestedDocument, DeltaError> {
        let old = &base.document;
        if old.version != self.base_version || base.digest != self.base_digest {
            return Err(DeltaError::OtherBase {
                base_version: self.base_version,
            });
        }
        let document = RoutingDocument {
            version: self.version,
            routes: self.routes.apply(&old.routes),
            services: self.services.apply(&old.services),
            workspaces: self.workspaces.apply(&old.workspaces),
            limits: self.limits.unwrap_or(old.limits),
            findings: Vec::new(),
        };
        let result = DigestedDocument::new(document).ok();
        let result = result.filter(|result| result.digest == self.digest);
        result.ok_or(DeltaError::OtherResult {
            version: self.version,
        })
    }
}

/// An entry of a configuration, which has a name.
trait Entry: Clone + PartialEq {
    type Name: Clone + Eq + Hash;

    fn name(&self) -> &Self::Name;
}

impl Entry for Route {
    type Name = RouteName;

    fn name(&self) -> &RouteName {
        &self.name
    }
}

impl Entry for PublishedService {
    type Name = ServiceName;

    fn name(&self) -> &ServiceName {
        &self.name
    }
}

impl Entry for PublishedWorkspace {
    type Name = WorkspaceName;

    fn name(&self) -> &WorkspaceName {
        &self.name
    }
}

/// The difference between two lists of entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct EntryDelta<N, T> {
    removed: Vec<N>,
    /// Entries with a known name and new content.
    changed: Vec<T>,
    /// New entries and their positions in the result, ascending.
    added: Vec<(u32, T)>,
}

impl<T: Entry> EntryDelta<T::Name, T> {
    fn between(old: &[T], new: &[T]) -> Self {
        let old_by_name: HashMap<&T::Name, &T> =
            old.iter().map(|item| (item.name(), item)).collect();
        let new_names: HashSet<&T::Name> = new.iter().map(T::name).collect();
        let removed = old.iter().map(T::name);
        let removed = removed.filter(|name| !new_names.contains(name));
        let mut delta = Self {
            removed: removed.cloned().collect(),
            changed: Vec::new(),
            added: Vec::new(),
        };
        for (position, entry) in (0..).zip(new) {
            match old_by_name.get(entry.name()) {
                None => delta.added.push((position, entry.clone())),
                Some(known) if *known != entry => delta.changed.push(entry.clone()),
                Some(_) => {}
            }
        }
        delta
    }

    fn apply(&self, old: &[T]) -> Vec<T> {
        let removed: HashSet<&T::Name> = self.removed.iter().collect();
        let changed = self.changed.iter().map(|entry| (entry.name(), entry));
        let changed: HashMap<&T::Name, &T> = changed.collect();
        let kept = old.iter().filter(|entry| !removed.contains(entry.name()));
        let mut kept = kept.map(|entry| changed.get(entry.name()).copied().unwrap_or(entry));
        let mut result = Vec::with_capacity(old.len() + self.added.len());
        for (position, entry) in &self.added {
            let position = usize::try_from(*position).unwrap_or(usize::MAX);
            let missing = position.saturating_sub(result.len());
            result.extend(kept.by_ref().take(missing).cloned());
            result.push(entry.clone());
        }
        result.extend(kept.cloned());
        result
    }
}
