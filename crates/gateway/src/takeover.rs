//! Requests that a peer takes over from a host without a path to instances.
//!
//! The host has checked the request's rate and passes the request on as its caller sent
//! it, the key included, to the port on which peers exchange messages. The peer checks
//! route and key once more, serves the request itself or declines, and never passes it on.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::answer::Answer;
use crate::attempt::{AnswerLoss, AttemptOutcome, NotRun, OutboundRequest};
use crate::home_regions::HomeRegions;
use crate::journal::Event;
use crate::resources::OVER_MEMORY;
use crate::state::{Phase, STOPPING, State};
use crate::units::{header_value, millis};
use crate::upstream::{Call, CallError, InstanceAnswer};

/// The header with the terms of a request that is passed on.
static TERMS: HeaderName = HeaderName::from_static("x-waxwingusher-takeover");
/// The header with the result in the peer's answer.
static RESULT: HeaderName = HeaderName::from_static("x-waxwingusher-takeover-result");
/// The peers that are asked for one request. Most hosts of a failure domain may be cut
/// off together, and each declines within milliseconds.
const MAX_PEERS: usize = 6;
/// The outcome of a request that this host declines.
const DECLINED: &str = "declined";
/// The outcome of a request that has not run, as the host has no path to instances.
pub(crate) const NO_PATH: &str = "no-path";

/// What a peer must know about a request beside its content.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct TakeoverTerms {
    /// The configuration by which the host has routed the request. A peer with an older
    /// one declines.
    pub(crate) config_version: u64,
    /// The same for a request that may not be processed in all regions. Its
    /// `config_version` is the highest number, so that peers of builds that do not
    /// know regions decline.
    #[serde(default)]
    pub(crate) regional_config_version: Option<u64>,
    /// How many attempts the request has left.
    pub(crate) attempts_left: u32,
}

impl TakeoverTerms {
    /// Creates the terms of a request.
    pub(crate) fn new(config_version: u64, attempts_left: u32, regions: &HomeRegions) -> Self {
        let is_regional = regions.is_restricted();
        Self {
            config_version: if is_regional {
                u64::MAX
            } else {
                config_version
            },
            regional_config_version: is_regional.then_some(config_version),
            attempts_left,
        }
    }

    /// Returns the configuration that a peer must have at least.
    fn required_config_version(&self) -> u64 {
        self.regional_config_version.unwrap_or(self.config_version)
    }
}

/// What came of a request at the peer.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct TakeoverResult {
    /// The peer has not run the request, and another one may.
    is_declined: bool,
}

/// This host does not take over a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum TakeoverError {
    /// The request came without usable terms.
    #[error("the request has no terms")]
    NoTerms,
    /// The sender is no known peer, or this host has an older configuration, no path to
    /// instances, or shuts down.
    #[error("the request is declined")]
    Declined,
}

impl TakeoverError {
    /// Returns the answer to the peer.
    pub(crate) fn answer(self) -> Answer {
        match self {
            Self::NoTerms => Answer::own(StatusCode::BAD_REQUEST, "no-terms"),
            Self::Declined => Answer::own(StatusCode::SERVICE_UNAVAILABLE, DECLINED),
        }
    }
}

/// Takes the terms of a peer's request from its headers.
///
/// # Errors
///
/// Returns an error if this host does not take over the request.
pub(crate) fn accept(
    state: &State,
    headers: &mut HeaderMap,
    from: IpAddr,
) -> Result<TakeoverTerms, TakeoverError> {
    let terms = check(state, headers, from)?;
    headers.remove(&TERMS);
    Ok(terms)
}

/// Returns the terms of a peer's request, also if its body is still on the way.
///
/// # Errors
///
/// Returns an error if this host does not take over the request.
pub(crate) fn check(
    state: &State,
    headers: &HeaderMap,
    from: IpAddr,
) -> Result<TakeoverTerms, TakeoverError> {
    let Some(terms): Option<TakeoverTerms> = headers.get(&TERMS).and_then(decode) else {
        return Err(TakeoverError::NoTerms);
    };
    let is_acceptable = state.peers.borrow().has_peer_at(from)
        && state.phase() == Phase::Serving
        && state.config_version() >= terms.required_config_version()
        && !state.is_cut_off();
    if is_acceptable {
        Ok(terms)
    } else {
        Err(TakeoverError::Declined)
    }
}

/// Adds the result to an answer to a peer.
pub(crate) fn add_result(answer: &mut Answer) {
    let is_not_run = answer.status == StatusCode::SERVICE_UNAVAILABLE;
    let is_declined =
        is_not_run && matches!(answer.outcome, DECLINED | NO_PATH | STOPPING | OVER_MEMORY);
    let result = encode(&TakeoverResult { is_declined });
    answer.headers.insert(&RESULT, result);
}

