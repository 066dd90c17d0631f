//! Messages for evidence on instances and ejections.

use serde::{Deserialize, Serialize};

/// A message for evidence on instances and ejections.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HealthMessage {}
