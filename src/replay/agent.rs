//! A simulated worker with its agent. The properties are checked against the tasks that it runs.

use std::collections::BTreeMap;

use super::session::{ActualOutcome, Behaviour};
use crate::prelude::*;
use crate::scheduler::{
    Input, Output, ReserveResult, RunningShare, ShareRequest, TaskCell, TaskEnd, WorkerSpec,
};

/// Time after which an agent drops a reservation that was not started, in milliseconds.
const RESERVATION_EXPIRY_MS: u64 = 10_000;
/// Time after which a task fails on a worker with `fails_everything`, in milliseconds.
const FAILURE_DELAY_MS: u64 = 200;
/// Duration of a probe, in milliseconds.
const PROBE_DURATION_MS: u64 = 1_000;

/// A worker and its agent.
#[derive(Debug)]
pub(super) struct Agent {
    pub(super) spec: WorkerSpec,
    pub(super) behaviour: Behaviour,
    /// Whether the VM is up.
    pub(super) alive: bool,
    /// Whether a leader fenced the agent, which refuses reservations until it joins again.
    pub(super) fenced: bool,
    /// Highest epoch that the agent received.
    pub(super) epoch: Epoch,
    /// Reports of ended tasks that no leader has acknowledged.
    pub(super) unacknowledged: Vec<Input>,
    gangs: BTreeMap<GangId, HeldGang>,
    /// Tasks of expired reservations, so that a late start is refused task by task.
    expired_reservations: BTreeMap<GangId, Vec<TaskCell>>,
    serial: u64,
}

/// Tasks of one gang that are reserved, starting or running on the worker.
#[derive(Debug)]
struct HeldGang {
    serial: u64,
    job: JobSpec,
    actual: ActualOutcome,
    tasks: Vec<TaskCell>,
    stage: Stage,
}

#[derive(Debug, PartialEq, Eq)]
enum Stage {
    Reserved,
    Starting { saved_ms: u64 },
    Running { since_ms: u64, saved_ms: u64 },
}

/// A timer of the agent for one gang.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Timer {
    pub(super) gang: GangId,
    serial: u64,
    kind: TimerKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TimerKind {
    ReservationExpiry,
    TasksRunning,
    End(TaskEnd),
    Checkpoint,
    Usage,
}

/// An effect of an order or a timer, which the simulation applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    /// Sends a report to the leader.
    Report(Input),
    /// Sends a report to the leader after a delay, in milliseconds.
    ReportAfter(u64, Input),
    /// Sets a timer that fires after a delay, in milliseconds.
    SetTimer(u64, Timer),
    /// Tasks of a gang started.
    Started { gang: GangId, tasks: Vec<TaskCell>, saved_ms: u64 },
    /// Running tasks of a gang ended.
    Ended { gang: GangId, tasks: Vec<TaskCell>, end: TaskEnd, progress_ms: u64 },
    /// A checkpoint saved the progress of a gang.
    Saved { gang: GangId, saved_ms: u64 },
}

impl Agent {
    pub(super) fn new(spec: WorkerSpec, behaviour: Behaviour) -> Self {
        Self {
            spec,
            behaviour,
            alive: true,
            fenced: false,
            epoch: Epoch::default(),
            unacknowledged: Vec::new(),
            gangs: BTreeMap::new(),
            expired_reservations: BTreeMap::new(),
            serial: 0,
        }
    }

    /// Joins a new leader: drops reservations of earlier leaders and returns the report of what is starting or running.
    pub(super) fn join(&mut self, epoch: Epoch) -> Input {
        self.epoch = self.epoch.max(epoch);
        self.fenced = false;
        self.gangs.retain(|_, held| held.stage != Stage::Reserved);
        let running = self.gangs.iter().map(|(gang, held)| RunningShare {
            gang: gang.clone(),
            job: held.job.clone(),
            tasks: held.tasks.clone(),
        });
        Input::WorkerUp { worker: self.spec.clone(), running: running.collect() }
    }

    /// Executes an order of a leader. An order of an earlier epoch is ignored.
    pub(super) fn order(
        &mut self,
        now_ms: u64,
        epoch: Epoch,
        may_start: bool,
        order: &Output,
        actual: Option<ActualOutcome>,
    ) -> Vec<Effect> {
        if epoch < self.epoch {
            return Vec::new();
        }
        self.epoch = epoch;
        match order {
            Output::Reserve { gang, job, share } => self.reserve(gang, job, share, actual),
            Output::Release { gang, .. } => self.release(gang),
            Output::Start { gang, saved_ms, .. } => self.start(gang, *saved_ms, may_start),
            Output::Checkpoint { gang, .. } => {
                self.set_timer(gang, self.behaviour.checkpoint_ms, TimerKind::Checkpoint)
            }
            Output::Stop { gang, .. } => self.stop(gang),
            Output::Fence { .. } => self.fence(now_ms),
            Output::Probe { .. } => {
                let worker = self.spec.id.clone();
                let succeeded = !self.behaviour.fails_everything;
                vec![Effect::ReportAfter(PROBE_DURATION_MS, Input::Probed { worker, succeeded })]
            }
            Output::WriteIntent { .. } | Output::WriteQueued { .. } | Output::WriteEnd { .. } => {
                Vec::new()
            }
        }
    }

