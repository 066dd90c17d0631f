//! When a request is passed on to a peer, and what becomes of the peer's answer.

use super::{Dispatch, GiveUpReason, PendingAttempt, promises_not_run};
use crate::answer::Answer;
use crate::attempt::AttemptOutcome;
use crate::takeover::{self, TakeoverTerms};

/// Attempts that may fail to connect before a peer is asked to take over the request.
const MAX_UNREACHABLE_BEFORE_TAKEOVER: usize = 2;

impl Dispatch<'_> {
    /// Reports whether a peer is to take over the request, as this host seems to have no
    /// path to instances.
    pub(super) fn lacks_path(&self, unreachable: usize) -> bool {
        let is_likely = unreachable >= MAX_UNREACHABLE_BEFORE_TAKEOVER || self.state.is_cut_off();
        self.may_hand_over && is_likely
    }

    /// Reports whether a peer is to take over the request instead of letting it wait, as
    /// this host reaches less than half of the instances.
    pub(super) fn lacks_most_paths(&self) -> bool {
        if !self.may_hand_over {
            return false;
        }
        let roster = self.state.roster.borrow();
        let evidence = self.state.evidence.borrow();
        let now = self.state.now();
        let instances = roster.ready(&self.request.service);
        let home_regions = &self.request.home_regions;
        let instances = instances.filter(|it| home_regions.allows(&it.entry.failure_domain));
        let (blocked, open) = instances.fold((0, 0), |(blocked, open), listed| {
            if evidence.health(now, &listed.entry.id).is_path_blocked {
                (blocked + 1, open)
            } else {
                (blocked, open + 1)
            }
        });
        blocked > open
    }

    /// Asks peers to take over the request.
    pub(super) async fn hand_over(&mut self) -> AttemptOutcome {
        let outcome = self.start_takeover().await;
        self.finish_attempt(outcome)
    }

    /// Starts to ask peers to take over the request, which goes on while the returned
    /// future is polled.
    pub(super) fn start_takeover(&mut self) -> PendingAttempt {
        let attempts_left = self
            .route
            .max_attempts
            .saturating_sub(self.connected_attempts);
        let terms = TakeoverTerms::new(
            self.config_version,
            attempts_left.max(1),
            &self.request.home_regions,
        );
        self.connected_attempts += 1;
        self.in_flight_attempts += 1;
        self.takeover_count += 1;
        let (state, request) = (self.state.clone(), self.request.clone());
        let deadline = self.deadline;
        Box::pin(async move { takeover::request(&state, &request, terms, deadline).await })
    }

    /// Relays the answer of a peer. It may promise that the request has not run only if it
    /// has not run before either.
    pub(super) fn relay_takeover(&mut self, answer: Answer) -> Answer {
        if promises_not_run(answer.status) && self.may_have_run() {
            return self.give_up(GiveUpReason::AttemptsUsed);
        }
        answer
    }
}
