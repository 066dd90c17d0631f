//! The stand-in of the configuration service, which serves values to read and
//! watch over HTTP.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use waxwingusher_core::{CancelToken, HostList};

use crate::error::StandinError;
use crate::http::{HttpRequest, HttpResponse, RequestReader};
use crate::server::{Server, ServerControl};

/// The largest value that the service accepts.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The key of the host list, whose value is JSON of [`HostList`].
pub const HOSTS_KEY: &str = "hosts";

/// The header with a value's revision.
pub const REVISION_HEADER: &str = "x-revision";

const VALUES_PREFIX: &str = "/v1/values/";
const MAX_CONNECTIONS: usize = 1_024;
const MAX_WAIT: Duration = Duration::from_secs(120);

/// Which values the service serves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ServiceMode {
    /// Serves the latest values.
    #[default]
    Current,
    /// Serves the values as they were when the mode was set.
    Stale,
    /// Closes all connections and refuses new ones.
    Unavailable,
}

/// Whether a published host list is served at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HostListLag {
    /// A new list is served at once.
    #[default]
    None,
    /// The last list is served until the lag is set to `None`.
    Held,
}

/// The number of calls that were answered or are in progress.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads that return at once.
    pub reads: u64,
    /// Watches, each counted once when it arrives.
    pub watches: u64,
}

impl CallCounts {
    /// Returns the number of calls of all kinds.
    #[must_use]
    pub fn total(self) -> u64 {
        self.reads + self.watches
    }
}

#[derive(Debug, Clone)]
struct Value {
    revision: u64,
    content: Arc<[u8]>,
}

type Values = BTreeMap<Arc<str>, Value>;

#[derive(Debug, Default)]
struct State {
    revision: u64,
    current: Values,
    stale_values: Option<Values>,
    mode: ServiceMode,
    host_list_lag: HostListLag,
    held_host_list: Option<Arc<[u8]>>,
    calls: CallCounts,
}

impl State {
    fn get(&self, key: &str) -> Option<&Value> {
        self.stale_values.as_ref().unwrap_or(&self.current).get(key)
    }

    fn put(&mut self, key: &str, content: Arc<[u8]>) -> u64 {
        self.revision += 1;
        let value = Value {
            revision: self.revision,
            content,
        };
        self.current.insert(Arc::from(key), value);
        self.revision
    }
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A stand-in for the platform's configuration service.
///
/// `GET /v1/values/<key>` answers 200 with the value and its revision, or 404.
/// With `?after=N&wait-ms=M` it waits until the revision is above `N`, and
/// answers 304 with the revision when the time runs out. Values cannot be
/// written over HTTP.
#[derive(Debug)]
pub struct ConfigService {
    shared: Arc<Shared>,
    server: Server,
}

impl ConfigService {
    /// Starts the service on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be opened or a thread cannot be started.
    pub fn start(token: &CancelToken) -> Result<Self, StandinError> {
        let shared = Arc::new(Shared::default());
        let served = shared.clone();
        let server = Server::start(token, MAX_CONNECTIONS, |control| {
            Arc::new(move |stream| serve_connection(&served, &control, stream))
        })?;
        let notified = shared.clone();
        server
            .control()
            .token()
            .on_cancel(move || notified.changed.notify_all());
        Ok(Self { shared, server })
    }

    /// Returns the address on which the service listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.control().addr()
    }

    /// Returns the base URL without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// Sets a value and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is larger than [`MAX_VALUE_BYTES`].
    pub fn put(&self, key: &str, content: &[u8]) -> Result<u64, StandinError> {
        if content.len() > MAX_VALUE_BYTES {
            return Err(StandinError::TooLarge {
                len_bytes: content.len(),
                limit_bytes: MAX_VALUE_BYTES,
            });
        }
        let revision = self.shared.lock().put(key, Arc::from(content));
        self.shared.changed.notify_all();
        Ok(revision)
    }

    /// Removes a value.
    pub fn remove(&self, key: &str) {
        self.shared.lock().current.remove(key);
    }

