//! Outcomes of requests: the life cycle of one request, attempt records for
//! idempotency keys, retry budgets and quarantine of crashing requests.

pub mod attempt;
mod claimant;
mod hand_over;
mod inheritance;
mod lease;
pub mod lifecycle;
mod lists;
mod records;
pub mod refusal;
pub mod registry;
mod rounds;
pub mod settings;
mod transfer;
mod witness;
mod witnesses;

pub use attempt::{
    AttemptDecision, AttemptReport, AttemptRequest, AttemptResult, AttemptTicket, Permission,
    PermitError, UnknownCause,
};
pub use hand_over::HandOverProgress;
pub use lifecycle::{Admitted, Answered, Dispatched, Received, Request, Response, Shed, Unknown};
pub use refusal::{Outcome, Refusal, RefusalReason};
pub use registry::AttemptRegistry;
pub use settings::{AttemptSettings, WitnessPlan};
