//! Reads and watches the configuration service for the configuration agent.

use std::sync::mpsc::Receiver;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use waxwingusher_membership::distribution::ServiceRead;

use crate::service_client::{ServiceAnswer, ServiceClient, ServiceError};
use crate::state::HostState;

/// Calls that may be in progress at once: a watch of the configuration, a watch
/// of the host list, and reads of packs.
pub(crate) const READER_THREADS: usize = 4;

/// How long a thread waits for a read before it checks whether the host is
/// stopping.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs until the host stops.
pub(crate) fn run(state: &HostState, reads: &Mutex<Receiver<ServiceRead>>) {
    let client = ServiceClient::new(state.settings.config_service);
    while !state.stop.is_cancelled() {
        let Some(read) = next_read(reads) else {
            continue;
        };
        let result = call(&client, &read);
        let ticket = read.ticket;
        state.config.with(state, |agent| match result {
            Ok(ServiceAnswer::Value(value)) => {
                agent.on_service_value(ticket, value.revision, &value.bytes.into())
            }
            Ok(ServiceAnswer::Unchanged { revision }) => {
                agent.on_service_unchanged(ticket, revision)
            }
            Ok(ServiceAnswer::Missing) => agent.on_service_error(ticket),
            Err(e) => {
                log::warn!(
                    "config: Cannot read {} from the configuration service: {e}.",
                    read.key
                );
                agent.on_service_error(ticket)
            }
        });
    }
}

fn call(client: &ServiceClient, read: &ServiceRead) -> Result<ServiceAnswer, ServiceError> {
    match &read.watch {
        Some(watch) => client.watch(&read.key, watch.after_revision, watch.wait),
        None => client.read(&read.key),
    }
}

fn next_read(reads: &Mutex<Receiver<ServiceRead>>) -> Option<ServiceRead> {
    let reads = reads.lock().unwrap_or_else(PoisonError::into_inner);
    reads.recv_timeout(RECEIVE_TIMEOUT).ok()
}
