//! The invariants that are checked at each tick of a node, and the log of messages.

use super::*;

impl World {
    /// Checks the invariants that hold at all times: at most one attempt of a job runs at once, and no gang runs
    /// partially for longer than [`fixture::PARTIAL_GANG_LIMIT_MS`].
    pub(super) fn check_invariants(&mut self) {
        let now_ms = self.now_ms;
        self.nodes.iter_mut().for_each(|node| node.machine.end_due_tasks(now_ms));
        let mut task_counts: BTreeMap<GangId, (u32, u32, u32)> = BTreeMap::new();
        for task in self.nodes.iter().flat_map(|node| node.machine.tasks.values()) {
            let counts =
                task_counts.entry(task.name.gang.clone()).or_insert((0, 0, task.gang_tasks));
            counts.0 += u32::from(task.state == TaskState::Running);
            counts.1 += u32::from(task.state == TaskState::Succeeded);
        }
        task_counts.retain(|_, (running, _, _)| *running > 0);
        self.partial_since.retain(|gang, _| task_counts.contains_key(gang));
        let mut attempts: BTreeMap<&JobId, u32> = BTreeMap::new();
        task_counts.keys().for_each(|gang| *attempts.entry(&gang.job).or_default() += 1);
        let duplicated: Vec<JobId> =
            attempts.iter().filter(|(_, n)| **n > 1).map(|(job, _)| (*job).clone()).collect();
        for job in duplicated {
            self.record_violation(format!("two attempts of {job} run at once"));
        }
        for (gang, (running, succeeded, all)) in task_counts {
            if running + succeeded == all {
                self.partial_since.remove(&gang);
                continue;
            }
            let since_ms = *self.partial_since.entry(gang.clone()).or_insert(now_ms);
            if now_ms - since_ms > fixture::PARTIAL_GANG_LIMIT_MS {
                self.record_violation(format!(
                    "{gang} has been running partially since {since_ms} ms"
                ));
            }
        }
    }

    pub(super) fn record_member_message(&mut self, node: usize, message: &MemberMessage) {
        if !matches!(message, MemberMessage::Heartbeat { .. }) {
            self.record(format!(
                "n{node} -> leader {}",
                fixture::summarize(&format!("{message:?}"))
            ));
        }
    }

    pub(super) fn record_leader_message(
        &mut self,
        node: usize,
        to: &WorkerId,
        message: &LeaderMessage,
    ) {
        if !matches!(message, LeaderMessage::HeartbeatAck { .. }) {
            self.record(format!("n{node} -> {to} {}", fixture::summarize(&format!("{message:?}"))));
        }
    }
}
