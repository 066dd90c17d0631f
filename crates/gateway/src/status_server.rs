//! Serves readiness checks of the balancer and metrics.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::metrics::HostLoad;
use crate::state::State;

/// How long a connection may last; readiness checks come once a second.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(60);
/// The largest head of a request.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Serves until the host stops.
pub(crate) async fn run(state: Rc<State>, listener: Rc<TcpListener>) {
    let mut open = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // No file descriptor is free; a retry may find one.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let task = tokio::task::spawn_local(serve(state.clone(), stream));
        open.retain(|task: &JoinHandle<()>| !task.is_finished());
        open.push_back(task);
        if open.len() > state.resources.limits().max_operator_connections()
            && let Some(oldest) = open.pop_front()
        {
            oldest.abort();
        }
    }
}

async fn serve(state: Rc<State>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let response = answer(&state, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    if let Ok(Err(error)) = tokio::time::timeout(MAX_CONNECTION_TIME, connection).await {
        log::debug!("status: A connection failed: {error}.");
    }
}

fn answer(state: &State, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    if path == state.dialect.readiness_path {
        let status = if state.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        return respond(status, String::new());
    }
    if path == state.dialect.metrics_path {
        let fleet = state.fleet_view();
        let resources = &state.resources;
        let load = HostLoad {
            in_flight: state.in_flight.get(),
            connections: resources.open_connections(),
            memory_charged_bytes: resources.charged_bytes(),
            memory_account_bytes: resources.limits().account_bytes(),
        };
        let text = state.metrics.render(state.config_version(), load, fleet);
        return match text {
            Ok(text) => respond(StatusCode::OK, text),
            Err(error) => respond(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        };
    }
    respond(StatusCode::NOT_FOUND, String::new())
}

fn respond(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
