//! Mistakes in a published document, and what a publication changes for callers.

use std::time::{Duration, Instant};

use waxwingusher_config::Severity;
use waxwingusher_config::routing::review::{Mistake, Place, changes_between, review};
use waxwingusher_config::routing::{
    CallerLimits, ColdStart, DocumentFinding, EntryKind, FindingEffect, PublishedService,
    PublishedWorkspace, Route, RoutingDocument, RoutingTable, ServiceShare,
};
use waxwingusher_core::{KeyDigest, Region, RouteName, ServiceName, WorkspaceName};

fn share(service: &str, weight: u32) -> ServiceShare {
    ServiceShare {
        service: ServiceName::new(service),
        weight,
    }
}

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: RouteName::new(name),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        is_idempotent: true,
        timeout: Some(Duration::from_secs(2)),
        latency_target: Duration::from_secs(1),
        priority: 0,
        split: vec![share("a", 90), share("b", 10)],
        max_attempts: 2,
        is_open: false,
        home_regions: Vec::new(),
    }
}

fn service(name: &str) -> PublishedService {
    PublishedService {
        name: ServiceName::new(name),
        health_path: "/h".to_owned(),
        max_connections: 30,
        cold_start: None,
    }
}

fn workspace(name: &str, keys: &[&str]) -> PublishedWorkspace {
    let keys = keys.iter();
    PublishedWorkspace {
        name: WorkspaceName::new(name),
        keys: keys.map(|key| KeyDigest::of_key(key.as_bytes())).collect(),
        priority: None,
        rate_per_s: 40.0,
        burst: 10.0,
        home_regions: Vec::new(),
    }
}

/// Returns a document without a mistake.
fn document() -> RoutingDocument {
    RoutingDocument {
        version: 7,
        routes: vec![route("read", "/read/"), route("book", "/book/")],
        services: vec![service("a"), service("b")],
        workspaces: vec![workspace("acme", &["k1"]), workspace("best", &["k2"])],
        limits: CallerLimits::default(),
        findings: Vec::new(),
    }
}

/// Returns the mistakes after `edit` has changed a document without any.
fn mistakes(edit: impl Fn(&mut RoutingDocument)) -> Vec<(Place, Mistake)> {
    let mut document = document();
    edit(&mut document);
    let findings = review(&document, None).into_iter();
    let mistakes = findings.map(|finding| (finding.place, finding.mistake));
    mistakes.collect()
}

fn regions(names: &[&str]) -> Vec<Region> {
    names.iter().map(|name| Region::new(name)).collect()
}

#[test]
fn a_document_without_mistakes_has_no_findings() {
    assert_eq!(mistakes(|_| {}), []);
    // Longer prefixes, other host names and equal regions are no mistakes.
    let other = mistakes(|document| {
        document.routes.push(route("page", "/read/page/"));
        document.routes.push(Route {
            host: "mall.example".to_owned(),
            ..route("mall", "/read/")
        });
        document.routes[0].home_regions = regions(&["bengal", "assam"]);
        document.workspaces[0].home_regions = regions(&["assam"]);
    });
    assert_eq!(other, []);
}

/// What could not be read as the document was parsed must not be lost.
#[test]
fn entries_that_could_not_be_read_are_reported() {
    let found = mistakes(|document| {
        document.findings.push(DocumentFinding {
            entry: EntryKind::Route,
            name: "#3".to_owned(),
            cause: "missing field `host`".to_owned(),
            effect: FindingEffect::LeftOut,
        });
    });
    let mistake = Mistake::Unreadable {
        cause: "missing field `host`".to_owned(),
        effect: FindingEffect::LeftOut,
    };
    assert_eq!(found, [(Place::Finding(0), mistake)]);
}

/// Hosts ignore a version that is not greater, without a word to the operator.
#[test]
fn a_version_that_hosts_will_not_take_is_an_error() {
    let document = document();
    let findings = review(&document, Some(&document));
    assert_eq!(findings.len(), 1);
    assert_eq!(
        findings[0].mistake,
        Mistake::VersionNotGreater { published: 7 }
    );
    assert_eq!(findings[0].mistake.severity(), Severity::Error);
    let mut newer = document.clone();
    newer.version = 8;
    assert_eq!(review(&newer, Some(&document)), []);
}

