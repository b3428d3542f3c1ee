//! State of a worker's agent and its periodic actions.

use std::collections::VecDeque;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use super::WorkerConfig;
use super::gang::{Gang, Phase};
use super::{Input, ListedTask, Output, TaskName, TaskState, WorkerAnswer, WorkerCall};
use crate::permit::shorten_for_drift;
use crate::prelude::*;
use crate::scheduler::{RunningShare, TaskEnd};
use crate::wire::MemberMessage;

/// Interval between two lists of the worker's tasks while tasks may run there, in milliseconds.
const LIST_INTERVAL_MS: u64 = 1_000;
/// Initial delay before an unanswered message to the leader is repeated, in milliseconds.
const REPEAT_INTERVAL_MS: u64 = 500;
/// Maximum delay between two repetitions, in milliseconds, which limits the messages to a leader that does not answer.
const MAX_REPEAT_INTERVAL_MS: u64 = 8_000;
/// Interval between two queries for the group's leader, in milliseconds.
const FIND_LEADER_INTERVAL_MS: u64 = 2_000;
/// Time for which an ended or refused gang is kept, in milliseconds, so that a late repetition of its start is
/// recognised. A datagram stays in the network for less than two minutes, and the leader repeats for at most a few
/// minutes.
const ENDED_GANG_RETENTION_MS: u64 = 600_000;
/// Maximum number of heartbeats whose send times are kept.
const MAX_SENT_HEARTBEATS: usize = 16;
/// Maximum size of the running shares in one datagram, in bytes. A datagram holds 1,200 bytes including its frame and
/// the worker's description.
const MAX_JOIN_PART_BYTES: usize = 850;
/// Name prefix of the agent's probe tasks.
pub(crate) const PROBE_TASK: &str = "probe";

/// State of the agent of a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerAgent {
    pub(super) config: WorkerConfig,
    /// Highest epoch received; 0 if none.
    pub(super) epoch: Epoch,
    /// Whether the leader of the epoch acknowledged the join.
    pub(super) joined: bool,
    /// Whether a list of the worker has shown that no task from before the agent's incarnation runs there.
    pub(super) clean: bool,
    pub(super) gangs: Vec<Gang>,
    /// Gangs that were released or refused before any reservation at this agent.
    pub(super) refused: Vec<RefusedGang>,
    pub(super) lease_until_ms: u64,
    pub(super) permit_until_ms: u64,
    pub(super) acknowledged: u64,
    /// Sequence number of the heartbeat whose answer last withdrew the permit.
    pub(super) withdrawn: u64,
    pub(super) sequence: u64,
    pub(super) heartbeats: VecDeque<SentHeartbeat>,
    pub(super) contact_ms: u64,
    pub(super) probing: bool,
    pub(super) next_list: u64,
    pub(super) due: Due,
    bundle: BundleVersion,
}

/// Gang that the agent refuses for the rest of an epoch.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RefusedGang {
    pub(super) gang: GangId,
    pub(super) epoch: Epoch,
    pub(super) at_ms: u64,
}

/// Sequence number and send time of a heartbeat.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SentHeartbeat {
    pub(super) sequence: u64,
    pub(super) at_ms: u64,
}

/// Times of the agent's next periodic actions.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Due {
    pub(super) heartbeat_ms: u64,
    pub(super) join_ms: u64,
    pub(super) list_ms: u64,
    pub(super) find_leader_ms: u64,
    pub(super) repeat_ms: u64,
    pub(super) repeat_delay_ms: u64,
}

impl WorkerAgent {
    /// Creates the agent of a worker. It joins a leader once a list of the worker shows no task of an earlier agent.
    pub fn new(config: WorkerConfig) -> Self {
        Self {
            config,
            epoch: Epoch::default(),
            joined: false,
            clean: false,
            gangs: Vec::new(),
            refused: Vec::new(),
            lease_until_ms: 0,
            permit_until_ms: 0,
            acknowledged: 0,
            withdrawn: 0,
            sequence: 0,
            heartbeats: VecDeque::new(),
            contact_ms: 0,
            probing: false,
            next_list: 1,
            due: Due { repeat_delay_ms: REPEAT_INTERVAL_MS, ..Due::default() },
            bundle: BundleVersion::default(),
        }
    }

