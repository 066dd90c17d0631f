//! The UDP socket over which hosts exchange datagrams.

mod addresses;
mod counters;
mod token_bucket;

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use waxwingusher_core::{CancelToken, Clock, HostId, HostList};

use crate::codec::{self, Decoder, EncodeError, Encoder, MAX_DATAGRAM_BYTES, UDP_OVERHEAD_BYTES};
use crate::message::{Envelope, Message, MessageKind};
use crate::secret::FleetSecret;
use addresses::Addresses;
use counters::SharedCounters;

pub use counters::{DropCause, SocketCounters, Traffic};
pub use token_bucket::{Admission, ByteTokenBucket};

const DEFAULT_RECEIVE_QUEUE_DATAGRAMS: usize = 4_096;
const DEFAULT_BYTES_PER_S: u32 = 3 * 1_024;
const DEFAULT_BURST_BYTES: u32 = 64 * 1_024;
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);
const RECEIVE_ERROR_DELAY: Duration = Duration::from_millis(10);

/// The settings of a peer socket.
#[derive(Debug, Clone)]
pub struct SocketSettings {
    /// This host's name.
    pub self_id: HostId,
    /// The random number that identifies this process.
    pub incarnation: u64,
    /// The address to listen on; port 0 takes a free one.
    pub listen_addr: SocketAddr,
    /// The secret of the fleet.
    pub secret: FleetSecret,
    /// The capacity of the receive queue; datagrams beyond it are dropped.
    pub receive_queue_datagrams: usize,
    /// The sustained rate limit on sent bytes.
    pub bytes_per_s: u32,
    /// The burst above the rate limit, in bytes.
    pub burst_bytes: u32,
}

impl SocketSettings {
    /// Creates settings with the default limits.
    #[must_use]
    pub fn new(
        self_id: HostId,
        incarnation: u64,
        listen_addr: SocketAddr,
        secret: FleetSecret,
    ) -> Self {
        Self {
            self_id,
            incarnation,
            listen_addr,
            secret,
            receive_queue_datagrams: DEFAULT_RECEIVE_QUEUE_DATAGRAMS,
            bytes_per_s: DEFAULT_BYTES_PER_S,
            burst_bytes: DEFAULT_BURST_BYTES,
        }
    }
}

