//! Shares a loaded host fairly between workspaces.
//!
//! Each workspace has a bounded queue; weighted deficit round robin chooses
//! which queue is served next. A request that cannot meet its deadline is
//! refused when it arrives, before it has cost anything.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{Clock, WorkspaceName};

/// The deficit that a queue of weight one gains in a round, in cost units.
const QUANTUM: u64 = 1000;
/// The cost of one request, in cost units.
const REQUEST_COST: u64 = 1000;
/// The part of a new observation in the estimate of the service interval.
const SMOOTHING: f64 = 0.05;

/// How much longer than expected a request may have to wait.
const WAIT_MARGIN: f64 = 1.1;

/// Settings of a [`FairQueue`].
#[derive(Debug, Clone, Copy)]
pub struct FairQueueSettings {
    /// The most requests of one workspace that wait.
    pub per_workspace: usize,
    /// The expected time between two requests that leave the queue, until it
    /// has been observed.
    pub service_interval: Duration,
}

impl Default for FairQueueSettings {
    fn default() -> Self {
        Self {
            per_workspace: 64,
            service_interval: Duration::from_millis(3),
        }
    }
}

/// Why a request may not wait. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum QueueRefusal {
    /// The workspace has too many requests waiting.
    #[error("the queue of the workspace is full")]
    Full,
    /// The request would wait beyond its deadline.
    #[error("the request would wait beyond its deadline")]
    TooLate,
}

/// A request that has left the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next<T> {
    /// The request should run now.
    Run(T),
    /// The request's deadline passed while it waited.
    Expired(T),
}

#[derive(Debug)]
struct Entry<T> {
    item: T,
    deadline: Instant,
}

#[derive(Debug)]
struct Lane<T> {
    entries: VecDeque<Entry<T>>,
    weight: u64,
    deficit: u64,
    has_turn: bool,
    interval_s: f64,
    last_served: Instant,
}

/// Bounded queues of all workspaces, served by weighted deficit round robin.
pub struct FairQueue<T> {
    clock: Arc<dyn Clock>,
    settings: FairQueueSettings,
    lanes: HashMap<WorkspaceName, Lane<T>>,
    round: VecDeque<WorkspaceName>,
    waiting_weight: u64,
    interval_s: f64,
    last_served: Option<Instant>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, settings: FairQueueSettings) -> Self {
        Self {
            clock,
            lanes: HashMap::new(),
            round: VecDeque::new(),
            waiting_weight: 0,
            interval_s: settings.service_interval.as_secs_f64(),
            last_served: None,
            settings,
        }
    }

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// Returns the request with the reason if the workspace's queue is full or
    /// the request is expected to wait beyond its deadline.
    pub fn push(
        &mut self,
        workspace: &WorkspaceName,
        weight: u32,
        deadline: Instant,
        item: T,
    ) -> Result<(), (T, QueueRefusal)> {
        let weight = u64::from(weight.max(1));
        let ahead = self
            .lanes
            .get(workspace)
            .map_or(0, |lane| lane.entries.len());
        if ahead >= self.settings.per_workspace {
            return Err((item, QueueRefusal::Full));
        }
        let now = self.clock.now();
        if now + self.expected_wait(workspace, ahead, weight) > deadline {
            return Err((item, QueueRefusal::TooLate));
        }
        let lane = self.lanes.entry(workspace.clone()).or_insert_with(|| {
            self.round.push_back(workspace.clone());
            self.waiting_weight += weight;
            Lane {
                entries: VecDeque::new(),
                weight,
                deficit: 0,
                has_turn: false,
                interval_s: 0.0,
                last_served: now,
            }
        });
        lane.entries.push_back(Entry { item, deadline });
        Ok(())
    }

    /// Takes the next request, if any waits. Call it when a request can run.
    pub fn pop(&mut self) -> Option<Next<T>> {
        let now = self.clock.now();
        loop {
            let workspace = self.round.front()?.clone();
            let lane = self.lanes.get_mut(&workspace)?;
            if !lane.has_turn {
                lane.has_turn = true;
                lane.deficit += lane.weight * QUANTUM;
            }
            if lane.deficit < REQUEST_COST {
                lane.has_turn = false;
                self.round.rotate_left(1);
                continue;
            }
            return self.take(&workspace, now);
        }
    }

    /// Removes the requests that a predicate selects, such as those of callers
    /// that have hung up.
    pub fn remove_if(&mut self, mut is_gone: impl FnMut(&T) -> bool) {
        for lane in self.lanes.values_mut() {
            lane.entries.retain(|entry| !is_gone(&entry.item));
        }
        let lanes = &mut self.lanes;
        let waiting_weight = &mut self.waiting_weight;
        self.round.retain(|workspace| {
            let empty = lanes
                .get(workspace)
                .is_none_or(|lane| lane.entries.is_empty());
            if let Some(lane) = lanes.get(workspace).filter(|_| empty) {
                *waiting_weight -= lane.weight;
                lanes.remove(workspace);
            }
            !empty
        });
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lanes.values().map(|lane| lane.entries.len()).sum()
    }

    /// Reports whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.round.is_empty()
    }

    /// Returns how long a request is expected to wait behind `ahead` requests
    /// of its own workspace: as long as these lately took, and at least as long
    /// as they take while all waiting workspaces get their shares.
    fn expected_wait(&self, workspace: &WorkspaceName, ahead: usize, weight: u64) -> Duration {
        if self.is_empty() {
            return Duration::ZERO;
        }
        let lane = self.lanes.get(workspace);
        let own = lane.map_or(0, |lane| lane.weight);
        let round = self.waiting_weight - own + weight;
        let turns = ahead as f64 / weight as f64 + 1.0;
        let by_share = self.interval_s * turns * round as f64;
        let observed = lane.map_or(0.0, |lane| lane.interval_s) * (ahead + 1) as f64;
        Duration::from_secs_f64(by_share.max(observed) * WAIT_MARGIN)
    }

    /// Takes the first request of the workspace whose turn it is.
    fn take(&mut self, workspace: &WorkspaceName, now: Instant) -> Option<Next<T>> {
        let lane = self.lanes.get_mut(workspace)?;
        let entry = lane.entries.pop_front()?;
        let expired = now > entry.deadline;
        if !expired {
            lane.deficit -= REQUEST_COST;
            let interval = now
                .saturating_duration_since(lane.last_served)
                .as_secs_f64();
            lane.interval_s += (interval - lane.interval_s) * SMOOTHING;
            lane.last_served = now;
        }
        if lane.entries.is_empty() {
            self.waiting_weight -= lane.weight;
            self.lanes.remove(workspace);
            self.round.pop_front();
        }
        if expired {
            return Some(Next::Expired(entry.item));
        }
        self.observe(now);
        Some(Next::Run(entry.item))
    }

    /// Updates the service interval while requests wait all the time.
    fn observe(&mut self, now: Instant) {
        if let Some(last) = self.last_served {
            let interval = now.saturating_duration_since(last).as_secs_f64();
            self.interval_s += (interval - self.interval_s) * SMOOTHING;
        }
        self.last_served = (!self.is_empty()).then_some(now);
    }
}
