//! Violations of the users' promises.

use std::time::Duration;

use waxwingusher_core::{HostId, InstanceId, WorkspaceName};

use crate::call::Operation;

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// More requests were admitted than rate and burst allow.
    #[error("rate: {0} got more tokens than its rate and burst allow")]
    OverRate(WorkspaceName),
    /// All hosts together hold more tokens or rate than the limit has.
    #[error(
        "rate: all hosts together hold {tokens_millis} token/1000 and {rate_millis_per_s}/1000 per second of {workspace}"
    )]
    OverRights {
        /// The workspace.
        workspace: WorkspaceName,
        /// The tokens at all hosts, in thousandths.
        tokens_millis: u64,
        /// The rate at all hosts, in thousandths per second.
        rate_millis_per_s: u64,
    },
    /// A request was sent for a workspace that its key does not belong to.
    #[error("key: {host} sent request {call} with a key that version {version} lacks")]
    ForeignKey {
        /// The host.
        host: HostId,
        /// The request.
        call: u64,
        /// The version in force there.
        version: u64,
    },
    /// A request was sent with a key that was withdrawn long before.
    #[error(
        "key: {host} sent request {call} with version {version}, {age:?} after its key was withdrawn"
    )]
    WithdrawnKey {
        /// The host.
        host: HostId,
        /// The request.
        call: u64,
        /// The version in force there.
        version: u64,
        /// The time since a version without the key was accepted.
        age: Duration,
    },
    /// An operation with an idempotency key ran twice within the window.
    #[error("at most once: {operation:?} ran again after {gap:?}")]
    DoubledOperation {
        /// The operation.
        operation: Operation,
        /// The time between the runs.
        gap: Duration,
    },
    /// A non-idempotent request ran twice.
    #[error("at most once: request {0} ran twice")]
    DoubledRequest(u64),
    /// A caller got the outcome `not-run` although the request had run.
    #[error("not run: request {0} ran")]
    FalseNotRun(u64),
    /// A caller got the answer of another operation.
    #[error("answer: request {0} got the answer of another operation")]
    CrossedAnswer(u64),
    /// A leaving or draining instance got a new request.
    #[error("leaving: {host} sent work to {instance}, {age:?} after it learned of the stop")]
    WorkForLeaving {
        /// The host.
        host: HostId,
        /// The instance.
        instance: InstanceId,
        /// The time since the host learned that the instance leaves or drains.
        age: Duration,
    },
    /// Ejections reduced the slots in use below the floor.
    #[error("floor: {view}: {in_use} of {total} slots in use")]
    BelowFloor {
        /// The host, or `all hosts`.
        view: String,
        /// Slots in use.
        in_use: u32,
        /// All slots.
        total: u32,
    },
    /// A host still lacks a version that a host it reaches has in force.
    #[error("configuration: {host} has version {version}, a host that it reaches has {newer}")]
    LateConfiguration {
        /// The host.
        host: HostId,
        /// The version in force there.
        version: u64,
        /// The version at the other host.
        newer: u64,
    },
    /// A host went back to an older version, possibly across a restart.
    #[error("configuration: {host} went back from version {from} to {to}")]
    Reverted {
        /// The host.
        host: HostId,
        /// The version before, or the newest that it reached.
        from: u64,
        /// The version in force.
        to: u64,
    },
    /// A host has a configuration that was never published.
    #[error("configuration: {host} has an altered version {version}")]
    Altered {
        /// The host.
        host: HostId,
        /// The version.
        version: u64,
    },
}
