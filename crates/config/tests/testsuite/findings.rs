//! Every check reports its problem with the line, together with all other
//! problems.

use waxwingusher_config::{CheckReport, Severity, check, resolve};
use waxwingusher_core::KeyDigest;

use crate::files::{STAFF, file, sample, workspaces};

/// Returns the findings of one file as `line severity code`.
fn codes(text: &str) -> Vec<String> {
    codes_of(&check(&[file("t.toml", text)], 1))
}

fn codes_of(report: &CheckReport) -> Vec<String> {
    let code = |finding| {
        let json = serde_json::to_value(finding).expect("a finding is JSON");
        json["code"].as_str().expect("a code").to_owned()
    };
    let findings = report.findings.iter();
    findings
        .map(|finding| {
            let line = finding.location.as_ref().map_or(0, |at| at.line);
            let severity = match finding.severity {
                Severity::Error => "error",
                Severity::Warning => "warning",
            };
            format!("{line} {severity} {}", code(finding))
        })
        .collect()
}

#[test]
fn valid_files_resolve() {
    let snapshot = sample(7);
    assert_eq!(snapshot.version, 7);
    assert_eq!(snapshot.workspaces.len(), 3);
    let route = &snapshot.routes[&"calendar".into()];
    assert_eq!(route.open_limit.map(|l| l.rate_millis_per_s), Some(20_500));
    assert!(route.is_idempotent("GET") && !route.is_idempotent("POST"));
    let service = &snapshot.services[&"staff-desk".into()];
    assert_eq!(service.instances.len(), 3);
    assert_eq!(&*service.owner, "staff");
}

#[test]
fn all_problems_are_reported_together_with_their_lines() {
    let text = r#"owner = "t"
colour = "red"
[service.s]
floor-percent = 101
detecton = "fast"
[service.s.instance.i]
addr = "not-an-address"
slots = 0
failure-domain = "d"
[service.s.instance.j]
addr = "10.0.0.1:1"
slots = 0
failure-domain = "d"
state = "gone"
[route.r]
service = "nowhere"
path-prefix = "balances"
methods = ["get", "POST"]
idempotent-methods = ["POST"]
access = "open"
deadline-ms = 0
workspaces = ["w"]
[workspace.w]
key-digests = ["plain"]
rate-per-s = -1
burst = 0
[workspace.x]
key-digests = []
rate-per-s = nan
burst = 0
[workspace.y]
key-digests = []
rate-per-s = 1
burst = 0
weight = 0
"#;
    let expected = [
        "2 error unknown-key",
        "4 error out-of-range",
        "5 error unknown-key",
        "7 error out-of-range",
        "12 error out-of-range",
        "14 error unknown-word",
        "15 error open-without-limit",
        "16 error unknown-service",
        "17 error bad-path",
        "18 error bad-method",
        "19 error unsafe-repeat",
        "21 error out-of-range",
        "22 error workspaces-on-open-route",
        "24 error not-a-digest",
        "25 error out-of-range",
        "29 error out-of-range",
        "32 warning no-key",
        "34 error out-of-range",
        "35 error out-of-range",
    ];
    assert_eq!(codes(text), expected);
}

#[test]
fn overlapping_routes_need_a_shared_method() {
    let route = |name: &str, prefix: &str, methods: &str| {
        format!(
            "[route.{name}]\nservice = \"staff-desk\"\npath-prefix = \"{prefix}\"\nmethods = {methods}\n"
        )
    };
    let other = file(
        "o.toml",
        &format!(
            "owner = \"o\"\n{}{}{}",
            route("same", "/balances/", "[\"GET\", \"POST\"]"),
            route("other-method", "/balances", "[\"DELETE\"]"),
            route("below", "/balances/today", "[]"),
        ),
    );
    let report = check(&[file("staff.toml", STAFF), other], 1);
    assert_eq!(codes_of(&report), ["4 error overlapping-routes"]);
    let message = report.findings[0].to_string();
    assert!(message.contains("o.toml:4: error: route `same` overlaps route `balances`"));
    assert!(message.contains("both take GET on `/balances/`"));
}

#[test]
fn a_name_has_one_owner() {
    let report = check(&[file("a.toml", STAFF), file("b.toml", STAFF)], 1);
    let expected = [
        "3 error duplicate-name",
        "23 error duplicate-name",
        "28 error duplicate-name",
    ];
    assert_eq!(codes_of(&report), expected);
    let message = report.findings[0].to_string();
    assert!(message.contains("is already declared by staff at a.toml:3"));
}

