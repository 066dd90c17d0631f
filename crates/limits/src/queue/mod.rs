//! Fair queueing of a loaded host's requests by workspace.
//!
//! Each workspace has a bounded queue; weighted deficit round robin chooses
//! which queue is served next. A request that cannot meet its deadline is
//! refused when it arrives, before it has cost anything. The last free workers
//! are reserved for workspaces and services that occupy less than their shares.

mod occupancy;
mod workspace_queue;

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{Clock, ServiceName, WorkspaceName};

use occupancy::Occupancy;
use workspace_queue::{Entry, WorkspaceQueue};

/// The deficit that a queue of weight one gains in a round, in cost units.
const QUANTUM: u64 = 1000;
/// The cost of one request, in cost units.
const REQUEST_COST: u64 = 1000;
/// The weight of a new observation in the moving average of a service interval.
const INTERVAL_EWMA_WEIGHT: f64 = 0.05;

/// The factor by which a wait may exceed its estimate.
const WAIT_MARGIN: f64 = 1.1;

/// Settings of a [`FairQueue`].
#[derive(Debug, Clone, Copy)]
pub struct FairQueueSettings {
    /// The most waiting requests of one workspace.
    pub per_workspace: usize,
    /// The most requests that run at the same time.
    pub workers: usize,
    /// The initial estimate of the time between two requests that leave the
    /// queue.
    pub service_interval: Duration,
}

impl Default for FairQueueSettings {
    fn default() -> Self {
        Self {
            per_workspace: 64,
            workers: 128,
            service_interval: Duration::from_millis(3),
        }
    }
}

/// Why a request was not queued. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum QueueRefusal {
    /// The workspace has too many requests waiting.
    #[error("the queue of the workspace is full")]
    Full,
    /// The request would wait beyond its deadline.
    #[error("the request would wait beyond its deadline")]
    TooLate,
}

/// The workspace and service that a request is counted for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestClass {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The service that handles the request.
    pub service: ServiceName,
    /// The workspace's share relative to others.
    pub weight: u32,
}

/// A request that has left the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Dequeued<T> {
    /// The request should run now.
    Run(T),
    /// The request's deadline passed while it waited.
    Expired(T),
}

