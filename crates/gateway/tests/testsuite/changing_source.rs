//! A source whose changes a test publishes while hosts run.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use waxwingusher_config::routing::RoutingDocument;
use waxwingusher_core::{FailureDomain, FeedPosition};
use waxwingusher_gateway::FeedSource;
use waxwingusher_gateway::ports::{Change, Changes, EvacuationChange, Listing, SourceError};
use waxwingusher_upstreams::RosterEntry;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A source that lists one state and then the changes that are published.
#[derive(Clone)]
pub struct ChangingSource {
    pub document: RoutingDocument,
    pub roster: Vec<RosterEntry>,
    changes: Arc<Mutex<Vec<(u64, Change)>>>,
}

impl ChangingSource {
    pub fn new(document: RoutingDocument, roster: Vec<RosterEntry>) -> Self {
        Self {
            document,
            roster,
            changes: Arc::default(),
        }
    }

    /// Publishes a change, which all clones of the source report.
    pub fn publish(&self, change: Change) {
        let mut changes = self.changes.lock().expect("not poisoned");
        let revision = 2 + changes.len() as u64;
        changes.push((revision, change));
    }

    /// Publishes an order to evacuate a failure domain, or takes it back.
    pub fn publish_evacuation(&self, domain: &str, is_ordered: bool) {
        self.publish(Change::Evacuation(EvacuationChange {
            failure_domain: FailureDomain::new(domain),
            is_ordered,
        }));
    }
}

impl FeedSource for ChangingSource {
    async fn list(&self) -> Result<Listing, SourceError> {
        Ok(Listing {
            routing: Some(Ok(self.document.clone())),
            roster: self.roster.clone(),
            evacuated: BTreeSet::new(),
            position: FeedPosition::new(0, 1),
        })
    }

    async fn changes(
        &self,
        position: FeedPosition,
        wait: Duration,
    ) -> Result<Changes, SourceError> {
        let until = Instant::now() + wait;
        loop {
            let mut items = self.changes.lock().expect("not poisoned").clone();
            let revision = 1 + items.len() as u64;
            items.retain(|(revision, _)| *revision > position.revision);
            if !items.is_empty() || Instant::now() >= until {
                return Ok(Changes {
                    items,
                    position: FeedPosition::new(0, revision),
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn reconnect(&self) {}
}
