//! The threads of a host, one module for each kind.

pub(crate) mod admitter;
mod membership_ticker;
pub(crate) mod operator_server;
pub(crate) mod peer_fetcher;
pub(crate) mod peer_receiver;
pub(crate) mod service_reader;
pub(crate) mod ticker;
pub(crate) mod worker;

use std::thread::JoinHandle;

/// Starts a named thread.
pub(crate) fn spawn(
    name: &str,
    body: impl FnOnce() + Send + 'static,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(body)
}
