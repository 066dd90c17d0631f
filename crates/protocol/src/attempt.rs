//! Messages for attempt records and quarantine.

use serde::{Deserialize, Serialize};

/// A message for attempt records and quarantine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AttemptMessage {}
