//! Counters and timers of a host, sent to a StatsD address if there is one.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
};

/// The prefix of every metric.
const PREFIX: &str = "waxwingusher";

/// Sends metrics, or drops them if no address is set.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

/// Why metrics cannot be sent.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// No socket can be opened.
    #[error("cannot open a socket for metrics: {0}")]
    Socket(#[from] std::io::Error),
    /// The sink cannot be set up.
    #[error("cannot set up metrics: {0}")]
    Sink(#[from] cadence::MetricError),
}

impl Metrics {
    /// Creates a client that drops all metrics.
    #[must_use]
    pub fn disabled() -> Self {
        Self {
            client: StatsdClient::from_sink(PREFIX, NopMetricSink),
        }
    }

    /// Creates a client that sends metrics to a StatsD address.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be opened.
    pub fn to_statsd(addr: SocketAddr) -> Result<Self, MetricsError> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let buffered = BufferedUdpMetricSink::from(addr, socket)?;
        let queued = QueuingMetricSink::with_capacity(buffered, 4_096);
        Ok(Self {
            client: StatsdClient::from_sink(PREFIX, queued),
        })
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        // A lost metric must not fail the request.
        drop(self.client.count(name, 1));
    }

    /// Records how long something took.
    pub fn time(&self, name: &str, elapsed: Duration) {
        drop(self.client.time(name, elapsed));
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        drop(self.client.gauge(name, value));
    }
}
