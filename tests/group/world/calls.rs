//! Calls of agents to their simulated workers, and the checks at each start of a gang.

use super::*;

impl World {
    pub(super) fn call(&mut self, node: usize, call: WorkerCall, decided_ms: u64) {
        let elapsed_ms = self.local_ms(node) - decided_ms;
        let now_ms = self.now_ms;
        self.nodes[node].machine.end_due_tasks(now_ms);
        let answer = match call {
            WorkerCall::Start { gang, valid_ms, .. } if elapsed_ms >= valid_ms => {
                WorkerAnswer::StartFailed { gang, never_ran: true }
            }
            WorkerCall::Start { ref gang, .. } => {
                let gang = gang.clone();
                self.start_tasks(node, &call, elapsed_ms);
                WorkerAnswer::Started { gang }
            }
            WorkerCall::Renew { tasks, lease_ms } => {
                let lease_until_ms = now_ms + lease_ms.saturating_sub(elapsed_ms);
                return self.nodes[node].machine.renew(&tasks, lease_until_ms);
            }
            WorkerCall::Stop { tasks } => return self.nodes[node].machine.stop(&tasks),
            WorkerCall::List { number } => {
                WorkerAnswer::Listed { number, tasks: self.nodes[node].machine.list() }
            }
            WorkerCall::Checkpoint { gang, .. } => WorkerAnswer::Checkpointed { gang, saved_ms: 0 },
            WorkerCall::Probe => WorkerAnswer::Probed { succeeded: true },
        };
        let delay_ms = self.random.random_range(1..10);
        self.push(node, delay_ms, Event::Answer { answer });
    }

    pub(super) fn start_tasks(&mut self, node: usize, call: &WorkerCall, elapsed_ms: u64) {
        let WorkerCall::Start { gang, tasks, run_ms, lease_ms, .. } = call else { return };
        let row = self.job(&gang.job);
        if row.state != (JobState::Running { attempt: gang.number }) {
            self.record_violation(format!(
                "{gang} starts on n{node} while the state of its row is {:?}",
                row.state
            ));
        }
        let (state, _, changed_ms) = self.data_centre;
        if state == DataCentreState::Out && self.now_ms > changed_ms + 2_000 {
            let late_ms = self.now_ms - changed_ms;
            self.record_violation(format!(
                "{gang} starts {late_ms} ms after the data centre went out"
            ));
        }
        for task in tasks {
            let fails = self.random.random_range(0..50) == 0;
            if self.started.insert(task.name.clone(), self.now_ms).is_some() {
                self.record_violation(format!("{} starts twice", task.name));
            }
            let accelerator_mask = task.accelerator_mask;
            if self.nodes[node]
                .machine
                .running()
                .any(|other| other.accelerator_mask & accelerator_mask != 0)
            {
                self.record_violation(format!("{} overlaps another task on n{node}", task.name));
            }
            let started = Task {
                name: task.name.parse().unwrap(),
                gang_tasks: row.spec.tasks,
                accelerator_mask,
                state: TaskState::Running,
                lease_until_ms: self.now_ms + lease_ms.saturating_sub(elapsed_ms),
                ends_ms: self.now_ms + run_ms,
                fails,
            };
            self.nodes[node].machine.tasks.insert(task.name.clone(), started);
        }
        self.record(format!("n{node} starts {gang}"));
    }
}
