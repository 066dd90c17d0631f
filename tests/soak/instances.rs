//! Instances that record the requests that they run.

use std::collections::{HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::slow_callers;

/// The users' rule on limits: from 3 s after it was first named, an instance gets no more
/// than one and a half times its rate and 5 requests in any 4 s.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_OVERSHOOT: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
const LIMIT_KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// The workspace of the callers that do not send slowly, the only one with a rate.
pub const WORKSPACE: &str = "acme";

/// The runs of all instances, and requests that should not have reached them.
#[derive(Debug, Default)]
pub struct RunRecords {
    /// Number of runs by `attempt-id`.
    pub runs: HashMap<String, u32>,
    /// When each run of [`WORKSPACE`] began.
    pub run_times: Vec<Instant>,
    /// All requests that were not answered with 421.
    pub arrivals: Vec<Arrival>,
    /// The requests whose answers instances broke off.
    pub broken_off: HashSet<String>,
    pub violations: Vec<String>,
}

/// A request at the instance that it names.
#[derive(Debug)]
pub struct Arrival {
    pub at: Instant,
    /// The `attempt-id`.
    pub request: String,
    /// The instance's id.
    pub instance: String,
    /// The instance's number.
    pub number: usize,
}

/// The rate that an instance names, and the requests that it got.
#[derive(Debug, Default)]
pub struct RateLimit {
    rate_per_s: Option<u32>,
    /// When it first named the rate in force.
    named_at: Option<Instant>,
    arrived_at: Vec<Instant>,
    /// The windows so far with more requests than were allowed.
    pub violations: Vec<String>,
}

impl RateLimit {
    /// Names another rate, or none, and checks the requests under the former one.
    pub fn set(&mut self, rate_per_s: Option<u32>) {
        self.check();
        *self = Self {
            rate_per_s,
            violations: std::mem::take(&mut self.violations),
            ..Self::default()
        };
    }

    /// Starts anew under another identity, with the same limit.
    pub fn restart(&mut self) {
        self.set(self.rate_per_s);
    }

    fn check(&mut self) {
        let (Some(rate_per_s), Some(named_at)) = (self.rate_per_s, self.named_at) else {
            return;
        };
        let allowed =
            f64::from(rate_per_s) * LIMIT_WINDOW.as_secs_f64() * LIMIT_OVERSHOOT + LIMIT_SLACK;
        let binding_from = named_at + LIMIT_KNOWN_WITHIN;
        let arrived = self.arrived_at.iter().copied();
        let binding: Vec<Instant> = arrived.filter(|at| *at >= binding_from).collect();
        let counts = binding.iter().map(|first| {
            let window = binding.iter();
            window
                .filter(|at| **at >= *first && **at - *first < LIMIT_WINDOW)
                .count()
        });
        let most = u32::try_from(counts.max().unwrap_or(0)).unwrap_or(u32::MAX);
        if f64::from(most) > allowed {
            self.violations.push(format!(
                "{most} requests within {LIMIT_WINDOW:?} at an instance that takes {rate_per_s}/s"
            ));
        }
    }

    /// Records a request and returns the header with the limit, if there is one.
    fn record_arrival(&mut self) -> String {
        let now = Instant::now();
        let Some(rate_per_s) = self.rate_per_s else {
            return String::new();
        };
        self.named_at.get_or_insert(now);
        self.arrived_at.push(now);
        format!("server-limit: {rate_per_s}\r\n")
    }
}

/// A running instance. Its id changes when it is replaced.
pub struct Instance {
    pub addr: SocketAddr,
    pub id: Arc<Mutex<String>>,
    pub limit: Arc<Mutex<RateLimit>>,
}

impl Instance {
    pub fn start(id: String, number: usize, records: &Arc<Mutex<RunRecords>>, seed: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let id = Arc::new(Mutex::new(id));
        let limit: Arc<Mutex<RateLimit>> = Arc::default();
        let (shared, records) = (id.clone(), records.clone());
        let shared_limit = limit.clone();
        std::thread::spawn(move || {
            let mut rng = fastrand::Rng::with_seed(seed);
            for stream in listener.incoming().flatten() {
                let (id, records, draw) = (shared.clone(), records.clone(), rng.u32(..100));
                let limit = shared_limit.clone();
                std::thread::spawn(move || serve(stream, (&id, number), &records, &limit, draw));
            }
        });
        Self { addr, id, limit }
    }
}

/// Serves the requests of one connection at an instance with an id and a number.
/// `draw`, 0 to 99, selects the answer to the first; later ones are answered normally.
fn serve(
    mut stream: TcpStream,
    (id, number): (&Mutex<String>, usize),
    records: &Mutex<RunRecords>,
    limit: &Mutex<RateLimit>,
    mut draw: u32,
) {
    while let Some(head) = read_head(&mut stream) {
        let limit = limit.lock().expect("not poisoned").record_arrival();
        let answer = run(&head, id, number, records, draw);
        let answer = insert_header(answer, &limit);
        std::thread::sleep(Duration::from_millis(u64::from(draw % 20)));
        if stream.write_all(&answer).is_err() || draw < 2 {
            return;
        }
        draw = 50;
    }
}

fn run(
    head: &str,
    id: &Mutex<String>,
    number: usize,
    records: &Mutex<RunRecords>,
    draw: u32,
) -> Vec<u8> {
    let field = |name: &str| {
        let start = format!("{name}: ");
        head.lines()
            .find_map(|line| line.strip_prefix(start.as_str()))
            .unwrap_or("")
    };
    let request = field("attempt-id");
    let own_id = id.lock().expect("not poisoned").clone();
    if field("expected-instance") != own_id {
        return answer(request, "421 Misdirected", "", "instance-id: other\r\n");
    }
    let mut records = records.lock().expect("not poisoned");
    records.arrivals.push(Arrival {
        at: Instant::now(),
        request: request.to_owned(),
        instance: own_id,
        number,
    });
    if (6..10).contains(&draw) {
        return answer(request, "503 Full", "", "not-executed: 1\r\n");
    }
    *records.runs.entry(request.to_owned()).or_default() += 1;
    let workspace = if request.starts_with(slow_callers::ID_PREFIX) {
        slow_callers::WORKSPACE
    } else {
        records.run_times.push(Instant::now());
        WORKSPACE
    };
    if !field("api-key").is_empty() {
        records
            .violations
            .push(format!("{request}: the API key reached an instance"));
    }
    if field("tenant-name") != workspace {
        records.violations.push(format!(
            "{request}: ran for workspace {:?}",
            field("tenant-name")
        ));
    }
    if draw == 0 {
        records.broken_off.insert(request.to_owned());
    }
    drop(records);
    let work_ms = field("work-ms").parse().unwrap_or(0);
    let time_ms = field("time-remaining").parse().unwrap_or(u64::MAX);
    std::thread::sleep(Duration::from_millis(work_ms.min(time_ms)));
    if work_ms > time_ms {
        return answer(request, "504 Time Limit", "", "");
    }
    match draw {
        // The connection closes in the middle of the answer.
        0 => {
            let mut whole = answer(request, "200 OK", request, "server-seal: s\r\n");
            whole.truncate(whole.len() / 2);
            whole
        }
        1 => Vec::new(),
        2..=4 => answer(request, "500 Failed", "", "server-seal: s\r\n"),
        5 => answer("another", "200 OK", "another", "server-seal: s\r\n"),
        _ => answer(request, "200 OK", request, "server-seal: s\r\n"),
    }
}

/// Inserts a header line behind the status line of an answer.
fn insert_header(answer: Vec<u8>, line: &str) -> Vec<u8> {
    let Some(end) = answer.windows(2).position(|bytes| bytes == b"\r\n") else {
        return answer;
    };
    let (status, rest) = answer.split_at(end + 2);
    [status, line.as_bytes(), rest].concat()
}

fn answer(request: &str, status: &str, body: &str, extra: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nattempt-id: {request}\r\n{extra}content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Reads a request with its body; returns the head in lower case.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.and_then(|text| text.parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(head)
}