/// Bounded queues of all workspaces, served by weighted deficit round robin.
pub struct FairQueue<T> {
    clock: Arc<dyn Clock>,
    settings: FairQueueSettings,
    queues: HashMap<WorkspaceName, WorkspaceQueue<T>>,
    occupancy: Occupancy,
    round: VecDeque<WorkspaceName>,
    waiting_weight: u64,
    interval_s: f64,
    last_served: Option<Instant>,
    has_idle_worker: bool,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, settings: FairQueueSettings) -> Self {
        Self {
            occupancy: Occupancy::new(settings.workers, clock.now()),
            clock,
            queues: HashMap::new(),
            round: VecDeque::new(),
            waiting_weight: 0,
            interval_s: settings.service_interval.as_secs_f64(),
            last_served: None,
            has_idle_worker: false,
            settings,
        }
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns the request with the reason if the workspace's queue is full or
    /// the request is expected to wait beyond its deadline.
    pub fn push(
        &mut self,
        class: &RequestClass,
        deadline: Instant,
        item: T,
    ) -> Result<(), (T, QueueRefusal)> {
        let weight = u64::from(class.weight.max(1));
        let max_waiting = self.settings.per_workspace;
        let queue = self.queues.get(&class.workspace);
        let has_capacity =
            queue.is_none_or(|queue| queue.has_capacity(&class.service, max_waiting));
        let is_first_of_service = queue.is_none_or(|queue| queue.waiting_for(&class.service) == 0);
        let can_start_now = self.can_start_now(class);
        let may_wait = has_capacity || (can_start_now && is_first_of_service);
        if !may_wait {
            return Err((item, QueueRefusal::Full));
        }
        let now = self.clock.now();
        if !can_start_now && now + self.expected_wait(class, weight) > deadline {
            return Err((item, QueueRefusal::TooLate));
        }
        let queue = self
            .queues
            .entry(class.workspace.clone())
            .or_insert_with(|| {
                self.round.push_back(class.workspace.clone());
                self.waiting_weight += weight;
                WorkspaceQueue::new(weight)
            });
        queue.push(&class.service, Entry { item, deadline }, now);
        self.occupancy.enqueue(class, now);
        Ok(())
    }

    /// Removes and returns the next request that may run, if any. Call it when a
    /// worker is free, and [`Self::finish`] when the worker is free again.
    pub fn pop(&mut self) -> Option<Dequeued<T>> {
        let now = self.clock.now();
        let entitlement = self.occupancy.entitlement();
        let mut skipped = 0;
        while skipped < self.round.len() {
            let workspace = self.round.front()?.clone();
            let queue = self.queues.get_mut(&workspace)?;
            let may_start = |service: &ServiceName| entitlement.may_start(&workspace, service);
            let Some(position) = queue.next_service(now, may_start) else {
                queue.has_quantum = false;
                queue.deficit = 0;
                self.round.rotate_left(1);
                skipped += 1;
                continue;
            };
            if !queue.has_quantum {
                queue.has_quantum = true;
                queue.deficit += queue.weight * QUANTUM;
            }
            if queue.deficit < REQUEST_COST {
                queue.has_quantum = false;
                self.round.rotate_left(1);
                continue;
            }
            self.has_idle_worker = false;
            return self.take(&workspace, position, now);
        }
        self.has_idle_worker = true;
        self.last_served = None;
        None
    }

    /// Records that a request returned by [`Self::pop`] has left its worker,
    /// whether it ran or had expired.
    pub fn finish(&mut self, class: &RequestClass) {
        self.occupancy.finish(&class.workspace, &class.service);
    }

    /// Removes the requests that a predicate selects, such as those of callers
    /// that have disconnected.
    pub fn remove_if(&mut self, mut is_gone: impl FnMut(&T) -> bool) {
        for queue in self.queues.values_mut() {
            queue.remove_if(&mut is_gone);
        }
        let queues = &mut self.queues;
        let waiting_weight = &mut self.waiting_weight;
        self.round.retain(|workspace| {
            let empty = queues.get(workspace).is_none_or(|queue| queue.len() == 0);
            if let Some(queue) = queues.get(workspace).filter(|_| empty) {
                *waiting_weight -= queue.weight;
                queues.remove(workspace);
            }
            !empty
        });
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queues.values().map(WorkspaceQueue::len).sum()
    }

    /// Reports whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.round.is_empty()
    }

    /// Reports whether an idle worker may run a request at once.
    fn can_start_now(&self, class: &RequestClass) -> bool {
        let may_start = || {
            let entitlement = self.occupancy.entitlement();
            entitlement.may_start(&class.workspace, &class.service)
        };
        self.is_empty() || (self.has_idle_worker && may_start())
    }

    /// Returns how long a request is expected to wait: as long as recent requests
    /// of its workspace to its service, and at least as long as these take while
    /// all waiting workspaces get their shares.
    fn expected_wait(&self, class: &RequestClass, weight: u64) -> Duration {
        let queue = self.queues.get(&class.workspace);
        let own = queue.map_or(0, |queue| queue.weight);
        let turns_before = queue.map_or(0, |queue| queue.turns_before(&class.service));
        let round = self.waiting_weight - own + weight;
        let turns = turns_before as f64 / weight as f64 + 1.0;
        let by_share = self.interval_s * turns * round as f64;
        let observed = queue.map_or(0.0, |queue| queue.observed_wait_s(&class.service));
        Duration::from_secs_f64(by_share.max(observed) * WAIT_MARGIN)
    }

    /// Removes a request of the workspace at the front of the round.
    fn take(
        &mut self,
        workspace: &WorkspaceName,
        position: usize,
        now: Instant,
    ) -> Option<Dequeued<T>> {
        let queue = self.queues.get_mut(workspace)?;
        let (service, entry) = queue.take(position, now)?;
        let expired = now > entry.deadline;
        if !expired {
            queue.deficit -= REQUEST_COST;
        }
        if queue.len() == 0 {
            self.waiting_weight -= queue.weight;
            self.queues.remove(workspace);
            self.round.pop_front();
        }
        self.occupancy.start(workspace, &service);
        if expired {
            return Some(Dequeued::Expired(entry.item));
        }
        self.update_interval(now);
        Some(Dequeued::Run(entry.item))
    }

    /// Updates the estimated service interval while requests wait continuously.
    fn update_interval(&mut self, now: Instant) {
        if let Some(last) = self.last_served {
            let interval = now.saturating_duration_since(last).as_secs_f64();
            self.interval_s += (interval - self.interval_s) * INTERVAL_EWMA_WEIGHT;
        }
        self.last_served = (!self.is_empty()).then_some(now);
    }
}
