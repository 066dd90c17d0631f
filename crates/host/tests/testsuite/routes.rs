//! Which route a request takes.

use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use waxwingusher_config::{Access, Route, Snapshot};
use waxwingusher_host::route_table::{RouteMatch, RouteTable};

fn table(routes: &[(&str, &str, &[&str])]) -> RouteTable {
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

fn found(table: &RouteTable, method: &str, path: &str) -> Option<String> {
    match table.find(method, path) {
        RouteMatch::Found(route) => Some(route.name.to_string()),
        RouteMatch::MethodNotAllowed | RouteMatch::NotFound => None,
    }
}

#[test]
fn the_longest_prefix_wins_whatever_the_names_are() {
    let table = table(&[
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
        assert_eq!(found(&table, "GET", path).as_deref(), Some(name), "{path}");
    }
}

#[test]
fn a_shorter_prefix_does_not_take_the_methods_that_a_longer_one_leaves_out() {
    let table = table(&[
        ("all", "/", &[]),
        ("read", "/leave", &["GET"]),
        ("write", "/leave", &["POST"]),
    ]);
    assert_eq!(found(&table, "GET", "/leave/1").as_deref(), Some("read"));
    assert_eq!(found(&table, "POST", "/leave/1").as_deref(), Some("write"));
    assert_matches!(
        table.find("DELETE", "/leave/1"),
        RouteMatch::MethodNotAllowed
    );
    assert_eq!(found(&table, "DELETE", "/other").as_deref(), Some("all"));
}

#[test]
fn a_path_without_a_route_is_not_found() {
    let table = table(&[("only", "/leave", &[])]);
    for path in ["/", "/other", "*", ""] {
        assert_matches!(table.find("GET", path), RouteMatch::NotFound);
    }
}
