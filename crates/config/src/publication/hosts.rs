//! The host list in the form of a publication, which hosts distribute to each
//! other in packs.

use waxwingusher_core::{HostEntry, HostList};

use super::packing::{self, Encoding, Packing};
use super::{Manifest, Pack, Publication, PublicationError};

/// The mean number of hosts in a pack.
const MEAN_HOSTS_PER_PACK: u64 = 16;

/// Encodes a host list as a publication. Equal lists give equal bytes, so hosts
/// that read the list from the platform and hosts that learn it from peers hold
/// the same packs.
///
/// # Errors
///
/// Returns an error if the version is out of range or a value is too large.
pub fn publish_hosts(list: &HostList) -> Result<Publication, PublicationError> {
    let mut hosts: Vec<&HostEntry> = list.hosts.iter().collect();
    hosts.sort_by(|a, b| a.id.cmp(&b.id));
    let rows = hosts.into_iter().map(|host| (host.id.to_string(), host));
    let packing = Packing {
        mean_rows_per_pack: MEAN_HOSTS_PER_PACK,
        encoding: Encoding::Zlib,
    };
    packing::publish_rows(list.version, rows, packing)
}

/// Decodes a host list from its manifest and packs.
///
/// # Errors
///
/// Returns an error if a pack is missing, altered or not decodable, or if a
/// host is listed twice.
pub fn assemble_hosts(manifest: &Manifest, packs: &[Pack]) -> Result<HostList, PublicationError> {
    let hosts: Vec<HostEntry> = packing::read_rows(manifest, packs)?;
    packing::reject_duplicate_keys(hosts.iter().map(|host| host.id.to_string()))?;
    Ok(HostList {
        version: manifest.version,
        hosts,
    })
}
