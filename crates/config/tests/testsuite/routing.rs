//! The routing table and the weighted split of requests.

use std::time::Duration;

use assert_matches::assert_matches;
use waxwingusher_config::routing::{
    Caller, CallerLimits, PublishedService, PublishedWorkspace, Route, RoutingDocument,
    RoutingError, RoutingTable, ServiceShare, SplitPicker,
};
use waxwingusher_core::{KeyDigest, RouteName, ServiceName, WorkspaceName};

fn share(service: &str, weight: u32) -> ServiceShare {
    ServiceShare {
        service: ServiceName::new(service),
        weight,
    }
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: RouteName::new(name),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        is_idempotent: true,
        timeout: None,
        latency_target: Duration::from_secs(1),
        priority: 1,
        split: vec![share("a", 1)],
        max_attempts: 2,
        is_open: false,
        home_regions: Vec::new(),
    }
}

fn workspace(name: &str, keys: &[&str]) -> PublishedWorkspace {
    PublishedWorkspace {
        name: WorkspaceName::new(name),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of_key(key.as_bytes()))
            .collect(),
        priority: None,
        rate_per_s: 10.0,
        burst: 10.0,
        home_regions: Vec::new(),
    }
}

fn document(routes: Vec<Route>) -> RoutingDocument {
    let services = ["a", "b"].map(|name| PublishedService {
        name: ServiceName::new(name),
        health_path: "/health".to_owned(),
        max_connections: 10,
        cold_start: None,
    });
    RoutingDocument {
        version: 3,
        routes,
        services: services.into(),
        workspaces: vec![
            workspace("acme", &["k1", "k2"]),
            workspace("other", &["k3"]),
        ],
        limits: CallerLimits::default(),
        findings: Vec::new(),
    }
}

fn build(routes: Vec<Route>) -> RoutingTable {
    RoutingTable::build(document(routes)).expect("a valid document")
}

fn route_name(table: &RoutingTable, host: &str, path: &str) -> Option<String> {
    table.route(host, path).map(|route| route.name.to_string())
}

#[test]
fn the_longest_prefix_of_the_host_matches() {
    let table = build(vec![
        route("all", "x.example", "/"),
        route("shop", "x.example", "/shop/"),
        route("cart", "x.example", "/shop/cart/"),
        route("elsewhere", "y.example", "/shop/cart/2/"),
    ]);
    assert_eq!(
        route_name(&table, "x.example", "/shop/cart/2").as_deref(),
        Some("cart")
    );
    assert_eq!(
        route_name(&table, "X.Example:8080", "/shop/2?a=/shop/cart/").as_deref(),
        Some("shop")
    );
    assert_eq!(
        route_name(&table, "x.example", "/shop").as_deref(),
        Some("all")
    );
    assert_eq!(route_name(&table, "y.example", "/other"), None);
    assert_eq!(route_name(&table, "z.example", "/shop/"), None);
}

#[test]
fn keys_identify_their_workspace_and_open_routes_need_none() {
    let open = Route {
        is_open: true,
        home_regions: Vec::new(),
        ..route("open", "x.example", "/open/")
    };
    let table = build(vec![route("closed", "x.example", "/"), open]);
    let closed = table.route("x.example", "/1").expect("a route").clone();
    let open = table
        .route("x.example", "/open/1")
        .expect("a route")
        .clone();
    for key in [b"k1", b"k2"] {
        assert_matches!(table.caller(&closed, Some(key)), Caller::Workspace(w) if w.name.as_str() == "acme");
    }
    assert_eq!(table.caller(&closed, Some(b"withdrawn")), Caller::Unknown);
    assert_eq!(table.caller(&closed, None), Caller::Unknown);
    assert_eq!(table.caller(&open, None), Caller::Anonymous);
    assert_eq!(table.caller(&open, Some(b"withdrawn")), Caller::Anonymous);
    assert_matches!(table.caller(&open, Some(b"k3")), Caller::Workspace(_));
}

