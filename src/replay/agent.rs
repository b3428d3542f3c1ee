//! A scripted fake of a worker and the agent beside it. What it runs is the truth that promises are checked against.

use std::collections::BTreeMap;

use super::session::{ActualOutcome, Behaviour};
use crate::prelude::*;
use crate::scheduler::{
    Input, Output, ReserveResult, RunningShare, ShareRequest, TaskCell, TaskEnd, WorkerSpec,
};

/// The time for which an agent holds a reservation, in milliseconds.
const HOLD_MS: u64 = 10_000;
/// The time after which a task on a worker that fails everything fails, in milliseconds.
const FAILURE_MS: u64 = 200;
/// The time that a probe takes, in milliseconds.
const PROBE_MS: u64 = 1_000;

/// A worker and its agent.
#[derive(Debug)]
pub(super) struct Agent {
    pub(super) spec: WorkerSpec,
    pub(super) behaviour: Behaviour,
    /// Whether the VM is up.
    pub(super) alive: bool,
    /// Whether a leader told the agent to refuse work until it joins again.
    pub(super) fenced: bool,
    /// The highest epoch that the agent has seen.
    pub(super) epoch: Epoch,
    /// Ends of tasks that no leader has acknowledged.
    pub(super) unacknowledged: Vec<Input>,
    gangs: BTreeMap<GangId, HeldGang>,
    /// The tasks of reservations that ended by themselves, so that a late start is refused task by task.
    lapsed: BTreeMap<GangId, Vec<TaskCell>>,
    serial: u64,
}

/// What the agent holds for one gang.
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
    Held,
    Starting { saved_ms: u64 },
    Running { since_ms: u64, saved_ms: u64 },
}

/// Something that the agent does later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Timer {
    pub(super) gang: GangId,
    serial: u64,
    due: Due,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Due {
    HoldEnds,
    Runs,
    Ends(TaskEnd),
    Checkpoint,
    Usage,
}

