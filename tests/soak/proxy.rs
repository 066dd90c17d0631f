//! A TCP proxy on the loopback interface that injects faults into connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;

/// The delay of each chunk in the state `Delayed`.
const DELAY: Duration = Duration::from_millis(150);
/// How often a blocked connection checks for another state.
const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How the proxy treats connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathState {
    Open,
    /// Each chunk is delayed.
    Delayed,
    /// Connections are reset.
    Reset,
    /// Data from the host is held back.
    CutForward,
    /// Data to the host is held back.
    CutBackward,
    /// Data is held back in both directions.
    Silent,
}

/// A proxy to one target address.
pub struct Proxy {
    pub addr: SocketAddr,
    state: Arc<Mutex<PathState>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(PathState::Open));
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connect(&stream, target, &shared);
            }
        });
        Self { addr, state }
    }

    pub fn set(&self, state: PathState) {
        *self.state.lock().expect("not poisoned") = state;
    }
}

fn connect(host_side: &TcpStream, target: SocketAddr, state: &Arc<Mutex<PathState>>) {
    let Ok(target_side) = TcpStream::connect(target) else {
        return;
    };
    for (from, to, is_forward) in [
        (host_side, &target_side, true),
        (&target_side, host_side, false),
    ] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let state = state.clone();
        std::thread::spawn(move || copy(from, to, is_forward, &state));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, is_forward: bool, state: &Mutex<PathState>) {
    let mut chunk = [0; 4_096];
    let current = || *state.lock().expect("not poisoned");
    loop {
        let length = match from.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        loop {
            match current() {
                PathState::Open => break,
                PathState::Delayed => {
                    std::thread::sleep(DELAY);
                    break;
                }
                PathState::Reset => {
                    reset(&from);
                    reset(&to);
                    return;
                }
                PathState::CutForward if !is_forward => break,
                PathState::CutBackward if is_forward => break,
                _ => std::thread::sleep(STATE_CHECK_INTERVAL),
            }
        }
        if to.write_all(&chunk[..length]).is_err() {
            break;
        }
    }
    // Errors are ignored: either side may already be closed.
    let _ = to.shutdown(std::net::Shutdown::Write);
}

/// Closes a connection with a reset.
fn reset(stream: &TcpStream) {
    // Errors are ignored: the connection may already be closed.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
