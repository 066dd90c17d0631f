//! Admitted requests on their way to the workers.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::pipeline::Job;

/// How long a worker waits before it looks whether the host stops.
const POP_TIMEOUT: Duration = Duration::from_millis(200);

/// A bounded queue.
pub(crate) struct WorkQueue {
    jobs: Mutex<VecDeque<Job>>,
    arrived: Condvar,
    max_jobs: usize,
}

impl WorkQueue {
    pub(crate) fn new(max_jobs: usize) -> Self {
        Self {
            jobs: Mutex::new(VecDeque::new()),
            arrived: Condvar::new(),
            max_jobs,
        }
    }

    /// Adds a job, or gives it back if the queue is full.
    pub(crate) fn push(&self, job: Job) -> Result<(), Box<Job>> {
        let mut jobs = self.lock();
        if jobs.len() >= self.max_jobs {
            return Err(Box::new(job));
        }
        jobs.push_back(job);
        drop(jobs);
        self.arrived.notify_one();
        Ok(())
    }

    /// Takes the next job, or `None` after a while.
    pub(crate) fn pop(&self) -> Option<Job> {
        let jobs = self.lock();
        let (mut jobs, _) = self
            .arrived
            .wait_timeout_while(jobs, POP_TIMEOUT, |jobs| jobs.is_empty())
            .unwrap_or_else(PoisonError::into_inner);
        jobs.pop_front()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Job>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
