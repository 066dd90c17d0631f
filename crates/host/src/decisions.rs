//! The latest decisions on requests, kept for operators.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;

use serde::Serialize;

/// The most requests whose decisions are kept.
const MAX_REQUESTS: usize = 4_096;
/// The most decisions that are kept for one request.
const MAX_STEPS: usize = 16;

/// One decision on a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DecisionStep {
    /// When it was made, in milliseconds since the epoch.
    pub at_epoch_ms: u64,
    /// What was decided, as in the log.
    pub text: Arc<str>,
}

/// Decisions by request. When full, it drops the oldest request first.
#[derive(Debug, Default)]
pub struct DecisionLog {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    steps: HashMap<Arc<str>, Vec<DecisionStep>>,
    order: VecDeque<Arc<str>>,
}

impl DecisionLog {
    /// Logs a decision and keeps it until newer requests displace it.
    pub fn record(&self, request: &str, at: SystemTime, text: &str) {
        log::info!("route: Request {request}: {text}.");
        let step = DecisionStep {
            at_epoch_ms: epoch_ms(at),
            text: Arc::from(text),
        };
        let mut inner = self.lock();
        if let Some(steps) = inner.steps.get_mut(request) {
            if steps.len() < MAX_STEPS {
                steps.push(step);
            }
            return;
        }
        inner.add(Arc::from(request), step);
    }

    /// Returns the decisions on a request, in order.
    #[must_use]
    pub fn of_request(&self, request: &str) -> Vec<DecisionStep> {
        self.lock().steps.get(request).cloned().unwrap_or_default()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn add(&mut self, request: Arc<str>, step: DecisionStep) {
        if self.order.len() >= MAX_REQUESTS {
            let oldest = self.order.pop_front();
            oldest.and_then(|request| self.steps.remove(&request));
        }
        self.order.push_back(request.clone());
        self.steps.insert(request, vec![step]);
    }
}

fn epoch_ms(at: SystemTime) -> u64 {
    let since_epoch = at.duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
