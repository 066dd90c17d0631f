//! Serving of a caller's connection.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::watch;
use waxwingusher_core::CancelToken;

use super::{DrainPlan, Phase, RejectReason, Shared, request_reader};
use crate::answer::{Answer, AnswerBody, BodyEvent, BodyReceiver, TruncatedBody};
use crate::exchange::{AnswerSender, Exchange};
use crate::recording_stream::{ReceivedBytes, RecordingStream};

type ResponseBody = BoxBody<Bytes, TruncatedBody>;

/// Serves one connection until it closes.
pub(super) async fn serve(
    stream: TcpStream,
    caller: SocketAddr,
    shared: &Arc<Shared>,
    mut phases: watch::Receiver<Phase>,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("edge: TCP_NODELAY cannot be set on the connection of {caller}: {e}.");
    }
    let received = ReceivedBytes::new(shared.settings.max_head_bytes);
    let io = TokioIo::new(RecordingStream::new(stream, received.clone()));
    let current_phase = phases.clone();
    let service = service_fn(|request| {
        let shared = shared.clone();
        let received = received.clone();
        let phases = current_phase.clone();
        async move {
            let mut response = answer(request, caller, &shared, &received, phases.clone()).await;
            // The phase may have changed since the head was read.
            if *phases.borrow() != Phase::Serving {
                response
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .header_read_timeout(shared.settings.head_timeout)
        .max_buf_size(shared.settings.max_head_bytes.max(MIN_BUFFER_BYTES));
    let mut connection = pin!(builder.serve_connection(io, service));
    let closing = async move {
        // An error means that the edge was dropped, which also closes connections.
        drop(phases.wait_for(|phase| *phase == Phase::Closing).await);
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        log::debug!("edge: The connection of {caller} ended with an error: {e}.");
    }
}

/// The smallest buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

async fn answer(
    request: Request<Incoming>,
    caller: SocketAddr,
    shared: &Arc<Shared>,
    received: &ReceivedBytes,
    phases: watch::Receiver<Phase>,
) -> Response<ResponseBody> {
    let cancel_on_drop = CancelOnDrop(CancelToken::new());
    let cancel = cancel_on_drop.0.clone();
    let mut last_answers = pin!(wait_for_last_answers(shared, phases));
    let request = tokio::select! {
        biased;
        request = request_reader::read_request(request, caller, shared, received, cancel) => request,
        _ = last_answers.as_mut() => Err(RejectReason::Stopped),
    };
    received.clear();
    // The body counts until the answer begins.
    let (request, _charge) = match request {
        Ok((request, charge)) => (Ok(request), Some(charge)),
        Err(reason) => (Err(reason), None),
    };
    let submitted = request.and_then(|request| {
        let (reply, answer) = AnswerSender::new();
        shared.submit(Exchange { request, reply })?;
        Ok(answer)
    });
    let answer = match submitted {
        Ok(mut answer) => tokio::select! {
            biased;
            answer = &mut answer => answer.map_err(|_| RejectReason::Unanswered),
            plan = last_answers => {
                // The worker ends its call, and states whether it may have run.
                cancel_on_drop.0.cancel();
                let time_left = shared.time_until(plan.edge_answers_at());
                let answered = tokio::time::timeout(time_left, answer).await;
                answered.ok().and_then(Result::ok).ok_or(RejectReason::DrainEnded)
            }
        },
        Err(reason) => Err(reason),
    };
    into_response(
        answer.unwrap_or_else(request_reader::rejection),
        cancel_on_drop,
    )
}

/// Waits until the last answers of a graceful shutdown are due.
async fn wait_for_last_answers(shared: &Shared, mut phases: watch::Receiver<Phase>) -> DrainPlan {
    // An error means that the edge was dropped, which is no graceful shutdown.
    drop(phases.wait_for(|phase| *phase >= Phase::Draining).await);
    let Some(plan) = shared.drain.get() else {
        return std::future::pending().await;
    };
    tokio::time::sleep(shared.time_until(plan.last_answers_at())).await;
    *plan
}

/// Cancels the request's token on drop: when the answer is complete or the caller
/// has disconnected.
struct CancelOnDrop(CancelToken);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.0.cancel();
    }
}

fn into_response(answer: Answer, cancel_on_drop: CancelOnDrop) -> Response<ResponseBody> {
    let body = match answer.body {
        AnswerBody::Complete(bytes) => Full::new(bytes).map_err(|never| match never {}).boxed(),
        AnswerBody::Stream(receiver) => StreamBody {
            receiver,
            is_done: false,
            _cancel_on_drop: cancel_on_drop,
        }
        .boxed(),
    };
    let mut response = Response::new(body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

/// A streamed body. It breaks the connection if the stream closes without
/// [`BodyEvent::End`].
struct StreamBody {
    receiver: BodyReceiver,
    is_done: bool,
    _cancel_on_drop: CancelOnDrop,
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        if self.is_done {
            return Poll::Ready(None);
        }
        match self.receiver.0.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(BodyEvent::Chunk(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Poll::Ready(Some(BodyEvent::End)) => {
                self.is_done = true;
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                self.is_done = true;
                Poll::Ready(Some(Err(TruncatedBody)))
            }
        }
    }
}
