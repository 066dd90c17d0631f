//! A balancer that sends callers to ready hosts, and for a delay also to hosts
//! that are no longer ready.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use ureq::Agent;
use waxwingusher_core::CancelToken;

/// The time between two readiness checks of all hosts.
const POLL: Duration = Duration::from_millis(100);

/// The timeout of a readiness check.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The addresses of a host that the balancer checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// The address for callers.
    pub caller_addr: SocketAddr,
    /// The address for readiness checks.
    pub operator_addr: SocketAddr,
}

#[derive(Debug, Default)]
struct State {
    targets: Vec<Target>,
    last_ready: BTreeMap<Target, Instant>,
}

#[derive(Debug)]
struct Shared {
    drop_delay: Duration,
    state: Mutex<State>,
    stop: CancelToken,
}

/// A running balancer.
#[derive(Debug)]
pub struct Balancer {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Balancer {
    /// Starts a balancer that drops a host `drop_delay` after it was last ready.
    #[must_use]
    pub fn start(drop_delay: Duration, targets: Vec<Target>) -> Self {
        let state = State {
            targets,
            last_ready: BTreeMap::new(),
        };
        let shared = Arc::new(Shared {
            drop_delay,
            state: Mutex::new(state),
            stop: CancelToken::new(),
        });
        let polled = shared.clone();
        let thread = std::thread::spawn(move || polled.poll_until_stopped());
        Self {
            shared,
            thread: Some(thread),
        }
    }

    /// Sets the hosts to check.
    pub fn set_targets(&self, targets: Vec<Target>) {
        self.shared.lock().targets = targets;
    }

    /// Returns the addresses to which callers are sent now.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let state = self.shared.lock();
        let ready = state.targets.iter().filter(|target| {
            let last = state.last_ready.get(target);
            last.is_some_and(|at| now < *at + self.shared.drop_delay)
        });
        ready.map(|target| target.caller_addr).collect()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.shared.stop.cancel();
        let Some(thread) = self.thread.take() else {
            return;
        };
        if thread.join().is_err() {
            log::error!("balancer: The polling thread panicked.");
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn poll_until_stopped(&self) {
        let config = Agent::config_builder()
            .proxy(None)
            .timeout_global(Some(TIMEOUT))
            .build();
        let agent = config.new_agent();
        loop {
            let targets = self.lock().targets.clone();
            for target in targets {
                if is_ready(&agent, target) {
                    self.lock().last_ready.insert(target, Instant::now());
                }
            }
            if self.stop.wait(POLL) {
                return;
            }
        }
    }
}

fn is_ready(agent: &Agent, target: Target) -> bool {
    let url = format!("http://{}/readyz", target.operator_addr);
    agent.get(url).call().is_ok()
}
