//! How far jobs are, as one coordinator knows it.

use std::collections::HashMap;

use super::message::JobUpdate;
use crate::planner::JobProgress;
use crate::prelude::*;

/// The jobs that a coordinator knows of. What the leader reports takes precedence; jobs that were accepted here count as
/// pending until the leader has seen them.
#[derive(Debug, Default)]
pub struct JobView {
    jobs: HashMap<JobId, (String, JobProgress)>,
    epoch: Epoch,
}

impl JobView {
    /// Returns how far a job is.
    pub fn progress(&self, job: &JobId) -> Option<JobProgress> {
        self.jobs.get(job).map(|(_, progress)| *progress)
    }

    /// Counts the jobs of a queue of which no task has started.
    pub fn waiting(&self, queue: &str) -> usize {
        let is_waiting = |(own, progress): &&(String, JobProgress)| {
            own == queue && *progress == JobProgress::Pending
        };
        self.jobs.values().filter(is_waiting).count()
    }

    /// Returns the number of jobs known.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether no job is known.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// A job was accepted here.
    pub fn accepted(&mut self, job: &JobId, queue: &str) {
        self.jobs.entry(job.clone()).or_insert_with(|| (queue.to_owned(), JobProgress::Pending));
    }

    /// Takes in what a leader says. An earlier leader is ignored.
    pub fn update(&mut self, epoch: Epoch, is_snapshot: bool, updates: &[JobUpdate]) {
        if epoch < self.epoch {
            return;
        }
        self.epoch = epoch;
        if is_snapshot {
            // Jobs that were accepted while the leader read the store may be missing in its snapshot.
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
