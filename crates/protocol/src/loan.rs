//! Messages for lending of rate and burst.

use serde::{Deserialize, Serialize};

/// A message for lending of rate and burst.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LoanMessage {}
