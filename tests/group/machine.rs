//! A simulated worker of the platform. It starts every task that it receives, and ends tasks whose lease lapses.

use std::collections::BTreeMap;

use teaselhall::worker::{ListedTask, TaskName, TaskState};

/// A task on a simulated worker.
#[derive(Clone, Debug)]
pub struct Task {
    pub name: TaskName,
    /// The number of tasks of the gang, on all workers.
    pub gang_tasks: u32,
    pub accelerator_mask: u64,
    pub state: TaskState,
    pub lease_until_ms: u64,
    /// The time at which the task ends by itself if its lease does not lapse before.
    pub ends_ms: u64,
    /// Whether the task fails at its end instead of succeeding.
    pub fails: bool,
}

/// A simulated worker: its running and ended tasks by name.
#[derive(Clone, Debug, Default)]
pub struct Machine {
    pub tasks: BTreeMap<String, Task>,
}

impl Machine {
    /// Ends the running tasks whose run time or lease has passed.
    pub fn end_due_tasks(&mut self, now_ms: u64) {
        for task in self.tasks.values_mut().filter(|task| task.state == TaskState::Running) {
            if task.ends_ms.min(task.lease_until_ms) > now_ms {
                continue;
            }
            task.state = match task.ends_ms <= task.lease_until_ms {
                true if task.fails => TaskState::Failed,
                true => TaskState::Succeeded,
                false => TaskState::Lapsed,
            };
        }
    }

    pub fn running(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values().filter(|task| task.state == TaskState::Running)
    }

    pub fn stop(&mut self, names: &[String]) {
        for name in names {
            if let Some(task) = self.tasks.get_mut(name)
                && task.state == TaskState::Running
            {
                task.state = TaskState::Stopped;
            }
        }
    }

    pub fn renew(&mut self, names: &[String], lease_until_ms: u64) {
        for name in names {
            if let Some(task) = self.tasks.get_mut(name) {
                task.lease_until_ms = lease_until_ms;
            }
        }
    }

    pub fn list(&self) -> Vec<ListedTask> {
        let listed =
            |(name, task): (&String, &Task)| ListedTask { name: name.clone(), state: task.state };
        self.tasks.iter().map(listed).collect()
    }
}
