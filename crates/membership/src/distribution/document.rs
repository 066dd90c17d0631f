//! The documents that are distributed.

use waxwingusher_config::publication::{assemble, assemble_hosts};
use waxwingusher_config::{Manifest, Pack, PublicationError, Snapshot};
use waxwingusher_core::HostList;

use super::action::DocumentKind;

/// A versioned document that is published as a manifest with packs.
pub trait Document: Sized {
    /// The kind of document.
    const KIND: DocumentKind;

    /// Builds the document and checks it.
    ///
    /// # Errors
    ///
    /// Returns an error if the document cannot be used.
    fn assemble(manifest: &Manifest, packs: &[Pack]) -> Result<Self, PublicationError>;
}

impl Document for Snapshot {
    const KIND: DocumentKind = DocumentKind::Config;

    fn assemble(manifest: &Manifest, packs: &[Pack]) -> Result<Self, PublicationError> {
        assemble(manifest, packs)
    }
}

impl Document for HostList {
    const KIND: DocumentKind = DocumentKind::Hosts;

    fn assemble(manifest: &Manifest, packs: &[Pack]) -> Result<Self, PublicationError> {
        assemble_hosts(manifest, packs)
    }
}
