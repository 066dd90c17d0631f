//! What may begin during a graceful shutdown, and how what is under way ends.

use std::io::{Read, Write};
use std::sync::mpsc::sync_channel;
use std::time::{Duration, Instant};

use waxwingusher_edge::{DrainPlan, EdgeSettings};

use crate::harness::{connect, start_edge};

#[test]
fn work_begins_only_if_it_ends_before_the_last_answers_are_due() {
    let settings = EdgeSettings::default();
    let begins_at = Instant::now();
    let plan = DrainPlan::new(begins_at, &settings);
    let at = |after_ms| begins_at + Duration::from_millis(after_ms);
    // The drain takes 33 s, and the last answers are due after 32.7 s.
    assert_eq!(plan.last_answers_at(), at(32_700));
    let cases = [
        (0, 32_700, None, true),
        (32_000, 32_700, None, true),
        (0, 32_701, None, false),
        (0, 60_000, Some(16_350), true),
        (0, 60_000, Some(16_351), false),
        (3_000, 60_000, Some(9_900), true),
        (3_000, 60_000, Some(9_901), false),
        (21_700, 60_000, Some(1), true),
        (21_701, 60_000, Some(1), false),
        (33_000, 60_000, Some(0), false),
    ];
    for case in cases {
        let (now_ms, deadline_ms, usual_ms, expected) = case;
        let usual_duration = usual_ms.map(Duration::from_millis);
        let may_start = plan.may_start(at(now_ms), at(deadline_ms), usual_duration);
        assert_eq!(may_start, expected, "{case:?}");
    }
}

#[test]
fn the_edge_answers_before_the_end_what_no_worker_has_answered() {
    let settings = EdgeSettings {
        drain_notice: Duration::from_millis(10),
        drain_timeout: Duration::from_secs(1),
        ..EdgeSettings::default()
    };
    let cases = [
        ("whole", "HTTP/1.1 504", "x-waxwingusher-outcome: unknown"),
        ("par", "HTTP/1.1 503", "x-waxwingusher-outcome: not-run"),
    ];
    for (body, status, outcome) in cases {
        let (exchange_sender, exchanges) = sync_channel(1);
        let (edge, _worker) = start_edge(settings.clone(), move |exchange| {
            exchange_sender.send(exchange).expect("the test keeps it");
        });
        let mut stream = connect(edge.local_addr());
        let request = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n{body}");
        stream.write_all(request.as_bytes()).expect("it is sent");
        let unanswered = (body.len() == 5).then(|| exchanges.recv().expect("it arrives"));
        edge.shut_down();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        assert!(answer.starts_with(status), "{answer}");
        assert!(answer.contains(outcome), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        let was_cancelled = unanswered.is_none_or(|left| left.request.cancel.is_cancelled());
        assert!(was_cancelled);
    }
}
