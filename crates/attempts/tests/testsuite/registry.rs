//! A request with a key runs at most once, and repeats get its outcome.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use assert_matches::assert_matches;
use waxwingusher_attempts::{
    AttemptRegistry, AttemptResult, AttemptSettings, Outcome, Permission, PermitError, UnknownCause,
};
use waxwingusher_bench::attempts::member::DriftingClock;
use waxwingusher_core::{Clock, ManualClock};
use waxwingusher_protocol::attempt::MAX_STORED_BODY_BYTES;

use crate::cluster::{Cluster, answer, host, host_list, request};

#[test]
fn a_repeat_on_any_host_gets_the_first_answer() {
    for (hosts, domains) in [(1, 1), (2, 1), (2, 2), (3, 1), (3, 3), (4, 2), (12, 4)] {
        let mut cluster = Cluster::warm(hosts, domains);
        let first = request("a", "x", &cluster.clock);
        let ticket = cluster.dispatch(&host(0), &first);
        let result = AttemptResult::Answered(answer(b"done"));
        let outgoing = cluster.registry(&host(0)).finish(ticket, result);
        cluster.deliver(&host(0), outgoing);
        for index in 0..hosts {
            let repeat = request("a", "x", &cluster.clock);
            let (_, permission) = cluster.begin(&host(index), &repeat);
            assert_eq!(permission, Permission::FirstAnswer(answer(b"done")));
        }
    }
}

#[test]
fn a_repeat_during_the_first_run_is_in_progress_and_never_runs() {
    let mut cluster = Cluster::warm(6, 3);
    let first = request("a", "x", &cluster.clock);
    cluster.dispatch(&host(0), &first);
    let repeat = request("a", "x", &cluster.clock);
    let (_, permission) = cluster.begin(&host(1), &repeat);
    assert_matches!(permission, Permission::InProgress { .. });
    cluster.advance(Duration::from_secs(30));
    let repeat = request("a", "x", &cluster.clock);
    let (_, permission) = cluster.begin(&host(1), &repeat);
    assert_eq!(
        permission,
        Permission::Unknown(UnknownCause::EarlierAttempt)
    );
}

#[test]
fn a_key_is_free_again_after_the_window() {
    let mut cluster = Cluster::warm(6, 3);
    let first = request("a", "x", &cluster.clock);
    let ticket = cluster.dispatch(&host(0), &first);
    cluster
        .registry(&host(0))
        .finish(ticket, AttemptResult::Unknown);
    let window = cluster.settings.window;
    cluster.advance(window - Duration::from_secs(5));
    let repeat = request("a", "x", &cluster.clock);
    let (_, permission) = cluster.begin(&host(1), &repeat);
    assert_matches!(permission, Permission::Unknown(_));
    cluster.advance(Duration::from_secs(30));
    let later = request("a", "x", &cluster.clock);
    cluster.dispatch(&host(1), &later);
    assert!(
        cluster
            .hosts
            .values()
            .all(|host| host.report().records <= 1)
    );
}

#[test]
fn another_body_is_misuse_and_another_workspace_is_another_key() {
    let mut cluster = Cluster::warm(6, 3);
    let first = request("a", "x", &cluster.clock);
    cluster.dispatch(&host(0), &first);
    let other_body = request("a", "y", &cluster.clock);
    let (_, permission) = cluster.begin(&host(1), &other_body);
    assert_eq!(permission, Permission::Misuse);
    let mut other_workspace = request("a", "y", &cluster.clock);
    other_workspace.workspace = "payroll".into();
    cluster.dispatch(&host(1), &other_workspace);
}

#[test]
fn a_request_that_did_not_run_frees_its_key() {
    let mut cluster = Cluster::warm(6, 3);
    let first = request("a", "x", &cluster.clock);
    let ticket = cluster.dispatch(&host(0), &first);
    let outgoing = cluster
        .registry(&host(0))
        .finish(ticket, AttemptResult::NotRun);
    cluster.deliver(&host(0), outgoing);
    let repeat = request("a", "x", &cluster.clock);
    cluster.dispatch(&host(3), &repeat);
}

