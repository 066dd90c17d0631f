//! The administration API and the commands that use it.

use std::net::SocketAddr;
use std::process::{Command, Output};

use ureq::Agent;
use waxwingusher_emulator::fleet::OPERATOR_TOKEN;
use waxwingusher_emulator::{Caller, Operation};

use crate::fleet::{any_host, fleet, key};

fn operator_addr() -> SocketAddr {
    let host = fleet().hosts[0].host.as_ref();
    host.expect("the host runs").operator_addr()
}

fn get(path: &str, token: Option<&str>) -> (u16, String) {
    let config = Agent::config_builder().http_status_as_error(false).build();
    let mut request = config
        .new_agent()
        .get(format!("http://{}{path}", operator_addr()));
    if let Some(token) = token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let mut response = request.call().expect("the host answers");
    let body = response.body_mut().read_to_string().expect("a text");
    (response.status().as_u16(), body)
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_waxwingusher"))
        .args(args)
        .args(["--operator-addr", &operator_addr().to_string()])
        .env("WAXWINGUSHER_OPERATOR_TOKEN", OPERATOR_TOKEN)
        .output()
        .expect("the program runs")
}

#[test]
fn only_health_checks_and_the_api_description_need_no_token() {
    for path in ["/livez", "/readyz", "/v1/openapi.json"] {
        assert_eq!(get(path, None).0, 200, "{path}");
    }
    for path in ["/v1/host", "/v1/workspaces", "/v1/decisions/x", "/nowhere"] {
        assert_eq!(get(path, None).0, 401, "{path}");
        assert_eq!(get(path, Some("wrong-operator-token")).0, 401, "{path}");
    }
    assert_eq!(get("/nowhere", Some(OPERATOR_TOKEN)).0, 404);
    assert_eq!(get("/v1/drain", Some(OPERATOR_TOKEN)).0, 405);
}

#[test]
fn every_described_resource_is_served_and_shows_no_key() {
    let (_, description) = get("/v1/openapi.json", None);
    let description: serde_json::Value = serde_json::from_str(&description).expect("JSON");
    let paths = description["paths"].as_object().expect("paths");
    for (path, methods) in paths {
        if methods.get("get").is_none() || path.contains('{') {
            continue;
        }
        let (status, body) = get(path, Some(OPERATOR_TOKEN));
        assert_eq!(status, 200, "{path}");
        assert!(!body.contains(key()), "{path}");
        assert!(!body.contains("sha256:"), "{path}");
    }
}

#[test]
fn status_shows_hosts_and_services() {
    let output = run(&["status"]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    for host in &fleet().hosts {
        assert!(text.contains(host.entry.id.as_str()), "{text}");
    }
    assert!(text.contains("SERVICE desk"), "{text}");
}

#[test]
fn explain_shows_why_a_request_was_refused() {
    let operation = Operation::read("/nowhere", key(), "explained");
    let answer = Caller::new()
        .send(any_host(), &operation)
        .expect("an answer");
    let id = answer.request_id.expect("a refusal has its request's id");
    let output = run(&["explain", &id]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains("unknown-route"), "{text}");
    let output = run(&["explain", "0-0"]);
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn a_burst_of_submissions_drops_no_message_between_hosts() {
    const SUBMISSIONS: usize = 1_800;
    let addrs = fleet().caller_addrs();
    std::thread::scope(|scope| {
        for (index, addr) in addrs.iter().enumerate() {
            scope.spawn(move || {
                let caller = Caller::new();
                for turn in 0..SUBMISSIONS / 6 {
                    let id = format!("burst-{index}-{turn}");
                    let operation = Operation::submission("/desk/echo", key(), &id);
                    caller.send(*addr, &operation).expect("an answer");
                }
            });
        }
    });
    let (_, host) = get("/v1/host", Some(OPERATOR_TOKEN));
    let host: serde_json::Value = serde_json::from_str(&host).expect("JSON");
    assert_eq!(host["capped-peer-messages"], 0, "{host}");
}
