//! Parsing of workspaces.

use waxwingusher_core::{KeyDigest, WorkspaceName};

use super::{TeamFile, read_limit, read_or_default};
use crate::location::Item;
use crate::model::Workspace;
use crate::problem::Problem;
use crate::table::{NamedTable, Source, Table};

const KEYS: &[&str] = &["key-digests", "rate-per-s", "burst", "weight"];

const ALLOWED_WEIGHTS: &str = "1 to 4294967295";
const DEFAULT_WEIGHT: u32 = 1;

impl TeamFile {
    pub(super) fn read_workspace(
        &mut self,
        source: &mut Source<'_>,
        named: &NamedTable<'_, '_>,
    ) -> Option<Workspace> {
        let table = Table::new(source, named.table, named.offset, KEYS);
        let name = WorkspaceName::new(&named.name);
        self.record_keys(source, &table, &Item::Workspace(name.clone()), KEYS);
        let key_digests = read_digests(source, &table);
        for (key, allowed) in [("rate-per-s", "a number"), ("burst", "an integer")] {
            if table.offset_of(key).is_none() {
                table.report_missing(source, key, allowed);
            }
        }
        let limit = read_limit(source, &table, "rate-per-s", "burst");
        let weight = read_or_default(source, &table, "weight", ALLOWED_WEIGHTS, DEFAULT_WEIGHT);
        Some(Workspace {
            name,
            key_digests,
            limit: limit?,
            weight: weight?,
        })
    }
}

/// Reads the valid digests. A value that is not a digest may be a secret key, so
/// no message contains it.
fn read_digests(source: &mut Source<'_>, table: &Table<'_, '_>) -> Vec<KeyDigest> {
    const KEY: &str = "key-digests";
    if table.offset_of(KEY).is_none() {
        table.report_missing(source, KEY, "an array of key digests");
    }
    let mut digests = Vec::new();
    for written in table.strings(source, KEY).unwrap_or_default() {
        match KeyDigest::parse(&written.value) {
            Ok(digest) => digests.push(digest),
            Err(_) => source.report_error(written.offset, Problem::NotADigest),
        }
    }
    digests
}
