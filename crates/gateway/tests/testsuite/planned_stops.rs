//! The ways in which a request can be under way at a planned stop.

mod callers;
mod hosts;
mod series;

use std::time::{Duration, Instant};

use waxwingusher_gateway::Command;

use callers::{Case, Seen, perform, sleep_until};
use hosts::{ONE_INSTANCE, PEER_STOPS, Runs, Setup, reload, start_hosts, start_instance};

/// The time from the stop command until the process is killed.
const GRACE: Duration = Duration::from_secs(4);
/// The time before the stop in which connections and requests are begun.
const LEAD: Duration = Duration::from_millis(1_200);
/// How soon a request that cannot be served is refused.
const REFUSED_WITHIN: Duration = Duration::from_millis(200);
/// The delay of a thread that is normal on a busy machine.
const BUSY_DELAY: Duration = Duration::from_millis(300);
/// The run time of most requests; those of the last second do not end within the grace.
const RUN_TIME_MS: u64 = 800;
/// The run time of a request from before the stop that ends in the last second.
const LONG_RUN_TIME_MS: u64 = 3_500;
/// The run time of requests that precede others, and of those of a series.
const SHORT_RUN_TIME_MS: u64 = 300;
/// The time after which the first instance of a retried request refuses it or fails.
const FIRST_ATTEMPT_TIME: Duration = Duration::from_millis(2_400);
/// The run time at the second instance, and of a request that waits for a slot.
const SECOND_RUN_TIME_MS: u64 = 2_200;
/// More than a connection's buffers hold.
const LARGE_BODY_BYTES: usize = 9 * 1024 * 1024;
/// When the event loop of a busy host hangs, and for how long: until its listeners ought to
/// have closed.
const HANG_SHARE: f64 = 0.46;
const HANG_TIME: Duration = Duration::from_millis(200);
/// Setups that run at the same time; each has a thread for every request.
const SETUPS_AT_ONCE: usize = 6;
/// The share of the grace after which no attempt starts that may outlast it.
const LAST_START_SHARE: f64 = 0.65;

/// How a request is sent and its answer read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    NewConnection,
    /// The connection was opened shortly before, the request is its first.
    YoungConnection,
    IdleConnection,
    KeptConnection,
    /// Three requests at once.
    Pipelined,
    /// Behind a safe request that ends in the last second.
    BehindLongRequest,
    HeadInParts,
    BodyInParts,
    ChunkedInParts,
    Http10InParts,
    /// `Connection: close`.
    LastInParts,
    /// `Expect: 100-continue`, and the body at once.
    ExpectWithBody,
    /// `Expect: 100-continue`, and the body after the interim answer.
    ExpectThenBody,
    /// A large answer, which is read slowly.
    SlowReader,
    /// The same, while further requests are sent behind an answer that closes the connection.
    SlowReaderSends,
    /// Waits for a slot that is free in the last second.
    InQueue,
    /// The first instance refuses the request or fails.
    Refused,
    Failed,
    LongRequest,
}

/// What must become of a request. Whatever it is, none is cut.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Expected {
    Served,
    /// Served or refused.
    Answered,
    /// Or closed before it reaches an instance.
    NotCut,
}
use Expected::{Answered, NotCut, Served};

/// The name, the way, the methods, and what must become of requests that become whole at
/// some moments: shares of the grace, from the stop command on.
type Row = (&'static str, Way, Methods, Expectations);
/// GET is safe, PUT idempotent and POST neither.
type Methods = &'static [&'static str];
type Expectations = &'static [(Expected, &'static [f64])];

