//! A TCP server that can refuse connections and listen again on the same port.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};
use waxwingusher_core::CancelToken;

const BACKLOG: i32 = 1024;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

type Handler = Arc<dyn Fn(TcpStream) + Send + Sync>;

/// Whether new connections are accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AcceptState {
    Accepting,
    Refusing,
    RefusingUntil(Instant),
}

#[derive(Debug)]
struct State {
    accept_state: AcceptState,
    is_listening: bool,
    next_connection_id: u64,
    streams: HashMap<u64, TcpStream>,
}

/// The state of a server that is shared with its connections.
#[derive(Debug)]
pub(crate) struct ServerControl {
    addr: SocketAddr,
    token: CancelToken,
    max_connections: usize,
    state: Mutex<State>,
    changed: Condvar,
    // Keeps the port bound while nothing listens on it.
    _reservation: Socket,
}

/// A running server with a thread for each connection.
#[derive(Debug)]
pub(crate) struct Server {
    control: Arc<ServerControl>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Listens on a free loopback port. The handler is called for each connection
    /// on a separate thread.
    pub(crate) fn start(
        parent: &CancelToken,
        max_connections: usize,
        make_handler: impl FnOnce(Arc<ServerControl>) -> Handler,
    ) -> io::Result<Self> {
        let reservation = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let addr = reservation
            .local_addr()?
            .as_socket()
            .ok_or(io::ErrorKind::AddrNotAvailable)?;
        let control = ServerControl::new(addr, parent.child(), max_connections, reservation);
        let control = Arc::new(control);
        let listener = listen(addr)?;
        let handler = make_handler(control.clone());
        let accept_control = control.clone();
        let thread = std::thread::Builder::new()
            .name("standin-accept".to_owned())
            .spawn(move || accept_loop(&accept_control, listener, &handler))?;
        let weak = Arc::downgrade(&control);
        control.token.on_cancel(move || {
            let Some(control) = weak.upgrade() else {
                return;
            };
            control.close_all();
            control.changed.notify_all();
            control.unblock_accept();
        });
        Ok(Self {
            control,
            thread: Some(thread),
        })
    }

    pub(crate) fn control(&self) -> &Arc<ServerControl> {
        &self.control
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.control.token.cancel();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.control.wait_for_connections();
    }
}

impl ServerControl {
    fn new(
        addr: SocketAddr,
        token: CancelToken,
        max_connections: usize,
        reservation: Socket,
    ) -> Self {
        let state = State {
            accept_state: AcceptState::Accepting,
            is_listening: true,
            next_connection_id: 0,
            streams: HashMap::new(),
        };
        Self {
            addr,
            token,
            max_connections,
            state: Mutex::new(state),
            changed: Condvar::new(),
            _reservation: reservation,
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(crate) fn token(&self) -> &CancelToken {
        &self.token
    }

    /// Refuses connections until [`Self::open`], and closes those that are open.
    pub(crate) fn refuse(&self) {
        self.stop_accepting(AcceptState::Refusing);
    }

    /// Refuses connections for a while, and closes those that are open.
    pub(crate) fn refuse_for(&self, down_time: Duration) {
        self.stop_accepting(AcceptState::RefusingUntil(Instant::now() + down_time));
    }

    /// Accepts connections again; returns when the port is listening.
    pub(crate) fn open(&self) {
        let mut state = self.lock();
        state.accept_state = AcceptState::Accepting;
        self.changed.notify_all();
        while !state.is_listening && !self.token.is_cancelled() {
            state = self.wait(state, POLL_INTERVAL);
        }
    }

    /// Closes all connections.
    pub(crate) fn close_all(&self) {
        for stream in self.lock().streams.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn connections(&self) -> usize {
        self.lock().streams.len()
    }

    fn stop_accepting(&self, accept_state: AcceptState) {
        let mut state = self.lock();
        state.accept_state = accept_state;
        drop(state);
        self.unblock_accept();
        state = self.lock();
        while state.is_listening
            && state.accept_state != AcceptState::Accepting
            && !self.token.is_cancelled()
        {
            state = self.wait(state, POLL_INTERVAL);
        }
        drop(state);
        self.close_all();
    }

    // Unblocks `accept` by connecting to the port.
    fn unblock_accept(&self) {
        let _ = TcpStream::connect(self.addr);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait<'a>(&self, state: MutexGuard<'a, State>, timeout: Duration) -> MutexGuard<'a, State> {
        self.changed
            .wait_timeout(state, timeout)
            .unwrap_or_else(PoisonError::into_inner)
            .0
    }

    fn wait_for_connections(&self) {
        let deadline = Instant::now() + STOP_TIMEOUT;
        let mut state = self.lock();
        while !state.streams.is_empty() && Instant::now() < deadline {
            state = self.wait(state, POLL_INTERVAL);
        }
    }

    // Returns false once the server stops.
    fn wait_until_accepting(&self) -> bool {
        let mut state = self.lock();
        state.is_listening = false;
        self.changed.notify_all();
        loop {
            if self.token.is_cancelled() {
                return false;
            }
            match state.accept_state {
                AcceptState::Accepting => return true,
                AcceptState::RefusingUntil(at) if at <= Instant::now() => {
                    state.accept_state = AcceptState::Accepting;
                    return true;
                }
                AcceptState::Refusing | AcceptState::RefusingUntil(_) => {}
            }
            state = self.wait(state, POLL_INTERVAL);
        }
    }

    fn is_accepting(&self) -> bool {
        self.lock().accept_state == AcceptState::Accepting && !self.token.is_cancelled()
    }

    fn register(&self, stream: &TcpStream) -> Option<u64> {
        let copy = stream.try_clone().ok()?;
        let mut state = self.lock();
        let is_refusing = state.accept_state != AcceptState::Accepting || self.token.is_cancelled();
        if is_refusing || state.streams.len() >= self.max_connections {
            return None;
        }
        state.next_connection_id += 1;
        let id = state.next_connection_id;
        state.streams.insert(id, copy);
        Some(id)
    }

    fn unregister(&self, id: u64) {
        self.lock().streams.remove(&id);
        self.changed.notify_all();
    }
}

fn accept_loop(control: &Arc<ServerControl>, first: TcpListener, handler: &Handler) {
    let mut listener = Some(first);
    loop {
        if let Some(current) = listener.take() {
            accept_connections(control, &current, handler);
        }
        if !control.wait_until_accepting() {
            return;
        }
        match listen(control.addr) {
            Ok(reopened) => {
                control.lock().is_listening = true;
                control.changed.notify_all();
                listener = Some(reopened);
            }
            Err(error) => {
                log::warn!("standins: cannot listen on {} again: {error}", control.addr);
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    }
}

fn accept_connections(control: &Arc<ServerControl>, listener: &TcpListener, handler: &Handler) {
    while control.is_accepting() {
        let Ok((stream, _)) = listener.accept() else {
            continue;
        };
        let Some(id) = control.register(&stream) else {
            continue;
        };
        let handler = handler.clone();
        let connection_control = control.clone();
        let spawned = std::thread::Builder::new()
            .name("standin-connection".to_owned())
            .spawn(move || {
                let _ = stream.set_nodelay(true);
                handler(stream);
                connection_control.unregister(id);
            });
        if spawned.is_err() {
            control.unregister(id);
        }
    }
}

fn bind(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    Ok(socket)
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = bind(addr)?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
