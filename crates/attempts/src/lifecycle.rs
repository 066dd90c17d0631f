//! The life cycle of one request as a typestate.
//!
//! Only [`Received`] and [`Admitted`] requests, of which no byte was sent to an
//! upstream, can be refused with [`crate::Outcome::NotRun`]. A [`Dispatched`] request
//! ends as [`Answered`], as [`Unknown`], or as [`Shed`] when the upstream
//! states that it did not run it.

use std::marker::PhantomData;

use crate::refusal::{Refusal, RefusalReason, is_shed_response};

/// The request was read, but not admitted yet.
#[derive(Debug)]
pub enum Received {}

/// The request may run; no byte of it was sent to an upstream.
#[derive(Debug)]
pub enum Admitted {}

/// Bytes of the request may have been sent to an upstream.
#[derive(Debug)]
pub enum Dispatched {}

/// One request in one state. It cannot be copied, so that each transition
/// happens once.
#[derive(Debug)]
#[must_use]
pub struct Request<S> {
    state: PhantomData<S>,
}

/// The answer of an upstream, read completely.
#[derive(Debug, PartialEq, Eq)]
pub struct Answered {
    status: u16,
}

/// A dispatched request without an answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Unknown {
    refusal: Refusal,
}

/// A request that the upstream stated not to have run.
#[derive(Debug, PartialEq, Eq)]
pub struct Shed {
    refusal: Refusal,
}

/// How a response ends a dispatched request.
#[derive(Debug, PartialEq, Eq)]
pub enum Response {
    /// The upstream answered.
    Answered(Answered),
    /// The upstream stated that it did not run the request.
    Shed(Shed),
}

impl Request<Received> {
    /// Creates a request that was read.
    pub const fn new() -> Self {
        Self { state: PhantomData }
    }

    /// Admits the request.
    pub fn admit(self) -> Request<Admitted> {
        self.into_state()
    }

    /// Refuses the request.
    #[must_use]
    pub fn refuse(self, reason: RefusalReason) -> Refusal {
        Refusal::before_dispatch(reason)
    }
}

impl Default for Request<Received> {
    fn default() -> Self {
        Self::new()
    }
}

impl Request<Admitted> {
    /// Marks the request as dispatched, right before its first byte can be sent.
    pub fn dispatch(self) -> Request<Dispatched> {
        self.into_state()
    }

    /// Refuses the request.
    #[must_use]
    pub fn refuse(self, reason: RefusalReason) -> Refusal {
        Refusal::before_dispatch(reason)
    }
}

impl Request<Dispatched> {
    /// Ends the request with a response that was read completely.
    #[must_use]
    pub fn respond(self, status: u16, shed_header: Option<&str>) -> Response {
        if is_shed_response(status, shed_header) {
            let refusal = Refusal::before_dispatch(RefusalReason::UpstreamShed);
            return Response::Shed(Shed { refusal });
        }
        Response::Answered(Answered { status })
    }

    /// Ends the request without an answer.
    #[must_use]
    pub fn fail(self, reason: RefusalReason) -> Unknown {
        Unknown {
            refusal: Refusal::unknown(reason),
        }
    }
}

impl<S> Request<S> {
    fn into_state<T>(self) -> Request<T> {
        Request { state: PhantomData }
    }
}

impl Answered {
    /// Returns the upstream's status.
    #[must_use]
    pub const fn status(&self) -> u16 {
        self.status
    }
}

impl Unknown {
    /// Returns the refusal for the caller.
    #[must_use]
    pub const fn refusal(&self) -> Refusal {
        self.refusal
    }
}

impl Shed {
    /// Returns the refusal for the caller.
    #[must_use]
    pub const fn refusal(&self) -> Refusal {
        self.refusal
    }

    /// Moves the request back to the state before its dispatch, so that another
    /// instance may run it.
    pub const fn into_admitted(self) -> Request<Admitted> {
        Request { state: PhantomData }
    }
}