#[test]
fn a_permission_allows_one_dispatch() {
    let mut cluster = Cluster::warm(6, 3);
    let first = request("a", "x", &cluster.clock);
    let ticket = cluster.dispatch(&host(0), &first);
    let again = cluster.registry(&host(0)).check_before_dispatch(ticket);
    assert_eq!(again, Err(PermitError::NotPermitted));
}

#[test]
fn a_permission_expires_while_the_process_is_paused() {
    let mut cluster = Cluster::warm(6, 3);
    let mut first = request("a", "x", &cluster.clock);
    first.deadline += Duration::from_secs(3600);
    let (ticket, permission) = cluster.begin(&host(0), &first);
    assert_eq!(permission, Permission::Run);
    cluster.clock.advance(Duration::from_secs(30));
    let checked = cluster.registry(&host(0)).check_before_dispatch(ticket);
    assert_eq!(checked, Err(PermitError::Expired));
    assert_eq!(PermitError::Expired.outcome(), Outcome::NotRun);
    let window = cluster.settings.window;
    cluster.clock.advance(window);
    let checked = cluster.registry(&host(0)).check_before_dispatch(ticket);
    assert_eq!(checked, Err(PermitError::RecordsExpired));
    assert_eq!(PermitError::RecordsExpired.outcome(), Outcome::Unknown);
}

#[test]
fn a_shed_request_is_not_run_unless_the_process_was_paused_beyond_the_window() {
    let mut cluster = Cluster::warm(6, 3);
    let mut first = request("a", "x", &cluster.clock);
    first.deadline += Duration::from_secs(3600);
    let ticket = cluster.dispatch(&host(0), &first);
    let shed_outcome = |cluster: &mut Cluster| cluster.registry(&host(0)).shed_outcome(ticket);
    assert_eq!(shed_outcome(&mut cluster), Outcome::NotRun);
    let window = cluster.settings.window;
    cluster.clock.advance(window + Duration::from_secs(1));
    assert_eq!(shed_outcome(&mut cluster), Outcome::Unknown);
    cluster
        .registry(&host(0))
        .finish(ticket, AttemptResult::NotRun);
    assert_eq!(shed_outcome(&mut cluster), Outcome::Unknown);
}

#[test]
fn a_permission_expires_while_the_machine_is_suspended() {
    let truth = ManualClock::new();
    let clock = Arc::new(DriftingClock::new(truth.clone(), 0));
    let settings = AttemptSettings::default();
    let mut registry =
        AttemptRegistry::new(host(0), 1, Arc::<DriftingClock>::clone(&clock), 1, settings);
    let list = host_list(1, 1, 1);
    for _ in 0..400 {
        registry.apply_host_list(&list);
        registry.confirm_host_list(1);
        truth.advance(Duration::from_secs(1));
    }
    let mut first = request("a", "x", &*clock);
    first.deadline += Duration::from_secs(3600);
    let (ticket, _) = registry.begin(&first);
    assert_eq!(registry.take_decisions()[0].permission, Permission::Run);
    let before = clock.now();
    truth.advance(Duration::from_secs(30));
    clock.suspend(Duration::from_secs(30));
    assert_eq!(clock.now(), before, "the monotonic clock did not advance");
    assert_eq!(
        registry.check_before_dispatch(ticket),
        Err(PermitError::Expired)
    );
}