    /// Handles one input and returns the resulting actions. `now_ms` is a time of this process's monotonic clock.
    pub fn handle<R>(&mut self, now_ms: u64, input: &Input, random: &mut R) -> Vec<Output>
    where
        R: Rng,
    {
        let mut outputs = Vec::new();
        // The process may have been paused, so leases that lapsed in the meantime are applied before the input.
        self.end_lapsed(now_ms, &mut outputs);
        match input {
            Input::Leader { epoch, incarnation, message } => {
                self.observe_epoch(now_ms, *epoch);
                if *epoch == self.epoch && *incarnation == self.config.incarnation {
                    self.contact_ms = now_ms;
                    self.handle_leader(now_ms, message, &mut outputs);
                }
            }
            Input::EpochReported { epoch } => self.observe_epoch(now_ms, *epoch),
            Input::Worker { answer } => self.handle_worker(now_ms, answer, &mut outputs),
            Input::BundleActivated { version } => self.bundle = (*version).max(self.bundle),
            Input::Tick => self.tick(now_ms, random, &mut outputs),
        }
        outputs
    }

    /// Returns the highest epoch that the agent has received.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the worker of the agent.
    pub fn worker(&self) -> &crate::scheduler::WorkerSpec {
        &self.config.worker
    }

    /// Returns the agent's incarnation, which rises when a leader fences the worker.
    pub fn incarnation(&self) -> Incarnation {
        self.config.incarnation
    }

    /// Returns whether the leader of the agent's epoch acknowledged it.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Returns the gangs whose tasks may run on the worker.
    pub fn live_gangs(&self) -> impl Iterator<Item = &GangId> {
        self.gangs.iter().filter(|gang| gang.may_run()).map(|gang| &gang.id)
    }

    pub(super) fn gang_mut(&mut self, id: &GangId) -> Option<&mut Gang> {
        self.gangs.iter_mut().find(|gang| &gang.id == id)
    }

