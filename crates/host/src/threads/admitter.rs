//! Receives requests from the edge, admits them and queues them for workers.

use std::sync::Arc;
use std::sync::mpsc::Receiver;

use waxwingusher_attempts::lifecycle::{Received, Request};
use waxwingusher_attempts::refusal::RefusalReason;
use waxwingusher_edge::Exchange;

use crate::admission;
use crate::pipeline::{self, Job};
use crate::refusal;
use crate::state::HostState;
use crate::work_queue::{RefusedJob, WorkQueue};

/// Runs until the edge closes its channel.
pub(crate) fn run(state: &Arc<HostState>, exchanges: &Receiver<Exchange>, queue: &WorkQueue) {
    for exchange in exchanges {
        state.metrics.count("requests");
        let admitted = match admission::admit(state, &exchange.request) {
            Ok(admitted) => admitted,
            Err(reason) => {
                refuse_unadmitted(state, exchange, reason);
                continue;
            }
        };
        let Err(refused) = queue.push(Job { exchange, admitted }) else {
            continue;
        };
        refuse_not_queued(state, *refused);
    }
}

fn refuse_not_queued(state: &HostState, refused: RefusedJob) {
    let RefusedJob { job, reason } = refused;
    let workspace = &job.admitted.principal.workspace;
    log::info!("queue: A request of workspace {workspace} was not queued: {reason}.");
    let refusal = Request::<Received>::new().refuse(RefusalReason::Overloaded);
    let Exchange { request, reply } = job.exchange;
    pipeline::refuse(state, &request, &job.admitted, reply, refusal);
}

fn refuse_unadmitted(state: &HostState, exchange: Exchange, reason: RefusalReason) {
    let Exchange { request, reply } = exchange;
    let code = reason.code();
    let method = &request.method;
    pipeline::record_decision(
        state,
        &request,
        &format!("{method} refused: {code}, not-run"),
    );
    state.metrics.count(&format!("refused.{code}"));
    let refusal = Request::<Received>::new().refuse(reason);
    reply.send(refusal::answer(refusal, request.id));
}
