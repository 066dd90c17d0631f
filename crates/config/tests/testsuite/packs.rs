//! A change rewrites few packs, and every value stays below the size limit.

use std::collections::BTreeSet;
use std::sync::Arc;

use waxwingusher_config::publication::MAX_VALUE_BYTES;
use waxwingusher_config::{Publication, RateLimit, Snapshot, Workspace, publish};
use waxwingusher_core::KeyDigest;

fn snapshot_with_workspaces(count: u32) -> Snapshot {
    let mut snapshot = Snapshot {
        version: 1,
        ..Snapshot::default()
    };
    for i in 0..count {
        insert_workspace(&mut snapshot, i);
    }
    snapshot
}

fn insert_workspace(snapshot: &mut Snapshot, i: u32) {
    let name = format!("college-{i:05}");
    let workspace = Workspace {
        name: name.as_str().into(),
        key_digests: vec![KeyDigest::of_key(name.as_bytes())],
        limit: RateLimit {
            rate_millis_per_s: 5_000,
            burst: 10,
        },
        weight: 1,
    };
    snapshot
        .workspaces
        .insert(name.as_str().into(), Arc::new(workspace));
}

fn count_new_packs(old: &Publication, new: &Publication) -> usize {
    let old: BTreeSet<_> = old.packs.iter().map(|pack| pack.digest).collect();
    new.packs
        .iter()
        .filter(|pack| !old.contains(&pack.digest))
        .count()
}

#[test]
fn a_change_an_addition_or_a_removal_rewrites_at_most_two_packs() {
    let base = snapshot_with_workspaces(4_000);
    let old = publish(&base).expect("the snapshot can be published");
    let mut rng = fastrand::Rng::with_seed(41);
    for _ in 0..4 {
        let i = rng.u32(..4_000);
        let name = format!("college-{i:05}").as_str().into();
        let mut removed = base.clone();
        removed.workspaces.remove(&name);
        let mut changed = base.clone();
        let mut workspace = Workspace::clone(&changed.workspaces[&name]);
        workspace.weight = 2;
        changed.workspaces.insert(name, Arc::new(workspace));
        let mut added = base.clone();
        insert_workspace(&mut added, 20_000 + i);
        assert_eq!(count_new_packs(&old, &publish(&changed).expect("valid")), 1);
        assert!(count_new_packs(&old, &publish(&removed).expect("valid")) <= 2);
        assert!(count_new_packs(&old, &publish(&added).expect("valid")) <= 2);
    }
}

#[test]
fn values_stay_below_the_size_limit_for_rows_of_any_size() {
    let mut snapshot = snapshot_with_workspaces(2_000);
    for i in 0..300u32 {
        let name = format!("large-{i}");
        let digests =
            (0..1_000u32).map(|k| KeyDigest::of_key(&[i, k].map(u32::to_le_bytes).concat()));
        let workspace = Workspace {
            name: name.as_str().into(),
            key_digests: digests.collect(),
            limit: RateLimit {
                rate_millis_per_s: 5_000,
                burst: 10,
            },
            weight: 1,
        };
        snapshot
            .workspaces
            .insert(name.as_str().into(), Arc::new(workspace));
    }
    let publication = publish(&snapshot).expect("the snapshot can be published");
    let largest = publication.packs.iter().map(|pack| pack.bytes.len()).max();
    assert!(largest < Some(MAX_VALUE_BYTES));
    assert!(publication.manifest.len() < MAX_VALUE_BYTES);
}