#[test]
fn nothing_is_dispatched_under_an_unconfirmed_list() {
    let mut cluster = Cluster::warm(6, 3);
    let fence = cluster.settings.list_fence;
    cluster.clock.advance(fence - Duration::from_secs(1));
    let first = request("a", "x", &cluster.clock);
    let (ticket, outgoing) = cluster.registry(&host(0)).begin(&first);
    cluster.deliver(&host(0), outgoing);
    cluster.clock.advance(Duration::from_millis(1500));
    let checked = cluster.registry(&host(0)).check_before_dispatch(ticket);
    assert_eq!(checked, Err(PermitError::ListStale));
    let second = request("b", "x", &cluster.clock);
    let (_, permission) = cluster.begin(&host(0), &second);
    assert_eq!(permission, Permission::Unknown(UnknownCause::ListStale));
}

#[test]
fn no_witness_vouches_after_a_cold_start_of_the_fleet() {
    let settings = AttemptSettings::default();
    let mut cluster = Cluster::cold(6, 3, settings);
    let first = request("a", "x", &cluster.clock);
    let (_, permission) = cluster.begin(&host(0), &first);
    assert_eq!(permission, Permission::Unknown(UnknownCause::NotCovered));
    cluster.advance(settings.coverage());
    let later = request("a", "x", &cluster.clock);
    cluster.dispatch(&host(0), &later);
}

#[test]
fn a_witness_covers_more_than_the_window() {
    let settings = AttemptSettings::default();
    let mut cluster = Cluster::cold(6, 3, settings);
    cluster.advance(settings.window + settings.permit_term);
    let first = request("a", "x", &cluster.clock);
    let (_, permission) = cluster.begin(&host(0), &first);
    assert_eq!(permission, Permission::Unknown(UnknownCause::NotCovered));
}

#[test]
fn no_host_uses_lists_that_change_faster_than_they_settle() {
    let mut cluster = Cluster::warm(6, 3);
    let end = cluster.clock.now() + cluster.settings.coverage() * 2;
    let mut version = 1;
    while cluster.clock.now() < end {
        version += 1;
        let half = version % 2;
        let mut list = host_list(version, 6, 3);
        list.hosts
            .retain(|entry| (entry.id >= host(3)) == (half == 1));
        for index in 0..3 {
            let receiver = if half == 1 { index + 3 } else { index };
            cluster.views.insert(host(receiver), list.clone());
        }
        cluster.advance(Duration::from_secs(1));
    }
    let first = request("a", "x", &cluster.clock);
    let (_, first_permission) = cluster.begin(&host(0), &first);
    let (_, other_permission) = cluster.begin(&host(3), &first);
    let runs = [first_permission, other_permission]
        .into_iter()
        .filter(|permission| *permission == Permission::Run);
    assert!(
        runs.count() <= 1,
        "both halves of the fleet ran the request under different lists"
    );
}

#[test]
fn a_fleet_that_opens_for_the_first_time_vouches_immediately() {
    let opening = Duration::from_secs(20);
    let settings = AttemptSettings {
        opened_at: Some(SystemTime::UNIX_EPOCH + opening),
        ..AttemptSettings::default()
    };
    let mut cluster = Cluster::cold(6, 3, settings);
    let early = request("a", "x", &cluster.clock);
    let (_, permission) = cluster.begin(&host(0), &early);
    assert_matches!(permission, Permission::InProgress { .. });
    cluster.advance(opening - cluster.clock.elapsed());
    let first = request("a", "x", &cluster.clock);
    cluster.dispatch(&host(0), &first);
    for index in 0..6 {
        cluster.start(&host(index));
    }
    cluster.advance(settings.list_settle);
    let repeat = request("a", "x", &cluster.clock);
    let (_, permission) = cluster.begin(&host(0), &repeat);
    assert_eq!(permission, Permission::Unknown(UnknownCause::NotCovered));
}

