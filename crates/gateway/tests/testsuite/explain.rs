//! Explains a request from the logs of several hosts.

use std::io;
use std::sync::Arc;

use waxwingusher_core::SystemClock;
use waxwingusher_gateway::explain::{Explanation, explain};
use waxwingusher_gateway::journal::{Arrival, Event, Journal};
use waxwingusher_upstreams::placement::Exclusions;

fn from_text(id: &str, text: &str) -> Explanation {
    let lines = text.lines().map(|line| io::Result::Ok(line.to_owned()));
    explain(id, lines).expect("the text can be read")
}

fn attempt<'a>(request: &'a str, outcome: &'a str) -> Event<'a> {
    Event::Attempt {
        request,
        number: 1,
        instance: "i-1",
        choice: "remote",
        risk: 0.25,
        load: 2,
        outcome_age_ms: None,
        attempt_age_ms: Some(40),
        slowness: 1.5,
        entry_age_ms: 600,
        feed_age_ms: Some(30),
        outcome,
        took_ms: 3,
    }
}

fn answer(request: &str) -> Event<'_> {
    Event::Request {
        request,
        route: "book",
        workspace: "acme",
        version: 7,
        status: 500,
        outcome: "upstream-failed",
        attempts: 1,
        took_ms: 4,
        left_ms: 1_200,
        tokens: None,
        arrival: Arrival::default(),
    }
}

