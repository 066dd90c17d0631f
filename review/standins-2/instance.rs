//! Instances of one service, which answer every request at once.

use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net;

/// The time of a run.
const WORK_TIME: Duration = Duration::from_millis(2);
/// The milliseconds of the Unix time of the instances' starts.
const BORN_MS: u64 = 1_780_000_000_000;

/// A request that an instance has run.
#[derive(Clone)]
pub struct Run {
    pub instance: String,
    pub request: String,
    pub arrived_at: Instant,
}

/// The requests that all instances have run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// An instance.
pub struct Instance {
    pub id: String,
    addr: SocketAddr,
}

impl Instance {
    /// Starts an instance; it runs until the process ends.
    pub fn start(id: &str, runs: &Runs) -> io::Result<Self> {
        let (listener, addr) = net::listen()?;
        let (server_id, runs) = (id.to_owned(), runs.clone());
        thread::spawn(move || accept(&server_id, &runs, &listener));
        Ok(Self {
            id: id.to_owned(),
            addr,
        })
    }

    /// Returns the key of its entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns its entry in the store.
    pub fn entry(&self) -> String {
        format!(
            r#"{{"address":"{}","born":{BORN_MS},"information":{{"service":"svc","version":"v1","zone":"zone-a","slots":6}},"status":{{"state":"ready","sequence":1,"cold-remaining-ms":0}}}}"#,
            self.addr
        )
    }
}

fn accept(id: &str, runs: &Runs, listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        let (id, runs) = (id.to_owned(), runs.clone());
        thread::spawn(move || serve(&id, &runs, stream));
    }
}

fn serve(id: &str, runs: &Runs, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = net::read_message(&mut reader) {
        let arrived_at = Instant::now();
        let attempt = request.header("Attempt-Id").to_owned();
        if request.target() == "/health" {
            let headers = [("Instance-Id", id)];
            if net::write_answer(reader.get_mut(), "200 OK", &headers, "").is_err() {
                return;
            }
            continue;
        }
        let expected = request.header("Expected-Instance");
        if !expected.is_empty() && expected != id {
            let headers = [("Instance-Id", id)];
            let status = "421 Misdirected Request";
            if net::write_answer(reader.get_mut(), status, &headers, "").is_err() {
                return;
            }
            continue;
        }
        runs.lock().unwrap().push(Run {
            instance: id.to_owned(),
            request: attempt.clone(),
            arrived_at,
        });
        thread::sleep(WORK_TIME);
        let headers = [("Attempt-Id", attempt.as_str()), ("Server-Seal", "seal")];
        if net::write_answer(reader.get_mut(), "200 OK", &headers, "done").is_err() {
            return;
        }
    }
}
