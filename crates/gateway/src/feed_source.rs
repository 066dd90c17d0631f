//! The source of the published configuration and instances.

use std::collections::BTreeSet;
use std::future::Future;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use waxwingusher_config::routing::RoutingDocument;
use waxwingusher_core::{FailureDomain, FeedPosition};
use waxwingusher_upstreams::{RosterChange, RosterEntry};

/// Where configuration and instances are published.
pub trait FeedSource {
    /// Lists everything that is published. The listing contains all changes that were
    /// acknowledged before the call. The call must not wait long for a source that
    /// does not answer, since the caller allows for the time that all pages take.
    fn list(&self) -> impl Future<Output = Result<Listing, SourceError>>;

    /// Waits up to `wait` for changes after `position`.
    fn changes(
        &self,
        position: FeedPosition,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, SourceError>>;

    /// Drops connections that may be dead.
    fn reconnect(&self);
}

/// Everything that is published.
#[derive(Debug)]
pub struct Listing {
    /// The configuration, if there is one.
    pub routing: Option<PublishedConfig>,
    /// All instances.
    pub roster: Vec<RosterEntry>,
    /// The failure domains that are to be evacuated.
    pub evacuated: BTreeSet<FailureDomain>,
    /// The position from which changes follow.
    pub position: FeedPosition,
}

/// Published changes, in order.
#[derive(Debug)]
pub struct Changes {
    /// The changes and their revisions, in the order of their publication.
    pub items: Vec<(u64, Change)>,
    /// The position from which further changes follow. Its era differs from that of
    /// the request if the source was restored from a backup; the items are then
    /// useless.
    pub position: FeedPosition,
}

/// One change.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Change {
    /// A configuration was published.
    Routing(PublishedConfig),
    /// An instance's entry changed.
    Roster(RosterChange),
    /// An operator ordered the evacuation of a failure domain or took the order back.
    Evacuation(EvacuationChange),
}

/// A change of the order to evacuate a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationChange {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// Whether the order was given; else it was taken back.
    pub is_ordered: bool,
}

/// A configuration as it was published, or why it cannot be read.
pub type PublishedConfig = Result<RoutingDocument, String>;

/// The source gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// The source no longer has the changes after the position.
    #[error("the source no longer has the changes after the position")]
    HistoryGone,
    /// The changes after the position are more than is read at once. A listing returns them
    /// in pages.
    #[error("the changes after the position are too large to be read at once")]
    TooLarge,
    /// The source could not be reached, or its answer was lost.
    #[error("{0}")]
    Unreachable(String),
    /// The source refused to answer.
    #[error("{0}")]
    Refused(String),
}
