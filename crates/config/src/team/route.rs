//! Parsing of routes.

use std::sync::Arc;
use std::time::Duration;

use waxwingusher_core::{RouteName, ServiceName, WorkspaceName};

use super::{TeamFile, read_choice, read_limit, read_or_default};
use crate::location::Item;
use crate::model::{Access, RateLimit, Route};
use crate::problem::Problem;
use crate::table::{NamedTable, Source, Table};

const KEYS: &[&str] = &[
    "service",
    "path-prefix",
    "methods",
    "idempotent-methods",
    "allow-unsafe-repeats",
    "access",
    "open-rate-per-s",
    "open-burst",
    "workspaces",
    "deadline-ms",
];

const DEFAULT_IDEMPOTENT_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Methods that HTTP does not define as idempotent.
const UNSAFE_METHODS: [&str; 2] = ["PATCH", "POST"];

const DEFAULT_DEADLINE_MS: u64 = 5_000;

const ACCESS: &[(&str, Access)] = &[("keyed", Access::Keyed), ("open", Access::Open)];

impl TeamFile {
    pub(super) fn read_route(
        &mut self,
        source: &mut Source<'_>,
        named: &NamedTable<'_, '_>,
    ) -> Option<Route> {
        let table = Table::new(source, named.table, named.offset, KEYS);
        let name = RouteName::new(&named.name);
        self.record_keys(source, &table, &Item::Route(name.clone()), KEYS);
        let service = read_required(source, &table, "service", "the name of a service");
        let path_prefix = read_required(source, &table, "path-prefix", "a path");
        let methods = read_methods(source, &table, "methods").unwrap_or_default();
        let idempotent_methods = read_idempotent(source, &table, &methods);
        let access = read_choice(source, &table, "access", ACCESS).unwrap_or(Access::Keyed);
        let open_limit = read_open_limit(source, &table, access);
        let workspaces = table.strings(source, "workspaces").unwrap_or_default();
        let deadline = read_deadline(source, &table);
        Some(Route {
            name,
            service: ServiceName::new(&service?),
            path_prefix: path_prefix?,
            methods,
            idempotent_methods,
            access,
            open_limit,
            workspaces: workspaces
                .iter()
                .map(|workspace| WorkspaceName::new(&workspace.value))
                .collect(),
            deadline: deadline?,
        })
    }
}

fn read_required(
    source: &mut Source<'_>,
    table: &Table<'_, '_>,
    key: &'static str,
    allowed: &'static str,
) -> Option<Arc<str>> {
    if table.offset_of(key).is_none() {
        table.report_missing(source, key, allowed);
    }
    table.string(source, key).map(|text| text.value)
}

fn read_methods(
    source: &mut Source<'_>,
    table: &Table<'_, '_>,
    key: &'static str,
) -> Option<Vec<Arc<str>>> {
    let written = table.strings(source, key)?;
    let mut methods: Vec<_> = written.into_iter().map(|method| method.value).collect();
    methods.sort();
    methods.dedup();
    Some(methods)
}

fn read_idempotent(
    source: &mut Source<'_>,
    table: &Table<'_, '_>,
    methods: &[Arc<str>],
) -> Vec<Arc<str>> {
    const KEY: &str = "idempotent-methods";
    let Some(listed) = read_methods(source, table, KEY) else {
        let is_accepted = |method: &Arc<str>| methods.is_empty() || methods.contains(method);
        let defaults = DEFAULT_IDEMPOTENT_METHODS.map(Arc::from);
        return defaults.into_iter().filter(is_accepted).collect();
    };
    let allowed = table.flag(source, "allow-unsafe-repeats");
    let is_allowed = allowed.is_some_and(|flag| flag.value);
    let offset = table.offset_of(KEY).unwrap_or(table.offset());
    for method in &listed {
        if !is_allowed && UNSAFE_METHODS.contains(&&**method) {
            let method = method.clone();
            source.report_error(offset, Problem::UnsafeRepeat { method });
        }
    }
    listed
}

fn read_open_limit(
    source: &mut Source<'_>,
    table: &Table<'_, '_>,
    access: Access,
) -> Option<RateLimit> {
    let limit = read_limit(source, table, "open-rate-per-s", "open-burst");
    let offsets = [
        table.offset_of("open-rate-per-s"),
        table.offset_of("open-burst"),
    ];
    match access {
        Access::Open if offsets.contains(&None) => {
            source.report_error(table.offset(), Problem::OpenWithoutLimit);
        }
        Access::Keyed => {
            for offset in offsets.into_iter().flatten() {
                source.report_error(offset, Problem::LimitOnKeyedRoute);
            }
            return None;
        }
        Access::Open => {}
    }
    limit
}

fn read_deadline(source: &mut Source<'_>, table: &Table<'_, '_>) -> Option<Duration> {
    const ALLOWED: &str = "1 to 3600000 milliseconds";
    read_or_default(source, table, "deadline-ms", ALLOWED, DEFAULT_DEADLINE_MS)
        .map(Duration::from_millis)
}