/// What follows from an order or a timer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    /// Report to the leader.
    Report(Input),
    /// Report to the leader later.
    ReportAfter(u64, Input),
    /// Wake the agent later.
    After(u64, Timer),
    /// Tasks of a gang began to run.
    Began { gang: GangId, tasks: Vec<TaskCell>, saved_ms: u64 },
    /// Running tasks of a gang ended.
    Ceased { gang: GangId, tasks: Vec<TaskCell>, end: TaskEnd, progress_ms: u64 },
    /// The progress of a gang up to here is saved.
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
            lapsed: BTreeMap::new(),
            serial: 0,
        }
    }

    /// Follows a new leader: gives up reservations of earlier ones and lists what runs.
    pub(super) fn join(&mut self, epoch: Epoch) -> Input {
        self.epoch = self.epoch.max(epoch);
        self.fenced = false;
        self.gangs.retain(|_, held| held.stage != Stage::Held);
        let running = self.gangs.iter().map(|(gang, held)| RunningShare {
            gang: gang.clone(),
            job: held.job.clone(),
            tasks: held.tasks.clone(),
        });
        Input::WorkerUp { worker: self.spec.clone(), running: running.collect() }
    }

    /// Carries out an order of a leader. An order of an earlier epoch has no effect.
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
                self.timer(gang, self.behaviour.checkpoint_ms, Due::Checkpoint)
            }
            Output::Stop { gang, .. } => self.stop(gang),
            Output::Fence { .. } => self.fence(now_ms),
            Output::Probe { .. } => {
                let worker = self.spec.id.clone();
                let succeeded = !self.behaviour.fails_everything;
                vec![Effect::ReportAfter(PROBE_MS, Input::Probed { worker, succeeded })]
            }
            Output::WriteIntent { .. } | Output::WriteQueued { .. } | Output::WriteEnd { .. } => {
                Vec::new()
            }
        }
    }

    /// Does what a timer was set for, unless the gang left the worker in between.
    pub(super) fn wake(&mut self, now_ms: u64, timer: &Timer) -> Vec<Effect> {
        let Some(held) = self.gangs.get(&timer.gang) else { return Vec::new() };
        if held.serial != timer.serial {
            return Vec::new();
        }
        match timer.due {
            Due::HoldEnds => self.end_hold(&timer.gang),
            Due::Runs => self.run(now_ms, &timer.gang),
            Due::Ends(end) => self.end(now_ms, &timer.gang, end),
            Due::Checkpoint => self.checkpoint(now_ms, &timer.gang),
            Due::Usage => self.usage(&timer.gang),
        }
    }

    /// Ends every task at once, because its lease lapsed, its VM failed or a leader fenced the worker.
    pub(super) fn lose_all(&mut self, now_ms: u64) -> Vec<Effect> {
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
            return vec![self.reserved(gang, ReserveResult::Held)];
        }
        if let Some(reason) = self.refusal(job, share) {
            return vec![self.reserved(gang, ReserveResult::Refused { reason: reason.to_owned() })];
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
            stage: Stage::Held,
        };
        self.gangs.insert(gang.clone(), held);
        let mut effects = self.timer(gang, HOLD_MS, Due::HoldEnds);
        effects.push(self.reserved(gang, ReserveResult::Held));
        effects
    }

    /// Says why tasks do not fit beside those that the agent holds already.
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
        if self.gangs.get(gang).is_some_and(|h| h.stage == Stage::Held) {
            self.gangs.remove(gang);
        }
        Vec::new()
    }

    fn start(&mut self, gang: &GangId, saved_ms: u64, may_start: bool) -> Vec<Effect> {
        let start_ms = self.behaviour.start_ms;
        match self.gangs.get_mut(gang) {
            Some(held) if held.stage != Stage::Held => Vec::new(),
            Some(held) if may_start => {
                held.stage = Stage::Starting { saved_ms };
                self.timer(gang, start_ms, Due::Runs)
            }
            Some(_) => self.refuse_start(gang),
            None => self.refuse_lapsed(gang),
        }
    }

    fn refuse_start(&mut self, gang: &GangId) -> Vec<Effect> {
        let Some(held) = self.gangs.remove(gang) else { return Vec::new() };
        let cells = held.tasks.iter();
        cells.map(|cell| self.ended_report(gang, cell.task, TaskEnd::Refused)).collect()
    }

    fn refuse_lapsed(&mut self, gang: &GangId) -> Vec<Effect> {
        let cells = self.lapsed.remove(gang).unwrap_or_default();
        cells.iter().map(|cell| self.ended_report(gang, cell.task, TaskEnd::Refused)).collect()
    }

    fn end_hold(&mut self, gang: &GangId) -> Vec<Effect> {
        if self.gangs.get(gang).is_some_and(|h| h.stage == Stage::Held)
            && let Some(held) = self.gangs.remove(gang)
        {
            self.lapsed.insert(gang.clone(), held.tasks);
        }
        Vec::new()
    }

    fn run(&mut self, now_ms: u64, gang: &GangId) -> Vec<Effect> {
        let fails_everything = self.behaviour.fails_everything;
        let Some(held) = self.gangs.get_mut(gang) else { return Vec::new() };
        let Stage::Starting { saved_ms } = held.stage else { return Vec::new() };
        held.stage = Stage::Running { since_ms: now_ms, saved_ms };
        let rest_ms = held.actual.run_ms.saturating_sub(saved_ms).max(1);
        let (after_ms, end) = match (fails_everything, held.actual.fails) {
            (true, _) => (FAILURE_MS.min(rest_ms), TaskEnd::Failed),
            (false, true) => (rest_ms, TaskEnd::Failed),
            (false, false) => (rest_ms, TaskEnd::Succeeded),
        };
        let began = Effect::Began { gang: gang.clone(), tasks: held.tasks.clone(), saved_ms };
        let worker = self.spec.id.clone();
        let mut effects =
            vec![began, Effect::Report(Input::Started { gang: gang.clone(), worker })];
        effects.extend(self.timer(gang, after_ms, Due::Ends(end)));
        effects.extend(self.timer(gang, self.behaviour.usage_lag_ms, Due::Usage));
        effects
    }

    fn stop(&mut self, gang: &GangId) -> Vec<Effect> {
        match self.gangs.get(gang).map(|held| &held.stage) {
            Some(Stage::Held) => self.refuse_start(gang),
            Some(_) if self.behaviour.ignores_stop => Vec::new(),
            Some(_) => self.timer(gang, self.behaviour.stop_ms, Due::Ends(TaskEnd::Stopped)),
            None => Vec::new(),
        }
    }

    fn fence(&mut self, now_ms: u64) -> Vec<Effect> {
        self.fenced = true;
        self.lose_all(now_ms)
    }

    /// Ends what the agent holds of a gang; a reservation ends without a report.
    fn end(&mut self, now_ms: u64, gang: &GangId, end: TaskEnd) -> Vec<Effect> {
        let Some(held) = self.gangs.remove(gang) else { return Vec::new() };
        let mut effects = Vec::new();
        if let Stage::Running { since_ms, saved_ms } = held.stage {
            let progress_ms = saved_ms + now_ms - since_ms;
            let tasks = held.tasks.clone();
            effects.push(Effect::Ceased { gang: gang.clone(), tasks, end, progress_ms });
        }
        if held.stage != Stage::Held {
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

    fn usage(&self, gang: &GangId) -> Vec<Effect> {
        let Some(held) = self.gangs.get(gang) else { return Vec::new() };
        let task = held.job.task;
        vec![Effect::Report(Input::Usage {
            gang: gang.clone(),
            cores_per_mille: task.cores * 1_000,
            memory_mb: held.actual.memory_mb.unwrap_or(task.memory_mb),
        })]
    }

    fn reserved(&self, gang: &GangId, result: ReserveResult) -> Effect {
        let worker = self.spec.id.clone();
        Effect::Report(Input::Reserved { gang: gang.clone(), worker, result })
    }

    fn ended_report(&self, gang: &GangId, task: u32, end: TaskEnd) -> Effect {
        let worker = self.spec.id.clone();
        Effect::Report(Input::TaskEnded { gang: gang.clone(), worker, task, end })
    }

    fn timer(&self, gang: &GangId, after_ms: u64, due: Due) -> Vec<Effect> {
        let Some(held) = self.gangs.get(gang) else { return Vec::new() };
        let timer = Timer { gang: gang.clone(), serial: held.serial, due };
        vec![Effect::After(after_ms, timer)]
    }
}
