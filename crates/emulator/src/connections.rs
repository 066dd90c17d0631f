//! Compares connection modes to an upstream that closes idle connections:
//! pooled, pooled and checked, and fresh connections, in one run.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::fleet::EmulatorError;

const ROUNDS: usize = 400;
const THREADS: u64 = 8;
/// The maximum idle time of a connection at the upstream, in microseconds. A
/// caller pauses for up to a third of it.
const MAX_IDLE_US: u64 = 10_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MAX_RECORDED_US: u64 = 60_000_000;
const TIMEOUT: Duration = Duration::from_secs(10);
const REQUEST: &[u8] = b"POST /desk/echo HTTP/1.1\r\nhost: desk\r\ncontent-length: 0\r\n\r\n";
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// How a request gets its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionMode {
    /// The last connection is reused.
    Pooled,
    /// The last connection is reused if a non-blocking read shows that it is
    /// open.
    Checked,
    /// Each request opens a new connection.
    Fresh,
}

/// Counts and times of the requests of one mode.
#[derive(Debug, Clone)]
pub struct ModeCounts {
    /// The mode.
    pub mode: ConnectionMode,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests that were sent and got no answer: the outcome is unknown.
    pub unknown: u64,
    /// Times from the request to its answer, in microseconds.
    pub times_us: Histogram<u64>,
}

impl ModeCounts {
    fn new(mode: ConnectionMode) -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS);
        Self {
            mode,
            answered: 0,
            unknown: 0,
            // The bounds are constants that the library accepts.
            times_us: histogram.unwrap_or_else(|_| unreachable!("bounds are valid")),
        }
    }

    fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.unknown += other.unknown;
        // Both histograms have the same bounds, so adding cannot fail.
        let _ = self.times_us.add(&other.times_us);
    }
}

/// Runs all modes in turn and writes a table.
///
/// # Errors
///
/// Returns an error if the upstream cannot listen or the table cannot be
/// written.
pub fn run(out: &mut dyn Write, seed: u64) -> Result<(), EmulatorError> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let addr = listener.local_addr()?;
    // The upstream runs until the process ends.
    std::thread::spawn(move || accept(&listener, seed));
    let mut all = [
        ConnectionMode::Pooled,
        ConnectionMode::Checked,
        ConnectionMode::Fresh,
    ]
    .map(ModeCounts::new);
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|index| scope.spawn(move || call_in_turn(addr, seed ^ index << 32)))
            .collect();
        for thread in threads {
            let Ok(counts) = thread.join() else {
                log::error!("connections: A caller thread panicked.");
                continue;
            };
            for (total, count) in all.iter_mut().zip(&counts) {
                total.add(count);
            }
        }
    });
    for count in &all {
        writeln!(
            out,
            "{:<8} answered {}, unknown {}, p50 {} us, p99 {} us",
            format!("{:?}", count.mode),
            count.answered,
            count.unknown,
            count.times_us.value_at_quantile(0.5),
            count.times_us.value_at_quantile(0.99),
        )?;
    }
    Ok(())
}

fn accept(listener: &TcpListener, seed: u64) {
    for (number, stream) in listener.incoming().enumerate() {
        let Ok(stream) = stream else {
            continue;
        };
        let rng = fastrand::Rng::with_seed(seed.wrapping_add(number as u64));
        std::thread::spawn(move || answer_until_idle(stream, rng));
    }
}

/// Answers requests until none arrives within a random time.
fn answer_until_idle(mut stream: TcpStream, mut rng: fastrand::Rng) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut request = [0; REQUEST.len()];
    stream.set_read_timeout(Some(TIMEOUT))?;
    loop {
        stream.read_exact(&mut request)?;
        stream.write_all(ANSWER)?;
        let idle = Duration::from_micros(rng.u64(1..MAX_IDLE_US));
        stream.set_read_timeout(Some(idle))?;
    }
}

fn call_in_turn(addr: SocketAddr, seed: u64) -> [ModeCounts; 3] {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut counts = [
        ConnectionMode::Pooled,
        ConnectionMode::Checked,
        ConnectionMode::Fresh,
    ]
    .map(ModeCounts::new);
    let mut pools: [Option<TcpStream>; 3] = [None, None, None];
    for _ in 0..ROUNDS {
        for (count, pool) in counts.iter_mut().zip(&mut pools) {
            std::thread::sleep(Duration::from_micros(rng.u64(..MAX_IDLE_US / 3)));
            let started = Instant::now();
            let Ok(stream) = open_or_reuse(addr, count.mode, pool) else {
                continue;
            };
            match exchange(&stream) {
                Ok(()) => {
                    count.answered += 1;
                    let time_us = u64::try_from(started.elapsed().as_micros());
                    let time_us = time_us.unwrap_or(MAX_RECORDED_US).max(1);
                    count.times_us.saturating_record(time_us);
                    *pool = Some(stream);
                }
                Err(_) => count.unknown += 1,
            }
        }
    }
    counts
}

fn open_or_reuse(
    addr: SocketAddr,
    mode: ConnectionMode,
    pool: &mut Option<TcpStream>,
) -> io::Result<TcpStream> {
    let pooled = pool.take().filter(|stream| match mode {
        ConnectionMode::Pooled => true,
        ConnectionMode::Checked => is_open(stream).unwrap_or(false),
        ConnectionMode::Fresh => false,
    });
    if let Some(stream) = pooled {
        return Ok(stream);
    }
    let stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    Ok(stream)
}

fn is_open(mut stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let read = stream.read(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock))
}

fn exchange(mut stream: &TcpStream) -> io::Result<()> {
    stream.write_all(REQUEST)?;
    stream.read_exact(&mut [0; ANSWER.len()])
}