    /// Handles a timer; ignored if the gang was removed from the worker since the timer was set.
    pub(super) fn on_timer(&mut self, now_ms: u64, timer: &Timer) -> Vec<Effect> {
        let Some(held) = self.gangs.get(&timer.gang) else { return Vec::new() };
        if held.serial != timer.serial {
            return Vec::new();
        }
        match timer.kind {
            TimerKind::ReservationExpiry => self.expire_reservation(&timer.gang),
            TimerKind::TasksRunning => self.begin_running(now_ms, &timer.gang),
            TimerKind::End(end) => self.end(now_ms, &timer.gang, end),
            TimerKind::Checkpoint => self.checkpoint(now_ms, &timer.gang),
            TimerKind::Usage => self.usage_report(&timer.gang),
        }
    }

    /// Ends every task at once, because its lease expired, its VM failed or a leader fenced the worker.
    pub(super) fn end_all_as_lost(&mut self, now_ms: u64) -> Vec<Effect> {
        let gangs: Vec<GangId> = self.gangs.keys().cloned().collect();
        gangs.iter().flat_map(|gang| self.end(now_ms, gang, TaskEnd::Lost)).collect()
    }

    fn reserve(
        &mut self,
        gang: &GangId,
        job: &JobSpec,
        share: &ShareRequest,
        actual: Option<ActualOutcome>,
    ) -> Vec<Effect> {
        if self.gangs.contains_key(gang) {
            return vec![self.reserve_report(gang, ReserveResult::Held)];
        }
        if let Some(reason) = self.refusal(job, share) {
            return vec![
                self.reserve_report(gang, ReserveResult::Refused { reason: reason.to_owned() }),
            ];
        }
        self.serial += 1;
        let actual = actual.unwrap_or(ActualOutcome {
            run_ms: job.declared_run_ms,
            fails: false,
            memory_mb: None,
        });
        let held = HeldGang {
            serial: self.serial,
            job: job.clone(),
            actual,
            tasks: share.tasks.clone(),
            stage: Stage::Reserved,
        };
        self.gangs.insert(gang.clone(), held);
        let mut effects = self.set_timer(gang, RESERVATION_EXPIRY_MS, TimerKind::ReservationExpiry);
        effects.push(self.reserve_report(gang, ReserveResult::Held));
        effects
    }