#[test]
fn names_that_occur_twice_are_errors() {
    let found = mistakes(|document| {
        document.routes.push(route("read", "/other/"));
        document.services.push(service("a"));
        document.workspaces.push(workspace("acme", &["k3"]));
    });
    let expected = [Place::Service(2), Place::Route(2), Place::Workspace(2)];
    assert_eq!(found, expected.map(|place| (place, Mistake::DuplicateName)));
}

#[test]
fn routes_that_hosts_leave_out_are_errors() {
    let place = Place::Route(0);
    let prefix = "read".to_owned();
    assert_eq!(
        mistakes(|document| document.routes[0].prefix = "read".to_owned()),
        [(place, Mistake::BadPrefix { prefix })]
    );
    assert_eq!(
        mistakes(|document| document.routes[0].split = vec![share("a", 0)]),
        [(place, Mistake::NoWeight)]
    );
    assert_eq!(
        mistakes(|document| document.routes[0].max_attempts = 0),
        [(place, Mistake::NoAttempts)]
    );
    let found = mistakes(|document| {
        document.services.push(service("desk"));
        document.routes[0].split = vec![share("dask", 1), share("nothing", 1)];
        document.routes[1].split = vec![share("a", 1), share("b", 1), share("desk", 1)];
    });
    let unknown = |service: &str, near: Option<&str>| Mistake::UnknownService {
        service: service.to_owned(),
        near: near.map(str::to_owned),
    };
    let expected = [unknown("dask", Some("desk")), unknown("nothing", None)];
    assert_eq!(found, expected.map(|mistake| (place, mistake)));
}

/// The second route would never get a request, also if the host names differ in case.
#[test]
fn a_shadowed_route_is_an_error() {
    let found = mistakes(|document| {
        document.routes.push(Route {
            host: "SHOP.example".to_owned(),
            ..route("again", "/read/")
        });
    });
    let other = "read".to_owned();
    assert_eq!(found, [(Place::Route(2), Mistake::Shadowed { other })]);
}

/// Compares with the routing table: these routes are in it, but no request finds them.
#[test]
fn routes_that_can_never_match_are_errors() {
    for (host, prefix) in [
        ("", "/read/"),
        ("shop.example:80", "/read/"),
        ("shop example", "/read/"),
        ("shop.example/read", "/read/"),
        ("shop.example", "/read?page=/"),
        ("shop.example", "/#read/"),
        ("shop.example", "/read it/"),
    ] {
        let edit = |document: &mut RoutingDocument| {
            document.routes[0].host = host.to_owned();
            document.routes[0].prefix = prefix.to_owned();
        };
        let found = mistakes(edit);
        assert!(
            matches!(
                found.as_slice(),
                [(Place::Route(0), Mistake::NeverMatches { .. })]
            ),
            "{host} {prefix}: {found:?}"
        );
        let mut document = document();
        edit(&mut document);
        let table = RoutingTable::build(document).expect("hosts take it");
        // The others cannot be in a request.
        if host.contains(':') || prefix.contains(['?', '#']) {
            assert!(table.route(host, prefix).is_none(), "{host} {prefix}");
        }
    }
}

#[test]
fn parts_without_requests_are_warnings() {
    let service_name = || "b".to_owned();
    assert_eq!(
        mistakes(|document| document.routes[0].split[1].weight = 0),
        [(
            Place::Route(0),
            Mistake::ZeroWeight {
                service: service_name()
            }
        )]
    );
    assert_eq!(
        mistakes(|document| document.routes[0].split.push(share("b", 1))),
        [(
            Place::Route(0),
            Mistake::RepeatedService {
                service: service_name()
            }
        )]
    );
    let found = mistakes(|document| {
        document.services.push(service("c"));
        for route in &mut document.routes {
            route.split[1].weight = 0;
        }
    });
    let unused = found
        .iter()
        .filter(|(_, mistake)| *mistake == Mistake::UnusedService);
    let places: Vec<Place> = unused.map(|(place, _)| *place).collect();
    assert_eq!(places, [Place::Service(1), Place::Service(2)]);
}

