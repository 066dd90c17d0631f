//! Admitted requests on their way to the workers, each workspace with its fair
//! share.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use waxwingusher_core::Clock;
use waxwingusher_limits::{FairQueue, FairQueueSettings, Next, QueueRefusal};

use crate::pipeline::Job;

/// How long a worker waits before it looks whether the host stops.
const POP_TIMEOUT: Duration = Duration::from_secs(1);

/// Fair queues that workers wait at.
pub(crate) struct WorkQueue {
    queue: Mutex<FairQueue<Job>>,
    arrived: Condvar,
}

impl WorkQueue {
    pub(crate) fn new(clock: Arc<dyn Clock>, per_workspace: usize) -> Self {
        let settings = FairQueueSettings {
            per_workspace,
            ..FairQueueSettings::default()
        };
        Self {
            queue: Mutex::new(FairQueue::new(clock, settings)),
            arrived: Condvar::new(),
        }
    }

    /// Adds a job, or gives it back with the reason why it may not wait.
    pub(crate) fn push(&self, job: Job) -> Result<(), Box<RefusedJob>> {
        let workspace = job.admitted.party.workspace.clone();
        let weight = job.admitted.party.weight;
        let deadline = job.admitted.deadline;
        let pushed = self.lock().push(&workspace, weight, deadline, job);
        pushed.map_err(|(job, reason)| Box::new(RefusedJob { job, reason }))?;
        self.arrived.notify_one();
        Ok(())
    }

    /// Takes the next job, or nothing after a while or a wake-up.
    pub(crate) fn pop(&self) -> Option<Next<Job>> {
        let mut queue = self.lock();
        if queue.is_empty() {
            let waited = self.arrived.wait_timeout(queue, POP_TIMEOUT);
            (queue, _) = waited.unwrap_or_else(PoisonError::into_inner);
        }
        queue.pop()
    }

    /// Wakes all workers, so that they look whether the host stops.
    pub(crate) fn wake_all(&self) {
        self.arrived.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, FairQueue<Job>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A job that may not wait.
pub(crate) struct RefusedJob {
    pub(crate) job: Job,
    pub(crate) reason: QueueRefusal,
}