    /// Returns the reason for refusing a reservation, or `None` if its tasks fit beside those on the worker.
    fn refusal(&self, job: &JobSpec, share: &ShareRequest) -> Option<&'static str> {
        let held = self.gangs.values();
        let used_mask = held.clone().flat_map(|h| &h.tasks).fold(0, |m, c| m | c.accelerator_mask);
        let used_cores: u32 = held.clone().map(|h| h.job.task.cores * h.tasks.len() as u32).sum();
        let used_mb: u64 = held.map(|h| h.job.task.memory_mb * h.tasks.len() as u64).sum();
        let tasks = share.tasks.len();
        let mut mask = 0_u64;
        for cell in &share.tasks {
            if cell.accelerator_mask.count_ones() != job.task.accelerators {
                return Some("wrong number of accelerators");
            }
            if (mask | used_mask) & cell.accelerator_mask != 0 {
                return Some("accelerators are in use");
            }
            mask |= cell.accelerator_mask;
        }
        let shape = self.spec.shape;
        if self.fenced {
            Some("fenced")
        } else if mask.checked_shr(shape.accelerators).unwrap_or(0) != 0 {
            Some("no such accelerator")
        } else if used_cores + job.task.cores * tasks as u32 > shape.cores {
            Some("too few cores")
        } else if used_mb + job.task.memory_mb * tasks as u64 > shape.memory_mb {
            Some("too little memory")
        } else {
            None
        }
    }

    fn release(&mut self, gang: &GangId) -> Vec<Effect> {
        if self.gangs.get(gang).is_some_and(|h| h.stage == Stage::Reserved) {
            self.gangs.remove(gang);
        }
        Vec::new()
    }

    fn start(&mut self, gang: &GangId, saved_ms: u64, may_start: bool) -> Vec<Effect> {
        let start_ms = self.behaviour.start_ms;
        match self.gangs.get_mut(gang) {
            Some(held) if held.stage != Stage::Reserved => Vec::new(),
            Some(held) if may_start => {
                held.stage = Stage::Starting { saved_ms };
                self.set_timer(gang, start_ms, TimerKind::TasksRunning)
            }
            Some(_) => self.refuse_start(gang),
            None => self.refuse_expired(gang),
        }
    }

    fn refuse_start(&mut self, gang: &GangId) -> Vec<Effect> {
        let Some(held) = self.gangs.remove(gang) else { return Vec::new() };
        let cells = held.tasks.iter();
        cells.map(|cell| self.ended_report(gang, cell.task, TaskEnd::Refused)).collect()
    }

    fn refuse_expired(&mut self, gang: &GangId) -> Vec<Effect> {
        let cells = self.expired_reservations.remove(gang).unwrap_or_default();
        cells.iter().map(|cell| self.ended_report(gang, cell.task, TaskEnd::Refused)).collect()
    }

    fn expire_reservation(&mut self, gang: &GangId) -> Vec<Effect> {
        if self.gangs.get(gang).is_some_and(|h| h.stage == Stage::Reserved)
            && let Some(held) = self.gangs.remove(gang)
        {
            self.expired_reservations.insert(gang.clone(), held.tasks);
        }
        Vec::new()
    }

    fn begin_running(&mut self, now_ms: u64, gang: &GangId) -> Vec<Effect> {
        let fails_everything = self.behaviour.fails_everything;
        let Some(held) = self.gangs.get_mut(gang) else { return Vec::new() };
        let Stage::Starting { saved_ms } = held.stage else { return Vec::new() };
        held.stage = Stage::Running { since_ms: now_ms, saved_ms };
        let remaining_ms = held.actual.run_ms.saturating_sub(saved_ms).max(1);
        let (after_ms, end) = match (fails_everything, held.actual.fails) {
            (true, _) => (FAILURE_DELAY_MS.min(remaining_ms), TaskEnd::Failed),
            (false, true) => (remaining_ms, TaskEnd::Failed),
            (false, false) => (remaining_ms, TaskEnd::Succeeded),
        };
        let started = Effect::Started { gang: gang.clone(), tasks: held.tasks.clone(), saved_ms };
        let worker = self.spec.id.clone();
        let mut effects =
            vec![started, Effect::Report(Input::Started { gang: gang.clone(), worker })];
        effects.extend(self.set_timer(gang, after_ms, TimerKind::End(end)));
        effects.extend(self.set_timer(gang, self.behaviour.usage_lag_ms, TimerKind::Usage));
        effects
    }

    fn stop(&mut self, gang: &GangId) -> Vec<Effect> {
        match self.gangs.get(gang).map(|held| &held.stage) {
            Some(Stage::Reserved) => self.refuse_start(gang),
            Some(_) if self.behaviour.ignores_stop => Vec::new(),
            Some(_) => {
                self.set_timer(gang, self.behaviour.stop_ms, TimerKind::End(TaskEnd::Stopped))
            }
            None => Vec::new(),
        }
    }

    fn fence(&mut self, now_ms: u64) -> Vec<Effect> {
        self.fenced = true;
        self.end_all_as_lost(now_ms)
    }

    /// Removes a gang from the worker and reports the end of its tasks; a reservation is removed without a report.
    fn end(&mut self, now_ms: u64, gang: &GangId, end: TaskEnd) -> Vec<Effect> {
        let Some(held) = self.gangs.remove(gang) else { return Vec::new() };
        let mut effects = Vec::new();
        if let Stage::Running { since_ms, saved_ms } = held.stage {
            let progress_ms = saved_ms + now_ms - since_ms;
            let tasks = held.tasks.clone();
            effects.push(Effect::Ended { gang: gang.clone(), tasks, end, progress_ms });
        }
        if held.stage != Stage::Reserved {
            let reports = held.tasks.iter().map(|c| self.ended_report(gang, c.task, end));
            effects.extend(reports);
        }
        effects
    }

    fn checkpoint(&mut self, now_ms: u64, gang: &GangId) -> Vec<Effect> {
        let Some(held) = self.gangs.get(gang) else { return Vec::new() };
        let Stage::Running { since_ms, saved_ms } = held.stage else { return Vec::new() };
        if !held.job.can_checkpoint {
            return Vec::new();
        }
        let saved_ms = saved_ms + now_ms - since_ms;
        let worker = self.spec.id.clone();
        let report = Input::Checkpointed { gang: gang.clone(), worker, saved_ms };
        vec![Effect::Saved { gang: gang.clone(), saved_ms }, Effect::Report(report)]
    }

    fn usage_report(&self, gang: &GangId) -> Vec<Effect> {
        let Some(held) = self.gangs.get(gang) else { return Vec::new() };
        let task = held.job.task;
        vec![Effect::Report(Input::Usage {
            gang: gang.clone(),
            cores_per_mille: task.cores * 1_000,
            memory_mb: held.actual.memory_mb.unwrap_or(task.memory_mb),
        })]
    }

    fn reserve_report(&self, gang: &GangId, result: ReserveResult) -> Effect {
        let worker = self.spec.id.clone();
        Effect::Report(Input::Reserved { gang: gang.clone(), worker, result })
    }

    fn ended_report(&self, gang: &GangId, task: u32, end: TaskEnd) -> Effect {
        let worker = self.spec.id.clone();
        Effect::Report(Input::TaskEnded { gang: gang.clone(), worker, task, end })
    }

    fn set_timer(&self, gang: &GangId, after_ms: u64, kind: TimerKind) -> Vec<Effect> {
        let Some(held) = self.gangs.get(gang) else { return Vec::new() };
        let timer = Timer { gang: gang.clone(), serial: held.serial, kind };
        vec![Effect::SetTimer(after_ms, timer)]
    }
}
