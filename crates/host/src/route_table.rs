//! Finds the route of a request.

use std::collections::HashMap;
use std::sync::Arc;

use waxwingusher_config::{Route, Snapshot};

/// Routes by path prefix; the longest prefix that has the path wins.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_prefix: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

/// What the table knows of a request.
#[derive(Debug, Clone)]
pub enum RouteMatch {
    /// The route of the request.
    Found(Arc<Route>),
    /// A route has the path but does not take the method.
    MethodNotAllowed,
    /// No route has the path.
    NotFound,
}

impl RouteTable {
    /// Builds the table of a configuration.
    #[must_use]
    pub fn new(snapshot: &Snapshot) -> Self {
        let mut by_prefix: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in snapshot.routes.values() {
            let prefix = trimmed(&route.path_prefix);
            by_prefix
                .entry(Arc::from(prefix))
                .or_default()
                .push(route.clone());
        }
        Self { by_prefix }
    }

    /// Returns the route with the longest prefix of a path, if it takes the
    /// method. A shorter prefix does not take what a longer one leaves out.
    #[must_use]
    pub fn find(&self, method: &str, path: &str) -> RouteMatch {
        let Some(routes) = self.routes_of(path) else {
            return RouteMatch::NotFound;
        };
        for route in routes {
            if route.matches(method, path) {
                return RouteMatch::Found(route.clone());
            }
        }
        RouteMatch::MethodNotAllowed
    }

    /// Returns the routes with the longest prefix of a path.
    fn routes_of(&self, path: &str) -> Option<&[Arc<Route>]> {
        let mut prefix = trimmed(path);
        loop {
            if let Some(routes) = self.by_prefix.get(prefix) {
                return Some(routes);
            }
            let cut = prefix.rfind('/')?;
            prefix = &prefix[..cut];
        }
    }
}

fn trimmed(path: &str) -> &str {
    path.strip_suffix('/').unwrap_or(path)
}