const ALL: Methods = &["GET", "PUT", "POST"];
const REPEATABLE: Methods = &["GET", "PUT"];
const BEFORE: &[f64] = &[-0.1];
const FITTING: &[f64] = &[-0.1, 0.1];
/// The listeners close at half of the grace.
const MIDDLE: &[f64] = &[0.4, 0.5, 0.6];
/// The last answers are due between the first and the second of these.
const LATE: &[f64] = &[0.85, 0.94, 0.96];
/// When requests are refused for the first time, as too little time is left.
const LAST_STARTS: &[f64] = &[0.3, 0.33, 0.36, 0.39, 0.42];
/// Within 20 ms of when the listeners close.
const CLOSING: &[f64] = &[
    0.495, 0.496, 0.497, 0.498, 0.4985, 0.499, 0.4993, 0.4996, 0.4998, 0.4999, 0.5, 0.5001, 0.5002,
    0.5004, 0.5007, 0.501, 0.5015, 0.502, 0.503, 0.504, 0.505,
];
/// While the event loop of a busy host hangs.
const QUEUED: &[f64] = &[0.47, 0.475, 0.48, 0.485];
const MAY_BE_REFUSED: Expectations = &[(Served, FITTING), (NotCut, MIDDLE), (NotCut, LATE)];
const READ_TO_THE_END: Expectations = &[(Served, FITTING), (Answered, MIDDLE), (Answered, LATE)];

/// Few rows share a host, as its own delays count as usual latency.
#[rustfmt::skip]
const TABLE: &[(Setup, &[Row])] = &[
    (ONE_INSTANCE, &[
        ("new", Way::NewConnection, ALL, MAY_BE_REFUSED),
        ("idle", Way::IdleConnection, ALL, MAY_BE_REFUSED),
        ("kept", Way::KeptConnection, ALL, MAY_BE_REFUSED),
    ]),
    (ONE_INSTANCE, &[
        ("pipelined", Way::Pipelined, REPEATABLE, MAY_BE_REFUSED),
        ("behind-long", Way::BehindLongRequest, REPEATABLE, &[(Served, BEFORE), (NotCut, MIDDLE), (NotCut, LATE)]),
        ("behind-long", Way::BehindLongRequest, &["POST"], &[(NotCut, BEFORE), (NotCut, MIDDLE), (NotCut, LATE)]),
    ]),
    (ONE_INSTANCE, &[
        ("head-in-parts", Way::HeadInParts, ALL, READ_TO_THE_END),
        ("body-in-parts", Way::BodyInParts, ALL, READ_TO_THE_END),
        ("chunked", Way::ChunkedInParts, ALL, READ_TO_THE_END),
    ]),
    (ONE_INSTANCE, &[
        ("http-1.0", Way::Http10InParts, ALL, READ_TO_THE_END),
        ("connection-close", Way::LastInParts, ALL, READ_TO_THE_END),
        ("expect-with-body", Way::ExpectWithBody, ALL, MAY_BE_REFUSED),
        ("expect-then-body", Way::ExpectThenBody, ALL, READ_TO_THE_END),
    ]),
    (ONE_INSTANCE, &[
        ("new-closing", Way::NewConnection, ALL, &[(NotCut, CLOSING)]),
        ("young", Way::YoungConnection, ALL, &[(Answered, CLOSING), (Answered, &[0.525, 0.53])]),
    ]),
    // A host holds few unfinished answers of this size.
    (ONE_INSTANCE, &[("slow-reader", Way::SlowReader, ALL, &[(Served, BEFORE)])]),
    (ONE_INSTANCE, &[("slow-reader", Way::SlowReader, ALL, &[(Served, &[0.1])])]),
    (ONE_INSTANCE, &[("slow-reader-sends", Way::SlowReaderSends, ALL, &[(Served, &[0.1])])]),
    // Nothing is under way when the listener closes.
    (Setup { ends_by: 0.65, ..ONE_INSTANCE }, &[
        ("quiet-new", Way::NewConnection, ALL, &[(Served, FITTING)]),
        ("quiet-kept", Way::KeptConnection, ALL, &[(Served, FITTING)]),
        ("quiet-idle", Way::IdleConnection, ALL, &[(NotCut, &[0.85])]),
    ]),
    (Setup { hangs: true, ..ONE_INSTANCE }, &[
        ("listener-queue", Way::NewConnection, ALL, &[(Answered, QUEUED)]),
    ]),
    (Setup { slots: 1, latency_target_ms: 8_000, ..ONE_INSTANCE }, &[
        ("fills-slot", Way::LongRequest, REPEATABLE, &[(Served, &[-0.133])]),
        ("in-queue", Way::InQueue, &["GET", "POST"], &[(NotCut, BEFORE)]),
    ]),
    (Setup { instances: 2, latency_target_ms: 4_000, ..ONE_INSTANCE }, &[
        ("refused", Way::Refused, ALL, &[(NotCut, BEFORE)]),
        ("failed", Way::Failed, ALL, &[(NotCut, BEFORE)]),
    ]),
    // A request from before the stop is overdue after two thirds of the grace.
    (Setup { instances: 2, latency_target_ms: 2_400, ..ONE_INSTANCE }, &[
        ("overdue", Way::LongRequest, REPEATABLE, &[(Served, BEFORE)]),
    ]),
    // The hosts ask each other for permits.
    (Setup { instances: 4, hosts: 2, has_rate_limit: true, ..ONE_INSTANCE }, &[
        ("permit", Way::NewConnection, ALL, &[(Served, FITTING), (NotCut, LAST_STARTS)]),
        ("permit-in-parts", Way::BodyInParts, ALL, &[(Answered, LAST_STARTS), (Answered, LATE)]),
    ]),
    (Setup { first_grace: Duration::from_secs(12), ..ONE_INSTANCE }, &[
        ("reloaded-new", Way::NewConnection, ALL, MAY_BE_REFUSED),
        ("reloaded-in-parts", Way::BodyInParts, ALL, READ_TO_THE_END),
    ]),
    (PEER_STOPS, &[
        ("peer-stops", Way::BodyInParts, ALL, &[(Served, BEFORE), (NotCut, &[0.1, 0.6]), (NotCut, LATE)]),
    ]),
    (Setup { hangs: true, ..PEER_STOPS }, &[
        ("only-peer-queue", Way::NewConnection, ALL, &[(Answered, QUEUED)]),
    ]),
    (Setup { hosts: 3, cut_off: Some(2), hangs: true, ..PEER_STOPS }, &[
        ("peer-queue", Way::NewConnection, ALL, &[(Answered, QUEUED)]),
    ]),
    (Setup { hosts: 3, cut_off: Some(2), ..PEER_STOPS }, &[
        ("peer-closes", Way::NewConnection, ALL, &[(Answered, CLOSING), (Answered, &[0.55, 0.6]), (Answered, LATE)]),
    ]),
    (Setup { cut_off: Some(0), ..PEER_STOPS }, &[
        ("cut-off-host-stops", Way::BodyInParts, ALL, READ_TO_THE_END),
    ]),
];

