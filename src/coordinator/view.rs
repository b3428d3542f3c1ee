//! The view that a coordinator has of the progress of jobs.

use std::collections::HashMap;

use super::message::JobUpdate;
use crate::planner::JobProgress;
use crate::prelude::*;

/// The jobs that a coordinator has accepted or received from the leader, with their queues and progress. The leader's
/// reports take precedence; jobs that this coordinator accepted are pending until the leader reports them.
#[derive(Debug, Default)]
pub struct JobView {
    jobs: HashMap<JobId, (String, JobProgress)>,
    epoch: Epoch,
}

impl JobView {
    /// Returns the progress of a job, or `None` if it is not in the view.
    pub fn progress(&self, job: &JobId) -> Option<JobProgress> {
        self.jobs.get(job).map(|(_, progress)| *progress)
    }

    /// Returns the number of jobs of a queue of which no task has started.
    pub fn waiting(&self, queue: &str) -> usize {
        let is_waiting = |(job_queue, progress): &&(String, JobProgress)| {
            job_queue == queue && *progress == JobProgress::Pending
        };
        self.jobs.values().filter(is_waiting).count()
    }

    /// Returns the number of jobs in the view.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether the view has no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Adds a job that this coordinator accepted or read from the store, as pending unless the view has it already.
    pub fn add_accepted(&mut self, job: &JobId, queue: &str) {
        self.jobs.entry(job.clone()).or_insert_with(|| (queue.to_owned(), JobProgress::Pending));
    }

    /// Applies a leader's report of progress. Reports of an earlier epoch than the last one are ignored; a snapshot
    /// replaces all jobs but the pending ones.
    pub fn update(&mut self, epoch: Epoch, is_snapshot: bool, updates: &[JobUpdate]) {
        if epoch < self.epoch {
            return;
        }
        self.epoch = epoch;
        if is_snapshot {
            // The snapshot may lack jobs that were accepted while the leader read the store.
            self.jobs.retain(|_, (_, progress)| *progress == JobProgress::Pending);
        }
        for update in updates {
            match update.progress {
                Some(progress) => {
                    self.jobs.insert(update.job.clone(), (update.queue.clone(), progress));
                }
                None => {
                    self.jobs.remove(&update.job);
                }
            }
        }
    }
}
