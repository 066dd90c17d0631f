//! Tests of the lookup of a request's route.

use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use waxwingusher_config::{Access, Route, Snapshot};
use waxwingusher_host::route_table::{RouteMatch, RouteTable};

fn route_table(routes: &[(&str, &str, &[&str])]) -> RouteTable {
    let mut snapshot = Snapshot::default();
    for (name, prefix, methods) in routes {
        let route = Route {
            name: (*name).into(),
            service: "any".into(),
            path_prefix: (*prefix).into(),
            methods: methods.iter().map(|method| (*method).into()).collect(),
            idempotent_methods: Vec::new(),
            access: Access::Keyed,
            open_limit: None,
            workspaces: Vec::new(),
            deadline: Duration::from_secs(1),
        };
        snapshot.routes.insert(route.name.clone(), Arc::new(route));
    }
    RouteTable::new(&snapshot)
}

fn found_route(table: &RouteTable, method: &str, path: &str) -> Option<String> {
    match table.find(method, path) {
        RouteMatch::Found(route) => Some(route.name.to_string()),
        RouteMatch::MethodNotAllowed | RouteMatch::NotFound => None,
    }
}

#[test]
fn longest_prefix_wins_regardless_of_route_names() {
    let table = route_table(&[
        ("a-root", "/", &[]),
        ("b-short", "/leave", &[]),
        ("c-long", "/leave/approvals/", &[]),
    ]);
    let paths = [
        ("/", "a-root"),
        ("/leaves", "a-root"),
        ("/leave", "b-short"),
        ("/leave/", "b-short"),
        ("/leave/approvalsx", "b-short"),
        ("/leave/approvals", "c-long"),
        ("/leave/approvals/7", "c-long"),
    ];
    for (path, name) in paths {
        assert_eq!(
            found_route(&table, "GET", path).as_deref(),
            Some(name),
            "{path}"
        );
    }
}

#[test]
fn method_missing_under_longest_prefix_is_not_matched_by_a_shorter_one() {
    let table = route_table(&[
        ("all", "/", &[]),
        ("read", "/leave", &["GET"]),
        ("write", "/leave", &["POST"]),
    ]);
    assert_eq!(
        found_route(&table, "GET", "/leave/1").as_deref(),
        Some("read")
    );
    assert_eq!(
        found_route(&table, "POST", "/leave/1").as_deref(),
        Some("write")
    );
    assert_matches!(
        table.find("DELETE", "/leave/1"),
        RouteMatch::MethodNotAllowed
    );
    assert_eq!(
        found_route(&table, "DELETE", "/other").as_deref(),
        Some("all")
    );
}

#[test]
fn path_without_a_route_is_not_found() {
    let table = route_table(&[("only", "/leave", &[])]);
    for path in ["/", "/other", "*", ""] {
        assert_matches!(table.find("GET", path), RouteMatch::NotFound);
    }
}
