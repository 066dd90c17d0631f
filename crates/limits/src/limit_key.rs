//! The key of a limit: a workspace or an open route.

use std::fmt;

use waxwingusher_core::{RouteName, WorkspaceName, rendezvous};
use waxwingusher_protocol::loan::LimitId;

/// What a rate and a burst belong to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LimitKey {
    /// All requests of a workspace.
    Workspace(WorkspaceName),
    /// All requests on a route that is open to everybody.
    OpenRoute(RouteName),
}

impl LimitKey {
    /// Returns the short hash that messages carry.
    #[must_use]
    pub fn id(&self) -> LimitId {
        let hash = rendezvous::weight(self.kind(), self.name()).to_le_bytes();
        let mut id = [0; 6];
        id.copy_from_slice(&hash[..6]);
        LimitId(id)
    }

    /// Returns the name of the workspace or the route.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Workspace(name) => name.as_str(),
            Self::OpenRoute(name) => name.as_str(),
        }
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::Workspace(_) => "workspace",
            Self::OpenRoute(_) => "open-route",
        }
    }
}

impl fmt::Display for LimitKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind(), self.name())
    }
}
