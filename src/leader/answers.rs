//! Handling of messages from members and of members that join or are lost.

use std::collections::BTreeMap;

use rand::Rng;

use super::{Leader, Output};
use crate::membership::{JoinedMember, MembersInput, MembersOutput};
use crate::prelude::*;
use crate::scheduler::{self, TaskEnd};
use crate::wire::{LeaderMessage, MemberMessage};

impl Leader {
    /// Handles a message of a member. While a new leader collects the joins of its members, it ignores all messages but
    /// joins and heartbeats; members repeat the others.
    pub(super) fn handle_member_message<R>(
        &mut self,
        now_ms: u64,
        message: &MemberMessage,
        random: &mut R,
        out: &mut Vec<Output>,
    ) where
        R: Rng,
    {
        if let Some(input) = to_members_input(message) {
            let outputs = self.members.handle(now_ms, &input);
            return self.apply_member_outputs(now_ms, outputs, random, out);
        }
        if self.members.is_recovering() {
            return;
        }
        if let Some(worker) = worker_of(message) {
            if self.members.incarnation(worker).is_none() {
                return;
            }
            self.outbox.remove_answered(worker, message);
        }
        match message {
            MemberMessage::NotStarted { worker, gang, never_ran } => {
                let end = if *never_ran { TaskEnd::Refused } else { TaskEnd::Lost };
                for task in self.shares.open_tasks(gang, worker) {
                    self.end_task(now_ms, gang, worker, task, end, random);
                }
            }
            MemberMessage::TaskEnded { worker, gang, task, end } => {
                self.end_task(now_ms, gang, worker, *task, *end, random);
                self.acknowledge_end(worker, gang, *task, out);
            }
            _ => {
                if let Some(input) = to_scheduler_input(message) {
                    self.schedule(now_ms, &input, random);
                }
            }
        }
    }

    fn end_task<R>(
        &mut self,
        now_ms: u64,
        gang: &GangId,
        worker: &WorkerId,
        task: u32,
        end: TaskEnd,
        random: &mut R,
    ) where
        R: Rng,
    {
        self.shares.end_task(gang, worker, task);
        if self.shares.open_tasks(gang, worker).is_empty() {
            let ended = MembersInput::PartEnded { gang: gang.clone(), worker: worker.clone() };
            self.members.handle(now_ms, &ended);
        }
        let (gang, worker) = (gang.clone(), worker.clone());
        let input = scheduler::Input::TaskEnded { gang, worker, task, end };
        self.schedule(now_ms, &input, random);
    }

    /// Acknowledges the end of a task once the gang is closed, because a later leader needs the end until then. The
    /// member repeats the end until it is acknowledged.
    fn acknowledge_end(&self, worker: &WorkerId, gang: &GangId, task: u32, out: &mut Vec<Output>) {
        let Some(incarnation) = self.members.incarnation(worker) else { return };
        if !self.is_open(gang) {
            let message = LeaderMessage::EndNoted { gang: gang.clone(), task };
            out.push(Output::Send { worker: worker.clone(), incarnation, message });
        }
    }

    pub(super) fn apply_member_outputs<R>(
        &mut self,
        now_ms: u64,
        outputs: Vec<MembersOutput>,
        random: &mut R,
        out: &mut Vec<Output>,
    ) where
        R: Rng,
    {
        for output in outputs {
            match output {
                MembersOutput::Send { worker, incarnation, message } => {
                    out.push(Output::Send { worker, incarnation, message });
                }
                MembersOutput::Recovered { members } => self.adopt_members(now_ms, members, random),
                MembersOutput::Up { member } => {
                    self.outbox.remove_worker(&member.worker.id);
                    self.add_member(now_ms, member, random);
                }
                MembersOutput::Lost { worker } => {
                    self.outbox.remove_worker(&worker);
                    self.shares.remove_worker(&worker);
                    self.schedule(now_ms, &scheduler::Input::WorkerLost { worker }, random);
                }
                MembersOutput::EndGang { gang, worker } => self.stop(now_ms, gang, &worker),
                MembersOutput::Deposed { .. } => out.push(Output::Deposed),
            }
        }
    }