#[test]
fn times_that_contradict_each_other_are_warnings() {
    let mistake = Mistake::TimeoutBelowTarget {
        timeout_ms: 999,
        target_ms: 1_000,
    };
    assert_eq!(
        mistakes(|document| document.routes[0].timeout = Some(Duration::from_millis(999))),
        [(Place::Route(0), mistake)]
    );
    assert_eq!(
        mistakes(|document| document.routes[0].timeout = Some(Duration::from_secs(1))),
        []
    );
    assert_eq!(
        mistakes(|document| document.routes[0].latency_target = Duration::ZERO),
        [(Place::Route(0), Mistake::ZeroTarget)]
    );
}

#[test]
fn more_attempts_than_an_instance_has_connections_are_a_warning() {
    let found = mistakes(|document| {
        document.services[1].max_connections = 3;
        document.routes[0].max_attempts = 4;
        // It states no number.
        document.services[0].max_connections = 0;
    });
    let mistake = Mistake::TooManyAttempts {
        max_attempts: 4,
        service: "b".to_owned(),
        max_connections: 3,
    };
    assert_eq!(found, [(Place::Route(0), mistake)]);
}

/// Without workspaces, hosts identify nobody and accept everybody.
#[test]
fn a_route_that_needs_a_key_without_workspaces_is_a_warning() {
    let found = mistakes(|document| {
        document.workspaces.clear();
        document.routes[1].is_open = true;
    });
    assert_eq!(found, [(Place::Route(0), Mistake::NoWorkspaces)]);
}

#[test]
fn regions_without_a_common_one_are_a_warning() {
    let found = mistakes(|document| {
        document.routes[0].home_regions = regions(&["bengal", "assam"]);
        document.workspaces[0].home_regions = regions(&["assam", "bihar"]);
        document.workspaces[1].home_regions = regions(&["bihar"]);
        for number in 0..7 {
            let name = format!("w-{number}");
            let mut other = workspace(&name, &[name.as_str()]);
            other.home_regions = regions(&["bihar"]);
            document.workspaces.push(other);
        }
    });
    let [(Place::Route(0), mistake)] = found.as_slice() else {
        panic!("one finding, not {found:?}");
    };
    let text = mistake.to_string();
    assert!(
        text.contains("`best`, `w-0`, `w-1`, `w-2`, `w-3` and 3 more"),
        "{text}"
    );
}

#[test]
fn a_limit_for_cold_instances_without_duration_is_a_warning() {
    let found = mistakes(|document| {
        document.services[0].cold_start = Some(ColdStart {
            duration: Duration::ZERO,
            rate_per_s: 3.3,
        });
    });
    assert_eq!(found, [(Place::Service(0), Mistake::ColdForNoTime)]);
}

#[test]
fn keys_of_two_workspaces_missing_keys_and_repeated_ones_are_reported() {
    let place = Place::Workspace(1);
    let other = "acme".to_owned();
    assert_eq!(
        mistakes(|document| document.workspaces[1] = workspace("best", &["k2", "k1"])),
        [(
            place,
            Mistake::SharedKey {
                other: other.clone()
            }
        )]
    );
    let two_keys_shared = mistakes(|document| {
        document.workspaces[0] = workspace("acme", &["k1", "k2"]);
        document.workspaces[1] = workspace("best", &["k2", "k1"]);
    });
    assert_eq!(two_keys_shared, [(place, Mistake::SharedKey { other })]);
    assert_eq!(
        mistakes(|document| document.workspaces[1].keys.clear()),
        [(place, Mistake::NoKey)]
    );
    assert_eq!(
        mistakes(|document| document.workspaces[1] = workspace("best", &["k2", "k2"])),
        [(place, Mistake::RepeatedKey)]
    );
}

#[test]
fn rates_and_bursts_that_contradict_each_other_are_reported() {
    let place = Place::Workspace(0);
    let rates = |rate_per_s, burst| {
        mistakes(move |document| {
            document.workspaces[0].rate_per_s = rate_per_s;
            document.workspaces[0].burst = burst;
        })
    };
    let expected = Mistake::BurstBelowOne { burst: 0.5 };
    assert_eq!(rates(40.0, 0.5), [(place, expected)]);
    assert_eq!(
        rates(40.0, 0.0),
        [(place, Mistake::BurstBelowOne { burst: 0.0 })]
    );
    let expected = Mistake::BurstWithoutRate { burst: 9.0 };
    assert_eq!(rates(0.0, 9.0), [(place, expected)]);
    let field = "requests-per-s";
    assert_eq!(rates(-1.0, 9.0), [(place, Mistake::Negative { field })]);
    let field = "burst";
    assert_eq!(rates(40.0, -1.0), [(place, Mistake::Negative { field })]);
    assert_eq!(rates(0.0, 0.0), [], "no limit");
}

