//! Worker of the stand-in. It starts tasks without checking whether they fit, and ends tasks whose lease lapses.

use std::collections::BTreeMap;

use super::{StartTask, TaskLease, TaskReport, TaskState, WorkerFault};
use crate::bundle::WorkerShape;

/// Time for which an ended task is still reported, in milliseconds; afterwards it is removed.
const ENDED_TASK_RETENTION_MS: u64 = 3_600_000;

/// Model of a worker and its tasks.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    shape: WorkerShape,
    usage_lag_ms: u64,
    tasks: BTreeMap<String, Task>,
}

#[derive(Clone, Debug)]
struct Task {
    start: StartTask,
    started_at_ms: u64,
    lease_until_ms: u64,
    saved_ms: u64,
    state: TaskState,
    ended_at_ms: u64,
}

impl WorkerModel {
    /// Creates a worker without tasks. Measurements of the use of resources appear in reports `usage_lag_ms` after a
    /// task started.
    pub fn new(shape: WorkerShape, usage_lag_ms: u64) -> Self {
        Self { shape, usage_lag_ms, tasks: BTreeMap::new() }
    }

    /// Starts a task and returns whether it overcommits the worker; returns `None` and starts nothing if the name was
    /// used before.
    pub fn start(
        &mut self,
        now_ms: u64,
        start: &StartTask,
        fault: Option<WorkerFault>,
    ) -> Option<bool> {
        self.update_tasks(now_ms);
        if self.tasks.contains_key(&start.task) {
            return None;
        }
        let overcommitted = self.is_overcommitted_by(start);
        let failed = fault == Some(WorkerFault::FailsEverything);
        let task = Task {
            start: start.clone(),
            started_at_ms: now_ms,
            lease_until_ms: now_ms + start.lease_ms,
            saved_ms: start.saved_ms,
            state: if failed { TaskState::Failed } else { TaskState::Running },
            ended_at_ms: now_ms,
        };
        self.tasks.insert(start.task.clone(), task);
        Some(overcommitted)
    }

    /// Renews the leases of running tasks and returns the renewed leases.
    pub fn renew(&mut self, now_ms: u64, tasks: &[String], lease_ms: u64) -> Vec<TaskLease> {
        self.change_running(now_ms, tasks, |task| {
            task.lease_until_ms = now_ms + lease_ms;
            lease_ms
        })
    }

    /// Saves the run time of running tasks and returns their leases.
    pub fn checkpoint(&mut self, now_ms: u64, tasks: &[String]) -> Vec<TaskLease> {
        self.change_running(now_ms, tasks, |task| {
            task.saved_ms = task.start.saved_ms + (now_ms - task.started_at_ms);
            task.lease_until_ms - now_ms
        })
    }

    /// Stops running tasks, unless the worker has [`WorkerFault::IgnoresStop`].
    pub fn stop(&mut self, now_ms: u64, tasks: &[String], fault: Option<WorkerFault>) {
        if fault == Some(WorkerFault::IgnoresStop) {
            return;
        }
        self.change_running(now_ms, tasks, |task| {
            task.state = TaskState::Stopped;
            task.ended_at_ms = now_ms;
            0
        });
    }

    /// Removes all tasks, as when the machine goes down.
    pub fn clear(&mut self) {
        self.tasks.clear();
    }

    /// Returns a report of each task.
    pub fn report(&mut self, now_ms: u64) -> Vec<TaskReport> {
        self.update_tasks(now_ms);
        self.tasks.values().map(|task| task.report(now_ms, self.usage_lag_ms)).collect()
    }

    /// Changes the named tasks that are running, and returns a lease with the time that `change` returns for each.
    fn change_running<F>(&mut self, now_ms: u64, tasks: &[String], mut change: F) -> Vec<TaskLease>
    where
        F: FnMut(&mut Task) -> u64,
    {
        self.update_tasks(now_ms);
        let mut changed = Vec::new();
        for name in tasks {
            let running = self.tasks.get_mut(name).filter(|task| task.state == TaskState::Running);
            let remaining_ms = running.map(&mut change);
            changed.extend(
                remaining_ms.map(|remaining_ms| TaskLease { task: name.clone(), remaining_ms }),
            );
        }
        changed
    }

    fn is_overcommitted_by(&self, start: &StartTask) -> bool {
        let running = || {
            self.tasks
                .values()
                .filter(|task| task.state == TaskState::Running)
                .map(|task| &task.start)
        };
        let cores = running().map(|task| task.cores).sum::<u32>() + start.cores;
        let memory_mb = running().map(|task| task.memory_mb).sum::<u64>() + start.memory_mb;
        let mask = running().fold(0, |mask, task| mask | task.accelerator_mask);
        let existing_mask = if self.shape.accelerators >= u64::BITS {
            u64::MAX
        } else {
            (1 << self.shape.accelerators) - 1
        };
        cores > self.shape.cores
            || memory_mb > self.shape.memory_mb
            || mask & start.accelerator_mask != 0
            || start.accelerator_mask & !existing_mask != 0
    }

    /// Ends tasks that are due, and removes those that ended long ago.
    fn update_tasks(&mut self, now_ms: u64) {
        for task in self.tasks.values_mut().filter(|task| task.state == TaskState::Running) {
            task.end_if_due(now_ms);
        }
        self.tasks.retain(|_, task| {
            task.state == TaskState::Running || now_ms - task.ended_at_ms < ENDED_TASK_RETENTION_MS
        });
    }
}

impl Task {
    /// Ends the task if its run time has passed or its lease has lapsed.
    fn end_if_due(&mut self, now_ms: u64) {
        let finish_ms = self.started_at_ms + self.start.run_ms.saturating_sub(self.start.saved_ms);
        if finish_ms <= self.lease_until_ms && finish_ms <= now_ms {
            self.state = TaskState::Succeeded;
            self.ended_at_ms = finish_ms;
        } else if self.lease_until_ms <= now_ms {
            self.state = TaskState::Lapsed;
            self.ended_at_ms = self.lease_until_ms;
        }
    }

    fn report(&self, now_ms: u64, usage_lag_ms: u64) -> TaskReport {
        let is_usage_available = now_ms >= self.started_at_ms + usage_lag_ms;
        TaskReport {
            task: self.start.task.clone(),
            state: self.state,
            saved_ms: self.saved_ms,
            cores_per_mille: is_usage_available.then_some(self.start.cores * 1_000),
            memory_mb: is_usage_available.then_some(self.start.memory_mb),
            start: self.start.clone(),
        }
    }
}