#[test]
fn without_workspaces_no_request_needs_a_key() {
    let mut document = document(vec![route("all", "x.example", "/")]);
    document.workspaces.clear();
    let table = RoutingTable::build(document).expect("a valid document");
    let route = table.route("x.example", "/").expect("a route").clone();
    assert_eq!(table.caller(&route, None), Caller::Anonymous);
}

#[test]
fn invalid_documents_are_refused_with_their_cause() {
    let build_error = |route: Route| RoutingTable::build(document(vec![route])).err();
    let good = || route("r", "x.example", "/r/");
    assert_matches!(
        build_error(Route {
            prefix: "/r".to_owned(),
            ..good()
        }),
        Some(RoutingError::Prefix { .. })
    );
    assert_matches!(
        build_error(Route {
            split: vec![share("none", 1)],
            ..good()
        }),
        Some(RoutingError::UnknownService { .. })
    );
    assert_matches!(
        build_error(Route {
            split: vec![share("a", 0)],
            ..good()
        }),
        Some(RoutingError::NoWeight { .. })
    );
    assert_matches!(
        build_error(Route {
            max_attempts: 0,
            ..good()
        }),
        Some(RoutingError::NoAttempts { .. })
    );
    let twice = document(vec![good(), route("s", "X.example", "/r/")]);
    assert_matches!(
        RoutingTable::build(twice).err(),
        Some(RoutingError::Overlap { .. })
    );
    let mut shared = document(vec![good()]);
    shared.workspaces.push(workspace("third", &["k1"]));
    assert_matches!(
        RoutingTable::build(shared).err(),
        Some(RoutingError::SharedKey { .. })
    );
}

fn split_route(weights: &[u32]) -> std::sync::Arc<Route> {
    let names = ["a", "b"];
    let split = weights
        .iter()
        .zip(names)
        .map(|(weight, name)| share(name, *weight));
    let table = build(vec![Route {
        split: split.collect(),
        ..route("r", "x.example", "/")
    }]);
    table.route("x.example", "/").expect("a route").clone()
}

/// Each host receives few requests. If all hosts started at the same phase, they
/// would pick the same services, and the shares over the fleet would be wrong.
#[test]
fn shares_hold_over_a_fleet_whose_hosts_receive_few_requests_each() {
    const HOSTS: usize = 40;
    const REQUESTS_EACH: usize = 6;
    for seed in 0..10 {
        let route = split_route(&[90, 10]);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut to_b = 0.0;
        for _ in 0..HOSTS {
            let mut picker = SplitPicker::new(&route, &mut rng);
            for _ in 0..REQUESTS_EACH {
                let service = picker.pick(&route).expect("a service");
                to_b += f64::from(u8::from(service.as_str() == "b"));
            }
        }
        let share = to_b / 240.0;
        assert!((share - 0.1).abs() < 0.05, "seed {seed}: {share}");
    }
}

#[test]
fn a_service_of_weight_zero_gets_nothing() {
    let route = split_route(&[0, 5]);
    let mut picker = SplitPicker::new(&route, &mut fastrand::Rng::with_seed(1));
    for _ in 0..20 {
        assert_eq!(picker.pick(&route).expect("a service").as_str(), "b");
    }
}

/// Guards against one unusable entry that keeps a whole configuration out of force.
#[test]
fn entries_that_cannot_be_used_are_left_out_alone() {
    let good = route("good", "a.example", "/");
    let mut published = document(vec![
        good.clone(),
        route("no-slash", "b.example", "x"),
        Route {
            split: vec![share("nowhere", 1)],
            ..route("unknown-service", "c.example", "/")
        },
        route("again", "A.example", "/"),
    ]);
    published.workspaces = vec![
        workspace("first", &["k", "own"]),
        workspace("second", &["k"]),
    ];
    published.leave_out_invalid();
    assert_eq!(published.routes, [good]);
    assert_eq!(published.findings.len(), 5);
    let table = RoutingTable::build(published).expect("the rest is valid");
    let route = table
        .route("a.example", "/")
        .expect("it is in force")
        .clone();
    assert_eq!(table.caller(&route, Some(b"k")), Caller::Unknown);
    assert_matches!(table.caller(&route, Some(b"own")), Caller::Workspace(_));
}