/// Encodes a header between peers; the receiver refuses an empty one.
fn encode(value: &impl Serialize) -> HeaderValue {
    match serde_json::to_string(value) {
        Ok(text) => header_value(&text),
        Err(error) => {
            log::error!("takeover: Cannot encode a header: {error}.");
            HeaderValue::from_static("")
        }
    }
}

/// Decodes a header between peers.
fn decode<T: DeserializeOwned>(value: &HeaderValue) -> Option<T> {
    serde_json::from_slice(value.as_bytes())
        .inspect_err(|error| log::warn!("takeover: A peer sent an unusable header: {error}."))
        .ok()
}

/// Asks peers to take over a request until one has done so.
pub(crate) async fn request(
    state: &State,
    request: &OutboundRequest,
    terms: TakeoverTerms,
    deadline: Instant,
) -> AttemptOutcome {
    for _ in 0..MAX_PEERS {
        if !state.allows_attempt(deadline, request.expected_latency) {
            break;
        }
        let Some(peer) = choose_peer(state, request) else {
            break;
        };
        let started = state.now();
        let time_left = state.attempt_time_left(deadline);
        let call = build_call(state, request, terms, peer, time_left);
        let max_connections = state.resources.limits().max_instance_connections();
        let result = state.pool.call(call, max_connections).await;
        let outcome = classify(result.map(|completed| completed.answer));
        state.metrics.record_takeover(outcome.label());
        state.journal.write(&Event::Takeover {
            request: &request.request_id,
            peer: &peer.to_string(),
            outcome: outcome.label(),
            took_ms: millis(state.now().saturating_duration_since(started)),
        });
        if !matches!(outcome, AttemptOutcome::NotRun(_)) {
            return outcome;
        }
        state.declined_peers.record_declined(state.now(), peer);
    }
    AttemptOutcome::NotRun(NotRun::Declined)
}

/// Chooses a reachable peer that has not declined lately: one that an instance of the
/// service has just answered if there is one, and then one of this failure domain. Peers
/// outside the request's home regions are not asked.
fn choose_peer(state: &State, request: &OutboundRequest) -> Option<SocketAddr> {
    let now = state.now();
    let roster = state.roster.borrow();
    let instances = roster
        .ready(&request.service)
        .map(|listed| &listed.entry.id);
    let evidence = state.evidence.borrow();
    let proven = evidence.recently_successful_peers(now, instances);
    let peers = state.peers.borrow();
    let candidates = peers.reachable_peers(now);
    let home_regions = &request.home_regions;
    let candidates = candidates.filter(|peer| home_regions.allows(&peer.failure_domain));
    let candidates = candidates.filter(|peer| state.declined_peers.may_ask(now, peer.addr));
    let mut best_rank = (false, false);
    let mut best: Vec<SocketAddr> = Vec::new();
    for peer in candidates {
        let is_local = peer.failure_domain == state.failure_domain;
        let rank = (proven.contains(&peer.addr), is_local);
        if rank < best_rank {
            continue;
        }
        if rank > best_rank {
            best_rank = rank;
            best.clear();
        }
        best.push(peer.addr);
    }
    state.rng.borrow_mut().choice(best)
}

fn build_call(
    state: &State,
    request: &OutboundRequest,
    terms: TakeoverTerms,
    peer: SocketAddr,
    time_left: Duration,
) -> Call {
    let dialect = &state.dialect;
    let mut headers = request.headers.clone();
    headers.remove(&dialect.workspace);
    if let Some(key) = &request.key {
        headers.insert(dialect.key.clone(), key.clone());
    }
    headers.insert(
        dialect.time_left_ms.clone(),
        header_value(&millis(time_left).to_string()),
    );
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    headers.insert(&TERMS, encode(&terms));
    Call {
        addr: peer,
        method: request.method.clone(),
        target: request.target.clone(),
        headers,
        body: request.body.clone(),
        answer_memory: request.answer_memory.clone(),
        reuse_as: None,
    }
}

fn classify(result: Result<InstanceAnswer, CallError>) -> AttemptOutcome {
    let mut answer = match result {
        Ok(answer) => answer,
        Err(error) => return error.into(),
    };
    let result = answer.headers.remove(&RESULT);
    let Some(result): Option<TakeoverResult> = result.as_ref().and_then(decode) else {
        return AttemptOutcome::AnswerLost(AnswerLoss::Foreign);
    };
    if result.is_declined {
        return AttemptOutcome::NotRun(NotRun::Declined);
    }
    let outcome = if answer.status.is_success() {
        "taken-over"
    } else {
        "takeover-failed"
    };
    AttemptOutcome::TakenOver(Answer::relay(answer, outcome))
}
