//! What an agent keeps of one gang's share on its worker.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{TaskName, TaskState};
use crate::prelude::*;
use crate::scheduler::{RunningShare, ShareRequest, TaskCell, TaskEnd};

/// Where a gang's share stands on the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "phase")]
pub(super) enum Phase {
    /// Its cells are reserved.
    Held {
        /// The end of the reservation.
        until_ms: u64,
    },
    /// The worker was told to start it.
    Starting {
        /// The start of the attempt.
        since_ms: u64,
    },
    /// All its tasks were started.
    Running {
        /// The first list of the worker that must contain the tasks.
        listed_from: u64,
    },
    /// Its tasks are being ended.
    Stopping {
        /// How tasks end that do not end by themselves.
        end: TaskEnd,
        /// The first list of the worker whose lack of the tasks proves their end.
        listed_from: u64,
    },
    /// No task runs, and none will.
    Ended {
        /// The time of the end.
        at_ms: u64,
        /// Whether it is certain that no task was started.
        never_ran: bool,
    },
}

/// An end of a task, which is repeated until the leader noted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ReportedEnd {
    pub(super) end: TaskEnd,
    pub(super) noted: bool,
}

/// The share of a gang on the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Gang {
    pub(super) id: GangId,
    /// The epoch in which it was reserved.
    pub(super) epoch: Epoch,
    pub(super) job: JobSpec,
    pub(super) tasks: Vec<TaskCell>,
    pub(super) phase: Phase,
    pub(super) lease_until_ms: u64,
    pub(super) ends: BTreeMap<u32, ReportedEnd>,
    pub(super) checkpoint_since_ms: Option<u64>,
}

impl Gang {
    pub(super) fn held(
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
    pub(super) fn is_kept(&self) -> bool {
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

    /// Returns the share as a new leader needs it, tasks that have ended included, whose ends are reported apart.
    pub(super) fn running_share(&self) -> RunningShare {
        RunningShare { gang: self.id.clone(), job: self.job.clone(), tasks: self.tasks.clone() }
    }

    /// Records the end of a task unless one is known.
    pub(super) fn end_task(&mut self, task: u32, end: TaskEnd) -> bool {
        if self.ends.contains_key(&task) {
            return false;
        }
        self.ends.insert(task, ReportedEnd { end, noted: false });
        true
    }

    /// Moves to the last phase once all tasks have ended.
    pub(super) fn close_if_done(&mut self, now_ms: u64) {
        if self.holds_cells() && self.tasks.iter().all(|cell| self.ends.contains_key(&cell.task)) {
            self.phase = Phase::Ended { at_ms: now_ms, never_ran: false };
        }
    }

    /// Returns how a task ended that the worker lists in `state`, or no longer lists.
    pub(super) fn end_of(&self, state: Option<TaskState>, list_number: u64) -> Option<TaskEnd> {
        let (asked_end, listed_from) = match self.phase {
            Phase::Running { listed_from } => (TaskEnd::Lost, listed_from),
            Phase::Stopping { end, listed_from } => (end, listed_from),
            _ => return None,
        };
        match state {
            Some(TaskState::Running) => None,
            Some(TaskState::Succeeded) => Some(TaskEnd::Succeeded),
            Some(TaskState::Failed) => Some(TaskEnd::Failed),
            Some(TaskState::Stopped) => Some(asked_end),
            Some(TaskState::Lapsed) => Some(TaskEnd::Lost),
            None if list_number >= listed_from => Some(asked_end),
            None => None,
        }
    }
}
