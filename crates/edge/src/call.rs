//! Control of one call to an upstream: whether a byte was sent, the last check
//! before the first byte, and cancellation.

use std::cell::RefCell;
use std::fmt;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

type PreSendCheck = Box<dyn Fn() -> bool + Send + Sync>;

thread_local! {
    static CURRENT: RefCell<Option<Arc<CallControl>>> = const { RefCell::new(None) };
}

/// Tracks one call from before its first byte to the end of its answer.
pub struct CallControl {
    may_send: PreSendCheck,
    was_sent: AtomicBool,
    is_send_refused: AtomicBool,
    connection: Mutex<Connection>,
}

#[derive(Default)]
struct Connection {
    stream: Option<Arc<TcpStream>>,
    is_cancelled: bool,
    is_finished: bool,
}

impl CallControl {
    /// Creates the control of one call. `may_send` is called once, immediately
    /// before the first byte; if it returns `false`, nothing is sent.
    #[must_use]
    pub fn new(may_send: impl Fn() -> bool + Send + Sync + 'static) -> Arc<Self> {
        Arc::new(Self {
            may_send: Box::new(may_send),
            was_sent: AtomicBool::new(false),
            is_send_refused: AtomicBool::new(false),
            connection: Mutex::new(Connection::default()),
        })
    }

    /// Reports whether a byte may have been sent.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        self.was_sent.load(Ordering::SeqCst)
    }

    /// Reports whether the check before the first byte prevented the call.
    #[must_use]
    pub fn was_send_refused(&self) -> bool {
        self.is_send_refused.load(Ordering::SeqCst)
    }

    /// Reports whether the call was cancelled before its end.
    #[must_use]
    pub fn was_cancelled(&self) -> bool {
        self.lock().is_cancelled
    }

    /// Shuts the connection of the call down, unless the call has ended.
    pub fn cancel(&self) {
        let mut connection = self.lock();
        if connection.is_finished {
            return;
        }
        connection.is_cancelled = true;
        if let Some(stream) = connection.stream.take() {
            // An error means that the connection is already closed.
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    /// Ends the call. Cancelling it afterwards does not affect the connection,
    /// which may already be in use by another call.
    pub fn finish(&self) {
        let mut connection = self.lock();
        connection.is_finished = true;
        connection.stream = None;
    }

    /// Makes this the current call of the thread while `work` runs.
    pub(crate) fn enter<T>(self: &Arc<Self>, work: impl FnOnce() -> T) -> T {
        CURRENT.with(|slot| *slot.borrow_mut() = Some(self.clone()));
        let result = work();
        CURRENT.with(|slot| *slot.borrow_mut() = None);
        result
    }

    /// Returns the current call of the thread.
    pub(crate) fn current() -> Option<Arc<Self>> {
        CURRENT.with(|slot| slot.borrow().clone())
    }

    /// Records that the call sends on this connection, and reports whether it
    /// may. Runs the check before the first byte.
    pub(crate) fn begin_send(&self, stream: &Arc<TcpStream>) -> bool {
        let mut connection = self.lock();
        if connection.is_cancelled {
            return false;
        }
        connection.stream = Some(stream.clone());
        drop(connection);
        if self.was_sent() {
            return true;
        }
        if !(self.may_send)() {
            self.is_send_refused.store(true, Ordering::SeqCst);
            return false;
        }
        self.was_sent.store(true, Ordering::SeqCst);
        true
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Connection> {
        self.connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for CallControl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallControl")
            .field("sent", &self.was_sent())
            .finish_non_exhaustive()
    }
}
