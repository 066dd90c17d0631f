//! Serves readiness checks of the balancer and metrics.

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

use crate::state::State;

/// How long a connection may last; readiness checks come once a second.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(60);

/// Serves until the host stops.
pub(crate) async fn run(state: Rc<State>, listener: Rc<TcpListener>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // No file descriptor is free; a retry may find one.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        tokio::task::spawn_local(serve(state.clone(), stream));
    }
}

async fn serve(state: Rc<State>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let response = answer(&state, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
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
        let text = state
            .metrics
            .render(state.config_version(), state.in_flight.get(), fleet);
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