#[test]
fn one_key_belongs_to_one_workspace() {
    let digest = KeyDigest::of_key(b"k");
    let table = |name: &str, digests: &str| {
        format!("[workspace.{name}]\nkey-digests = [{digests}]\nrate-per-s = 1\nburst = 1\n")
    };
    let twice = format!("\"{digest}\", \"{digest}\"");
    let text = format!(
        "owner = \"o\"\n{}{}",
        table("a", &twice),
        table("b", &twice[..73])
    );
    let expected = ["3 warning repeated-key", "7 error shared-key"];
    assert_eq!(codes(&text), expected);
}

#[test]
fn a_plain_key_is_never_printed() {
    let text = "owner = \"o\"\n[workspace.w]\nkey-digests = [\"wx-Secret1\", 5]\nrate-per-s = 1\nburst = 1\n[workspace.x]\nkey-digests = \"wx-Secret2\"\nrate-per-s = 1\nburst = 1\n[workspace.y]\nkey-digests = [\"wx-Secret3\nrate-per-s = 1\n";
    let report = check(&[file("t.toml", text)], 1);
    assert!(!report.is_accepted());
    let shown = format!("{report:?}");
    let messages: Vec<_> = report.findings.iter().map(ToString::to_string).collect();
    assert!(!shown.contains("Secret"), "{shown}");
    assert!(messages.iter().any(|m| m.contains("`waxwingusher key`")));
}

#[test]
fn a_floor_that_allows_no_ejection_is_a_warning() {
    let text = STAFF.replace("floor-percent = 50", "floor-percent = 51");
    assert_eq!(codes(&text), ["4 warning floor-allows-no-ejection"]);
    assert!(codes(STAFF).is_empty());
}

#[test]
fn unsafe_repeats_are_allowed_only_explicitly() {
    let listed = STAFF.replace(
        "methods = [\"GET\"]",
        "methods = [\"GET\", \"POST\"]\nidempotent-methods = [\"GET\", \"POST\"]",
    );
    let report = check(&[file("t.toml", &listed)], 1);
    assert!(codes_of(&report).contains(&"27 error unsafe-repeat".to_owned()));
    let allowed = listed.replace(
        "path-prefix = \"/balances\"",
        "path-prefix = \"/balances\"\nallow-unsafe-repeats = true",
    );
    let snapshot =
        resolve(&[file("t.toml", &allowed)], 1).expect("the unsafe repeats are allowed explicitly");
    assert!(snapshot.routes[&"balances".into()].is_idempotent("POST"));
}

#[test]
fn misspelled_names_get_a_suggestion() {
    let text = STAFF.replace("service = \"staff-desk\"", "service = \"staff-dsk\"");
    let text = text.replace("path-prefix = \"/balances\"", "path-prefx = \"/balances\"");
    let report = check(&[file("t.toml", &text)], 1);
    let all: Vec<_> = report.findings.iter().map(ToString::to_string).collect();
    let all = all.join("\n");
    assert!(all.contains("did you mean `staff-desk`?"), "{all}");
    assert!(all.contains("did you mean `path-prefix`?"), "{all}");
}

#[test]
fn an_invalid_declaration_does_not_make_its_name_unknown() {
    let text = STAFF.replace("floor-percent = 50", "floor-percent = \"high\"");
    assert_eq!(codes(&text), ["4 error wrong-type"]);
}

#[test]
fn syntax_errors_of_all_files_are_reported() {
    let report = check(
        &[
            file("a.toml", "owner = "),
            file("b.toml", "= 3"),
            workspaces(&["a"]),
        ],
        1,
    );
    let files: std::collections::BTreeSet<_> = report
        .findings
        .iter()
        .filter_map(|finding| finding.location.as_ref())
        .map(|location| location.file.display().to_string())
        .collect();
    let files: Vec<_> = files.into_iter().collect();
    assert_eq!(files, ["a.toml", "b.toml"]);
}

#[test]
fn an_entry_too_large_to_publish_is_an_error() {
    let digests: Vec<_> = (0..2_000u32)
        .map(|i| format!("\"{}\"", KeyDigest::of_key(&i.to_le_bytes())))
        .collect();
    let text = format!(
        "owner = \"o\"\n[workspace.w]\nkey-digests = [{}]\nrate-per-s = 1\nburst = 1\n",
        digests.join(",")
    );
    assert_eq!(codes(&text), ["2 error too-large"]);
}

#[test]
fn the_example_of_the_reference_is_accepted() {
    let page = include_str!("../../../../docs/reference/configuration.md");
    let (_, rest) = page
        .split_once("```toml\n")
        .expect("the page has an example");
    let (example, _) = rest.split_once("```").expect("the example ends");
    let report = check(&[file("example.toml", example)], 1);
    assert!(report.is_accepted(), "{:?}", report.findings);
}
