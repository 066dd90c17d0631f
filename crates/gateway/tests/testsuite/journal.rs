//! The log: bounded, and never blocking.

use std::io::Write;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use waxwingusher_core::ManualClock;
use waxwingusher_gateway::Command;
use waxwingusher_gateway::journal::{Arrival, Event, Journal};

use crate::harness::{self, Instance, TestHost, answer_with_proof};

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
        arrival: Arrival::default(),
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
    journal.write(&request("refused", 503));
    journal.write(&request("cut", 0));
    let written = drain(&lines);
    assert!(written.len() < 1_000, "successes are capped");
    let last = &written[written.len() - 2..];
    assert!(last[0].contains("\"request\":\"refused\""), "{last:?}");
    assert!(last[1].contains("\"request\":\"cut\""), "{last:?}");
    drop(journal);
    let suppressed = drain(&lines);
    assert!(suppressed[0].contains(&format!("\"beyond_rate\":{}", 1_002 - written.len())));
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
        entry_age_ms: 900,
        feed_age_ms: Some(40),
        outcome: "answered",
        took_ms: 3,
    });
    let lines = drain(&lines);
    assert!(lines[0].ends_with("\"event\":\"peers\",\"heard\":3,\"known\":4}"));
    assert!(lines[1].contains(
        "\"load\":2,\"word_age_ms\":7,\"attempt_age_ms\":5,\"slowness\":1.25,\"outcome\""
    ));
}

/// Guards against a request that ends without an answer and leaves no trace in the log.
#[test]
fn each_request_that_was_read_has_one_line_that_tells_how_it_was_under_way() {
    const ABANDONED: &str = "waxwingusher_requests_total{route=\"read\",outcome=\"abandoned\"} 1";
    let hanging = Instance::start(Arc::new(|request, _| {
        std::thread::sleep(Duration::from_secs(5));
        answer_with_proof(request, "200 OK", "late")
    }));
    let (host, log) = TestHost::start_logged(&[&hanging], Duration::from_secs(2));
    let send = |text: &str| {
        let mut stream = host.connect();
        let sent = stream.write_all(text.as_bytes());
        sent.map(|()| stream).expect("the host reads")
    };
    let gone = send(&harness::request("GET", "/read/1", "gone", ""));
    let first = harness::request("GET", "/read/1", "first", "");
    let _pipelined = send(&(first + &harness::request("POST", "/book/1", "second", "x")));
    while hanging.request_count() < 2 {
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(gone);
    let dropped_at = Instant::now();
    while !host.get_status("/metrics").1.contains(ABANDONED) {
        assert!(dropped_at.elapsed() < Duration::from_secs(3), "not counted");
        std::thread::sleep(Duration::from_millis(5));
    }
    let slow = harness::request("GET", "/read/1", "slow", "");
    let (start, rest) = slow.split_at(20);
    let mut slow = send(start);
    std::thread::sleep(Duration::from_millis(300));
    host.commands.send(Command::Stop).expect("the host runs");
    while host.get_status("/ready").0 == 200 {
        std::thread::sleep(Duration::from_millis(5));
    }
    slow.write_all(rest.as_bytes()).expect("the host reads");
    host.thread.join().expect("the host stops");

    let lines = log.lines("request");
    let line = |id: &str| {
        let mut found = lines.iter().filter(|line| line["request"] == id);
        let line = found.next().expect("a line");
        assert_eq!(found.next(), None, "one line");
        line
    };
    let gone = line("gone");
    assert_eq!(
        (&gone["outcome"], &gone["status"]),
        (&"abandoned".into(), &0.into())
    );
    assert_eq!((&gone["tries"], gone.get("phase")), (&1.into(), None));
    let slow = line("slow");
    assert_eq!(slow["phase"], "draining");
    assert!(
        slow["since_stop_ms"].as_u64().is_some_and(|ms| ms < 1_000),
        "{slow}"
    );
    assert!(slow["read_ms"].as_u64() > Some(100), "{slow}");
    let second = line("second");
    assert_eq!((&second["ahead"], &second["tries"]), (&1.into(), &0.into()));
    assert_eq!(line("first").get("ahead"), None);
    // Under way as the last answers are due, and not passed on.
    for (id, status, tries) in [("first", 504, 1), ("second", 503, 0), ("slow", 504, 1)] {
        let line = line(id);
        assert_eq!(line["outcome"], "stopping", "{line}");
        assert_eq!(
            (&line["status"], &line["tries"]),
            (&status.into(), &tries.into())
        );
    }
    let stopping = log.lines("stopping");
    let stopped = stopping.last().expect("a line");
    assert_eq!(stopped["phase"], "stopped");
    assert_eq!(
        (&stopped["in_flight"], &stopped["connections"]),
        (&0.into(), &2.into())
    );
}
