//! Calls the administration API of a host.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::Agent;

/// The environment variable with the operators' token.
pub(super) const TOKEN_VARIABLE: &str = "WAXWINGUSHER_OPERATOR_TOKEN";

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A host gave no usable response.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The environment holds no token.
    #[error("the operators' token is missing: set {TOKEN_VARIABLE}")]
    MissingToken,
    /// The host cannot be reached, or its response cannot be read.
    #[error("{addr}: request failed: {source}")]
    Call {
        /// The host's address for operators.
        addr: SocketAddr,
        /// The cause.
        source: ureq::Error,
    },
    /// The host refused the token.
    #[error("{addr}: the host refused the operators' token")]
    Unauthorized {
        /// The host's address for operators.
        addr: SocketAddr,
    },
    /// The host has no such resource.
    #[error("{addr}: not found")]
    NotFound {
        /// The host's address for operators.
        addr: SocketAddr,
    },
    /// The response has an unexpected status.
    #[error("{addr}: unexpected status {status}")]
    Status {
        /// The host's address for operators.
        addr: SocketAddr,
        /// The status.
        status: u16,
    },
    /// The response body is not the expected JSON.
    #[error("{addr}: invalid response body: {source}")]
    InvalidBody {
        /// The host's address for operators.
        addr: SocketAddr,
        /// The cause.
        source: serde_json::Error,
    },
}

/// A client of one host's administration API.
pub(super) struct OperatorClient {
    agent: Agent,
    addr: SocketAddr,
    token: String,
}

impl OperatorClient {
    pub(super) fn new(addr: SocketAddr) -> Result<Self, OperatorError> {
        let token = std::env::var(TOKEN_VARIABLE).map_err(|_| OperatorError::MissingToken)?;
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .timeout_global(Some(REQUEST_TIMEOUT))
            .build();
        Ok(Self {
            agent: config.new_agent(),
            addr,
            token,
        })
    }

    /// Reads one resource.
    pub(super) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        let addr = self.addr;
        let call_error = |source| OperatorError::Call { addr, source };
        let request = self.agent.get(format!("http://{addr}{path}"));
        let request = request.header("Authorization", format!("Bearer {}", self.token));
        let mut response = request.call().map_err(call_error)?;
        match response.status().as_u16() {
            200 => {}
            401 => return Err(OperatorError::Unauthorized { addr }),
            404 => return Err(OperatorError::NotFound { addr }),
            status => return Err(OperatorError::Status { addr, status }),
        }
        let text = response.body_mut().read_to_string().map_err(call_error)?;
        serde_json::from_str(&text).map_err(|source| OperatorError::InvalidBody { addr, source })
    }
}
