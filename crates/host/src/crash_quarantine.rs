//! Detects requests that crash instances, and quarantines them.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use waxwingusher_attempts::{LostInstance, Quarantine};
use waxwingusher_core::{BodyDigest, InstanceId, ServiceName};
use waxwingusher_protocol::Message;
use waxwingusher_protocol::attempt::AttemptKey;

use crate::admission::Admitted;
use crate::peer_sender::PeerSender;

/// The quarantine and the requests that this host has in flight per instance.
pub(crate) struct CrashQuarantine {
    quarantine: Mutex<Quarantine>,
    in_flight: Mutex<HashMap<InstanceId, Vec<AttemptKey>>>,
}

/// Identifies what a request asks for, within its workspace and route.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fingerprint(AttemptKey);

impl Fingerprint {
    pub(crate) fn new(admitted: &Admitted, body: &BodyDigest) -> Self {
        let workspace = &admitted.principal.workspace;
        let route = &admitted.route.name;
        Self(Quarantine::fingerprint(workspace, route, body))
    }
}

impl CrashQuarantine {
    pub(crate) fn new(quarantine: Quarantine) -> Self {
        Self {
            quarantine: Mutex::new(quarantine),
            in_flight: Mutex::new(HashMap::new()),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports whether a request is known to crash instances.
    pub(crate) fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.lock().is_quarantined(&fingerprint.0)
    }

    /// Records that a request is being sent to an instance.
    pub(crate) fn on_request_sent(&self, instance: &InstanceId, fingerprint: Fingerprint) {
        let mut in_flight = self.lock_in_flight();
        let requests = in_flight.entry(instance.clone()).or_default();
        requests.push(fingerprint.0);
    }

    /// Records that a request is no longer in flight at an instance, with or
    /// without an answer.
    pub(crate) fn on_request_ended(&self, instance: &InstanceId, fingerprint: Fingerprint) {
        let mut in_flight = self.lock_in_flight();
        let Some(requests) = in_flight.get_mut(instance) else {
            return;
        };
        if let Some(at) = requests.iter().position(|one| *one == fingerprint.0) {
            requests.swap_remove(at);
        }
        if requests.is_empty() {
            in_flight.remove(instance);
        }
    }

    /// Records that a request got a complete answer.
    pub(crate) fn on_request_completed(&self, fingerprint: Fingerprint) {
        self.lock().on_completed(fingerprint.0);
    }

    /// Reports an instance that closed a connection with a request in flight.
    pub(crate) fn report_lost_instance(
        &self,
        service: &ServiceName,
        instance: &InstanceId,
        peers: &PeerSender,
    ) {
        let in_flight = self.lock_in_flight().get(instance).cloned();
        let lost = LostInstance {
            service: service.clone(),
            instance: instance.clone(),
            in_flight: in_flight.unwrap_or_default(),
        };
        let outgoing = self.lock().on_instance_lost(&lost);
        peers.send_all(outgoing, Message::Attempt);
    }

    fn lock_in_flight(&self) -> MutexGuard<'_, HashMap<InstanceId, Vec<AttemptKey>>> {
        self.in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
