//! Messages for evidence on instances and ejections.

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
    /// A short hash of what a request came from: a workspace or a route.
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

/// How a request failed, as far as it tells of the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FailureKind {
    /// The instance answered with an error or died while it worked.
    Instance,
    /// No connection or no answer, which a cut path explains as well.
    Path,
}

/// Outcomes of requests since the sender's last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Successful requests, slow ones among them.
    pub ok: u32,
    /// Successful requests that were slow against the pool's median.
    pub slow: u32,
    /// Failed requests.
    pub failed: u32,
}

/// Outcomes at one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// The instance.
    pub instance: InstanceKey,
    /// How long ago the outcomes were, in tenths of a second.
    pub age_ds: u8,
    /// Its outcomes; failures are listed one by one elsewhere.
    pub counts: OutcomeCounts,
}

/// One failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureRow {
    /// The instance that got the request.
    pub instance: InstanceKey,
    /// How it failed.
    pub kind: FailureKind,
    /// The workspace of the request.
    pub workspace: OriginKey,
    /// The route of the request.
    pub route: OriginKey,
}

/// Outcomes of one origin's requests at all instances of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRow {
    /// The workspace or route.
    pub origin: OriginKey,
    /// Its successful requests.
    pub ok: u32,
}

/// Evidence that a host sends to the hosts that judge a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The service.
    pub service: ServiceKey,
    /// Outcomes of instances that failed lately or are watched.
    pub instances: Vec<InstanceRow>,
    /// The failures among them.
    pub failures: Vec<FailureRow>,
    /// Successes of origins that failed lately or are watched.
    pub origins: Vec<OriginRow>,
    /// Outcomes of all other instances together.
    pub others: OutcomeCounts,
    /// Outcomes of the whole pool over the last minutes.
    pub usual: OutcomeCounts,
}

/// Asks all hosts to report some instances in full for a while.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Watch {
    /// The service.
    pub service: ServiceKey,
    /// The instances.
    pub instances: Vec<InstanceKey>,
    /// Origins whose successes are to be reported.
    pub origins: Vec<OriginKey>,
    /// Whether some hosts are to try the instances once, as requests of one
    /// vantage alone can't tell a sick instance from a cut path.
    pub cross_check: bool,
}

/// What an ejected instance may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EjectionPhase {
    /// Nothing.
    Held,
    /// A few idempotent requests as trials.
    Trial,
    /// Everything, but some host may not know it yet: the instance still
    /// counts against the floor.
    Released,
    /// Little at first, as trials went well and the instance starts slowly. It
    /// still counts against the floor.
    Returned,
}

impl EjectionPhase {
    /// Reports whether the instance gets no ordinary requests.
    #[must_use]
    pub fn is_out(self) -> bool {
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
    /// What it may get.
    pub phase: EjectionPhase,
    /// Ejections of this instance in a row.
    pub strikes: u8,
}

/// A judge's request for a host's vote, with the ejections that it grants to
/// a host that has voted for it before.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The service.
    pub service: ServiceKey,
    /// The judge's round, which only increases.
    pub round: u64,
    /// The latest vote that the judge holds from the receiver.
    pub ballot: Option<u64>,
    /// The ejections in the order in which they were made.
    pub ejections: Vec<EjectionRow>,
    /// Instances that the judge or its voters know to take no work for other
    /// reasons. They count against the floor at the receiver as well.
    pub unavailable: Vec<InstanceKey>,
    /// Whether every listed host has told the judge so lately what it knows to
    /// be unavailable that nothing else closes before the ejections end. If
    /// not, the receiver applies all ejections or none.
    pub all_heard: bool,
}

/// A host's answer to a judge. A vote binds it to one judge for a term.
#[derive(Debug, Clone, PartialEq)]
pub struct Vote {
    /// The service.
    pub service: ServiceKey,
    /// The judge's round that is answered.
    pub round: u64,
    /// The number of this vote, or nothing from a host that may not vote for
    /// this judge now.
    pub ballot: Option<u64>,
    /// Instances that take no work for other reasons than ejection.
    pub unavailable: Vec<InstanceKey>,
}

/// A message for evidence on instances and ejections.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "wire::HealthMessage", into = "wire::HealthMessage")]
pub enum HealthMessage {
    /// Outcomes of real requests.
    Evidence(Evidence),
    /// A request for full reports.
    Watch(Watch),
    /// A request for a vote, with ejections.
    Grant(Grant),
    /// A vote.
    Vote(Vote),
}
