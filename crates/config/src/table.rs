//! Typed access to TOML tables, which reports every problem with its line.

use std::path::Path;
use std::sync::Arc;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::problem::{Finding, Location, Problem, Severity};
use crate::suggestion::closest;

/// A file and the problems found in it.
pub struct Source<'a> {
    path: &'a Path,
    line_starts: Vec<usize>,
    /// The problems found so far.
    pub findings: Vec<Finding>,
}

impl<'a> Source<'a> {
    /// Creates the source for a file's text.
    pub fn new(path: &'a Path, text: &str) -> Self {
        let breaks = text.match_indices('\n').map(|(at, _)| at + 1);
        Self {
            path,
            line_starts: std::iter::once(0).chain(breaks).collect(),
            findings: Vec::new(),
        }
    }

    /// Returns the location of a byte offset.
    pub fn location(&self, offset: usize) -> Location {
        Location {
            file: self.path.to_owned(),
            line: self.line_starts.partition_point(|start| *start <= offset),
        }
    }

    /// Reports an error at a byte offset.
    pub fn report_error(&mut self, offset: usize, problem: Problem) {
        let location = Some(self.location(offset));
        self.findings.push(Finding {
            severity: Severity::Error,
            location,
            problem,
        });
    }
}

/// A table of a file whose keys have been checked.
pub struct Table<'t, 'i> {
    table: &'t DeTable<'i>,
    offset: usize,
}

/// A value with its byte offset.
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// The byte offset.
    pub offset: usize,
}

impl<'t, 'i> Table<'t, 'i> {
    /// Creates a reader of a table whose header is at `offset`, and reports keys
    /// that are not allowed.
    pub fn new(
        source: &mut Source<'_>,
        table: &'t DeTable<'i>,
        offset: usize,
        allowed: &[&'static str],
    ) -> Self {
        for key in table.keys() {
            let name: &str = key.get_ref();
            if allowed.contains(&name) {
                continue;
            }
            let problem = Problem::UnknownKey {
                key: name.to_owned(),
                near: closest(name, allowed.iter().copied()),
                allowed: allowed.to_vec(),
            };
            source.report_error(key.span().start, problem);
        }
        Self { table, offset }
    }

    /// Returns the byte offset of the table's header.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Returns the byte offset of a key, if the table contains it.
    pub fn offset_of(&self, key: &str) -> Option<usize> {
        let (written, _) = self.table.get_key_value(key)?;
        Some(written.span().start)
    }

    /// Reports that a required key is missing.
    pub fn report_missing(
        &self,
        source: &mut Source<'_>,
        key: &'static str,
        allowed: &'static str,
    ) {
        source.report_error(self.offset, Problem::MissingKey { key, allowed });
    }

    /// Reads a string.
    pub fn string(&self, source: &mut Source<'_>, key: &str) -> Option<Located<Arc<str>>> {
        let value = self.table.get(key)?;
        match value.get_ref() {
            DeValue::String(text) => Some(located(value, Arc::from(&**text))),
            _ => wrong_type(source, key, value, "a string"),
        }
    }

    /// Reads a boolean.
    pub fn flag(&self, source: &mut Source<'_>, key: &str) -> Option<Located<bool>> {
        let value = self.table.get(key)?;
        match value.get_ref() {
            DeValue::Boolean(flag) => Some(located(value, *flag)),
            _ => wrong_type(source, key, value, "true or false"),
        }
    }

    /// Reads an integer, which may be negative.
    pub fn integer(&self, source: &mut Source<'_>, key: &str) -> Option<Located<i128>> {
        let value = self.table.get(key)?;
        let parsed = value
            .get_ref()
            .as_integer()
            .and_then(|n| i128::from_str_radix(n.as_str(), n.radix()).ok());
        match parsed {
            Some(number) => Some(located(value, number)),
            None => wrong_type(source, key, value, "an integer"),
        }
    }

    /// Reads an integer or a float.
    pub fn number(&self, source: &mut Source<'_>, key: &str) -> Option<Located<f64>> {
        let value = self.table.get(key)?;
        let parsed = match value.get_ref() {
            DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix())
                .ok()
                .map(|n| n as f64),
            DeValue::Float(n) => n.as_str().parse().ok(),
            _ => None,
        };
        match parsed {
            Some(number) => Some(located(value, number)),
            None => wrong_type(source, key, value, "a number"),
        }
    }

    /// Reads an array of strings.
    pub fn strings(&self, source: &mut Source<'_>, key: &str) -> Option<Vec<Located<Arc<str>>>> {
        let value = self.table.get(key)?;
        let DeValue::Array(array) = value.get_ref() else {
            return wrong_type(source, key, value, "an array of strings");
        };
        let mut strings = Vec::new();
        for entry in array {
            match entry.get_ref() {
                DeValue::String(text) => strings.push(located(entry, Arc::from(&**text))),
                _ => wrong_type::<()>(source, key, entry, "a string").unwrap_or_default(),
            }
        }
        Some(strings)
    }

    /// Reads a table of named tables, sorted by name.
    pub fn tables(&self, source: &mut Source<'_>, key: &str) -> Vec<NamedTable<'t, 'i>> {
        let Some(value) = self.table.get(key) else {
            return Vec::new();
        };
        let DeValue::Table(outer) = value.get_ref() else {
            wrong_type::<()>(source, key, value, "a table of named tables");
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (name, value) in outer {
            let DeValue::Table(table) = value.get_ref() else {
                wrong_type::<()>(source, name.get_ref(), value, "a table");
                continue;
            };
            tables.push(NamedTable {
                name: Arc::from(&**name.get_ref()),
                offset: name.span().start,
                table,
            });
        }
        tables
    }
}

/// A table with its name.
pub struct NamedTable<'t, 'i> {
    /// The name.
    pub name: Arc<str>,
    /// The byte offset of the name.
    pub offset: usize,
    /// The content.
    pub table: &'t DeTable<'i>,
}

fn located<T>(value: &Spanned<DeValue<'_>>, content: T) -> Located<T> {
    Located {
        value: content,
        offset: value.span().start,
    }
}

fn wrong_type<T>(
    source: &mut Source<'_>,
    key: &str,
    value: &Spanned<DeValue<'_>>,
    allowed: &'static str,
) -> Option<T> {
    let problem = Problem::WrongType {
        key: key.to_owned(),
        found: value.get_ref().type_str(),
        allowed,
    };
    source.report_error(value.span().start, problem);
    None
}
