//! Parsing of a team's file, which declares services, routes and workspaces.

mod route;
mod service;
mod workspace;

use std::path::Path;
use std::sync::Arc;

use toml::de::DeTable;
use waxwingusher_core::{RouteName, ServiceName, WorkspaceName};

use crate::location::{Item, Locations, Subject};
use crate::model::{RateLimit, Route, Service, Workspace};
use crate::problem::{Finding, Location, Problem};
use crate::table::{Located, NamedTable, Source, Table};

const KEYS: &[&str] = &["owner", "service", "route", "workspace"];

/// The longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The largest rate, in requests per second.
const MAX_RATE_PER_S: f64 = 1e9;

/// An item that a file declares, with its location.
pub struct Declared<T> {
    /// The item.
    pub content: T,
    /// The location of its declaration.
    pub location: Location,
}

/// The parsed content of one file and the problems found in it.
#[derive(Default)]
pub struct TeamFile {
    /// The team that owns the declared items.
    pub owner: Arc<str>,
    /// All services.
    pub services: Vec<Declared<Service>>,
    /// All routes.
    pub routes: Vec<Declared<Route>>,
    /// All workspaces.
    pub workspaces: Vec<Declared<Workspace>>,
    /// The locations of all items and keys.
    pub locations: Locations,
    /// The problems.
    pub findings: Vec<Finding>,
}

impl TeamFile {
    /// Parses as much of a file as possible and collects all problems.
    pub fn parse(path: &Path, text: &str) -> Self {
        let mut source = Source::new(path, text);
        let (root, errors) = DeTable::parse_recoverable(text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            let message = error.message().to_owned();
            source.report_error(offset, Problem::Syntax { message });
        }
        let mut team = Self::default();
        team.read(&mut source, root.get_ref());
        team.findings = source.findings;
        team
    }

    fn read(&mut self, source: &mut Source<'_>, root: &DeTable<'_>) {
        let table = Table::new(source, root, 0, KEYS);
        self.owner = read_owner(source, &table);
        for named in table.tables(source, "service") {
            let item = Item::Service(ServiceName::new(&named.name));
            let location = self.declare(source, &named, item);
            if let Some(content) = self.read_service(source, &named) {
                self.services.push(Declared { content, location });
            }
        }
        for named in table.tables(source, "route") {
            let item = Item::Route(RouteName::new(&named.name));
            let location = self.declare(source, &named, item);
            if let Some(content) = self.read_route(source, &named) {
                self.routes.push(Declared { content, location });
            }
        }
        for named in table.tables(source, "workspace") {
            let item = Item::Workspace(WorkspaceName::new(&named.name));
            let location = self.declare(source, &named, item);
            if let Some(content) = self.read_workspace(source, &named) {
                self.workspaces.push(Declared { content, location });
            }
        }
    }

    /// Checks an item's name and records its location.
    fn declare(
        &mut self,
        source: &mut Source<'_>,
        named: &NamedTable<'_, '_>,
        item: Item,
    ) -> Location {
        if !is_name(&named.name) {
            let name = named.name.to_string();
            source.report_error(named.offset, Problem::BadName { name });
        }
        let location = source.location(named.offset);
        self.locations
            .record(Subject::of_item(item), location.clone());
        location
    }

    fn record_keys(
        &mut self,
        source: &Source<'_>,
        table: &Table<'_, '_>,
        item: &Item,
        keys: &[&'static str],
    ) {
        for key in keys {
            let Some(offset) = table.offset_of(key) else {
                continue;
            };
            let location = source.location(offset);
            self.locations
                .record(Subject::of_key(item.clone(), key), location);
        }
    }
}

fn read_owner(source: &mut Source<'_>, table: &Table<'_, '_>) -> Arc<str> {
    const ALLOWED: &str = "the name of the team that owns the file";
    match table.string(source, "owner") {
        Some(owner) if !owner.value.trim().is_empty() => owner.value,
        Some(owner) => {
            let problem = Problem::OutOfRange {
                key: "owner",
                value: "empty".to_owned(),
                allowed: ALLOWED,
            };
            source.report_error(owner.offset, problem);
            Arc::from("")
        }
        None => {
            if table.offset_of("owner").is_none() {
                table.report_missing(source, "owner", ALLOWED);
            }
            Arc::from("")
        }
    }
}

fn is_name(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed)
}

/// Reports that a value is out of range.
fn report_out_of_range(
    source: &mut Source<'_>,
    offset: usize,
    key: &'static str,
    value: &(impl ToString + ?Sized),
    allowed: &'static str,
) {
    let value = value.to_string();
    let problem = Problem::OutOfRange {
        key,
        value,
        allowed,
    };
    source.report_error(offset, problem);
}

/// Converts an integer to the target type, or reports that it is out of range.
fn convert_integer<T: TryFrom<i128>>(
    source: &mut Source<'_>,
    number: &Located<i128>,
    key: &'static str,
    allowed: &'static str,
) -> Option<T> {
    let converted = T::try_from(number.value).ok();
    if converted.is_none() {
        report_out_of_range(source, number.offset, key, &number.value, allowed);
    }
    converted
}

/// Reads an integer, or returns the default if the key is absent. Reports a
/// value that is out of range.
fn read_or_default<T: TryFrom<i128>>(
    source: &mut Source<'_>,
    table: &Table<'_, '_>,
    key: &'static str,
    allowed: &'static str,
    default: T,
) -> Option<T> {
    if table.offset_of(key).is_none() {
        return Some(default);
    }
    let written = table.integer(source, key)?;
    convert_integer(source, &written, key, allowed)
}

/// Reads a rate in requests per second and returns it in thousandths.
fn read_rate(source: &mut Source<'_>, table: &Table<'_, '_>, key: &'static str) -> Option<u64> {
    let rate = table.number(source, key)?;
    let millis = (rate.value * 1_000.0).round();
    let is_exact = (rate.value * 1_000.0 - millis).abs() < 1e-6 * millis.max(1.0);
    if !(0.0..=MAX_RATE_PER_S).contains(&rate.value) || !is_exact {
        const ALLOWED: &str = "0 to 1000000000 requests a second, in steps of 0.001";
        report_out_of_range(source, rate.offset, key, &rate.value, ALLOWED);
        return None;
    }
    Some(millis as u64)
}

/// Reads a burst in requests.
fn read_burst(source: &mut Source<'_>, table: &Table<'_, '_>, key: &'static str) -> Option<u32> {
    let burst = table.integer(source, key)?;
    convert_integer(source, &burst, key, "1 to 4294967295 requests")
}

/// Reads a rate and a burst, both of which are required.
fn read_limit(
    source: &mut Source<'_>,
    table: &Table<'_, '_>,
    rate_key: &'static str,
    burst_key: &'static str,
) -> Option<RateLimit> {
    let rate = read_rate(source, table, rate_key);
    let burst = read_burst(source, table, burst_key);
    Some(RateLimit {
        rate_millis_per_s: rate?,
        burst: burst?,
    })
}

/// Reads a string that must be one of the given choices.
fn read_choice<T: Copy>(
    source: &mut Source<'_>,
    table: &Table<'_, '_>,
    key: &'static str,
    choices: &[(&'static str, T)],
) -> Option<T> {
    let written = table.string(source, key)?;
    let found = choices
        .iter()
        .find(|(choice, _)| **choice == *written.value);
    if let Some((_, value)) = found {
        return Some(*value);
    }
    let problem = Problem::UnknownWord {
        key,
        value: written.value.to_string(),
        allowed: choices.iter().map(|(choice, _)| *choice).collect(),
    };
    source.report_error(written.offset, problem);
    None
}
