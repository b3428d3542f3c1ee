//! The promises that are checked after each event, and the record of the session.

use super::*;

impl World {
    /// Checks the promises that hold at each moment.
    pub(super) fn check(&mut self) {
        let now_ms = self.now_ms;
        self.nodes.iter_mut().for_each(|node| node.machine.settle(now_ms));
        let mut parts: BTreeMap<GangId, (u32, u32, u32)> = BTreeMap::new();
        for task in self.nodes.iter().flat_map(|node| node.machine.tasks.values()) {
            let part = parts.entry(task.name.gang.clone()).or_insert((0, 0, task.all_tasks));
            part.0 += u32::from(task.state == TaskState::Running);
            part.1 += u32::from(task.state == TaskState::Succeeded);
        }
        parts.retain(|_, (running, _, _)| *running > 0);
        self.partial_since.retain(|gang, _| parts.contains_key(gang));
        let mut jobs: BTreeMap<&JobId, u32> = BTreeMap::new();
        parts.keys().for_each(|gang| *jobs.entry(&gang.job).or_default() += 1);
        let twice: Vec<JobId> =
            jobs.iter().filter(|(_, n)| **n > 1).map(|(job, _)| (*job).clone()).collect();
        for job in twice {
            self.problem(format!("two attempts of {job} run at once"));
        }
        for (gang, (running, succeeded, all)) in parts {
            if running + succeeded == all {
                self.partial_since.remove(&gang);
                continue;
            }
            let since_ms = *self.partial_since.entry(gang.clone()).or_insert(now_ms);
            if now_ms - since_ms > fixture::PARTIAL_LIMIT_MS {
                self.problem(format!("{gang} has been partial since {since_ms}"));
            }
        }
    }

    pub(super) fn record_member_message(&mut self, node: usize, message: &MemberMessage) {
        if !matches!(message, MemberMessage::Heartbeat { .. }) {
            self.note(format!("n{node} -> leader {}", fixture::short(&format!("{message:?}"))));
        }
    }

    pub(super) fn record_leader_message(
        &mut self,
        node: usize,
        to: &WorkerId,
        message: &LeaderMessage,
    ) {
        if !matches!(message, LeaderMessage::HeartbeatAck { .. }) {
            self.note(format!("n{node} -> {to} {}", fixture::short(&format!("{message:?}"))));
        }
    }
}
