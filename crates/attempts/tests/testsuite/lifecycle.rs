//! Refusals state correctly whether a request ran.

use std::collections::BTreeSet;
use std::time::Duration;

use assert_matches::assert_matches;
use waxwingusher_attempts::refusal::{SHED_NOT_RUN, SHED_STATUS};
use waxwingusher_attempts::{Outcome, RefusalReason, Request, Response};

const RETRY_AFTER: Duration = Duration::from_secs(2);

const REASONS: [(RefusalReason, u16, Outcome); 17] = [
    (RefusalReason::UnknownRoute, 404, Outcome::NotRun),
    (RefusalReason::Unauthorized, 401, Outcome::NotRun),
    (
        RefusalReason::OverRate {
            retry_after: RETRY_AFTER,
        },
        429,
        Outcome::NotRun,
    ),
    (RefusalReason::Overloaded, 503, Outcome::NotRun),
    (RefusalReason::NoHealthyInstance, 503, Outcome::NotRun),
    (RefusalReason::DeadlineExceeded, 504, Outcome::NotRun),
    (RefusalReason::Malformed, 400, Outcome::NotRun),
    (RefusalReason::BodyTooLarge, 413, Outcome::NotRun),
    (RefusalReason::KeyMisuse, 422, Outcome::NotRun),
    (RefusalReason::AttemptUnknown, 409, Outcome::Unknown),
    (
        RefusalReason::AttemptInProgress {
            retry_after: RETRY_AFTER,
        },
        409,
        Outcome::Unknown,
    ),
    (RefusalReason::Quarantined, 503, Outcome::NotRun),
    (RefusalReason::Draining, 503, Outcome::NotRun),
    (RefusalReason::DrainEnded, 504, Outcome::NotRun),
    (
        RefusalReason::ConfigUnconfirmed {
            retry_after: RETRY_AFTER,
        },
        503,
        Outcome::NotRun,
    ),
    (RefusalReason::UpstreamFailed, 502, Outcome::NotRun),
    (RefusalReason::UpstreamShed, 503, Outcome::NotRun),
];

#[test]
fn each_reason_before_dispatch_has_its_status_outcome_and_own_code() {
    let mut codes = BTreeSet::new();
    for (reason, status, outcome) in REASONS {
        assert_eq!(reason.status(), status, "{reason:?}");
        assert_eq!(Request::new().refuse(reason).outcome(), outcome);
        assert_eq!(Request::new().admit().refuse(reason).outcome(), outcome);
        assert!(codes.insert(reason.code()), "{reason:?}");
    }
}

#[test]
fn a_failed_upstream_is_unknown_unless_nothing_was_dispatched() {
    assert_eq!(RefusalReason::UpstreamFailed.outcome(), Outcome::Unknown);
}

#[test]
fn a_dispatched_request_that_fails_may_have_run() {
    for (reason, _, _) in REASONS {
        let unknown = Request::new().admit().dispatch().fail(reason);
        assert_eq!(unknown.refusal().outcome(), Outcome::Unknown, "{reason:?}");
    }
}

#[test]
fn only_the_documented_shed_response_means_not_run() {
    let dispatched = || Request::new().admit().dispatch();
    let shed = dispatched().respond(SHED_STATUS, Some(SHED_NOT_RUN));
    assert_matches!(shed, Response::Shed(shed) => {
        assert_eq!(shed.refusal().outcome(), Outcome::NotRun);
        assert_eq!(shed.refusal().reason(), RefusalReason::UpstreamShed);
    });
    let others = [
        (SHED_STATUS, None),
        (SHED_STATUS, Some("")),
        (SHED_STATUS, Some("not-run, unknown")),
        (500, Some(SHED_NOT_RUN)),
        (200, Some(SHED_NOT_RUN)),
    ];
    for (status, header) in others {
        let response = dispatched().respond(status, header);
        assert_matches!(response, Response::Answered(answer) if answer.status() == status);
    }
}

#[test]
fn retry_after_comes_with_the_reasons_that_know_it() {
    for (reason, _, _) in REASONS {
        let expected = matches!(
            reason,
            RefusalReason::OverRate { .. }
                | RefusalReason::AttemptInProgress { .. }
                | RefusalReason::ConfigUnconfirmed { .. }
        );
        assert_eq!(reason.retry_after(), expected.then_some(RETRY_AFTER));
    }
}
