//! The host's agent for the distribution of the configuration, shared by the
//! threads that deliver its inputs and carry out its actions.

use std::sync::mpsc::{SyncSender, TrySendError};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use waxwingusher_core::{ContentDigest, HostId, HostList};
use waxwingusher_membership::distribution::{AgentAction, ConfigAgent, ConfigTrust, ServiceRead};
use waxwingusher_protocol::{Message, PeerService};

use crate::state::HostState;

/// A manifest or pack to fetch from a peer.
#[derive(Debug, Clone)]
pub(crate) struct PeerFetch {
    pub(crate) host: HostId,
    pub(crate) digest: ContentDigest,
}

/// The agent and the channels to the threads that read and fetch for it.
pub(crate) struct SharedConfigAgent {
    agent: Mutex<ConfigAgent>,
    trust: Arc<ConfigTrust>,
    reads: SyncSender<ServiceRead>,
    fetches: SyncSender<PeerFetch>,
}

impl SharedConfigAgent {
    pub(crate) fn new(
        agent: ConfigAgent,
        reads: SyncSender<ServiceRead>,
        fetches: SyncSender<PeerFetch>,
    ) -> Self {
        Self {
            trust: agent.trust(),
            agent: Mutex::new(agent),
            reads,
            fetches,
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, ConfigAgent> {
        self.agent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports whether the keys in the configuration in force may be accepted.
    /// Does not lock the agent.
    pub(crate) fn is_trusted(&self) -> bool {
        self.trust.is_trusted()
    }

    /// Runs `work` on the agent and carries out the actions that it returns.
    pub(crate) fn with<F>(&self, state: &HostState, work: F)
    where
        F: FnOnce(&mut ConfigAgent) -> Vec<AgentAction>,
    {
        let actions = work(&mut self.lock());
        for action in actions {
            self.execute(state, action);
        }
    }

    fn execute(&self, state: &HostState, action: AgentAction) {
        match action {
            AgentAction::ReadService(read) => self.read(state, read),
            AgentAction::FetchFromPeer { host, digest } => {
                self.fetch(state, PeerFetch { host, digest });
            }
            AgentAction::Send(outgoing) => state.peers.send_all(vec![outgoing], Message::Config),
            AgentAction::Adopt(snapshot) => state.apply_snapshot(&snapshot),
            AgentAction::AdoptHosts(list) => state.apply_host_list(&list),
            AgentAction::Refuse(_) => state.metrics.count("config.refused"),
        }
    }

    fn read(&self, state: &HostState, read: ServiceRead) {
        let ticket = read.ticket;
        if let Err(TrySendError::Full(_)) = self.reads.try_send(read) {
            self.with(state, |agent| agent.on_service_error(ticket));
        }
    }

    fn fetch(&self, state: &HostState, fetch: PeerFetch) {
        let Err(TrySendError::Full(fetch)) = self.fetches.try_send(fetch) else {
            return;
        };
        self.with(state, |agent| {
            agent.on_pack_missing(&fetch.host, fetch.digest)
        });
    }
}

/// Serves packs and the host list to peers.
pub(crate) struct PeerFileService {
    pub(crate) state: Weak<HostState>,
}

impl PeerService for PeerFileService {
    fn pack(&self, digest: &ContentDigest) -> Option<Arc<[u8]>> {
        self.state.upgrade()?.config.lock().blob(digest)
    }

    fn host_list(&self) -> Option<HostList> {
        let state = self.state.upgrade()?;
        let list = state.config.lock().known_hosts()?;
        Some((*list).clone())
    }
}
