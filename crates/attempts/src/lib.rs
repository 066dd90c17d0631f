//! Outcomes of requests: the life cycle of one request, idempotency records,
//! retry budgets, and quarantine of requests that crash instances.

pub mod attempt;
mod buckets;
mod claimant;
mod completions;
mod crash_correlation;
pub mod fleet_retry_budget;
mod hand_off;
pub mod lifecycle;
mod lists;
mod placement;
pub mod quarantine;
mod rebalancing;
mod records;
pub mod refusal;
pub mod registry;
pub mod retry;
mod rounds;
pub mod settings;
mod stamp;
mod takeover;
mod transfer;
mod witness;

pub use attempt::{
    AttemptDecision, AttemptReport, AttemptRequest, AttemptResult, AttemptTicket, Permission,
    PermitError, UnknownCause,
};
pub use fleet_retry_budget::{
    FleetRetryBudget, FleetRetryBudgetSettings, RetryDecision, RetryWorth,
};
pub use hand_off::HandOffProgress;
pub use lifecycle::{Admitted, Answered, Dispatched, Received, Request, Response, Shed, Unknown};
pub use quarantine::{LostInstance, Quarantine, QuarantineReport, QuarantineSettings};
pub use refusal::{Outcome, Refusal, RefusalReason};
pub use registry::AttemptRegistry;
pub use retry::{FailedRequest, Idempotency, Origin, RetryBudget, RetryRefusal, RetrySettings};
pub use settings::{AttemptSettings, WitnessPlan};