/// Returns the log that a host writes for the events.
fn log(host: &str, events: &[Event<'_>]) -> String {
    let (journal, lines) = Journal::new(host, Arc::new(SystemClock));
    for event in events {
        journal.write(event);
    }
    drop(journal);
    lines.iter().map(|line| line + "\n").collect()
}

#[test]
fn the_steps_of_a_request_include_the_state_of_its_host() {
    let text = log(
        "host-1",
        &[
            Event::Configuration {
                version: 7,
                routes: 4,
                outcome: "in-force",
                cause: "",
            },
            Event::Peers {
                reachable_hosts: 20,
                known_hosts: 32,
            },
            Event::Dependency {
                name: "feed",
                state: "lost",
                cause: "no answer in time",
            },
            Event::Instance {
                instance: "i-1",
                change: "held",
                source: "peer",
                revision: 12,
                entry_age_ms: 0,
                feed_age_ms: Some(650),
            },
            attempt("other", "answered"),
            attempt("mine", "failed"),
            answer("mine"),
        ],
    );
    let explanation = from_text("mine", &text);
    let [attempt, answer] = explanation.steps.as_slice() else {
        panic!("{explanation:?}");
    };
    assert!(
        attempt
            .description
            .starts_with("attempt 1 at i-1: failed after 3 ms")
    );
    assert!(attempt.description.ends_with(
        "no outcome yet, last attempt of any host 40 ms before, 1.5 times the usual time)"
    ));
    let origin = "i-1: held (by peer, the store had answered 650 ms before)";
    assert!(
        attempt.context[0].starts_with(origin),
        "{:?}",
        attempt.context
    );
    assert!(
        answer
            .description
            .starts_with("answer 500, upstream-failed")
    );
    let context = answer.context.join("\n");
    for fact in [
        "configuration 7: in force",
        "20 of 32 hosts reachable",
        "feed: lost",
        "no answer in time",
    ] {
        assert!(context.contains(fact), "{fact}: {context}");
    }
}

#[test]
fn regained_dependencies_and_the_state_of_other_hosts_are_omitted() {
    let lost = |state| Event::Dependency {
        name: "feed",
        state,
        cause: "x",
    };
    let text = log("host-1", &[lost("lost"), lost("regained"), answer("mine")])
        + &log("host-2", &[lost("lost"), answer("other")]);
    let explanation = from_text("mine", &text);
    assert_eq!(explanation.steps[0].context, Vec::<String>::new());
}

#[test]
fn prefixes_are_skipped_and_unreadable_or_suppressed_records_are_counted() {
    let text = log("host-1", &[answer("mine")]);
    let suppressed = log(
        "host-1",
        &[Event::Suppressed {
            beyond_rate: 3,
            ring_full: 4,
        }],
    );
    let explanation = from_text(
        "mine",
        &format!("   0.0258 host-1 {text}{suppressed}a line of something else\n{{\"a\":1}}\n"),
    );
    assert_eq!(explanation.steps.len(), 1);
    assert_eq!(
        (explanation.unreadable_lines, explanation.suppressed_records),
        (2, 7)
    );
}

#[test]
fn every_record_that_a_host_writes_can_be_read() {
    let events = [
        Event::Started {
            callers: "a",
            failure_domain: "north",
            incarnation: 1,
        },
        Event::Stopping {
            phase: "draining",
            in_flight: 1,
            connections: 2,
        },
        Event::Reloaded,
    ];
    let explanation = from_text("mine", &log("host-1", &events));
    assert_eq!(explanation, Explanation::default());
}

#[test]
fn an_attempt_names_the_limit_of_its_instance_while_it_holds() {
    let rate_limit = |rate_per_s| Event::RateLimit {
        instance: "i-1",
        rate_per_s,
        source: "answer",
    };
    let text = log(
        "host-1",
        &[
            rate_limit(Some(2.5)),
            attempt("first", "answered"),
            rate_limit(None),
            attempt("second", "answered"),
        ],
    );
    let first = from_text("first", &text);
    let context = &first.steps[0].context;
    assert!(
        context[0].starts_with("i-1: limits itself to 2.5 requests a second"),
        "{context:?}"
    );
    assert!(from_text("second", &text).steps[0].context.is_empty());
}

#[test]
fn a_request_that_a_peer_takes_over_is_followed_to_the_peer() {
    let lost = Event::Dependency {
        name: "instances",
        state: "lost",
        cause: "several instances in a row take no connection",
    };
    let takeover = Event::Takeover {
        request: "moved",
        peer: "10.1.0.6:8407",
        outcome: "taken-over",
        took_ms: 12,
    };
    let permit = Event::PermitDenied {
        request: "moved",
        instance: "i-2",
        issuer: "10.1.0.7:8407",
        cause: "no-permit-left",
        reason: "rate-limit",
        rate_per_s: 2.0,
        retry_after_ms: 250,
    };
    let text = log("host-1", &[lost, takeover, answer("moved")])
        + &log("host-2", &[permit, attempt("moved", "answered")]);
    let explanation = from_text("moved", &text);
    let steps: Vec<(&str, &str)> = explanation
        .steps
        .iter()
        .map(|step| (step.host.as_str(), step.description.as_str()))
        .collect();
    assert!(steps.contains(&(
        "host-1",
        "passed on to 10.1.0.6:8407: taken-over after 12 ms"
    )));
    assert!(steps.contains(&(
        "host-2",
        "no permit for i-2 from 10.1.0.7:8407: no-permit-left, next request there in 250 ms"
    )));
    assert!(
        explanation.steps[0].context[0].starts_with("instances: lost"),
        "{:?}",
        explanation.steps[0].context
    );
}

/// Guards against a request that is slow or refused without its log telling that instances
/// were cold.
#[test]
fn an_instance_that_was_skipped_as_cold_is_named() {
    let cold = Event::ColdInstance {
        instance: "i-1",
        change: "cold",
        cause: "evacuation-ended",
        rate_per_s: 3.3,
        warm_in_ms: 2_000,
    };
    let permit = Event::PermitDenied {
        request: "first",
        instance: "i-1",
        issuer: "this host",
        cause: "no-permit-left",
        reason: "cold",
        rate_per_s: 3.3,
        retry_after_ms: 250,
    };
    let unplaced = Event::Unplaced {
        request: "first",
        service: "svc",
        exclusions: Exclusions {
            cold: 2,
            other_region: 1,
            ..Exclusions::default()
        },
    };
    let text = log(
        "host",
        &[cold, permit, unplaced, attempt("second", "answered")],
    );
    let steps = from_text("first", &text).steps;
    assert_eq!(
        steps[0].description,
        "skipped i-1 as cold (3.3 requests a second): no permit for i-1 from this host: \
         no-permit-left, next request there in 250 ms"
    );
    let unplaced = &steps[1].description;
    assert!(unplaced.contains("2 cold without a permit"), "{unplaced}");
    assert!(
        unplaced.contains("1 outside the home regions"),
        "{unplaced}"
    );
    let context = &from_text("second", &text).steps[0].context;
    assert!(
        context[0].starts_with("i-1: cold (evacuation-ended), 3.3 requests a second"),
        "{context:?}"
    );
}

/// Guards against decisions that operators cannot trace to their inputs.
#[test]
fn a_refusal_for_lack_of_room_names_what_it_was_decided_from() {
    let text = log(
        "host-1",
        &[
            Event::OverShare {
                request: "mine",
                service: "svc",
                workspace: "acme",
                used_slots: 30.0,
                share_slots: 4.5,
                share_age_ms: 60,
                capacity_slots: 110,
                measured_age_ms: 12,
                reachable_share: 0.98,
            },
            Event::QueueRefusal {
                request: "mine",
                service: "svc",
                level: "short",
                priority: 2,
                occupancy: Some(1.04),
                measured_age_ms: Some(15),
                waited_ms: 0,
                ahead: 7,
                served_per_s: 2.5,
                window_ms: 3_000,
                retry_after_ms: 800,
            },
            Event::Retry {
                request: "mine",
                service: "svc",
                outcome: "retry-worth-less",
                priority: 2,
                time_left_ms: 640,
                success_chance: 0.75,
                worth: 0.25,
                least_worth: 0.5,
                spent_part: 0.8,
                known_hosts: 33,
            },
        ],
    );
    let explanation = from_text("mine", &text);
    let [share, refusal, retry] = explanation.steps.as_slice() else {
        panic!("{explanation:?}");
    };
    for part in ["30 slots of 4.5", "60 ms before", "110 slots", "0.98"] {
        assert!(share.description.contains(part), "{part}: {share:?}");
    }
    for part in [
        "priority 2",
        "7 ahead",
        "2.5 served",
        "short",
        "1.04",
        "800 ms",
    ] {
        assert!(refusal.description.contains(part), "{part}: {refusal:?}");
    }
    for part in ["worth 0.25 of 0.5", "640 ms", "0.75", "0.8 of", "33 hosts"] {
        assert!(retry.description.contains(part), "{part}: {retry:?}");
    }
}

/// Guards against a request that was cut at a planned stop for a reason that nobody can find.
#[test]
fn a_request_that_a_stop_ended_tells_how_it_was_under_way() {
    for (status, outcome, tries, end) in [
        (503, "stopping", 0, "refused as the host was stopping"),
        (504, "stopping", 1, "under way as the last answers"),
        (
            0,
            "abandoned",
            1,
            "its connection ended first, it may have run",
        ),
        (0, "cut", 0, "the process ended first, no instance got it"),
    ] {
        let host = r#"{"unix_ms":1,"host":"host-1","event":"#;
        let text = format!(
            r#"{host}"stopping","phase":"draining","in_flight":5,"connections":9}}
{host}"request","request":"mine","route":"book","workspace":"","version":7,"status":{status},"outcome":"{outcome}","tries":{tries},"took_ms":4,"left_ms":9,"tokens":null,"phase":"closing","since_stop_ms":3100,"read_ms":640,"ahead":2}}"#
        );
        let step = from_text("mine", &text).steps.remove(0);
        let expected = format!(
            "; read 3100 ms after the stop began (closing); its bytes took 640 ms to arrive; \
             behind 2 unanswered on its connection; {end}"
        );
        assert!(step.description.contains(&expected), "{}", step.description);
        assert!(
            step.context[0].starts_with("planned stop: began"),
            "{step:?}"
        );
    }
}
