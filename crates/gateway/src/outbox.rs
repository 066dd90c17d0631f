//! What remains to be sent to peers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;

use tokio::sync::Notify;
use waxwingusher_core::InstanceId;
use waxwingusher_membership::seeded::{CrashReport, LeavingInstance, PermitRequest};

/// What remains to be sent to peers.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) local_instances: RefCell<BTreeSet<InstanceId>>,
    pub(crate) remote_instances: RefCell<BTreeSet<InstanceId>>,
    pub(crate) crashes: RefCell<Vec<CrashReport>>,
    pub(crate) disowned: RefCell<Vec<u32>>,
    pub(crate) leaving: RefCell<Vec<LeavingInstance>>,
    /// Instances that have named, changed or lifted a limit.
    pub(crate) rate_limits: RefCell<BTreeSet<InstanceId>>,
    permit_requests: RefCell<Vec<(SocketAddr, PermitRequest)>>,
    pub(crate) permit_requested: Notify,
    /// Whether the outbox is to be sent to remote failure domains at once, too.
    pub(crate) is_urgent: Cell<bool>,
    /// Whether admissions are to be reported to remote failure domains soon.
    pub(crate) is_admission_report_due: Cell<bool>,
    /// Whether a departure notice is to be sent, since the process ends.
    pub(crate) is_departure_notice_due: Cell<bool>,
    /// Whether changes of the feed are to be passed on.
    pub(crate) is_feed_update_due: Cell<bool>,
    /// Whether a peer is to be asked for missed changes.
    pub(crate) is_missed_changes_request_due: Cell<bool>,
    pub(crate) changed: Notify,
}

impl Outbox {
    /// Requests that the outbox is sent to remote failure domains at once, too.
    pub(crate) fn request_urgent_send(&self) {
        self.is_urgent.set(true);
        self.changed.notify_one();
    }

    /// Sends a request for a permit to the host that issues it.
    pub(crate) fn request_permit(&self, issuer: SocketAddr, request: PermitRequest) {
        self.permit_requests.borrow_mut().push((issuer, request));
        self.permit_requested.notify_one();
    }

    /// Takes the requests for permits that are to be sent.
    pub(crate) fn take_permit_requests(&self) -> Vec<(SocketAddr, PermitRequest)> {
        std::mem::take(&mut *self.permit_requests.borrow_mut())
    }

    /// Requests a departure notice to peers, so that they stop counting this host.
    pub(crate) fn announce_departure(&self) {
        self.is_departure_notice_due.set(true);
        self.request_urgent_send();
    }

    /// Requests that changes of the feed are passed on.
    pub(crate) fn send_feed_update_soon(&self) {
        self.is_feed_update_due.set(true);
        self.changed.notify_one();
    }

    /// Requests missed changes from a peer.
    pub(crate) fn request_missed_changes(&self) {
        self.is_missed_changes_request_due.set(true);
        self.changed.notify_one();
    }

    /// Reports whether nothing has changed since the last report.
    pub(crate) fn is_empty(&self) -> bool {
        self.local_instances.borrow().is_empty()
            && self.remote_instances.borrow().is_empty()
            && self.crashes.borrow().is_empty()
            && self.disowned.borrow().is_empty()
    }

    pub(crate) fn report_admissions_soon(&self) {
        self.is_admission_report_due.set(true);
        self.changed.notify_one();
    }
}
