//! Messages for the health of instances and for ejections.

use serde::{Deserialize, Serialize};
use waxwingusher_core::{InstanceId, RouteName, ServiceName, WorkspaceName, rendezvous};

use crate::wire::health as wire;

macro_rules! key_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u32);

        impl $name {
            fn hash(kind: &str, name: &str) -> Self {
                Self((rendezvous::weight(kind, name) >> 32) as u32)
            }
        }
    };
}

key_type!(
    /// A short hash of a service's name.
    ServiceKey
);
key_type!(
    /// A short hash of an instance's name.
    InstanceKey
);
key_type!(
    /// A short hash of the name of a request's origin: its workspace or its
    /// route.
    OriginKey
);

impl ServiceKey {
    /// Returns the key of a service.
    #[must_use]
    pub fn of(name: &ServiceName) -> Self {
        Self::hash("service", name.as_str())
    }
}

impl InstanceKey {
    /// Returns the key of an instance.
    #[must_use]
    pub fn of(id: &InstanceId) -> Self {
        Self::hash("instance", id.as_str())
    }
}

impl OriginKey {
    /// Returns the key of a workspace.
    #[must_use]
    pub fn of_workspace(name: &WorkspaceName) -> Self {
        Self::hash("workspace", name.as_str())
    }

    /// Returns the key of a route.
    #[must_use]
    pub fn of_route(name: &RouteName) -> Self {
        Self::hash("route", name.as_str())
    }
}

/// What a failed request says about the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FailureKind {
    /// The instance answered with an error or crashed during the request.
    Instance,
    /// No connection or no answer, for which a broken network path may be the
    /// cause as well.
    Path,
}

/// Outcomes of requests since the sender's last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Successful requests, including slow ones.
    pub ok: u32,
    /// Successful requests that were slow compared with the pool's median.
    pub slow: u32,
    /// Failed requests.
    pub failed: u32,
}

/// The outcomes of requests at one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// The instance.
    pub instance: InstanceKey,
    /// The age of the outcomes, in tenths of a second.
    pub age_ds: u8,
    /// The outcomes; [`FailureRow`]s list the failures one by one.
    pub counts: OutcomeCounts,
}

/// One failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureRow {
    /// The instance that received the request.
    pub instance: InstanceKey,
    /// How it failed.
    pub kind: FailureKind,
    /// The workspace of the request.
    pub workspace: OriginKey,
    /// The route of the request.
    pub route: OriginKey,
}

/// The successes of one origin's requests at all instances of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRow {
    /// The workspace or route.
    pub origin: OriginKey,
    /// Its successful requests.
    pub ok: u32,
}

/// Outcomes that a host reports to the coordinators of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The service.
    pub service: ServiceKey,
    /// Outcomes of instances that failed recently or are watched.
    pub instances: Vec<InstanceRow>,
    /// The failures among them.
    pub failures: Vec<FailureRow>,
    /// Successes of origins that failed recently or are watched.
    pub origins: Vec<OriginRow>,
    /// Outcomes of all other instances together.
    pub others: OutcomeCounts,
    /// Outcomes of the whole pool over the last minutes.
    pub usual: OutcomeCounts,
}

/// Asks all hosts to report some instances in full for a time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Watch {
    /// The service.
    pub service: ServiceKey,
    /// The instances.
    pub instances: Vec<InstanceKey>,
    /// Origins whose successes are to be reported.
    pub origins: Vec<OriginKey>,
    /// Whether some hosts are to send one request to each of the instances, as
    /// requests of one host alone cannot distinguish a failing instance from a
    /// broken network path.
    pub cross_check: bool,
}

/// Which requests an ejected instance may receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EjectionPhase {
    /// None.
    Held,
    /// A few idempotent requests as trials.
    Trial,
    /// All, but some host may not have learned it yet: the instance still counts
    /// against the floor.
    Released,
    /// Few at first, as trials succeeded and the instance is in slow start. It
    /// still counts against the floor.
    Returned,
}

impl EjectionPhase {
    /// Returns whether the instance receives no requests other than trials.
    #[must_use]
    pub fn is_ejected(self) -> bool {
        match self {
            Self::Held | Self::Trial => true,
            Self::Released | Self::Returned => false,
        }
    }
}

/// One ejected instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EjectionRow {
    /// The instance.
    pub instance: InstanceKey,
    /// Which requests it may receive.
    pub phase: EjectionPhase,
    /// Consecutive ejections of this instance.
    pub strikes: u8,
}

/// A coordinator's request for a host's vote, with the ejections that it grants
/// to a host that has voted for it before.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The service.
    pub service: ServiceKey,
    /// The coordinator's round, which only increases.
    pub round: u64,
    /// The latest vote that the coordinator holds from the receiver.
    pub ballot: Option<u64>,
    /// The ejections, oldest first.
    pub ejections: Vec<EjectionRow>,
    /// Instances that the coordinator or its voters know to accept no requests
    /// for other reasons. They count against the floor at the receiver as well.
    pub unavailable: Vec<InstanceKey>,
    /// Whether every listed host has reported the instances that it knows to be
    /// unavailable so recently that no other instance closes before the
    /// ejections end. If not, the receiver applies all ejections or none.
    pub are_reports_current: bool,
}

/// A host's answer to a coordinator. A vote binds the host to one coordinator
/// for a term.
#[derive(Debug, Clone, PartialEq)]
pub struct Vote {
    /// The service.
    pub service: ServiceKey,
    /// The coordinator's round that is answered.
    pub round: u64,
    /// The number of this vote, or none from a host that may not vote for this
    /// coordinator now.
    pub ballot: Option<u64>,
    /// Instances that accept no requests for reasons other than ejection.
    pub unavailable: Vec<InstanceKey>,
}

/// A message for the health of instances and for ejections.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "wire::HealthMessage", into = "wire::HealthMessage")]
pub enum HealthMessage {
    /// Outcomes of real requests.
    Evidence(Evidence),
    /// A request for reports on some instances in full.
    Watch(Watch),
    /// A request for a vote, with ejections.
    Grant(Grant),
    /// A vote.
    Vote(Vote),
}
