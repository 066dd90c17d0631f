//! Looks up the workspace that a key belongs to.

use std::collections::HashMap;
use std::sync::Arc;

use waxwingusher_config::model::{Snapshot, Workspace};
use waxwingusher_core::KeyDigest;

/// All valid keys of one configuration, by digest.
///
/// The index holds digests only. It is consulted for every request, so that a
/// revoked key fails as soon as the host has the new configuration.
#[derive(Debug, Default)]
pub struct KeyIndex {
    version: u64,
    by_digest: HashMap<KeyDigest, Arc<Workspace>>,
}

impl KeyIndex {
    /// Builds the index of a configuration.
    #[must_use]
    pub fn new(snapshot: &Snapshot) -> Self {
        let mut by_digest = HashMap::new();
        for workspace in snapshot.workspaces.values() {
            for digest in &workspace.key_digests {
                by_digest.insert(*digest, Arc::clone(workspace));
            }
        }
        Self {
            version: snapshot.version,
            by_digest,
        }
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the workspace of a key. The digest found in the index is compared
    /// once more in constant time.
    #[must_use]
    pub fn lookup(&self, key: &[u8]) -> Option<Arc<Workspace>> {
        self.lookup_digest(&KeyDigest::of_key(key))
    }

    /// Returns the workspace of the key with a digest.
    #[must_use]
    pub fn lookup_digest(&self, digest: &KeyDigest) -> Option<Arc<Workspace>> {
        let (found, workspace) = self.by_digest.get_key_value(digest)?;
        found.matches(digest).then(|| Arc::clone(workspace))
    }
}