    /// Publishes a host list; with [`HostListLag::Held`] it is not served yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the list is too large.
    pub fn put_hosts(&self, list: &HostList) -> Result<(), StandinError> {
        let content = serde_json::to_vec(list)?;
        let mut state = self.shared.lock();
        if state.host_list_lag == HostListLag::Held {
            state.held_host_list = Some(Arc::from(content));
            return Ok(());
        }
        drop(state);
        self.put(HOSTS_KEY, &content)?;
        Ok(())
    }

    /// Sets whether the host list lags. Ending the lag serves the latest list.
    pub fn set_host_list_lag(&self, lag: HostListLag) {
        let mut state = self.shared.lock();
        state.host_list_lag = lag;
        if lag == HostListLag::Held {
            return;
        }
        if let Some(content) = state.held_host_list.take() {
            state.put(HOSTS_KEY, content);
            self.shared.changed.notify_all();
        }
    }

    /// Sets which values are served.
    pub fn set_mode(&self, mode: ServiceMode) {
        let mut state = self.shared.lock();
        state.mode = mode;
        match mode {
            ServiceMode::Current => state.stale_values = None,
            ServiceMode::Stale if state.stale_values.is_none() => {
                state.stale_values = Some(state.current.clone());
            }
            ServiceMode::Stale | ServiceMode::Unavailable => {}
        }
        drop(state);
        self.shared.changed.notify_all();
        match mode {
            ServiceMode::Unavailable => self.server.control().refuse(),
            ServiceMode::Current | ServiceMode::Stale => self.server.control().open(),
        }
    }

    /// Returns the number of calls since the start.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.shared.lock().calls
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self, key: &str) -> HttpResponse {
        let mut state = self.lock();
        state.calls.reads += 1;
        match state.get(key) {
            Some(value) => value_response(value),
            None => HttpResponse::new(404, Vec::new()),
        }
    }

    // Is interrupted if the service becomes unavailable or stops meanwhile.
    fn watch(&self, key: &str, after: u64, wait: Duration, control: &ServerControl) -> CallOutcome {
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        let mut state = self.lock();
        state.calls.watches += 1;
        loop {
            if state.mode == ServiceMode::Unavailable || control.token().is_cancelled() {
                return CallOutcome::Interrupted;
            }
            let value = state.get(key);
            if let Some(newer) = value.filter(|value| value.revision > after) {
                return CallOutcome::Answer(value_response(newer));
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return CallOutcome::Answer(
                    value.map_or(HttpResponse::new(404, Vec::new()), unchanged_response),
                );
            }
            state = self
                .changed
                .wait_timeout(state, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

enum CallOutcome {
    Answer(HttpResponse),
    Interrupted,
}

fn value_response(value: &Value) -> HttpResponse {
    HttpResponse::new(200, value.content.to_vec())
        .with_header(REVISION_HEADER, &value.revision.to_string())
}

fn unchanged_response(value: &Value) -> HttpResponse {
    HttpResponse::new(304, Vec::new()).with_header(REVISION_HEADER, &value.revision.to_string())
}

fn serve_connection(shared: &Shared, control: &ServerControl, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = RequestReader::new(stream);
    while let Ok(Some(request)) = reader.next_request() {
        let CallOutcome::Answer(response) = handle_request(shared, control, &request) else {
            return;
        };
        let (head, body) = response.encode(&request.method);
        let sent = crate::http::write_parts(&mut writer, &head, &body);
        if sent.is_err() || request.wants_close() {
            return;
        }
    }
}

fn handle_request(shared: &Shared, control: &ServerControl, request: &HttpRequest) -> CallOutcome {
    let Some(key) = request.path().strip_prefix(VALUES_PREFIX) else {
        return CallOutcome::Answer(HttpResponse::new(404, Vec::new()));
    };
    if request.method != "GET" {
        return CallOutcome::Answer(HttpResponse::new(405, Vec::new()));
    }
    let after = request.query("after").and_then(|text| text.parse().ok());
    let Some(after) = after else {
        return CallOutcome::Answer(shared.read(key));
    };
    let wait_ms = request.query("wait-ms").and_then(|text| text.parse().ok());
    let wait = Duration::from_millis(wait_ms.unwrap_or(0));
    shared.watch(key, after, wait, control)
}
