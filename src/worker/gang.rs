//! State of one gang's share at the agent of its worker.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{TaskName, TaskState};
use crate::prelude::*;
use crate::scheduler::{RunningShare, ShareRequest, TaskCell, TaskEnd};

/// Phase of a gang's share on the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "phase")]
pub(super) enum Phase {
    /// The share's cells are reserved.
    Held {
        /// Expiry time of the reservation.
        until_ms: u64,
    },
    /// The worker was called to start the share's tasks.
    Starting {
        /// Time at which the call was requested.
        since_ms: u64,
    },
    /// All tasks of the share were started.
    Running {
        /// Number of the first list of the worker that must contain the tasks.
        listed_from: u64,
    },
    /// The share's tasks are being stopped.
    Stopping {
        /// End recorded for tasks that do not end by themselves.
        end: TaskEnd,
        /// Number of the first list of the worker in which a missing task counts as ended.
        listed_from: u64,
    },
    /// No task of the share runs, and none will be started.
    Ended {
        /// Time of the end.
        at_ms: u64,
        /// Whether it is guaranteed that no task was started.
        never_ran: bool,
    },
}

/// End of a task, which is repeated to the leader until it is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ReportedEnd {
    pub(super) end: TaskEnd,
    pub(super) noted: bool,
}

/// Share of a gang on the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Gang {
    pub(super) id: GangId,
    /// Epoch in which the share was reserved.
    pub(super) epoch: Epoch,
    pub(super) job: JobSpec,
    pub(super) tasks: Vec<TaskCell>,
    pub(super) phase: Phase,
    pub(super) lease_until_ms: u64,
    pub(super) ends: BTreeMap<u32, ReportedEnd>,
    pub(super) checkpoint_since_ms: Option<u64>,
}

impl Gang {
    /// Creates the state of a share whose cells are reserved until `until_ms`.
    pub(super) fn reserved(
        id: &GangId,
        epoch: Epoch,
        job: &JobSpec,
        share: &ShareRequest,
        until_ms: u64,
    ) -> Self {
        Self {
            id: id.clone(),
            epoch,
            job: job.clone(),
            tasks: share.tasks.clone(),
            phase: Phase::Held { until_ms },
            lease_until_ms: 0,
            ends: BTreeMap::new(),
            checkpoint_since_ms: None,
        }
    }

    /// Returns whether the gang holds cells of the worker.
    pub(super) fn holds_cells(&self) -> bool {
        !matches!(self.phase, Phase::Ended { .. })
    }

    /// Returns whether tasks of the gang may run.
    pub(super) fn may_run(&self) -> bool {
        matches!(
            self.phase,
            Phase::Starting { .. } | Phase::Running { .. } | Phase::Stopping { .. }
        )
    }

    /// Returns whether the agent keeps the gang's tasks alive.
    pub(super) fn is_kept_alive(&self) -> bool {
        matches!(self.phase, Phase::Starting { .. } | Phase::Running { .. })
    }

    /// Returns the names of the tasks that have not ended.
    pub(super) fn live_names(&self) -> Vec<String> {
        let live = self.tasks.iter().filter(|cell| !self.ends.contains_key(&cell.task));
        live.map(|cell| self.name(cell.task)).collect()
    }

    pub(super) fn name(&self, task: u32) -> String {
        TaskName { gang: self.id.clone(), task }.to_string()
    }

    /// Returns the share for the join message to a new leader. It includes tasks that have ended, whose ends are
    /// reported separately.
    pub(super) fn running_share(&self) -> RunningShare {
        RunningShare { gang: self.id.clone(), job: self.job.clone(), tasks: self.tasks.clone() }
    }

    /// Records the end of a task and returns true, or returns false if an end is already recorded.
    pub(super) fn end_task(&mut self, task: u32, end: TaskEnd) -> bool {
        if self.ends.contains_key(&task) {
            return false;
        }
        self.ends.insert(task, ReportedEnd { end, noted: false });
        true
    }

    /// Enters [`Phase::Ended`] if all tasks have ended.
    pub(super) fn end_if_all_tasks_ended(&mut self, now_ms: u64) {
        if self.holds_cells() && self.tasks.iter().all(|cell| self.ends.contains_key(&cell.task)) {
            self.phase = Phase::Ended { at_ms: now_ms, never_ran: false };
        }
    }

    /// Returns the end of a task according to list `list_number` of the worker, or `None` if the task has not ended.
    /// `state` is the state of the task in the list; `None` if the list does not contain the task.
    pub(super) fn task_end(&self, state: Option<TaskState>, list_number: u64) -> Option<TaskEnd> {
        let (requested_end, listed_from) = match self.phase {
            Phase::Running { listed_from } => (TaskEnd::Lost, listed_from),
            Phase::Stopping { end, listed_from } => (end, listed_from),
            _ => return None,
        };
        match state {
            Some(TaskState::Running) => None,
            Some(TaskState::Succeeded) => Some(TaskEnd::Succeeded),
            Some(TaskState::Failed) => Some(TaskEnd::Failed),
            Some(TaskState::Stopped) => Some(requested_end),
            Some(TaskState::Lapsed) => Some(TaskEnd::Lost),
            None if list_number >= listed_from => Some(requested_end),
            None => None,
        }
    }
}
