//! The configuration in force, with the indexes for looking up requests.

use std::sync::Arc;

use waxwingusher_config::Snapshot;
use waxwingusher_limits::KeyIndex;

use crate::route_table::RouteTable;

/// A configuration and its indexes, immutable once built.
#[derive(Debug)]
pub(crate) struct ActiveConfig {
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) routes: RouteTable,
    pub(crate) keys: KeyIndex,
}

impl ActiveConfig {
    pub(crate) fn new(snapshot: Arc<Snapshot>) -> Self {
        Self {
            routes: RouteTable::new(&snapshot),
            keys: KeyIndex::new(&snapshot),
            snapshot,
        }
    }
}
