//! Works on one request at a time.

use std::sync::Arc;

use waxwingusher_core::CancelToken;
use waxwingusher_edge::UpstreamClient;

use crate::pipeline;
use crate::state::HostState;
use crate::work_queue::WorkQueue;

/// Runs until the token is cancelled and the queue is empty.
pub(crate) fn run(
    state: &Arc<HostState>,
    queue: &WorkQueue,
    client: &UpstreamClient,
    stop: &CancelToken,
) {
    loop {
        if let Some(job) = queue.pop() {
            pipeline::run(state, client, job);
        } else if stop.is_cancelled() {
            return;
        }
    }
}
