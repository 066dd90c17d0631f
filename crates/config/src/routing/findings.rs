//! Leaves out the entries of a published document that cannot be used, so that one of
//! them does not keep the rest out of force.

use std::collections::{HashMap, HashSet};

use waxwingusher_core::{KeyDigest, ServiceName, WorkspaceName};

use crate::routing::document::{DocumentFinding, EntryKind, FindingEffect, Route, RoutingDocument};
use crate::routing::table::{RoutingError, check_route};

impl RoutingDocument {
    /// Leaves out each route that [`RoutingTable::build`](crate::routing::RoutingTable::build)
    /// refuses, and each key that two workspaces hold, and records them as findings. Of
    /// two routes with the same host name and prefix the first one stays.
    pub fn leave_out_invalid(&mut self) {
        let services: HashSet<ServiceName> = self.services.iter().map(|s| s.name.clone()).collect();
        let services: HashSet<&ServiceName> = services.iter().collect();
        let mut taken: HashMap<(String, String), Route> = HashMap::new();
        let mut findings = Vec::new();
        self.routes.retain(|route| {
            let place = (route.host.to_ascii_lowercase(), route.prefix.clone());
            let result = check_route(route, &services).and_then(|()| match taken.get(&place) {
                Some(first) => Err(RoutingError::Overlap {
                    first: first.name.clone(),
                    second: route.name.clone(),
                }),
                None => Ok(()),
            });
            if let Err(error) = result {
                findings.push(DocumentFinding {
                    entry: EntryKind::Route,
                    name: route.name.to_string(),
                    cause: error.to_string(),
                    effect: FindingEffect::LeftOut,
                });
                return false;
            }
            taken.insert(place, route.clone());
            true
        });
        self.findings.extend(findings);
        self.leave_out_shared_keys();
    }

    /// Removes the keys that more than one workspace holds: whose requests they
    /// identify is not known.
    fn leave_out_shared_keys(&mut self) {
        let mut holders: HashMap<KeyDigest, WorkspaceName> = HashMap::new();
        let mut shared: HashSet<KeyDigest> = HashSet::new();
        for workspace in &self.workspaces {
            for digest in &workspace.keys {
                let holder = holders
                    .entry(*digest)
                    .or_insert_with(|| workspace.name.clone());
                if *holder != workspace.name {
                    shared.insert(*digest);
                }
            }
        }
        if shared.is_empty() {
            return;
        }
        for workspace in &mut self.workspaces {
            let count = workspace.keys.len();
            workspace.keys.retain(|digest| !shared.contains(digest));
            if workspace.keys.len() == count {
                continue;
            }
            self.findings.push(DocumentFinding {
                entry: EntryKind::Workspace,
                name: workspace.name.to_string(),
                cause: "another workspace holds the same key".to_owned(),
                effect: FindingEffect::Restricted,
            });
        }
    }
}