/// Why a message was not sent.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The host list does not contain the receiver, and no datagram of it was
    /// received.
    #[error("the address of host {0} is unknown")]
    UnknownHost(HostId),
    /// The rate limit on sent bytes is reached.
    #[error("the rate limit on bytes sent to peers is reached")]
    RateCap,
    /// The message cannot be encoded.
    #[error(transparent)]
    Encode(#[from] EncodeError),
    /// The operating system returned an error.
    #[error("cannot send the datagram: {0}")]
    Io(#[from] io::Error),
}

impl SendError {
    fn drop_cause(&self) -> DropCause {
        match self {
            Self::UnknownHost(_) => DropCause::UnknownHost,
            Self::RateCap => DropCause::RateCap,
            Self::Encode(_) => DropCause::TooLarge,
            Self::Io(_) => DropCause::SendFailed,
        }
    }
}

struct SendState {
    encoder: Encoder,
    bucket: ByteTokenBucket,
}

struct Shared {
    socket: UdpSocket,
    send_state: Mutex<SendState>,
    addresses: Mutex<Addresses>,
    counters: SharedCounters,
    token: CancelToken,
}

/// The socket for datagrams, with a thread that receives them.
///
/// It stops when it is dropped or its token is cancelled.
pub struct PeerSocket {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl PeerSocket {
    /// Opens the socket, and returns it with the queue of received messages.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the thread cannot be
    /// started.
    pub fn open(
        settings: &SocketSettings,
        clock: Arc<dyn Clock>,
        token: &CancelToken,
    ) -> io::Result<(Self, Receiver<Envelope>)> {
        let socket = UdpSocket::bind(settings.listen_addr)?;
        socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
        let (encoder, decoder) =
            codec::pair(&settings.self_id, settings.incarnation, &settings.secret);
        let bucket = ByteTokenBucket::new(clock, settings.bytes_per_s, settings.burst_bytes);
        let shared = Arc::new(Shared {
            socket,
            send_state: Mutex::new(SendState { encoder, bucket }),
            addresses: Mutex::new(Addresses::default()),
            counters: SharedCounters::default(),
            token: token.child(),
        });
        let (queue, received) = sync_channel(settings.receive_queue_datagrams);
        let receiver = shared.clone();
        let thread = std::thread::Builder::new()
            .name("peer-receive".to_owned())
            .spawn(move || receiver.receive_loop(decoder, &queue))?;
        let socket = Self {
            shared,
            thread: Some(thread),
        };
        Ok((socket, received))
    }

    /// Returns the address that the socket listens on.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not provide the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.shared.socket.local_addr()
    }

    /// Replaces the addresses of listed hosts by those of a new list.
    pub fn set_hosts(&self, list: &HostList) {
        let mut addresses = lock(&self.shared.addresses);
        addresses.set_listed(list);
    }

    /// Returns the address of a host, if it is known.
    #[must_use]
    pub fn address_of(&self, host: &HostId) -> Option<SocketAddr> {
        lock(&self.shared.addresses).get(host)
    }

    /// Sends a message once; delivery is not guaranteed.
    ///
    /// # Errors
    ///
    /// Returns why nothing was sent. The cause is counted as well.
    pub fn send(&self, to: &HostId, message: &Message) -> Result<(), SendError> {
        let sent = self.shared.send(to, message);
        match &sent {
            Ok(len_bytes) => self.shared.counters.record_sent(message.kind(), *len_bytes),
            Err(error) => self.shared.counters.record_dropped(error.drop_cause()),
        }
        sent.map(|_| ())
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counters(&self) -> SocketCounters {
        self.shared.counters.snapshot()
    }

    /// Returns the bytes sent for one kind of message since the start.
    #[must_use]
    pub fn sent_bytes(&self, kind: MessageKind) -> u64 {
        self.counters().sent(kind).bytes
    }
}

impl Drop for PeerSocket {
    fn drop(&mut self) {
        self.shared.token.cancel();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Shared {
    // Returns the length on the wire.
    fn send(&self, to: &HostId, message: &Message) -> Result<usize, SendError> {
        let addr = lock(&self.addresses).get(to);
        let addr = addr.ok_or_else(|| SendError::UnknownHost(to.clone()))?;
        let mut send_state = lock(&self.send_state);
        let datagram = send_state.encoder.encode(to, message)?;
        let len_bytes = datagram.len() + UDP_OVERHEAD_BYTES;
        if send_state.bucket.try_take(message.kind(), len_bytes) == Admission::RateLimited {
            return Err(SendError::RateCap);
        }
        drop(send_state);
        self.socket.send_to(&datagram, addr)?;
        Ok(len_bytes)
    }

    fn receive_loop(&self, mut decoder: Decoder, queue: &SyncSender<Envelope>) {
        // The extra byte lets the decoder detect a datagram that is too large.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        while !self.token.is_cancelled() {
            let (len_bytes, addr) = match self.socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(error) => {
                    delay_after_error(&error);
                    continue;
                }
            };
            match decoder.decode(&buffer[..len_bytes]) {
                Ok(envelope) => self.deliver(envelope, len_bytes, addr, queue),
                Err(cause) => self.counters.record_dropped(DropCause::Decode(cause)),
            }
        }
    }

    fn deliver(
        &self,
        envelope: Envelope,
        len_bytes: usize,
        addr: SocketAddr,
        queue: &SyncSender<Envelope>,
    ) {
        lock(&self.addresses).learn(&envelope.from, addr);
        let kind = envelope.message.kind();
        let wire_bytes = len_bytes + UDP_OVERHEAD_BYTES;
        // Counted before the message can be taken from the queue, so that its reader
        // finds it counted.
        self.counters.record_received(kind, wire_bytes);
        match queue.try_send(envelope) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.counters.revoke_received(kind, wire_bytes);
                self.counters.record_dropped(DropCause::RingFull);
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn delay_after_error(error: &io::Error) {
    let is_timeout = matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    );
    if is_timeout {
        return;
    }
    log::debug!("peers: cannot receive a datagram: {error}");
    std::thread::sleep(RECEIVE_ERROR_DELAY);
}