    /// Switches to a higher epoch: reservations of earlier leaders end, and the next join reports the running gangs to
    /// the new leader.
    fn observe_epoch(&mut self, now_ms: u64, epoch: Epoch) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.joined = false;
        self.lease_until_ms = 0;
        self.permit_until_ms = 0;
        self.heartbeats.clear();
        self.due.join_ms = 0;
        self.due.repeat_delay_ms = REPEAT_INTERVAL_MS;
        for gang in &mut self.gangs {
            if matches!(gang.phase, Phase::Held { .. }) {
                gang.phase = Phase::Ended { at_ms: now_ms, never_ran: true };
            }
            // The next join reports this gang to the new leader, which needs all its task ends; it would wait forever
            // for ends that only the earlier leader received.
            if gang.may_run() || gang.ends.values().any(|end| !end.noted) {
                gang.ends.values_mut().for_each(|end| end.noted = false);
            }
        }
    }

    /// Ends expired reservations and stops the tasks of gangs whose lease has lapsed.
    fn end_lapsed(&mut self, now_ms: u64, outputs: &mut Vec<Output>) {
        let next_list = self.next_list;
        for gang in &mut self.gangs {
            match gang.phase {
                Phase::Held { until_ms } if until_ms <= now_ms => {
                    gang.phase = Phase::Ended { at_ms: now_ms, never_ran: true };
                }
                _ if gang.is_kept_alive() && gang.lease_until_ms <= now_ms => {
                    stop_tasks(gang, TaskEnd::Lost, next_list, outputs);
                    self.due.list_ms = 0;
                }
                _ => {}
            }
        }
    }

    /// Stops the tasks of a gang if the agent keeps them alive.
    pub(super) fn stop_gang(&mut self, id: &GangId, end: TaskEnd, outputs: &mut Vec<Output>) {
        let next_list = self.next_list;
        self.due.list_ms = 0;
        if let Some(gang) = self.gang_mut(id) {
            stop_tasks(gang, end, next_list, outputs);
        }
    }

    fn handle_worker(&mut self, now_ms: u64, answer: &WorkerAnswer, outputs: &mut Vec<Output>) {
        match answer {
            WorkerAnswer::Listed { number, tasks } => {
                self.compare_list(now_ms, *number, tasks, outputs);
            }
            WorkerAnswer::Started { gang } => self.record_started(now_ms, gang, outputs),
            WorkerAnswer::StartFailed { gang, never_ran } => {
                self.record_start_failed(now_ms, gang, *never_ran, outputs);
            }
            WorkerAnswer::Checkpointed { gang: id, saved_ms } => {
                if let Some(gang) = self.gang_mut(id) {
                    gang.checkpoint_since_ms = None;
                }
                let worker = self.config.worker.id.clone();
                let gang = id.clone();
                let saved_ms = *saved_ms;
                outputs.push(send(MemberMessage::Checkpointed { worker, gang, saved_ms }));
            }
            WorkerAnswer::Usage { gang, cores_per_mille, memory_mb } => {
                let gang = gang.clone();
                let (cores_per_mille, memory_mb) = (*cores_per_mille, *memory_mb);
                outputs.push(send(MemberMessage::Usage { gang, cores_per_mille, memory_mb }));
            }
            WorkerAnswer::Probed { succeeded } => {
                self.probing = false;
                let worker = self.config.worker.id.clone();
                outputs.push(send(MemberMessage::Probed { worker, succeeded: *succeeded }));
            }
        }
    }

    fn record_started(&mut self, now_ms: u64, id: &GangId, outputs: &mut Vec<Output>) {
        let listed_from = self.next_list;
        let worker = self.config.worker.id.clone();
        let Some(gang) = self.gang_mut(id) else { return };
        let Phase::Starting { .. } = gang.phase else { return };
        gang.phase = Phase::Running { listed_from };
        let call = WorkerCall::Renew {
            tasks: gang.live_names(),
            lease_ms: gang.lease_until_ms.saturating_sub(now_ms),
        };
        outputs.push(Output::Call { call });
        outputs.push(send(MemberMessage::Started { worker, gang: id.clone() }));
    }

    fn record_start_failed(
        &mut self,
        now_ms: u64,
        id: &GangId,
        never_ran: bool,
        outputs: &mut Vec<Output>,
    ) {
        let worker = self.config.worker.id.clone();
        let Some(gang) = self.gang_mut(id) else { return };
        if !matches!(gang.phase, Phase::Starting { .. } | Phase::Stopping { .. }) {
            return;
        }
        if never_ran {
            gang.phase = Phase::Ended { at_ms: now_ms, never_ran };
            let gang = id.clone();
            outputs.push(send(MemberMessage::NotStarted { worker, gang, never_ran }));
        } else if gang.is_kept_alive() {
            self.stop_gang(id, TaskEnd::Failed, outputs);
        }
    }

    /// Compares the worker's task list with the agent's gangs: reports tasks that ended and stops tasks that should not
    /// run.
    fn compare_list(
        &mut self,
        now_ms: u64,
        number: u64,
        tasks: &[ListedTask],
        outputs: &mut Vec<Output>,
    ) {
        let orphans = self.find_orphans(tasks);
        let has_orphans = !orphans.is_empty();
        if has_orphans {
            outputs.push(Output::Call { call: WorkerCall::Stop { tasks: orphans } });
        }
        let mut ended = Vec::new();
        for gang in &mut self.gangs {
            let cells: Vec<u32> = gang.tasks.iter().map(|cell| cell.task).collect();
            for task in cells {
                let name = gang.name(task);
                let state = tasks.iter().find(|listed| listed.name == name).map(|l| l.state);
                let Some(end) = gang.task_end(state, number) else { continue };
                if gang.end_task(task, end) {
                    ended.push((gang.id.clone(), task, end));
                }
            }
            gang.end_if_all_tasks_ended(now_ms);
            if matches!(gang.phase, Phase::Stopping { .. }) {
                // The stop is repeated, because its call may have been lost.
                outputs.push(Output::Call { call: WorkerCall::Stop { tasks: gang.live_names() } });
            }
        }
        if !has_orphans && !self.gangs.iter().any(Gang::may_run) {
            self.clean = true;
        }
        for (gang, task, end) in ended {
            self.due.repeat_delay_ms = REPEAT_INTERVAL_MS;
            self.due.repeat_ms = now_ms + REPEAT_INTERVAL_MS;
            outputs.push(self.task_ended(gang, task, end));
        }
    }

    /// Returns the names of running tasks that belong to no live gang of this agent and are no probes.
    fn find_orphans(&self, tasks: &[ListedTask]) -> Vec<String> {
        let is_expected = |listed: &ListedTask| {
            listed.name.starts_with(PROBE_TASK)
                || listed.name.parse().is_ok_and(|name: TaskName| {
                    self.gangs.iter().any(|gang| gang.id == name.gang && gang.may_run())
                })
        };
        let running = tasks.iter().filter(|listed| listed.state == TaskState::Running);
        running.filter(|listed| !is_expected(listed)).map(|listed| listed.name.clone()).collect()
    }

    pub(super) fn task_ended(&self, gang: GangId, task: u32, end: TaskEnd) -> Output {
        let worker = self.config.worker.id.clone();
        send(MemberMessage::TaskEnded { worker, gang, task, end })
    }

    fn tick<R>(&mut self, now_ms: u64, random: &mut R, outputs: &mut Vec<Output>)
    where
        R: Rng,
    {
        self.remove_expired(now_ms);
        self.request_list(now_ms, outputs);
        self.find_leader(now_ms, outputs);
        if self.epoch == Epoch::default() || !self.clean {
            return;
        }
        self.join(now_ms, outputs);
        if self.joined {
            self.send_heartbeat(now_ms, random, outputs);
            self.repeat_ends(now_ms, outputs);
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.gangs.retain(|gang| match gang.phase {
            Phase::Ended { at_ms, .. } => now_ms < at_ms + ENDED_GANG_RETENTION_MS,
            _ => true,
        });
        self.refused.retain(|refused| now_ms < refused.at_ms + ENDED_GANG_RETENTION_MS);
    }

    fn request_list(&mut self, now_ms: u64, outputs: &mut Vec<Output>) {
        let needed = !self.clean || self.gangs.iter().any(Gang::may_run);
        if needed && now_ms >= self.due.list_ms {
            self.due.list_ms = now_ms + LIST_INTERVAL_MS;
            outputs.push(Output::Call { call: WorkerCall::List { number: self.next_list } });
            self.next_list += 1;
        }
    }

    /// Queries an entry for the leader while no leader answers, or while the leader grants no permit, which may mean
    /// that another process has taken over.
    fn find_leader(&mut self, now_ms: u64, outputs: &mut Vec<Output>) {
        let silence_ms = now_ms.saturating_sub(self.contact_ms);
        let is_silent = self.epoch == Epoch::default()
            || !self.joined
            || silence_ms > 5 * self.config.heartbeat_ms / 2;
        let lacks_permit = now_ms >= self.permit_until_ms + self.config.heartbeat_ms;
        if (is_silent || lacks_permit) && now_ms >= self.due.find_leader_ms {
            self.due.find_leader_ms = now_ms + FIND_LEADER_INTERVAL_MS;
            outputs.push(Output::FindLeader);
        }
    }

    fn join(&mut self, now_ms: u64, outputs: &mut Vec<Output>) {
        if self.joined || now_ms < self.due.join_ms {
            return;
        }
        self.due.join_ms = now_ms + REPEAT_INTERVAL_MS;
        let is_reported = |gang: &&Gang| match gang.phase {
            // A leader acknowledges an end once it is durable, so a new leader needs only unacknowledged ends.
            Phase::Ended { .. } => gang.epoch < self.epoch && gang.ends.values().any(|e| !e.noted),
            _ => gang.may_run(),
        };
        let shares = self.gangs.iter().filter(is_reported).map(Gang::running_share).collect();
        let parts = split_shares(shares);
        let count = parts.len() as u16;
        for (part, running) in parts.into_iter().enumerate() {
            outputs.push(send(MemberMessage::Join {
                part: part as u16,
                parts: count,
                worker: self.config.worker.clone(),
                incarnation: self.config.incarnation,
                epoch: self.epoch,
                running,
            }));
        }
    }

    fn send_heartbeat<R>(&mut self, now_ms: u64, random: &mut R, outputs: &mut Vec<Output>)
    where
        R: Rng,
    {
        if now_ms < self.due.heartbeat_ms {
            return;
        }
        // Jitter spreads the heartbeats of a group's members, which would coincide after a takeover.
        let jitter_ms = random.random_range(0..=self.config.heartbeat_ms / 10);
        self.due.heartbeat_ms = now_ms + self.config.heartbeat_ms - jitter_ms;
        self.sequence += 1;
        self.heartbeats.push_back(SentHeartbeat { sequence: self.sequence, at_ms: now_ms });
        if self.heartbeats.len() > MAX_SENT_HEARTBEATS {
            self.heartbeats.pop_front();
        }
        outputs.push(send(MemberMessage::Heartbeat {
            worker: self.config.worker.id.clone(),
            incarnation: self.config.incarnation,
            epoch: self.epoch,
            sequence: self.sequence,
            bundle: self.bundle,
        }));
    }

    fn repeat_ends(&mut self, now_ms: u64, outputs: &mut Vec<Output>) {
        if now_ms < self.due.repeat_ms {
            return;
        }
        let mut unacknowledged = Vec::new();
        for gang in &self.gangs {
            let ends = gang.ends.iter().filter(|(_, reported)| !reported.noted);
            unacknowledged
                .extend(ends.map(|(task, r)| self.task_ended(gang.id.clone(), *task, r.end)));
        }
        self.due.repeat_ms = now_ms + self.due.repeat_delay_ms;
        if !unacknowledged.is_empty() {
            self.due.repeat_delay_ms = (self.due.repeat_delay_ms * 2).min(MAX_REPEAT_INTERVAL_MS);
        }
        outputs.append(&mut unacknowledged);
    }

    /// Returns the expiry time of a duration granted in answer to a heartbeat, counted from the heartbeat's send time
    /// and shortened for clock drift. Returns `None` if the send time of the heartbeat is not recorded.
    pub(super) fn granted_until(&self, sequence: u64, duration_ms: u32) -> Option<u64> {
        let heartbeat = self.heartbeats.iter().find(|h| h.sequence == sequence)?;
        Some(heartbeat.at_ms + shorten_for_drift(u64::from(duration_ms)))
    }
}

pub(super) fn send(message: MemberMessage) -> Output {
    Output::Send { message }
}

fn stop_tasks(gang: &mut Gang, end: TaskEnd, listed_from: u64, outputs: &mut Vec<Output>) {
    if gang.is_kept_alive() {
        gang.phase = Phase::Stopping { end, listed_from };
        outputs.push(Output::Call { call: WorkerCall::Stop { tasks: gang.live_names() } });
    }
}

/// Splits shares into parts that each fit in one datagram. Returns at least one part.
fn split_shares(shares: Vec<RunningShare>) -> Vec<Vec<RunningShare>> {
    let mut parts = vec![Vec::new()];
    let mut part_bytes = 0;
    for share in shares {
        let bytes =
            postcard::to_stdvec(&share).map_or(MAX_JOIN_PART_BYTES, |encoded| encoded.len());
        if part_bytes > 0 && part_bytes + bytes > MAX_JOIN_PART_BYTES {
            parts.push(Vec::new());
            part_bytes = 0;
        }
        part_bytes += bytes;
        if let Some(part) = parts.last_mut() {
            part.push(share);
        }
    }
    parts
}
