//! Publications stored in a directory.

use std::fs;
use std::path::{Path, PathBuf};

use assert_matches::assert_matches;
use waxwingusher_config::{
    ChangeKind, Diff, DirectoryError, Snapshot, read_publication, resolve, write_publication,
};

use crate::files::{STAFF, file, sample, workspaces};

/// A directory that is removed when the test ends.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> Self {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&dir);
        Self(dir)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn files_in(dir: &Path) -> Vec<(PathBuf, Vec<u8>)> {
    let mut files = Vec::new();
    for entry in fs::read_dir(dir).expect("the directory exists") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            files.extend(files_in(&path));
            continue;
        }
        let bytes = fs::read(&path).expect("the file can be read");
        files.push((path, bytes));
    }
    files.sort();
    files
}

#[test]
fn the_version_increases_only_with_a_change() {
    let dir = TempDir::new("versions");
    let first = write_publication(&dir.0, &sample(0)).expect("the publication can be written");
    assert_eq!((first.version, first.is_new), (1, true));
    let before = files_in(&dir.0);
    let again = write_publication(&dir.0, &sample(0)).expect("the publication can be written");
    assert_eq!((again.version, again.is_new), (1, false));
    assert_eq!(files_in(&dir.0), before);
    let changed = [file("staff.toml", STAFF), workspaces(&["a", "b"])];
    let changed = resolve(&changed, 0).expect("the configuration is valid");
    let second = write_publication(&dir.0, &changed).expect("the publication can be written");
    assert_eq!((second.version, second.is_new), (2, true));
    let read = read_publication(&dir.0).expect("the publication is valid");
    assert_eq!(
        read,
        Some(Snapshot {
            version: 2,
            ..changed
        })
    );
}

#[test]
fn equal_input_gives_equal_bytes_in_any_order_of_files() {
    let (a, b) = (TempDir::new("equal-a"), TempDir::new("equal-b"));
    let mut files = [file("staff.toml", STAFF), workspaces(&["c", "a"])];
    write_publication(&a.0, &resolve(&files, 0).expect("valid")).expect("written");
    files.reverse();
    write_publication(&b.0, &resolve(&files, 0).expect("valid")).expect("written");
    let relative = |dir: &TempDir| {
        let files = files_in(&dir.0).into_iter();
        files
            .map(|(path, bytes)| (path.strip_prefix(&dir.0).expect("inside").to_owned(), bytes))
            .collect::<Vec<_>>()
    };
    assert_eq!(relative(&a), relative(&b));
}

#[test]
fn a_damaged_publication_is_not_overwritten() {
    let dir = TempDir::new("damaged");
    write_publication(&dir.0, &sample(0)).expect("the publication can be written");
    fs::write(dir.0.join("config/manifest"), b"{").expect("the file can be written");
    let before = files_in(&dir.0);
    assert_matches!(
        write_publication(&dir.0, &sample(0)),
        Err(DirectoryError::Publication { .. })
    );
    assert_eq!(files_in(&dir.0), before);
}

#[test]
fn packs_of_the_previous_version_are_kept_and_older_ones_removed() {
    let dir = TempDir::new("packs");
    let mut counts = Vec::new();
    for names in [&["a"][..], &["b"], &["c"], &["d"]] {
        let files = [file("staff.toml", STAFF), workspaces(names)];
        let snapshot = resolve(&files, 0).expect("the configuration is valid");
        write_publication(&dir.0, &snapshot).expect("the publication can be written");
        counts.push(files_in(&dir.0.join("config/pack")).len());
    }
    assert_eq!(counts[1], counts[3], "{counts:?}");
    assert!(counts[1] > counts[0], "{counts:?}");
}

#[test]
fn a_diff_lists_each_change() {
    let old = sample(1);
    let staff = STAFF
        .replace(
            "slots = 6\nfailure-domain = \"howrah\"",
            "slots = 9\nfailure-domain = \"howrah\"",
        )
        .replace("[route.balances]", "[route.balance]");
    let files = [file("staff.toml", &staff), workspaces(&["a", "b", "c"])];
    let new = resolve(&files, 2).expect("the configuration is valid");
    let diff = Diff::between(&old, &new);
    let seen: Vec<_> = diff.changes.iter().map(|c| (c.kind, &*c.entry)).collect();
    let expected = [
        (ChangeKind::Changed, "instance/staff-desk/sd-1"),
        (ChangeKind::Added, "route/balance"),
        (ChangeKind::Removed, "route/balances"),
    ];
    assert_eq!(seen, expected);
    assert!(diff.to_string().contains("    instance.slots: 6 -> 9\n"));
    assert!(Diff::between(&old, &sample(5)).is_empty());
}
