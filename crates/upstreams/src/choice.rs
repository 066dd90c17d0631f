//! What a caller of the crate asks for, gets and reports.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_core::{InstanceId, RouteName, ServiceName, WorkspaceName};

/// A request for an instance.
#[derive(Debug, Clone, Copy)]
pub struct ChooseRequest<'a> {
    /// Whether the request may be repeated.
    pub is_idempotent: bool,
    /// Instances that were tried before.
    pub exclude: &'a [InstanceId],
    /// When the caller gives up.
    pub deadline: Instant,
}

/// Identifies one choice until its result is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChoiceId(pub(crate) u64);

/// Why an instance was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ChoiceReason {
    /// The less loaded of two in the host's failure domain.
    LocalDomain,
    /// The less loaded of two elsewhere, as the near ones are loaded or gone.
    RemoteDomain,
    /// A suspected or ejected instance on trial.
    Trial,
    /// Only avoided or draining instances had room.
    LastResort,
}

impl fmt::Display for ChoiceReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LocalDomain => "near",
            Self::RemoteDomain => "far",
            Self::Trial => "trial",
            Self::LastResort => "last resort",
        })
    }
}

/// A chosen instance. It holds a place until its result is reported.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Identifies the choice in the report.
    pub id: ChoiceId,
    /// The service.
    pub service: ServiceName,
    /// The instance.
    pub instance: InstanceId,
    /// Where the instance takes requests.
    pub addr: SocketAddr,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// The host's requests under way at the instance, this one among them.
    pub in_flight: u32,
}

impl Choice {
    /// Reports whether the request is a trial of a suspected or ejected
    /// instance.
    #[must_use]
    pub fn is_trial(&self) -> bool {
        self.reason == ChoiceReason::Trial
    }
}

/// No instance can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ChooseError {
    /// The service is unknown, or has no instance left that was not tried.
    #[error("no instance is left to try")]
    NoInstance,
    /// Every instance is at its limit or backs off.
    #[error("all instances are busy, try again in {} ms", retry_after.as_millis())]
    AllBusy {
        /// When the next instance may have room.
        retry_after: Duration,
    },
}

/// Whether a failure tells of the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Blame {
    /// The instance may be at fault.
    Instance,
    /// The request is known to crash instances.
    Request,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamResult {
    /// A whole answer that is no server error.
    Success {
        /// From the first byte sent to the answer's head.
        latency: Duration,
        /// The requests under way at the instance, as its answer says.
        load: Option<u32>,
    },
    /// An answer with a server error.
    ErrorStatus,
    /// No answer in time.
    Timeout,
    /// No connection.
    ConnectFailure,
    /// The connection ended after bytes were sent.
    ConnectionLost {
        /// Whether the instance may be at fault.
        blame: Blame,
    },
    /// The instance refused to run the request as it has too much to do.
    Shed {
        /// How long the instance wants to be left alone.
        retry_after: Option<Duration>,
    },
    /// The instance refused to run the request as it is about to stop.
    Draining,
    /// The caller gave up first.
    Cancelled,
}

/// What a request came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestOrigin {
    /// The workspace; a fixed name for open routes.
    pub workspace: WorkspaceName,
    /// The route.
    pub route: RouteName,
}

/// What a health or load endpoint says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthHint {
    /// The instance says that it is well.
    Healthy,
    /// The instance says that it is not well.
    Unhealthy,
    /// The instance says how many requests it works on.
    Load(u32),
}
