//! Handling of the leader's messages by a worker's agent.

use super::agent::{RefusedGang, send};
use super::gang::{Gang, Phase};
use super::{Output, TaskStart, WorkerAgent, WorkerCall, fit};
use crate::prelude::*;
use crate::scheduler::{ReserveResult, ShareRequest, TaskEnd};
use crate::wire::{LeaderMessage, MemberMessage};

/// Delay before a checkpoint that the worker did not confirm may be requested again, in milliseconds.
const CHECKPOINT_RETRY_MS: u64 = 5_000;

impl WorkerAgent {
    /// Handles a message of the leader whose epoch the agent follows.
    pub(super) fn handle_leader(
        &mut self,
        now_ms: u64,
        message: &LeaderMessage,
        outputs: &mut Vec<Output>,
    ) {
        match message {
            LeaderMessage::HeartbeatAck { sequence, lease_ms, permit_ms, withheld } => {
                self.handle_heartbeat_ack(
                    now_ms, *sequence, *lease_ms, *permit_ms, withheld, outputs,
                );
            }
            LeaderMessage::Joined => {
                self.joined = self.clean;
                self.due.heartbeat_ms = self.due.heartbeat_ms.min(now_ms);
            }
            LeaderMessage::Reserve { gang, job, share, hold_ms } => {
                let until_ms = now_ms + u64::from(*hold_ms);
                self.reserve(now_ms, gang, job, share, until_ms, outputs);
            }
            LeaderMessage::Release { gang } => self.release(now_ms, gang, outputs),
            LeaderMessage::Start { gang, saved_ms, sequence, permit_ms } => {
                self.extend_permit(*sequence, *permit_ms);
                self.start(now_ms, gang, *saved_ms, outputs);
            }
            LeaderMessage::Checkpoint { gang } => self.checkpoint(now_ms, gang, outputs),
            LeaderMessage::Stop { gang } => self.stop(now_ms, gang, outputs),
            LeaderMessage::Fence => self.fence(now_ms, outputs),
            LeaderMessage::Probe => self.probe(outputs),
            LeaderMessage::EndNoted { gang, task } => self.mark_end_acknowledged(gang, *task),
        }
    }

