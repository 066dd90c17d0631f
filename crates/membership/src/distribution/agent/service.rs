//! Calls to the configuration service and their outcomes.

use std::sync::Arc;
use std::time::Instant;

use waxwingusher_config::publication::publish_hosts;
use waxwingusher_config::{Publication, PublicationError};
use waxwingusher_core::{ContentDigest, HostList};

use super::ConfigAgent;
use crate::distribution::action::{AgentAction, DocumentKind, ServiceRead, Watch};
use crate::distribution::replica::ServiceOffer;
use crate::distribution::version_fetch::Source;
use crate::distribution::watch::WatchEnd;

impl ConfigAgent {
    /// Handles a value that the configuration service returned.
    pub fn on_service_value(
        &mut self,
        ticket: u64,
        revision: u64,
        bytes: &Arc<[u8]>,
    ) -> Vec<AgentAction> {
        let now = self.clock.now();
        let mut actions = Vec::new();
        if let Some(read) = self.pack_reads.remove(&ticket) {
            self.accept_blob(&Source::Service, read.digest, bytes, now, &mut actions);
        } else if let Some(issued_at) = self.config_watch.on_value(ticket, revision, now) {
            let offer = self.config.offer_manifest(bytes, now);
            self.apply_offer(DocumentKind::Config, offer, issued_at, &mut actions);
        } else if let Some(issued_at) = self.hosts_watch.on_value(ticket, revision, now) {
            let offer = self.offer_hosts(bytes, now);
            self.apply_offer(DocumentKind::Hosts, offer, issued_at, &mut actions);
        }
        self.progress(now, &mut actions);
        actions
    }

    /// Handles the end of a watch without a newer value, with the value's revision
    /// if the answer names it.
    pub fn on_service_unchanged(&mut self, ticket: u64, revision: Option<u64>) -> Vec<AgentAction> {
        let now = self.clock.now();
        let config = self.config_watch.on_unchanged(ticket, revision, now);
        let end = config.or_else(|| self.hosts_watch.on_unchanged(ticket, revision, now));
        if end == Some(WatchEnd::Older) {
            self.counters.stale_reads += 1;
            log::warn!(
                "config: a watch of the service ended at an older revision than the known one"
            );
        }
        Vec::new()
    }

    /// Handles a failed call or a missing value.
    pub fn on_service_error(&mut self, ticket: u64) -> Vec<AgentAction> {
        let now = self.clock.now();
        let mut actions = Vec::new();
        self.counters.service_errors += 1;
        if let Some(read) = self.pack_reads.remove(&ticket) {
            let digest = read.digest;
            self.config.on_failure(&Source::Service, &digest, now);
            self.hosts.on_failure(&Source::Service, &digest, now);
        } else if !self.config_watch.on_error(ticket, now) {
            self.hosts_watch.on_error(ticket, now);
        }
        self.progress(now, &mut actions);
        actions
    }

    /// Issues the calls that are due.
    pub(super) fn read_service(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        self.pack_reads.retain(|_, read| read.deadline > now);
        let reads = self.reads_service(now);
        let wait = self.settings.watch_wait;
        let ticket = self.ticket();
        if reads && let Some(call) = self.config_watch.due_call(ticket, wait, now) {
            self.call(ticket, call.key, call.watch, actions);
        }
        // Each fresh host reads the list once to learn its peers and its role.
        let reads = reads || self.hosts.newest().is_none();
        let wait = self.settings.list_watch_wait;
        let ticket = self.ticket();
        if reads && let Some(call) = self.hosts_watch.due_call(ticket, wait, now) {
            self.call(ticket, call.key, call.watch, actions);
        }
    }

    fn call(
        &mut self,
        ticket: u64,
        key: Arc<str>,
        watch: Option<Watch>,
        actions: &mut Vec<AgentAction>,
    ) {
        self.counters.service_reads += 1;
        actions.push(AgentAction::ReadService(ServiceRead { ticket, key, watch }));
    }

    fn apply_offer(
        &mut self,
        kind: DocumentKind,
        offer: ServiceOffer,
        issued_at: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        let watch = match kind {
            DocumentKind::Config => &mut self.config_watch,
            DocumentKind::Hosts => &mut self.hosts_watch,
        };
        match offer {
            ServiceOffer::Fresh(stamp) => {
                watch.confirm(stamp, issued_at);
                return;
            }
            ServiceOffer::Stale => {
                self.counters.stale_reads += 1;
                log::warn!("config: the service has an older {kind} than this host");
            }
            ServiceOffer::Refused(_) | ServiceOffer::RefusedBefore => {}
        }
        watch.clear_confirmation();
        if let ServiceOffer::Refused(refusal) = offer {
            self.refuse(refusal, actions);
        }
    }

    /// Converts the platform's list into packs, which are the same on all hosts.
    fn offer_hosts(&mut self, bytes: &[u8], now: Instant) -> ServiceOffer {
        match read_hosts(bytes) {
            Ok(publication) => self.hosts.offer_publication(&publication, now),
            Err(reason) => {
                let digest = ContentDigest::of(bytes);
                self.hosts.refuse_value(digest, reason)
            }
        }
    }
}

fn read_hosts(bytes: &[u8]) -> Result<Publication, PublicationError> {
    let list: HostList =
        serde_json::from_slice(bytes).map_err(|e| PublicationError::BadManifest {
            message: e.to_string(),
        })?;
    publish_hosts(&list)
}
