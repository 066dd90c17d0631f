//! One host of the fleet, and its observation for the oracle.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use waxwingusher_bench::attempts::member::DriftingClock;
use waxwingusher_bench::config::sample as names;
use waxwingusher_bench::config::service::{Answer, AnsweredCall};
use waxwingusher_core::ManualClock;
use waxwingusher_limits::LimitKey;
use waxwingusher_standins::Delivery;

use super::{Envelope, HOSTS, MAX_DRIFT_PPM, SEEDS};
use crate::oracle::Observation;
use crate::process::{HostContext, Process};
use crate::sample::{self, DOMAINS};

/// Input of a process. It is queued while the process is paused.
pub(super) enum Input {
    Packet(Delivery<Envelope>),
    ServiceAnswer(AnsweredCall),
}

/// One host, with its process if one runs.
pub struct Host {
    /// The fixed properties of the host.
    pub context: HostContext,
    /// The running process.
    pub process: Option<Process>,
    /// Whether it is paused.
    pub is_paused: bool,
    pub(super) clock: Arc<DriftingClock>,
    pub(super) suspended_since: Option<Duration>,
    pub(super) inbox: VecDeque<Input>,
}

impl Host {
    pub(super) fn is_running(&self) -> bool {
        self.process.is_some() && !self.is_paused
    }
}

pub(super) fn new_host(index: usize, time: &ManualClock, rng: &mut fastrand::Rng) -> Host {
    let drift_ppm = rng.i32(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM);
    let clock = Arc::new(DriftingClock::new(time.clone(), drift_ppm));
    let seed = |offset: usize| names::host_id((index + 1 + offset) % HOSTS);
    Host {
        context: HostContext {
            id: names::host_id(index),
            domain: names::domain(index % DOMAINS),
            clock: Arc::<DriftingClock>::clone(&clock),
            seeds: (0..SEEDS).map(seed).collect(),
        },
        process: None,
        is_paused: false,
        clock,
        suspended_since: None,
        inbox: VecDeque::new(),
    }
}

pub(super) fn on_service_answer(process: &mut Process, call: &AnsweredCall) {
    process.with_agent(|agent| match &call.answer {
        Answer::Value { revision, bytes } => agent.on_service_value(call.ticket, *revision, bytes),
        Answer::Unchanged { revision } => agent.on_service_unchanged(call.ticket, *revision),
        Answer::Error => agent.on_service_error(call.ticket),
    });
}

pub(super) fn observation_of(host: &Host, process: &Process) -> Observation {
    let service = sample::service_name();
    let mut rights = Vec::new();
    for limit in process.limiter.report().limits {
        let LimitKey::Workspace(name) = limit.key else {
            continue;
        };
        let tokens = limit.share_tokens_millis + limit.borrowed_tokens_millis;
        let rate = limit.share_rate_millis_per_s + limit.borrowed_rate_millis_per_s;
        rights.push((name, tokens, rate));
    }
    Observation {
        host: host.context.id.clone(),
        incarnation: process.incarnation,
        is_running: host.is_running(),
        snapshot: process
            .active
            .as_ref()
            .map(|active| active.snapshot.clone()),
        ejected: process.upstreams.ejected(&service),
        unavailable: process.upstreams.unavailable(&service),
        rights,
        reachable: Vec::new(),
    }
}
