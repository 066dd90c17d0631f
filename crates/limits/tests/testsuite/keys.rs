//! Keys are found by digest, and only while they are valid.

use std::sync::Arc;

use waxwingusher_config::{Snapshot, Workspace};
use waxwingusher_core::KeyDigest;
use waxwingusher_limits::KeyIndex;

use crate::fleet::snapshot;

fn with_keys(version: u64, keys: &[&[u8]]) -> Snapshot {
    let mut snapshot = snapshot(version, &[("desk", 10, 10), ("other", 10, 10)]);
    for workspace in snapshot.workspaces.values_mut() {
        if workspace.name.as_str() != "desk" {
            continue;
        }
        let digests = keys.iter().map(|key| KeyDigest::of_key(key));
        *workspace = Arc::new(Workspace {
            key_digests: digests.collect(),
            ..(**workspace).clone()
        });
    }
    snapshot
}

#[test]
fn a_key_rotates_through_two_live_ones() {
    let name = |index: &KeyIndex, key: &[u8]| {
        let workspace = index.lookup(key)?;
        Some(workspace.name.to_string())
    };
    let desk = Some("desk".to_owned());
    let first = KeyIndex::new(&with_keys(1, &[b"old"]));
    let both = KeyIndex::new(&with_keys(2, &[b"old", b"new"]));
    let last = KeyIndex::new(&with_keys(3, &[b"new"]));
    assert_eq!(
        (name(&first, b"old"), name(&first, b"new")),
        (desk.clone(), None)
    );
    assert_eq!(
        (name(&both, b"old"), name(&both, b"new")),
        (desk.clone(), desk.clone())
    );
    assert_eq!((name(&last, b"old"), name(&last, b"new")), (None, desk));
    assert_eq!(name(&last, b""), None);
    assert_eq!(last.version(), 3);
}
