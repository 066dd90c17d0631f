//! Finds the route of a request.

use std::collections::HashMap;
use std::sync::Arc;

use waxwingusher_config::{Route, Snapshot};

/// Routes by path prefix; the longest prefix that matches the path wins.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_prefix: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

/// The result of a lookup.
#[derive(Debug, Clone)]
pub enum RouteMatch {
    /// The route of the request.
    Found(Arc<Route>),
    /// A route matches the path but not the method.
    MethodNotAllowed,
    /// No route matches the path.
    NotFound,
}

impl RouteTable {
    /// Builds the table of a configuration.
    #[must_use]
    pub fn new(snapshot: &Snapshot) -> Self {
        let mut by_prefix: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in snapshot.routes.values() {
            let prefix = without_trailing_slash(&route.path_prefix);
            by_prefix
                .entry(Arc::from(prefix))
                .or_default()
                .push(route.clone());
        }
        Self { by_prefix }
    }

    /// Returns the route with the longest prefix of a path, if it matches the
    /// method. A method that the longest prefix does not match is not looked up
    /// under shorter ones.
    #[must_use]
    pub fn find(&self, method: &str, path: &str) -> RouteMatch {
        let Some(routes) = self.routes_for_path(path) else {
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
    fn routes_for_path(&self, path: &str) -> Option<&[Arc<Route>]> {
        let mut prefix = without_trailing_slash(path);
        loop {
            if let Some(routes) = self.by_prefix.get(prefix) {
                return Some(routes);
            }
            let cut = prefix.rfind('/')?;
            prefix = &prefix[..cut];
        }
    }
}

fn without_trailing_slash(path: &str) -> &str {
    path.strip_suffix('/').unwrap_or(path)
}
