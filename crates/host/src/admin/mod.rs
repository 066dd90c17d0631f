//! The administration API: versioned JSON over HTTP, read-only except for actions
//! that affect only this process.

mod views;

use std::sync::atomic::Ordering;

use log::LevelFilter;
use rouille::{Request, Response};
use serde::Serialize;
use waxwingusher_core::KeyDigest;

use crate::state::HostState;

/// The OpenAPI description, as it is served.
const OPENAPI: &str = include_str!("openapi.json");
/// The largest body that an action accepts.
const MAX_BODY_BYTES: u64 = 1_024;

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct ErrorBody {
    error: &'static str,
}

/// Answers one request of an operator. No answer contains a key.
pub(crate) fn answer(state: &HostState, request: &Request) -> Response {
    let url = request.url();
    let response = match url.as_str() {
        "/livez" => Response::text("alive\n"),
        "/readyz" if state.is_ready() => Response::text("ready\n"),
        "/readyz" => Response::text("not ready\n").with_status_code(503),
        "/v1/openapi.json" => Response::from_data("application/json", OPENAPI),
        _ if !is_allowed(state, request) => {
            let response = error(401, "a valid token is needed");
            response.with_additional_header("WWW-Authenticate", "Bearer")
        }
        path => dispatch(state, request, path),
    };
    response.with_additional_header("Connection", "close")
}

fn dispatch(state: &HostState, request: &Request, path: &str) -> Response {
    if let Some(id) = path.strip_prefix("/v1/decisions/") {
        return decisions(state, request, id);
    }
    match (request.method(), path) {
        ("GET", "/v1/host") => Response::json(&views::host(state)),
        ("GET", "/v1/hosts") => Response::json(&views::hosts(state)),
        ("GET", "/v1/routes") => Response::json(&views::routes(state)),
        ("GET", "/v1/workspaces") => Response::json(&views::workspaces(state)),
        ("GET", "/v1/services") => Response::json(&state.lock_upstreams().service_views()),
        ("POST", "/v1/drain") => drain(state),
        ("POST", "/v1/log-level") => set_log_level(request),
        (_, "/v1/host" | "/v1/hosts" | "/v1/routes" | "/v1/workspaces" | "/v1/services")
        | (_, "/v1/drain" | "/v1/log-level") => error(405, "the method is not allowed"),
        _ => error(404, "there is no such resource"),
    }
}

/// Compares the token in constant time. If the settings have no token, only the
/// health endpoints and the OpenAPI description are served.
fn is_allowed(state: &HostState, request: &Request) -> bool {
    let Some(expected) = &state.settings.operator_token else {
        return false;
    };
    let Some(given) = request.header("Authorization") else {
        return false;
    };
    let Some(given) = given.strip_prefix("Bearer ") else {
        return false;
    };
    let expected = KeyDigest::of_key(expected.as_bytes());
    KeyDigest::of_key(given.as_bytes()).matches(&expected)
}

fn decisions(state: &HostState, request: &Request, id: &str) -> Response {
    if request.method() != "GET" {
        return error(405, "the method is not allowed");
    }
    let steps = state.decisions.of_request(id);
    if steps.is_empty() {
        return error(404, "this host does not remember the request");
    }
    Response::json(&steps)
}

/// Starts a graceful shutdown.
fn drain(state: &HostState) -> Response {
    log::info!("admin: Draining at the request of an operator.");
    state.drain_requested.store(true, Ordering::SeqCst);
    Response::json(&views::host(state)).with_status_code(202)
}

fn set_log_level(request: &Request) -> Response {
    use std::io::Read;

    let mut text = String::new();
    let Some(body) = request.data() else {
        return error(400, "the body is missing");
    };
    if body.take(MAX_BODY_BYTES).read_to_string(&mut text).is_err() {
        return error(400, "the body is not text");
    }
    let Ok(level) = text.trim().parse::<LevelFilter>() else {
        return error(400, "allowed are off, error, warn, info and debug");
    };
    log::set_max_level(level);
    log::info!("admin: Log level set to {level}.");
    Response::empty_204()
}

fn error(status: u16, error: &'static str) -> Response {
    Response::json(&ErrorBody { error }).with_status_code(status)
}
