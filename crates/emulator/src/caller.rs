//! A caller that sends requests and returns the parsed answers.

use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;

/// How long a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The largest body that a caller reads.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Operation {
    /// The path and the query.
    pub target: String,
    /// The workspace key, if the caller presents one.
    pub key: Option<String>,
    /// The identifier under which upstreams count the runs of the request.
    pub operation_id: String,
    /// The idempotency key, if the operation must run at most once.
    pub idempotency_key: Option<String>,
    /// The body of a POST; a GET has none.
    pub body: Option<String>,
}

impl Operation {
    /// Creates an idempotent GET request.
    #[must_use]
    pub fn read(target: &str, key: &str, operation_id: &str) -> Self {
        Self {
            target: target.to_owned(),
            key: Some(key.to_owned()),
            operation_id: operation_id.to_owned(),
            idempotency_key: None,
            body: None,
        }
    }

    /// Creates a POST request that must run at most once.
    #[must_use]
    pub fn submission(target: &str, key: &str, operation_id: &str) -> Self {
        Self {
            idempotency_key: Some(format!("submission-{operation_id}")),
            body: Some(format!("submission {operation_id}")),
            ..Self::read(target, key, operation_id)
        }
    }
}

/// The answer that a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerAnswer {
    /// The status.
    pub status: u16,
    /// The outcome, on answers that are not from the upstream.
    pub outcome: Option<String>,
    /// The code, on answers that are not from the upstream.
    pub code: Option<String>,
    /// The request id, on answers that are not from the upstream.
    pub request_id: Option<String>,
    /// The request target that the upstream echoes.
    pub echoed_target: Option<String>,
    /// The body, as text.
    pub body: String,
    /// The length of the body.
    pub body_bytes: usize,
}

impl CallerAnswer {
    /// Reports whether the answer is from the upstream.
    #[must_use]
    pub fn is_from_upstream(&self) -> bool {
        self.outcome.is_none()
    }
}

/// A caller got no complete answer.
#[derive(Debug, thiserror::Error)]
#[error("no complete answer: {0}")]
pub struct CallerError(#[from] ureq::Error);

/// Sends requests over keep-alive connections.
#[derive(Debug, Clone)]
pub struct Caller {
    agent: Agent,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl Caller {
    /// Creates a caller without open connections.
    #[must_use]
    pub fn new() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .timeout_global(Some(TIMEOUT))
            .build();
        Self {
            agent: config.new_agent(),
        }
    }

    /// Sends a request to a host and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete answer arrives.
    pub fn send(
        &self,
        addr: SocketAddr,
        operation: &Operation,
    ) -> Result<CallerAnswer, CallerError> {
        let url = format!("http://{addr}{}", operation.target);
        let mut headers = vec![("x-operation-id", operation.operation_id.clone())];
        if let Some(key) = &operation.key {
            headers.push(("authorization", format!("Bearer {key}")));
        }
        if let Some(key) = &operation.idempotency_key {
            headers.push(("idempotency-key", key.clone()));
        }
        let mut response = match &operation.body {
            Some(body) => {
                let mut request = self.agent.post(url);
                for (name, value) in headers {
                    request = request.header(name, value);
                }
                request.send(body)?
            }
            None => {
                let mut request = self.agent.get(url);
                for (name, value) in headers {
                    request = request.header(name, value);
                }
                request.call()?
            }
        };
        let limited = response.body_mut().with_config().limit(MAX_BODY_BYTES);
        let body = limited.read_to_vec()?;
        let header = |name: &str| {
            let value = response.headers().get(name);
            value.and_then(|value| value.to_str().ok().map(str::to_owned))
        };
        Ok(CallerAnswer {
            status: response.status().as_u16(),
            outcome: header("x-waxwingusher-outcome"),
            code: header("x-waxwingusher-code"),
            request_id: header("x-waxwingusher-request-id"),
            echoed_target: header("x-echo-target"),
            body_bytes: body.len(),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}
