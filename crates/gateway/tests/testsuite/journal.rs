//! The log: bounded, and never blocking.

use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use waxwingusher_core::ManualClock;
use waxwingusher_gateway::journal::{Event, Journal};

fn request(id: &str, status: u16) -> Event<'_> {
    Event::Request {
        request: id,
        route: "read",
        workspace: "acme",
        version: 3,
        status,
        outcome: "answered",
        attempts: 1,
        took_ms: 12,
        left_ms: 900,
        tokens: None,
    }
}

fn drain(lines: &Receiver<String>) -> Vec<String> {
    lines.try_iter().collect()
}

#[test]
fn a_stalled_reader_blocks_nothing_and_lost_lines_are_counted() {
    let clock = ManualClock::new();
    let (journal, lines) = Journal::new("host", Arc::new(clock.clone()));
    for number in 0..5_000 {
        // Below the rate limit of the kind, so that only the ring limits.
        clock.advance(Duration::from_millis(10));
        journal.write(&request(&number.to_string(), 200));
    }
    let kept = drain(&lines).len();
    assert!(kept < 5_000, "the ring is bounded");
    journal.report_suppressed();
    let written = drain(&lines);
    assert_eq!(written.len(), 1);
    assert!(
        written[0].contains(&format!("\"ring_full\":{}", 5_000 - kept)),
        "{}",
        written[0]
    );
}

#[test]
fn suppressed_successes_do_not_suppress_failures() {
    let (journal, lines) = Journal::new("host", Arc::new(ManualClock::new()));
    for number in 0..1_000 {
        journal.write(&request(&number.to_string(), 200));
    }
    journal.write(&request("the-one", 503));
    let written = drain(&lines);
    assert!(written.len() < 1_000, "successes are capped");
    assert!(
        written
            .last()
            .is_some_and(|line| line.contains("\"request\":\"the-one\""))
    );
    journal.report_suppressed();
    let suppressed = drain(&lines);
    assert!(suppressed[0].contains(&format!("\"beyond_rate\":{}", 1_001 - written.len())));
}

#[test]
fn a_line_contains_the_fields_of_the_request() {
    let (journal, lines) = Journal::new("host", Arc::new(ManualClock::new()));
    journal.write(&request("9c41", 200));
    let line = &drain(&lines)[0];
    for part in [
        "\"host\":\"host\"",
        "\"event\":\"request\"",
        "\"request\":\"9c41\"",
        "\"version\":3",
        "\"tries\":1",
        "\"left_ms\":900",
    ] {
        assert!(line.contains(part), "{line}");
    }
}

/// Tools read these names, which differ from those of the fields in the code.
#[test]
fn renamed_fields_keep_their_names_in_the_log() {
    let (journal, lines) = Journal::new("host", Arc::new(ManualClock::new()));
    journal.write(&Event::Peers {
        reachable_hosts: 3,
        known_hosts: 4,
    });
    journal.write(&Event::Attempt {
        request: "9c41",
        number: 1,
        instance: "i-1",
        choice: "remote",
        risk: 0.25,
        load: 2,
        outcome_age_ms: Some(7),
        attempt_age_ms: Some(5),
        slowness: 1.25,
        outcome: "answered",
        took_ms: 3,
    });
    let lines = drain(&lines);
    assert!(lines[0].ends_with("\"event\":\"peers\",\"heard\":3,\"known\":4}"));
    assert!(lines[1].contains(
        "\"load\":2,\"word_age_ms\":7,\"attempt_age_ms\":5,\"slowness\":1.25,\"outcome\""
    ));
}