    /// Adds the members that joined a new leader to the scheduler, with the latest attempt of each job. Earlier
    /// attempts were abandoned by an earlier leader and are stopped.
    fn adopt_members<R>(&mut self, now_ms: u64, members: Vec<JoinedMember>, random: &mut R)
    where
        R: Rng,
    {
        let mut latest: BTreeMap<JobId, u32> = BTreeMap::new();
        for share in members.iter().flat_map(|member| &member.running) {
            let number = latest.entry(share.gang.job.clone()).or_default();
            *number = (*number).max(share.gang.number);
        }
        for mut member in members {
            let is_latest = |gang: &GangId| latest.get(&gang.job) == Some(&gang.number);
            for share in member.running.iter().filter(|share| !is_latest(&share.gang)) {
                self.stop(now_ms, share.gang.clone(), &member.worker.id);
            }
            member.running.retain(|share| is_latest(&share.gang));
            self.add_member(now_ms, member, random);
        }
        self.next_scan_ms = now_ms;
    }

    /// Adds a member to the scheduler and records the shares that run on it.
    fn add_member<R>(&mut self, now_ms: u64, member: JoinedMember, random: &mut R)
    where
        R: Rng,
    {
        for share in &member.running {
            let worker = member.worker.id.clone();
            self.shares.add(&share.gang, &worker, &share.tasks);
            let assigned = MembersInput::GangAssigned { gang: share.gang.clone(), worker };
            self.members.handle(now_ms, &assigned);
        }
        let JoinedMember { worker, running } = member;
        self.schedule(now_ms, &scheduler::Input::WorkerUp { worker, running }, random);
    }
}

/// Returns the worker named in a message, if any.
fn worker_of(message: &MemberMessage) -> Option<&WorkerId> {
    match message {
        MemberMessage::Join { worker, .. } => Some(&worker.id),
        MemberMessage::Heartbeat { worker, .. }
        | MemberMessage::Reserved { worker, .. }
        | MemberMessage::Started { worker, .. }
        | MemberMessage::Released { worker, .. }
        | MemberMessage::NotStarted { worker, .. }
        | MemberMessage::TaskEnded { worker, .. }
        | MemberMessage::Checkpointed { worker, .. }
        | MemberMessage::Probed { worker, .. } => Some(worker),
        MemberMessage::Usage { .. } => None,
    }
}

/// Converts a message that concerns the membership to its input.
fn to_members_input(message: &MemberMessage) -> Option<MembersInput> {
    match message.clone() {
        MemberMessage::Heartbeat { worker, incarnation, epoch, sequence, .. } => {
            Some(MembersInput::Heartbeat { worker, incarnation, epoch, sequence })
        }
        MemberMessage::Join { part, parts, worker, incarnation, epoch, running } => {
            Some(MembersInput::Join { part, parts, worker, incarnation, epoch, running })
        }
        _ => None,
    }
}

/// Converts a message that the scheduler handles unchanged to its input.
fn to_scheduler_input(message: &MemberMessage) -> Option<scheduler::Input> {
    match message.clone() {
        MemberMessage::Reserved { worker, gang, result } => {
            Some(scheduler::Input::Reserved { gang, worker, result })
        }
        MemberMessage::Started { worker, gang } => Some(scheduler::Input::Started { gang, worker }),
        MemberMessage::Checkpointed { worker, gang, saved_ms } => {
            Some(scheduler::Input::Checkpointed { gang, worker, saved_ms })
        }
        MemberMessage::Usage { gang, cores_per_mille, memory_mb } => {
            Some(scheduler::Input::Usage { gang, cores_per_mille, memory_mb })
        }
        MemberMessage::Probed { worker, succeeded } => {
            Some(scheduler::Input::Probed { worker, succeeded })
        }
        _ => None,
    }
}
