//! The regions in which a request may be processed.

use std::collections::{BTreeMap, HashSet};

use waxwingusher_core::{FailureDomain, Region};

/// The regions of this host and of the failure domains.
#[derive(Debug, Clone, Default)]
pub(crate) struct RegionMap {
    own: Option<Region>,
    by_domain: BTreeMap<FailureDomain, Region>,
}

impl RegionMap {
    /// Creates the map. The region of the host's failure domain is its own unless it is
    /// stated.
    pub(crate) fn new(
        own: Option<Region>,
        own_domain: &FailureDomain,
        mut by_domain: BTreeMap<FailureDomain, Region>,
    ) -> Self {
        if let Some(own) = &own {
            by_domain
                .entry(own_domain.clone())
                .or_insert_with(|| own.clone());
        }
        Self { own, by_domain }
    }
}

/// Where a request may be processed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct HomeRegions {
    /// The failure domains in the allowed regions; none if all regions are allowed.
    domains: Option<HashSet<FailureDomain>>,
    /// Whether the region of this host is not one of them.
    excludes_host: bool,
}

impl HomeRegions {
    /// Combines the regions that a route and a workspace allow; an empty list allows all.
    /// A failure domain whose region is not known is in no allowed region.
    pub(crate) fn new(route: &[Region], workspace: &[Region], regions: &RegionMap) -> Self {
        if route.is_empty() && workspace.is_empty() {
            return Self::default();
        }
        let is_in = |list: &[Region], region: &Region| list.is_empty() || list.contains(region);
        let allows = |region: &Region| is_in(route, region) && is_in(workspace, region);
        let domains = regions.by_domain.iter();
        let domains = domains.filter(|(_, region)| allows(region));
        Self {
            domains: Some(domains.map(|(domain, _)| domain.clone()).collect()),
            excludes_host: !regions.own.as_ref().is_some_and(allows),
        }
    }

    /// Returns the failure domains in which the request may be processed; none if all.
    pub(crate) fn domains(&self) -> Option<&HashSet<FailureDomain>> {
        self.domains.as_ref()
    }

    /// Reports whether the request may be processed in a failure domain.
    pub(crate) fn allows(&self, domain: &FailureDomain) -> bool {
        self.domains()
            .is_none_or(|domains| domains.contains(domain))
    }

    /// Reports whether this host may take over the request from a peer.
    pub(crate) fn allows_host(&self) -> bool {
        !self.excludes_host
    }

    /// Reports whether the request may not be processed everywhere.
    pub(crate) fn is_restricted(&self) -> bool {
        self.domains.is_some()
    }
}