#[test]
fn a_key_can_be_claimed_with_one_witness_without_records_but_not_with_two() {
    let mut cluster = Cluster::warm(3, 3);
    let first = request("a", "x", &cluster.clock);
    cluster.dispatch(&host(0), &first);
    cluster.start(&host(1));
    let settle = cluster.settings.list_settle;
    cluster.advance(settle);
    let fresh = request("b", "x", &cluster.clock);
    cluster.dispatch(&host(0), &fresh);
    cluster.start(&host(2));
    cluster.advance(settle);
    for key in ["a", "c"] {
        let repeat = request(key, "x", &cluster.clock);
        let (_, permission) = cluster.begin(&host(0), &repeat);
        assert_matches!(permission, Permission::Unknown(_), "{key}");
    }
}

#[test]
fn a_skipped_list_ends_the_coverage_only_after_a_gap() {
    for (gap_s, is_covered) in [(1, true), (60, false)] {
        let mut cluster = Cluster::warm(6, 3);
        cluster.clock.advance(Duration::from_secs(gap_s));
        cluster.list.version += 2;
        cluster.advance(Duration::ZERO);
        let report = cluster.registry(&host(0)).report();
        assert_eq!(report.is_covered, is_covered, "gap {gap_s} s");
    }
}

#[test]
fn a_full_record_store_refuses_new_keys_and_drops_none() {
    let settings = AttemptSettings {
        max_records: 10,
        ..AttemptSettings::default()
    };
    let mut cluster = Cluster::cold(3, 3, settings);
    cluster.advance(settings.coverage());
    let mut permitted = Vec::new();
    for index in 0..30 {
        let key = index.to_string();
        let request = request(&key, "x", &cluster.clock);
        let (_, permission) = cluster.begin(&host(0), &request);
        if permission == Permission::Run {
            permitted.push(key);
        }
    }
    assert!(permitted.len() >= 10, "{permitted:?}");
    assert!(
        cluster
            .hosts
            .values()
            .all(|host| host.report().records <= 10)
    );
    for key in permitted {
        let repeat = request(&key, "x", &cluster.clock);
        let (_, permission) = cluster.begin(&host(1), &repeat);
        assert_ne!(permission, Permission::Run, "{key}");
    }
}

#[test]
fn repeats_of_a_request_whose_answer_exceeds_the_limits_are_unknown() {
    let settings = AttemptSettings {
        max_answer_bytes: 2000,
        ..AttemptSettings::default()
    };
    let mut cluster = Cluster::cold(3, 3, settings);
    cluster.advance(settings.coverage());
    let sizes = [&[MAX_STORED_BODY_BYTES + 1], &[700; 8][..]].concat();
    for (index, size) in sizes.into_iter().enumerate() {
        let first = request(&index.to_string(), "x", &cluster.clock);
        let ticket = cluster.dispatch(&host(0), &first);
        let result = AttemptResult::Answered(answer(&vec![0; size]));
        let outgoing = cluster.registry(&host(0)).finish(ticket, result);
        cluster.deliver(&host(0), outgoing);
    }
    for registry in cluster.hosts.values() {
        assert!(registry.report().answer_bytes <= 2000);
    }
    for (key, is_stored) in [("0", false), ("1", false), ("8", true)] {
        let repeat = request(key, "x", &cluster.clock);
        let (_, permission) = cluster.begin(&host(1), &repeat);
        let has_answer = matches!(permission, Permission::FirstAnswer(_));
        assert_eq!(has_answer, is_stored, "key {key}: {permission:?}");
    }
}

#[test]
fn the_outcome_of_an_attempt_that_is_never_finished_is_unknown() {
    let mut cluster = Cluster::warm(6, 3);
    let first = request("a", "x", &cluster.clock);
    cluster.dispatch(&host(0), &first);
    cluster.advance(Duration::from_secs(20));
    assert_eq!(cluster.registry(&host(0)).report().open_attempts, 0);
    let repeat = request("a", "x", &cluster.clock);
    let (_, permission) = cluster.begin(&host(1), &repeat);
    assert_eq!(
        permission,
        Permission::Unknown(UnknownCause::EarlierAttempt)
    );
    assert!(cluster.clock.now() > first.deadline);
}
