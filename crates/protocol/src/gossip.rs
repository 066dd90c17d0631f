//! Messages for liveness and configuration distribution.

use serde::{Deserialize, Serialize};

/// A message for liveness and configuration distribution.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GossipMessage {}