    /// Applies the lease and the permit in the answer to a heartbeat. Answers are ignored if the same or a later
    /// heartbeat was already answered.
    fn handle_heartbeat_ack(
        &mut self,
        now_ms: u64,
        sequence: u64,
        lease_ms: u32,
        permit_ms: u32,
        withheld: &[GangId],
        outputs: &mut Vec<Output>,
    ) {
        let Some(lease_until_ms) = self.granted_until(sequence, lease_ms) else { return };
        if sequence <= self.acknowledged {
            return;
        }
        self.acknowledged = sequence;
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms);
        if permit_ms == 0 {
            self.withdrawn = sequence;
            self.permit_until_ms = 0;
        }
        self.extend_permit(sequence, permit_ms);
        self.renew(now_ms, withheld, outputs);
    }

    /// Extends the leases of the gangs that are not withheld, and renews their tasks at the worker.
    fn renew(&mut self, now_ms: u64, withheld: &[GangId], outputs: &mut Vec<Output>) {
        let lease_until_ms = self.lease_until_ms;
        if lease_until_ms <= now_ms {
            return;
        }
        let mut tasks = Vec::new();
        for gang in &mut self.gangs {
            if !gang.is_kept_alive() || withheld.contains(&gang.id) {
                continue;
            }
            gang.lease_until_ms = gang.lease_until_ms.max(lease_until_ms);
            if matches!(gang.phase, Phase::Running { .. }) {
                tasks.extend(gang.live_names());
            }
        }
        if !tasks.is_empty() {
            let lease_ms = lease_until_ms - now_ms;
            outputs.push(Output::Call { call: WorkerCall::Renew { tasks, lease_ms } });
        }
    }

    fn extend_permit(&mut self, sequence: u64, permit_ms: u32) {
        // A withdrawal also applies to permits that answer earlier heartbeats but arrive later.
        if permit_ms == 0 || sequence < self.withdrawn {
            return;
        }
        if let Some(until_ms) = self.granted_until(sequence, permit_ms) {
            self.permit_until_ms = self.permit_until_ms.max(until_ms);
        }
    }

    fn reserve(
        &mut self,
        now_ms: u64,
        id: &GangId,
        job: &JobSpec,
        share: &ShareRequest,
        until_ms: u64,
        outputs: &mut Vec<Output>,
    ) {
        if !self.joined {
            return;
        }
        let result = match self.try_reserve(id, job, share) {
            Ok(true) => {
                self.gangs.retain(|gang| &gang.id != id);
                self.gangs.push(Gang::reserved(id, self.epoch, job, share, until_ms));
                ReserveResult::Held
            }
            Ok(false) => ReserveResult::Held,
            Err(reason) => {
                self.refuse(now_ms, id);
                ReserveResult::Refused { reason }
            }
        };
        let worker = self.config.worker.id.clone();
        outputs.push(send(MemberMessage::Reserved { worker, gang: id.clone(), result }));
    }

    /// Checks a reservation. Returns true if it is new and false if it repeats an existing one.
    ///
    /// # Errors
    ///
    /// The reason for which the reservation is refused.
    fn try_reserve(
        &self,
        id: &GangId,
        job: &JobSpec,
        share: &ShareRequest,
    ) -> Result<bool, String> {
        if self.refused.iter().any(|refused| &refused.gang == id && refused.epoch == self.epoch) {
            return Err("the gang was already released or refused in this epoch".to_owned());
        }
        if let Some(gang) = self.gangs.iter().find(|gang| &gang.id == id) {
            match gang.phase {
                // The next leader may give the number of an attempt that never became durable to a new attempt.
                Phase::Ended { never_ran: true, .. } if gang.epoch < self.epoch => {}
                Phase::Ended { .. } | Phase::Stopping { .. } => {
                    return Err("the gang has already ended on this worker".to_owned());
                }
                _ if gang.tasks == share.tasks => return Ok(false),
                _ => return Err("the gang already holds other cells on this worker".to_owned()),
            }
        }
        let holding = self.gangs.iter().filter(|gang| gang.holds_cells());
        fit::check(&self.config.worker, job, share, holding).map(|()| true)
    }

    /// Refuses a gang for the rest of the epoch if it is not reserved, because a late message could otherwise reserve
    /// it.
    fn refuse(&mut self, now_ms: u64, id: &GangId) {
        let epoch = self.epoch;
        if self.gangs.iter().any(|gang| &gang.id == id)
            || self.refused.iter().any(|refused| &refused.gang == id && refused.epoch == epoch)
        {
            return;
        }
        self.refused.push(RefusedGang { gang: id.clone(), epoch, at_ms: now_ms });
    }

    fn release(&mut self, now_ms: u64, id: &GangId, outputs: &mut Vec<Output>) {
        let worker = self.config.worker.id.clone();
        match self.gang_mut(id) {
            None => self.refuse(now_ms, id),
            Some(gang) => match gang.phase {
                Phase::Held { .. } => gang.phase = Phase::Ended { at_ms: now_ms, never_ran: true },
                Phase::Ended { never_ran: true, .. } => {}
                // The leader released the gang as one that was never started, so its tasks must not run.
                _ => return self.stop(now_ms, id, outputs),
            },
        }
        outputs.push(send(MemberMessage::Released { worker, gang: id.clone() }));
    }

    fn start(&mut self, now_ms: u64, id: &GangId, saved_ms: u64, outputs: &mut Vec<Output>) {
        let worker = self.config.worker.id.clone();
        let valid_until_ms = self.permit_until_ms.min(self.lease_until_ms);
        let lease_until_ms = self.lease_until_ms;
        let Some(gang) = self.gang_mut(id) else { return self.answer_unknown(now_ms, id, outputs) };
        match gang.phase {
            Phase::Held { .. } if valid_until_ms <= now_ms => {
                gang.phase = Phase::Ended { at_ms: now_ms, never_ran: true };
                self.answer_ended(id, outputs);
            }
            Phase::Held { until_ms } => {
                gang.phase = Phase::Starting { since_ms: now_ms };
                gang.lease_until_ms = lease_until_ms;
                let valid_ms = valid_until_ms.min(until_ms) - now_ms;
                let lease_ms = lease_until_ms - now_ms;
                outputs.push(Output::Call { call: start_call(gang, saved_ms, lease_ms, valid_ms) });
            }
            Phase::Starting { .. } | Phase::Stopping { .. } => {}
            Phase::Running { .. } => {
                outputs.push(send(MemberMessage::Started { worker, gang: id.clone() }));
            }
            Phase::Ended { .. } => self.answer_ended(id, outputs),
        }
    }

    /// Answers a message about a gang without a record. Its tasks may have run before the agent restarted, so the
    /// answer does not state that they never ran.
    fn answer_unknown(&mut self, now_ms: u64, id: &GangId, outputs: &mut Vec<Output>) {
        self.refuse(now_ms, id);
        let worker = self.config.worker.id.clone();
        let gang = id.clone();
        outputs.push(send(MemberMessage::NotStarted { worker, gang, never_ran: false }));
    }

    /// Answers a message about an ended gang: repeats the ends of its tasks, or reports that it never ran.
    fn answer_ended(&mut self, id: &GangId, outputs: &mut Vec<Output>) {
        let worker = self.config.worker.id.clone();
        let Some(gang) = self.gang_mut(id) else { return };
        if matches!(gang.phase, Phase::Ended { never_ran: true, .. }) {
            let gang = id.clone();
            outputs.push(send(MemberMessage::NotStarted { worker, gang, never_ran: true }));
            return;
        }
        let ends: Vec<(u32, TaskEnd)> = gang.ends.iter().map(|(task, r)| (*task, r.end)).collect();
        for (task, end) in ends {
            outputs.push(self.task_ended(id.clone(), task, end));
        }
    }

    fn stop(&mut self, now_ms: u64, id: &GangId, outputs: &mut Vec<Output>) {
        let Some(gang) = self.gang_mut(id) else { return self.answer_unknown(now_ms, id, outputs) };
        match gang.phase {
            Phase::Held { .. } => {
                gang.phase = Phase::Ended { at_ms: now_ms, never_ran: true };
                self.answer_ended(id, outputs);
            }
            Phase::Starting { .. } | Phase::Running { .. } => {
                self.stop_gang(id, TaskEnd::Stopped, outputs);
            }
            Phase::Stopping { .. } => {}
            Phase::Ended { .. } => self.answer_ended(id, outputs),
        }
    }

    fn checkpoint(&mut self, now_ms: u64, id: &GangId, outputs: &mut Vec<Output>) {
        let Some(gang) = self.gang_mut(id) else { return self.answer_unknown(now_ms, id, outputs) };
        match gang.phase {
            Phase::Running { .. } => {
                let since_ms = gang.checkpoint_since_ms;
                if since_ms.is_some_and(|since_ms| now_ms < since_ms + CHECKPOINT_RETRY_MS) {
                    return;
                }
                gang.checkpoint_since_ms = Some(now_ms);
                let call = WorkerCall::Checkpoint { gang: id.clone(), tasks: gang.live_names() };
                outputs.push(Output::Call { call });
            }
            Phase::Ended { .. } => self.answer_ended(id, outputs),
            _ => {}
        }
    }

    /// Stops all gangs. The agent joins again with a new incarnation, so that late messages to the old one are ignored.
    fn fence(&mut self, now_ms: u64, outputs: &mut Vec<Output>) {
        self.config.incarnation = self.config.incarnation.next();
        self.joined = false;
        self.clean = false;
        self.lease_until_ms = 0;
        self.permit_until_ms = 0;
        self.heartbeats.clear();
        let ids: Vec<GangId> = self.gangs.iter().map(|gang| gang.id.clone()).collect();
        for id in &ids {
            self.stop_gang(id, TaskEnd::Stopped, outputs);
        }
        for gang in &mut self.gangs {
            // The leader that fences the worker treats its gangs as lost, so the next join does not report them again.
            gang.epoch = self.epoch;
            if matches!(gang.phase, Phase::Held { .. }) {
                gang.phase = Phase::Ended { at_ms: now_ms, never_ran: true };
            }
        }
    }

    fn probe(&mut self, outputs: &mut Vec<Output>) {
        if !self.probing {
            self.probing = true;
            outputs.push(Output::Call { call: WorkerCall::Probe });
        }
    }

    fn mark_end_acknowledged(&mut self, id: &GangId, task: u32) {
        if let Some(reported) = self.gang_mut(id).and_then(|gang| gang.ends.get_mut(&task)) {
            reported.noted = true;
        }
    }
}

fn start_call(gang: &Gang, saved_ms: u64, lease_ms: u64, valid_ms: u64) -> WorkerCall {
    let tasks = gang.tasks.iter().map(|cell| TaskStart {
        name: gang.name(cell.task),
        accelerator_mask: cell.accelerator_mask,
    });
    WorkerCall::Start {
        gang: gang.id.clone(),
        need: gang.job.task,
        tasks: tasks.collect(),
        run_ms: gang.job.declared_run_ms,
        saved_ms,
        lease_ms,
        valid_ms,
    }
}
