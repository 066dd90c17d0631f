//! Hierarchical cancellation tokens.

use std::fmt;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

type Callback = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct State {
    is_cancelled: bool,
    callbacks: Vec<Callback>,
    children: Vec<Weak<Shared>>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// Signals to all holders of the token and of its children that work should
/// stop.
#[derive(Clone, Default)]
pub struct CancelToken {
    shared: Arc<Shared>,
}

impl CancelToken {
    /// Creates a token that is not cancelled.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a token that is cancelled together with this one, or alone.
    #[must_use]
    pub fn child(&self) -> Self {
        let child = Self::new();
        let mut state = self.shared.lock();
        if state.is_cancelled {
            drop(state);
            child.cancel();
            return child;
        }
        state.children.retain(|weak| weak.strong_count() > 0);
        state.children.push(Arc::downgrade(&child.shared));
        drop(state);
        child
    }

    /// Cancels the token and its children, and runs the callbacks.
    pub fn cancel(&self) {
        self.shared.cancel();
    }

    /// Returns whether the token is cancelled.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        self.shared.lock().is_cancelled
    }

    /// Runs `callback` when the token is cancelled, or at once if it already is.
    pub fn on_cancel(&self, callback: impl FnOnce() + Send + 'static) {
        let mut state = self.shared.lock();
        if !state.is_cancelled {
            state.callbacks.push(Box::new(callback));
            return;
        }
        drop(state);
        callback();
    }

    /// Waits until the token is cancelled or the timeout expires, and returns
    /// whether it is cancelled.
    pub fn wait(&self, timeout: Duration) -> bool {
        let state = self.shared.lock();
        let (state, _) = self
            .shared
            .changed
            .wait_timeout_while(state, timeout, |state| !state.is_cancelled)
            .unwrap_or_else(PoisonError::into_inner);
        state.is_cancelled
    }
}

impl fmt::Debug for CancelToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CancelToken")
            .field("cancelled", &self.is_cancelled())
            .finish()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cancel(&self) {
        let mut state = self.lock();
        if state.is_cancelled {
            return;
        }
        state.is_cancelled = true;
        let callbacks = std::mem::take(&mut state.callbacks);
        let children = std::mem::take(&mut state.children);
        drop(state);
        self.changed.notify_all();
        for callback in callbacks {
            callback();
        }
        for child in children {
            let Some(child) = child.upgrade() else {
                continue;
            };
            child.cancel();
        }
    }
}