/// Checks what a caller saw of a request. `refused_by` is when it must have been refused.
fn fault(
    seen: &Seen,
    runs: &Runs,
    stop_at: Instant,
    refused_by: Option<Instant>,
    closes: bool,
) -> Option<String> {
    let (reply, starts) = (&seen.reply, runs.of(&seen.id));
    let has_proof = reply.status != 0 && reply.header("proof").is_some();
    let is_late = refused_by.is_some_and(|by| seen.ended_at > by + BUSY_DELAY);
    let fault = match reply.status {
        _ if starts.len() > 1 && seen.method == "POST" => "runs several times",
        _ if !starts.is_empty() && !has_proof => "runs and is cut",
        0 | 503 if is_late => "refused too late",
        503 if reply.header("retry-after").is_none() => "no retry-after",
        503 if closes && reply.header("connection") != Some("close") => "not closed",
        0 | 200 | 503 => return None,
        500 if has_proof => return None,
        _ => "not an answer of a stop",
    };
    let since_stop = |at: &Instant| at.saturating_duration_since(stop_at);
    let (starts, ended_at) = (starts.iter().map(since_stop), since_stop(&seen.ended_at));
    let (id, starts, head) = (&seen.id, starts.collect::<Vec<_>>(), &reply.head);
    Some(format!(
        "{id}: {fault}: runs from {starts:?} on, ended at {ended_at:?}: {head}"
    ))
}

