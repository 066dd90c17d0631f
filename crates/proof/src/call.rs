//! Callers' requests.

use waxwingusher_core::{BodyDigest, KeyDigest, RouteName};
use waxwingusher_protocol::attempt::{StoredAnswer, StoredHeader};

use crate::sample;

/// The kind of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// An idempotent request.
    Read,
    /// A non-idempotent request without an idempotency key.
    Submit,
    /// A request with an idempotency key that names this operation.
    Keyed(u8),
    /// An idempotent request that crashes each instance that runs it.
    CrashingRead,
    /// A non-idempotent request that crashes the instance that runs it.
    CrashingSubmit,
}

/// One request of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// The number of the request.
    pub id: u64,
    /// The workspace of the presented key.
    pub workspace: usize,
    /// The index of the key among those of the workspace.
    pub key: usize,
    /// The kind of request.
    pub kind: CallKind,
}

impl Call {
    /// Returns the HTTP method.
    #[must_use]
    pub const fn method(&self) -> &'static str {
        match self.kind {
            CallKind::Read | CallKind::CrashingRead => "GET",
            CallKind::Submit | CallKind::Keyed(_) | CallKind::CrashingSubmit => "POST",
        }
    }

    /// Reports whether the request crashes the instance that runs it.
    #[must_use]
    pub const fn is_crashing(&self) -> bool {
        matches!(self.kind, CallKind::CrashingRead | CallKind::CrashingSubmit)
    }

    /// Returns the operation that an idempotency key names.
    #[must_use]
    pub const fn operation(&self) -> Option<Operation> {
        match self.kind {
            CallKind::Keyed(number) => Some(Operation {
                workspace: self.workspace,
                number,
            }),
            _ => None,
        }
    }

    /// Returns the digest of the presented key.
    #[must_use]
    pub fn key_digest(&self) -> KeyDigest {
        sample::key_digest(self.workspace, self.key)
    }

    /// Returns the digest of the request.
    #[must_use]
    pub fn body_digest(&self) -> BodyDigest {
        let body = match self.kind {
            CallKind::Keyed(number) => format!("operation {number}"),
            CallKind::CrashingRead | CallKind::CrashingSubmit => "crash".to_owned(),
            CallKind::Read | CallKind::Submit => format!("request {}", self.id),
        };
        BodyDigest::of_request(self.method(), "/approvals", body.as_bytes())
    }
}

/// The operation that an idempotency key names. The same number in another
/// workspace is another operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Operation {
    /// The workspace.
    pub workspace: usize,
    /// The number in the idempotency key.
    pub number: u8,
}

impl Operation {
    /// Returns the idempotency key. The same key occurs in several workspaces.
    #[must_use]
    pub fn idempotency_key(&self) -> String {
        format!("operation-{}", self.number)
    }

    /// Returns the answer to the run of a request.
    #[must_use]
    pub fn answer(&self, call: u64) -> StoredAnswer {
        let location = format!("/approvals/{}/{}", self.workspace, self.number);
        StoredAnswer {
            status: 201,
            headers: vec![StoredHeader {
                name: "location".into(),
                value: location.into(),
            }],
            body: format!("{self:?} by request {call}").into_bytes().into(),
        }
    }
}

/// Returns the name of the only route.
#[must_use]
pub fn route_name() -> RouteName {
    RouteName::new("approvals")
}
