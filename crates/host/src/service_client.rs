//! Reads and watches the platform's configuration service.

use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;

/// The header with a value's revision.
const REVISION_HEADER: &str = "x-revision";
/// The largest value that is accepted.
const MAX_VALUE_BYTES: u64 = 1024 * 1024;
/// The timeout of a read without a watch.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// The time added to the wait of a watch for the timeout of its call.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// A value and its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ServiceValue {
    pub(crate) revision: u64,
    pub(crate) bytes: Vec<u8>,
}

/// An answer of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ServiceAnswer {
    /// The value.
    Value(ServiceValue),
    /// A watch ended without a newer value.
    Unchanged {
        /// The revision at which it ended, if the answer has one.
        revision: Option<u64>,
    },
    /// There is no such value.
    Missing,
}

/// Why a call to the service failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ServiceError {
    #[error("no answer: {0}")]
    NoAnswer(#[from] ureq::Error),
    #[error("status {0}")]
    Status(u16),
    #[error("the answer has no revision")]
    NoRevision,
}

/// A client of the configuration service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceClient {
    agent: Agent,
    addr: SocketAddr,
}

impl ServiceClient {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .max_idle_connections(0)
            .build();
        Self {
            agent: config.new_agent(),
            addr,
        }
    }

    /// Reads a value.
    pub(crate) fn read(&self, key: &str) -> Result<ServiceAnswer, ServiceError> {
        let url = format!("http://{}/v1/values/{key}", self.addr);
        self.call(&url, READ_TIMEOUT)
    }

    /// Waits for a revision after `after`.
    pub(crate) fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ServiceAnswer, ServiceError> {
        let wait_ms = wait.as_millis();
        let addr = self.addr;
        let url = format!("http://{addr}/v1/values/{key}?after={after}&wait-ms={wait_ms}");
        self.call(&url, wait + WATCH_MARGIN)
    }

    fn call(&self, url: &str, timeout: Duration) -> Result<ServiceAnswer, ServiceError> {
        let request = self.agent.get(url).config().timeout_global(Some(timeout));
        let mut response = request.build().call()?;
        let revision = response.headers().get(REVISION_HEADER);
        let revision = revision.and_then(|value| value.to_str().ok()?.parse().ok());
        match response.status().as_u16() {
            200 => {}
            304 => return Ok(ServiceAnswer::Unchanged { revision }),
            404 => return Ok(ServiceAnswer::Missing),
            status => return Err(ServiceError::Status(status)),
        }
        let revision = revision.ok_or(ServiceError::NoRevision)?;
        let body = response.body_mut().with_config().limit(MAX_VALUE_BYTES);
        let bytes = body.read_to_vec()?;
        Ok(ServiceAnswer::Value(ServiceValue { revision, bytes }))
    }
}
