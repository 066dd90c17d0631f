//! Immutable, cheaply cloned names.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name from text.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }
    };
}

name_type!(
    /// The name of one host of the fleet.
    HostId
);
name_type!(
    /// The name of a failure domain.
    FailureDomain
);
name_type!(
    /// The name of a region, which contains one or more failure domains.
    Region
);
name_type!(
    /// The name of a workspace.
    WorkspaceName
);
name_type!(
    /// The name of a service, whose instances form one upstream pool.
    ServiceName
);
name_type!(
    /// The name of one instance of an upstream.
    InstanceId
);
name_type!(
    /// The name of a route.
    RouteName
);
