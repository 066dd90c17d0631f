//! Processes queued requests, one at a time.

use std::sync::Arc;

use waxwingusher_core::CancelToken;
use waxwingusher_edge::UpstreamClient;
use waxwingusher_limits::Dequeued;

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
        match queue.pop() {
            // The pipeline refuses requests that have expired.
            Some(Dequeued::Run(job) | Dequeued::Expired(job)) => {
                let class = job.class();
                pipeline::run(state, client, job);
                queue.finish(&class);
            }
            None if stop.is_cancelled() => return,
            None => {}
        }
    }
}
