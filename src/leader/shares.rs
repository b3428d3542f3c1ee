//! Assignment of the tasks of gangs to members, as requested by the leader or reported by the members.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::scheduler::TaskCell;

/// Parts of gangs that are assigned to members.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct AssignedParts {
    shares: Vec<AssignedPart>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct AssignedPart {
    gang: GangId,
    worker: WorkerId,
    tasks: Vec<u32>,
}

impl AssignedParts {
    pub(super) fn add(&mut self, gang: &GangId, worker: &WorkerId, cells: &[TaskCell]) {
        self.shares.retain(|share| &share.gang != gang || &share.worker != worker);
        let tasks = cells.iter().map(|cell| cell.task).collect();
        let (gang, worker) = (gang.clone(), worker.clone());
        self.shares.push(AssignedPart { gang, worker, tasks });
    }

    /// Returns the tasks of a gang on a member that have not ended.
    pub(super) fn open_tasks(&self, gang: &GangId, worker: &WorkerId) -> Vec<u32> {
        let share = self.shares.iter().find(|s| &s.gang == gang && &s.worker == worker);
        share.map(|share| share.tasks.clone()).unwrap_or_default()
    }

    pub(super) fn end_task(&mut self, gang: &GangId, worker: &WorkerId, task: u32) {
        for share in self.shares.iter_mut().filter(|s| &s.gang == gang && &s.worker == worker) {
            share.tasks.retain(|open| *open != task);
        }
    }

    /// Removes all parts of a gang.
    pub(super) fn remove_gang(&mut self, gang: &GangId) {
        self.shares.retain(|share| &share.gang != gang);
    }

    pub(super) fn remove_worker(&mut self, worker: &WorkerId) {
        self.shares.retain(|share| &share.worker != worker);
    }

    /// Returns the gangs of a job.
    pub(super) fn gangs_of(&self, job: &JobId) -> Vec<GangId> {
        let of_job = self.shares.iter().filter(|share| &share.gang.job == job);
        let mut gangs: Vec<GangId> = of_job.map(|share| share.gang.clone()).collect();
        gangs.dedup();
        gangs
    }
}
