//! Queues admitted requests for the workers, with fair queueing between
//! workspaces.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use waxwingusher_core::Clock;
use waxwingusher_limits::{Dequeued, FairQueue, FairQueueSettings, QueueRefusal, RequestClass};

use crate::pipeline::Job;

/// How long a worker waits before it checks whether the host is stopping.
const POP_TIMEOUT: Duration = Duration::from_secs(1);

/// A fair queue on which workers wait for jobs.
pub(crate) struct WorkQueue {
    queue: Mutex<FairQueue<Job>>,
    work_available: Condvar,
}

impl WorkQueue {
    pub(crate) fn new(clock: Arc<dyn Clock>, per_workspace: usize, workers: usize) -> Self {
        let settings = FairQueueSettings {
            per_workspace,
            workers,
            ..FairQueueSettings::default()
        };
        Self {
            queue: Mutex::new(FairQueue::new(clock, settings)),
            work_available: Condvar::new(),
        }
    }

    /// Adds a job, or returns it with the reason why it is not queued.
    pub(crate) fn push(&self, job: Job) -> Result<(), Box<RefusedJob>> {
        let class = job.class();
        let deadline = job.admitted.deadline;
        let pushed = self.lock().push(&class, deadline, job);
        pushed.map_err(|(job, reason)| Box::new(RefusedJob { job, reason }))?;
        self.work_available.notify_one();
        Ok(())
    }

    /// Takes the next job that may run. Returns nothing if there is none after
    /// [`POP_TIMEOUT`] or a wake-up. Call [`Self::finish`] with the job's class
    /// when it is done.
    pub(crate) fn pop(&self) -> Option<Dequeued<Job>> {
        let mut queue = self.lock();
        if let Some(next) = queue.pop() {
            return Some(next);
        }
        let waited = self.work_available.wait_timeout(queue, POP_TIMEOUT);
        (queue, _) = waited.unwrap_or_else(PoisonError::into_inner);
        queue.pop()
    }

    /// Records that a job is done, which may allow another one to run.
    pub(crate) fn finish(&self, class: &RequestClass) {
        let mut queue = self.lock();
        queue.finish(class);
        if !queue.is_empty() {
            self.work_available.notify_one();
        }
    }

    /// Wakes all workers, so that they check whether the host is stopping.
    pub(crate) fn wake_all(&self) {
        self.work_available.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, FairQueue<Job>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A job that was not queued.
pub(crate) struct RefusedJob {
    pub(crate) job: Job,
    pub(crate) reason: QueueRefusal,
}
