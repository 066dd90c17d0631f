//! Differences between two configurations.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::model::Snapshot;
use crate::rows::{Row, rows_of};

/// How an entry differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// The entry is new.
    Added,
    /// The entry no longer exists.
    Removed,
    /// The entry has different values.
    Changed,
}

/// A value of an entry that differs.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct FieldChange {
    /// The field.
    pub field: String,
    /// The old value.
    pub old: Value,
    /// The new value.
    pub new: Value,
}

/// An entry that differs.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Change {
    /// How the entry differs.
    pub kind: ChangeKind,
    /// The kind of entry and its name, such as `route/balances`.
    pub entry: String,
    /// The values that differ; empty unless the kind is [`ChangeKind::Changed`].
    pub fields: Vec<FieldChange>,
}

/// All differences between two configurations, sorted by entry.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Diff {
    /// The entries that differ.
    pub changes: Vec<Change>,
}

impl Diff {
    /// Compares two configurations.
    #[must_use]
    pub fn between(old: &Snapshot, new: &Snapshot) -> Self {
        Self::compare(&entries(old), &entries(new), Row::fields)
    }

    /// Compares entries by their names, and those that differ by their fields.
    pub(crate) fn compare<E: PartialEq>(
        old: &BTreeMap<String, E>,
        new: &BTreeMap<String, E>,
        fields: impl Fn(&E) -> BTreeMap<String, Value>,
    ) -> Self {
        let mut changes = Vec::new();
        for (entry, value) in new {
            match old.get(entry) {
                None => changes.push(change_without_fields(ChangeKind::Added, entry)),
                Some(before) if before != value => changes.push(Change {
                    kind: ChangeKind::Changed,
                    entry: entry.clone(),
                    fields: changed_fields(&fields(before), &fields(value)),
                }),
                Some(_) => {}
            }
        }
        for entry in old.keys() {
            if !new.contains_key(entry) {
                changes.push(change_without_fields(ChangeKind::Removed, entry));
            }
        }
        changes.sort_by(|a, b| a.entry.cmp(&b.entry));
        Self { changes }
    }

    /// Reports whether the configurations are equal apart from their versions.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.changes {
            let sign = match change.kind {
                ChangeKind::Added => '+',
                ChangeKind::Removed => '-',
                ChangeKind::Changed => '~',
            };
            writeln!(f, "{sign} {}", change.entry)?;
            for field in &change.fields {
                writeln!(f, "    {}: {} -> {}", field.field, field.old, field.new)?;
            }
        }
        Ok(())
    }
}

fn entries(snapshot: &Snapshot) -> BTreeMap<String, Row> {
    let rows = rows_of(snapshot).into_iter();
    rows.map(|row| (row.key(), row)).collect()
}

fn change_without_fields(kind: ChangeKind, entry: &str) -> Change {
    Change {
        kind,
        entry: entry.to_owned(),
        fields: Vec::new(),
    }
}

fn changed_fields(
    old: &BTreeMap<String, Value>,
    new: &BTreeMap<String, Value>,
) -> Vec<FieldChange> {
    let mut names: Vec<_> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    let mut fields = Vec::new();
    for name in names {
        let before = old.get(name).cloned().unwrap_or_default();
        let after = new.get(name).cloned().unwrap_or_default();
        if before == after {
            continue;
        }
        fields.push(FieldChange {
            field: name.clone(),
            old: before,
            new: after,
        });
    }
    fields
}
