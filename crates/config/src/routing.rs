//! The published routing document, and the routing table that a host compiles
//! from it to serve requests.
//!
//! A [`RoutingDocument`] is the complete configuration of one version. It is
//! checked and compiled into a [`RoutingTable`], which is immutable.

mod document;
mod findings;
pub mod review;
mod split;
mod table;

pub use document::{
    CallerLimits, ColdStart, DocumentFinding, EntryKind, FindingEffect, PublishedService,
    PublishedWorkspace, Route, RoutingDocument, ServiceShare,
};
pub use split::SplitPicker;
pub use table::{Caller, RoutingError, RoutingTable, WorkspacePolicy};