#[test]
fn limits_under_which_hosts_read_no_request_are_errors() {
    let field = "max-header-bytes";
    assert_eq!(
        mistakes(|document| document.limits.max_header_bytes = 0),
        [(Place::Limits, Mistake::NothingAllowed { field })]
    );
    let field = "header-timeout-ms";
    assert_eq!(
        mistakes(|document| document.limits.header_timeout = Duration::ZERO),
        [(Place::Limits, Mistake::NothingAllowed { field })]
    );
}

/// What hosts leave out of a random document must be an error to the operator.
#[test]
fn everything_that_hosts_leave_out_is_an_error() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut document = document();
        for number in 0..rng.usize(1..5) {
            let prefix = ["/read/", "/x/", "bad", "/y"][rng.usize(..4)];
            let mut other = route(&format!("r-{number}"), prefix);
            other.max_attempts = rng.u32(..3);
            other.split = vec![share(["a", "b", "c"][rng.usize(..3)], rng.u32(..2))];
            document.routes.push(other);
            let key = ["k1", "k3", "k4"][rng.usize(..3)];
            let other = workspace(&format!("w-{number}"), &[key]);
            document.workspaces.push(other);
        }
        let findings = review(&document, None);
        let errors: Vec<&str> = findings
            .iter()
            .filter(|finding| finding.mistake.severity() == Severity::Error)
            .map(|finding| finding.name.as_str())
            .collect();
        let mut in_force = document.clone();
        in_force.leave_out_invalid();
        for finding in in_force.findings {
            // Of the holders of one key, the first has no finding of its own.
            let is_first_holder = finding.entry == EntryKind::Workspace
                && findings.iter().any(|found| {
                    found.mistake
                        == Mistake::SharedKey {
                            other: finding.name.clone(),
                        }
                });
            assert!(
                errors.contains(&finding.name.as_str()) || is_first_holder,
                "seed {seed}: {finding:?}"
            );
        }
    }
}

#[test]
fn changes_for_callers_are_listed_by_entry_and_field() {
    let old = document();
    let mut new = document();
    new.version = 8;
    new.routes[0].timeout = Some(Duration::from_secs(3));
    new.routes[0].is_open = true;
    new.routes[1] = route("order", "/order/");
    new.services.push(service("c"));
    new.workspaces[0].rate_per_s = 50.0;
    new.workspaces[1] = workspace("best", &["k3"]);
    new.limits.max_body_bytes = 1;
    let text = changes_between(&old, &new).to_string();
    let digest = |key: &[u8]| KeyDigest::of_key(key).to_string()[..19].to_owned();
    let expected = format!(
        "~ limits\n    max-body-bytes: 16777216 -> 1\n- route/book\n+ route/order\n\
         ~ route/read\n    needs-key: true -> false\n    timeout-ms: 2000 -> 3000\n\
         + service/c\n~ workspace/acme\n    requests-per-s: 40.0 -> 50.0\n\
         ~ workspace/best\n    keys: [\"{}\"] -> [\"{}\"]\n",
        digest(b"k2"),
        digest(b"k3")
    );
    assert_eq!(text, expected);
    assert!(changes_between(&old, &old).is_empty());
}

/// The bound is a second for 2,000 routes; a check that compares all routes with each
/// other and with all workspaces would exceed it.
#[test]
fn two_thousand_routes_are_reviewed_within_a_second() {
    let mut large = document();
    for number in 0..2_000 {
        let mut other = route(&format!("r-{number}"), &format!("/r-{number}/"));
        other.home_regions = regions(&["bengal"]);
        large.routes.push(other);
        let name = format!("w-{number}");
        let mut holder = workspace(&name, &[name.as_str()]);
        holder.home_regions = regions(&[["bengal", "assam"][number % 2]]);
        large.workspaces.push(holder);
    }
    let started = Instant::now();
    let findings = review(&large, None);
    let changes = changes_between(&document(), &large);
    assert!(started.elapsed() < Duration::from_secs(1));
    assert_eq!(findings.len(), 2_000);
    assert_eq!(changes.changes.len(), 4_000);
}
