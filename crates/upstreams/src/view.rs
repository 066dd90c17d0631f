//! Read-only views for operators.

use std::time::{Duration, Instant};

use serde::Serialize;
use waxwingusher_core::{InstanceId, ServiceName};
use waxwingusher_protocol::health::{EjectionPhase, EjectionRow};

use crate::member::{Availability, Member};
use crate::score::Score;

/// Why an instance takes few or no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceStatus {
    /// The instance takes its share of the requests.
    InUse,
    /// The fleet has ejected the instance.
    Ejected,
    /// The instance is ejected and gets trials.
    Trial,
    /// The instance is new or has just returned.
    Cold,
    /// The instance is leaving or draining, and is a last resort for a while.
    Closing,
    /// The instance is leaving or draining, and gets no new requests.
    Closed,
}

/// One instance in this host's view.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct InstanceView {
    /// The instance.
    pub instance: InstanceId,
    /// Its slots.
    pub slots: u32,
    /// Why it takes few or no requests.
    pub status: InstanceStatus,
    /// Whether this host alone avoids the instance.
    pub avoided: bool,
    /// This host's requests in flight.
    pub in_flight: u32,
    /// This host's concurrency limit there.
    pub limit: u32,
    /// How long this host still backs off after a shed request, in milliseconds.
    pub backoff_ms: u64,
    /// The number of ejections in a row.
    pub strikes: u8,
    /// The failure score, if this host coordinates the service.
    pub failure_score: Option<f64>,
    /// The slowness score, if this host coordinates the service.
    pub slow_score: Option<f64>,
    /// The share of failed or slow requests, if this host coordinates the service.
    pub bad_share: Option<f64>,
}

/// One service in this host's view.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceView {
    /// The service.
    pub service: ServiceName,
    /// The slots that must stay in use.
    pub required_slots: u64,
    /// The slots that are in use.
    pub in_use_slots: u64,
    /// The pool's median latency in milliseconds.
    pub median_latency_ms: Option<f64>,
    /// The instances.
    pub instances: Vec<InstanceView>,
}

pub(crate) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

pub(crate) fn view_member(
    member: &Member,
    now: Instant,
    row: Option<&EjectionRow>,
    score: Option<&Score>,
) -> InstanceView {
    let status = match (row.map(|row| row.phase), member.availability(now)) {
        (Some(EjectionPhase::Held), _) => InstanceStatus::Ejected,
        (Some(EjectionPhase::Trial), _) => InstanceStatus::Trial,
        (Some(EjectionPhase::Returned), Availability::Ready) => InstanceStatus::Cold,
        (_, Availability::Ready) => InstanceStatus::InUse,
        (_, Availability::Cold) => InstanceStatus::Cold,
        (_, Availability::Closing) => InstanceStatus::Closing,
        (_, Availability::Closed) => InstanceStatus::Closed,
    };
    InstanceView {
        instance: member.id().clone(),
        slots: member.instance.slots,
        status,
        avoided: member.is_avoided(now),
        in_flight: member.in_flight,
        limit: member.limit(),
        backoff_ms: member.backoff_left(now).as_millis() as u64,
        strikes: row.map_or(0, |row| row.strikes),
        failure_score: score.map(|score| score.failure),
        slow_score: score.map(|score| score.slow),
        bad_share: score.map(|score| score.bad_share),
    }
}
