//! Operations and how upstreams handle them.

use std::time::Duration;

use waxwingusher_core::{BodyDigest, WorkspaceName};
use waxwingusher_protocol::attempt::{StoredAnswer, StoredHeader};

/// How the upstream handles a dispatched request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamAction {
    /// It runs the request and answers.
    Answers,
    /// It runs the request, and the answer is lost.
    AnswerLost,
    /// It sheds the request.
    Sheds,
}

/// The behaviour of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Upstream {
    /// It answers all requests quickly.
    Reliable,
    /// It loses answers, sheds requests and delays them.
    Unreliable,
}

/// Returns the workspace of an operation.
#[must_use]
pub fn workspace_of(operation: usize) -> WorkspaceName {
    WorkspaceName::new(&format!("w{}", operation % 5))
}

/// Returns the idempotency key of an operation. Workspaces use the same keys.
#[must_use]
pub fn key_of(operation: usize) -> String {
    format!("key-{}", operation / 5)
}

/// Returns the digest of an operation's request.
#[must_use]
pub fn body_of(operation: usize) -> BodyDigest {
    BodyDigest::of_request("POST", "/leaves", &operation.to_le_bytes())
}

/// Returns the answer of an operation's `run`th run.
#[must_use]
pub fn answer_of(operation: usize, run: u64) -> StoredAnswer {
    let header = StoredHeader {
        name: "location".into(),
        value: format!("/leaves/{operation}").into(),
    };
    StoredAnswer {
        status: 201,
        headers: vec![header],
        body: format!("operation {operation} run {run}")
            .into_bytes()
            .into(),
    }
}

impl Upstream {
    /// Draws how the upstream handles a request.
    pub fn action(self, rng: &mut fastrand::Rng) -> UpstreamAction {
        if self == Self::Reliable {
            return UpstreamAction::Answers;
        }
        match rng.u32(..100) {
            0..80 => UpstreamAction::Answers,
            80..92 => UpstreamAction::AnswerLost,
            _ => UpstreamAction::Sheds,
        }
    }

    /// Draws how long the upstream processes a request.
    pub fn service_time(self, rng: &mut fastrand::Rng) -> Duration {
        match self {
            Self::Reliable => Duration::from_millis(rng.u64(2..50)),
            Self::Unreliable => Duration::from_millis(rng.u64(2..400)),
        }
    }

    /// Draws how long a permitted request is queued before its dispatch.
    pub fn queue_time(self, rng: &mut fastrand::Rng) -> Duration {
        if self == Self::Unreliable && rng.u32(..20) == 0 {
            return Duration::from_millis(rng.u64(0..2000));
        }
        Duration::from_micros(rng.u64(0..2000))
    }
}