/// Checks what the caller of a case saw of its requests.
fn case_faults(case: &Case, all_seen: &[Seen], runs: &Runs, stop_at: Instant) -> Vec<String> {
    let mut faults = Vec::new();
    // Behind another request, only those from before the stop are read.
    let expected_count = if case.moment < 0.0 { all_seen.len() } else { 1 };
    let is_expected = |seen: &&Seen| match case.expected {
        Served => seen.reply.status == 200,
        Answered => matches!(seen.reply.status, 200 | 503),
        NotCut => true,
    };
    let count = all_seen.iter().take_while(is_expected).count();
    if case.expected != NotCut && count < expected_count.max(1) {
        let status = all_seen.first().map(|seen| seen.reply.status);
        faults.push(format!("{}: first status {status:?}", case.id(0)));
    }
    let closes = case.setup.is_callers_host_stopping();
    let mut former_ended_at = None;
    for seen in all_seen {
        let begins_at = seen.whole_at.max(former_ended_at);
        // The end of a connection may be noticed late behind another request.
        let is_unread = former_ended_at.is_some() && seen.reply.status == 0;
        let refused_by = begins_at.filter(|_| !is_unread);
        let refused_by = refused_by.map(|at| at + case.held_for() + REFUSED_WITHIN);
        faults.extend(fault(seen, runs, stop_at, refused_by, closes));
        former_ended_at = Some(seen.ended_at);
    }
    if case.way == Way::SlowReaderSends {
        if all_seen[0].reply.header("connection") != Some("close") {
            faults.push(format!("{}: not closed", case.id(0)));
        }
        if !runs.of(&case.id_behind()).is_empty() {
            faults.push(format!("{}: runs", case.id_behind()));
        }
    }
    faults
}

fn pairs<'a, A: Copy, B: Copy>(a: &'a [A], b: &'a [B]) -> impl Iterator<Item = (A, B)> + 'a {
    a.iter().flat_map(move |a| b.iter().map(move |b| (*a, *b)))
}

/// Runs the rows of a setup on hosts of their own and returns what failed.
fn run_setup(setup: &'static Setup, rows: &[Row]) -> Vec<String> {
    let runs = Runs::default();
    let instances = (0..setup.instances).map(|_| start_instance(&runs, setup.has_rate_limit));
    let (addr, mut hosts, hang_at) = start_hosts(setup, &instances.collect::<Vec<_>>());
    let stop_at = Instant::now() + LEAD;
    let set = hang_at.set(stop_at + GRACE.mul_f64(HANG_SHARE));
    set.expect("not set before");
    let mut callers = Vec::new();
    for &(name, way, methods, expectations) in rows {
        for &(expected, moments) in expectations {
            for (moment, method) in pairs(moments, methods) {
                #[rustfmt::skip]
                let case = Case { setup, name, way, method, moment, expected };
                let call = move || (case, perform(&case, addr, stop_at));
                callers.push(std::thread::spawn(call));
            }
        }
    }
    let stopping = hosts.remove(0);
    if setup.first_grace != GRACE {
        reload(&stopping, &[], GRACE);
    }
    sleep_until(stop_at);
    stopping.commands.send(Command::Stop).expect("it runs");
    let stopped_at = Instant::now();
    stopping.thread.join().expect("the host stops");
    let took = stopped_at.elapsed();
    let mut faults = Vec::new();
    if took > GRACE.mul_f64(setup.ends_by) + BUSY_DELAY {
        faults.push(format!("{}: the host ends after {took:?}", rows[0].0));
    }
    for caller in callers {
        let (case, all_seen) = caller.join().expect("the caller ends");
        faults.extend(case_faults(&case, &all_seen, &runs, stopped_at));
    }
    if setup.is_callers_host_stopping() {
        let late = runs.after(stopped_at + GRACE.mul_f64(LAST_START_SHARE));
        faults.extend(late.iter().map(|id| format!("{id}: starts too late")));
    }
    faults
}

/// Guards against requests that a planned stop cuts, starts too late or refuses although they
/// fit, and against a stop that takes too long.
#[test]
fn a_planned_stop_serves_what_fits_and_cuts_nothing() {
    let mut faults = series::run_series();
    for setups in TABLE.chunks(SETUPS_AT_ONCE) {
        let threads = setups.iter();
        let threads = threads.map(|(setup, rows)| std::thread::spawn(|| run_setup(setup, rows)));
        for thread in threads.collect::<Vec<_>>() {
            faults.extend(thread.join().expect("the setup runs"));
        }
    }
    assert!(
        faults.is_empty(),
        "{}:\n{}",
        faults.len(),
        faults.join("\n")
    );
}
