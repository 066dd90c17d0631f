//! Requests for an instance, the choices, and the results that callers report.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_core::{InstanceId, RouteName, ServiceName, WorkspaceName};

/// A request for an instance.
#[derive(Debug, Clone, Copy)]
pub struct ChooseRequest<'a> {
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Instances that must not be chosen, such as those of earlier attempts.
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
    /// The less loaded of two in the local failure domain.
    LocalDomain,
    /// The less loaded of two in remote failure domains, as the local instances are
    /// loaded or unavailable.
    RemoteDomain,
    /// A trial of a suspect or ejected instance.
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

/// A chosen instance. The request counts as in flight there until its result is
/// reported.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Identifies the choice in the report.
    pub id: ChoiceId,
    /// The service.
    pub service: ServiceName,
    /// The instance.
    pub instance: InstanceId,
    /// The instance's address for requests.
    pub addr: SocketAddr,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// The host's requests in flight at the instance, including this one.
    pub in_flight: u32,
}

impl Choice {
    /// Reports whether the request is a trial of a suspect or ejected instance.
    #[must_use]
    pub fn is_trial(&self) -> bool {
        self.reason == ChoiceReason::Trial
    }
}

/// Why no instance can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ChooseError {
    /// The service is unknown, or all its instances are excluded or unavailable.
    #[error("no instance of the service is available")]
    NoInstance,
    /// Every instance is at its limit, or this host backs off from it.
    #[error("all instances of the service are busy, retry in {} ms", retry_after.as_millis())]
    AllBusy {
        /// When the next instance may have room.
        retry_after: Duration,
    },
}

/// Whether a failure counts against the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Blame {
    /// The instance may be at fault.
    Instance,
    /// The request is known to crash instances.
    Request,
}

/// The result of a request to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamResult {
    /// A complete answer without a server error.
    Success {
        /// The time from the first byte sent to the head of the answer.
        latency: Duration,
        /// The instance's requests in flight, as stated in its answer.
        load: Option<u32>,
    },
    /// An answer with a server error.
    ErrorStatus,
    /// No answer arrived in time.
    Timeout,
    /// No connection could be opened.
    ConnectFailure,
    /// The connection ended after bytes were sent.
    ConnectionLost {
        /// Whether the instance may be at fault.
        blame: Blame,
    },
    /// The instance refused to run the request as it is overloaded.
    Shed {
        /// How long the instance asks not to be sent requests.
        retry_after: Option<Duration>,
    },
    /// The instance refused to run the request as it is draining.
    Draining,
    /// The caller cancelled the request.
    Cancelled,
}

/// The origin of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestOrigin {
    /// The workspace, or a fixed name for open routes.
    pub workspace: WorkspaceName,
    /// The route.
    pub route: RouteName,
}

/// The result of an instance's health or load endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthHint {
    /// The instance reports that it is healthy.
    Healthy,
    /// The instance reports that it is unhealthy.
    Unhealthy,
    /// The number of requests that the instance reports as in flight.
    Load(u32),
}
