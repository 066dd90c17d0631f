//! A change touches few packs, and no value comes near the limit.

use std::collections::BTreeSet;
use std::sync::Arc;

use waxwingusher_config::publication::MAX_VALUE_BYTES;
use waxwingusher_config::{Publication, RateLimit, Snapshot, Workspace, publish};
use waxwingusher_core::KeyDigest;

fn many(count: u32) -> Snapshot {
    let mut snapshot = Snapshot {
        version: 1,
        ..Snapshot::default()
    };
    for i in 0..count {
        insert(&mut snapshot, i);
    }
    snapshot
}

fn insert(snapshot: &mut Snapshot, i: u32) {
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

fn new_packs(old: &Publication, new: &Publication) -> usize {
    let old: BTreeSet<_> = old.packs.iter().map(|pack| pack.digest).collect();
    new.packs
        .iter()
        .filter(|pack| !old.contains(&pack.digest))
        .count()
}

#[test]
fn a_change_an_addition_and_a_removal_touch_at_most_two_packs() {
    let base = many(4_000);
    let old = publish(&base).expect("it can be published");
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
        insert(&mut added, 20_000 + i);
        assert_eq!(new_packs(&old, &publish(&changed).expect("good")), 1);
        assert!(new_packs(&old, &publish(&removed).expect("good")) <= 2);
        assert!(new_packs(&old, &publish(&added).expect("good")) <= 2);
    }
}

#[test]
fn every_value_stays_below_the_limit_at_any_size_of_rows() {
    let mut snapshot = many(2_000);
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
    let publication = publish(&snapshot).expect("it can be published");
    let largest = publication.packs.iter().map(|pack| pack.bytes.len()).max();
    assert!(largest < Some(MAX_VALUE_BYTES));
    assert!(publication.manifest.len() < MAX_VALUE_BYTES);
}
