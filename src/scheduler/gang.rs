//! The steps of a gang from the choice of its cells to its last task: reserve, intent, start, end.

use rand::Rng;

use super::jobs::{Gang, GangShare, Job, Rights, ShareState, Stage, StopReason};
use super::message::{Output, ReserveResult, ShareRequest, TaskCell, TaskEnd, WriteResult};
use super::state::{OrphanShare, Scheduler};
use crate::placement::{Holding, JobKey, Plan};
use crate::prelude::*;

/// The time that agents have to answer a reservation; urgent work must start within 2,500 ms even after one retry.
pub(crate) const RESERVE_MS: u64 = 800;
/// The time that agents have to start reserved tasks.
const START_MS: u64 = 5_000;
/// The time for which a worker gets no new work after its agent refused some.
const REFUSED_MS: u64 = 1_000;
/// The time that the release of a reservation may take to arrive.
const RELEASE_MS: u64 = 200;
/// The time before a job is tried again after an attempt that did not start.
const RETRY_MS: u64 = 200;
/// Conflicting intents in a row after which the job's row certainly belongs to somebody else.
const MAX_CONFLICTS: u32 = 3;

impl Scheduler {
    /// Accepts a job whose row is durable.
    pub(crate) fn submit<R>(
        &mut self,
        now_ms: u64,
        spec: &JobSpec,
        saved_ms: u64,
        attempts: u32,
        random: &mut R,
        out: &mut Vec<Output>,
    ) where
        R: Rng,
    {
        if self.ended.get(&spec.id).is_some() || self.keys.contains_key(&spec.id) {
            return;
        }
        let refusal = self.refusal(spec);
        let rights = self.rights(spec).unwrap_or_else(|| self.unruled(spec));
        let key = self.add_job(now_ms, spec, rights);
        let demand = self.expected_demand(spec, rights.organisation);
        let job = self.job_mut(key);
        job.demand = demand;
        job.attempts = attempts;
        job.saved_ms = saved_ms;
        job.may_still_run = attempts > 0;
        job.in_doubt = attempts > 0;
        job.ran = saved_ms > 0;
        if let Some(reason) = refusal {
            let end = match attempts {
                0 => JobEnd::NotRun { reason },
                _ => JobEnd::Failed { reason },
            };
            self.end_job(key, end, out);
            return;
        }
        self.enter_queue(key);
        self.settle_unrepeatable(now_ms, key, out);
        if self.jobs.contains_key(&key) {
            self.try_new(now_ms, key, random, out);
        }
    }

    /// Returns the rights of work that is submitted before any bundle is known; they are renewed by the bundle.
    fn unruled(&mut self, spec: &JobSpec) -> Rights {
        let organisation = self.organisation(&spec.organisation);
        Rights { organisation, class: Class::Normal, borrows: false, reclaimable: false }
    }

    /// Starts an attempt on cells that are free.
    pub(crate) fn begin(&mut self, now_ms: u64, key: JobKey, plan: Plan, out: &mut Vec<Output>) {
        self.form_gang(now_ms, key, plan, Stage::Reserving, now_ms + RESERVE_MS);
        self.reserve_shares(key, out);
    }

    /// Gives a waiting job a gang with planned cells.
    pub(crate) fn form_gang(
        &mut self,
        now_ms: u64,
        key: JobKey,
        plan: Plan,
        stage: Stage,
        deadline_ms: u64,
    ) {
        self.leave_queue(key);
        let reserved = |(worker, tasks): &(u32, Vec<TaskCell>)| {
            let mask = tasks.iter().fold(0, |all, cell| all | cell.accelerator_mask);
            self.pool.worker(*worker).reserved & mask != 0
        };
        let holder = self.reservation.as_ref().map(|reservation| reservation.job);
        let backfill = holder.filter(|holder| *holder != key && plan.iter().any(reserved));
        let job = self.job_mut(key);
        let id = job.next_gang();
        job.attempts += 1;
        let shares = plan
            .into_iter()
            .map(|(worker, tasks)| GangShare::new(worker, tasks, ShareState::Asked))
            .collect();
        job.gang = Some(Gang {
            id,
            stage,
            shares,
            deadline_ms,
            started_ms: now_ms,
            ran: false,
            in_doubt: false,
            leaves: None,
            backfill,
            for_urgent: false,
        });
        self.active.insert(key);
    }

    /// Holds the cells of a gang and asks the agents for them.
    pub(crate) fn reserve_shares(&mut self, key: JobKey, out: &mut Vec<Output>) {
        self.hold_shares(key);
        let job = &self.jobs[&key];
        let Some(gang) = &job.gang else { return };
        for share in &gang.shares {
            out.push(Output::Reserve {
                gang: gang.id.clone(),
                job: Box::new(job.spec.clone()),
                share: ShareRequest {
                    worker: self.pool.worker(share.worker).spec.id.clone(),
                    tasks: share.tasks.clone(),
                },
            });
        }
    }

    /// Holds the cells of all shares that have not ended.
    pub(crate) fn hold_shares(&mut self, key: JobKey) {
        let job = &self.jobs[&key];
        let Some(gang) = &job.gang else { return };
        let rights = job.rights;
        let live = gang.shares.iter().filter(|share| share.state != ShareState::Ended);
        let holdings: Vec<(u32, Holding)> =
            live.map(|share| (share.worker, holding(job, &share.tasks))).collect();
        let mut used = 0;
        for (worker, holding) in holdings {
            used += holding.mask.count_ones();
            self.pool.hold(worker, holding);
        }
        self.organisations[rights.organisation as usize].used += used;
    }

    /// Frees the cells of a job on one worker.
    pub(crate) fn free_share(&mut self, key: JobKey, worker: u32) {
        let held = self.pool.worker(worker).holdings.iter().filter(|h| h.job == key);
        let freed = held.map(|h| h.mask.count_ones()).sum::<u32>();
        self.pool.release(worker, key);
        let organisation = self.jobs[&key].rights.organisation;
        let entry = &mut self.organisations[organisation as usize];
        entry.used = entry.used.saturating_sub(freed);
        self.touch(worker);
    }

    /// Finds the job of a gang, unless the gang is not the job's present attempt.
    pub(crate) fn find(&self, gang: &GangId) -> Option<JobKey> {
        let key = *self.keys.get(&gang.job)?;
        let current = self.jobs.get(&key)?.gang.as_ref()?;
        (&current.id == gang).then_some(key)
    }

    pub(crate) fn gang_mut(&mut self, key: JobKey) -> &mut Gang {
        self.job_mut(key).gang.as_mut().expect("an active job has a gang")
    }

    /// Notes an agent's answer to a reservation.
    pub(crate) fn reserved(
        &mut self,
        now_ms: u64,
        gang: &GangId,
        worker: &WorkerId,
        result: &ReserveResult,
        out: &mut Vec<Output>,
    ) {
        let (Some(key), Some(worker)) = (self.find(gang), self.pool.position(worker)) else {
            return;
        };
        let current = self.gang_mut(key);
        let stage = current.stage;
        let Some(share) = current.share_mut(worker) else { return };
        match (stage, result) {
            (Stage::Reserving, ReserveResult::Held) => share.state = ShareState::Held,
            (Stage::Reserving, ReserveResult::Refused { .. }) => {
                self.pool.worker_mut(worker).avoid_until_ms = now_ms + REFUSED_MS;
                self.give_up(now_ms, key, StopReason::Refused, false, out);
                return;
            }
            _ => return,
        }
        if self.gang_mut(key).all_reached(ShareState::Held) {
            let current = self.gang_mut(key);
            current.stage = Stage::Writing;
            current.deadline_ms = u64::MAX;
            out.push(Output::WriteIntent { gang: gang.clone() });
        }
    }

    /// Notes that the start of a gang is durable, or that it never will be.
    pub(crate) fn intent_written(
        &mut self,
        now_ms: u64,
        gang: &GangId,
        result: WriteResult,
        out: &mut Vec<Output>,
    ) {
        let Some(key) = self.find(gang) else { return };
        if self.gang_mut(key).stage != Stage::Writing {
            return;
        }
        match result {
            WriteResult::Durable if !self.permitted => {
                self.give_up(now_ms, key, StopReason::DataCentreOut, true, out);
            }
            WriteResult::Durable => match self.gang_mut(key).leaves {
                Some(why) => self.give_up(now_ms, key, why, true, out),
                None => self.start(now_ms, key, out),
            },
            WriteResult::Conflict => self.conflict(now_ms, key, out),
        }
    }

    fn start(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Output>) {
        let job = self.job_mut(key);
        job.conflicts = 0;
        job.resumed_ms = job.saved_ms;
        let saved_ms = job.saved_ms;
        let gang = self.gang_mut(key);
        gang.stage = Stage::Starting;
        gang.deadline_ms = now_ms + START_MS;
        gang.started_ms = now_ms;
        for share in &mut gang.shares {
            share.state = ShareState::Starting;
        }
        let gang = gang.clone();
        for share in &gang.shares {
            let worker = self.worker_id(share.worker);
            out.push(Output::Start { gang: gang.id.clone(), worker, saved_ms });
        }
    }

    pub(crate) fn worker_id(&self, worker: u32) -> WorkerId {
        self.pool.worker(worker).spec.id.clone()
    }

    /// Gives up an attempt whose intent met another writer's change of the job's row.
    fn conflict(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Output>) {
        let why = self.gang_mut(key).leaves.unwrap_or(StopReason::Refused);
        self.job_mut(key).conflicts += 1;
        if self.jobs[&key].conflicts < MAX_CONFLICTS || why == StopReason::Cancelled {
            self.give_up(now_ms, key, why, false, out);
            return;
        }
        // The row belongs to somebody else, so its end is not ours to write; a scan of the table submits it again.
        self.release_all(now_ms, key, out);
        self.active.remove(&key);
        if let Some(job) = self.jobs.remove(&key) {
            self.keys.remove(&job.spec.id);
        }
    }

    /// Releases all reservations of a gang that was not told to start.
    pub(crate) fn release_all(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Output>) {
        let gang = self.gang_mut(key).clone();
        if gang.stage == Stage::Claiming {
            self.drop_claim(key);
            return;
        }
        for share in &gang.shares {
            self.free_share(key, share.worker);
            self.cool_down(now_ms, &gang.id, share.worker, holding(&self.jobs[&key], &share.tasks));
            out.push(Output::Release {
                gang: gang.id.clone(),
                worker: self.worker_id(share.worker),
            });
        }
    }

    /// Keeps released cells for as long as the release may take to arrive.
    ///
    /// A reservation that overtakes the release of the same cells is refused, and two jobs can do this to each other for
    /// ever.
    fn cool_down(&mut self, now_ms: u64, gang: &GangId, worker: u32, mut holding: Holding) {
        let key = self.new_key();
        holding.job = key;
        holding.class = Class::Batch;
        holding.reclaimable = true;
        self.pool.hold(worker, holding);
        let (gang, deadline_ms) = (gang.clone(), now_ms + RELEASE_MS);
        self.strays.push(OrphanShare {
            key,
            gang,
            worker,
            tasks: Vec::new(),
            ended: 0,
            deadline_ms,
        });
    }

    /// Ends an attempt that was not told to start, and decides what becomes of its job.
    ///
    /// `durable` says whether the intent was written.
    pub(crate) fn give_up(
        &mut self,
        now_ms: u64,
        key: JobKey,
        why: StopReason,
        durable: bool,
        out: &mut Vec<Output>,
    ) {
        self.release_all(now_ms, key, out);
        self.active.remove(&key);
        let job = self.job_mut(key);
        let gang = job.gang.take().expect("an active job has a gang");
        let (is_repeatable, saved_ms) = (job.is_repeatable(), job.saved_ms);
        if why == StopReason::Cancelled {
            self.end_cancelled(key, out);
        } else if durable && !is_repeatable {
            let reason = "the start was given up before any task was started, and the job may not be repeated";
            self.end_job(key, JobEnd::NotRun { reason: reason.to_owned() }, out);
        } else {
            if durable {
                out.push(Output::WriteQueued { gang: gang.id, saved_ms });
            }
            self.wait_again(key, now_ms + RETRY_MS);
        }
    }

    /// Puts a job whose attempt is over back into the queue, with its old age.
    pub(crate) fn wait_again(&mut self, key: JobKey, retry_at_ms: u64) {
        let spec = self.jobs[&key].spec.clone();
        let rights = self.rights(&spec);
        let job = self.job_mut(key);
        job.gang = None;
        job.rights = rights.unwrap_or(job.rights);
        job.retry_at_ms = retry_at_ms;
        self.active.remove(&key);
        self.enter_queue(key);
        self.changed = true;
    }

    /// Notes that the tasks of a gang on one worker run.
    pub(crate) fn started(&mut self, now_ms: u64, gang: &GangId, worker: &WorkerId) {
        let (Some(key), Some(worker)) = (self.find(gang), self.pool.position(worker)) else {
            return;
        };
        let current = self.gang_mut(key);
        if !current.was_told_to_start() {
            return;
        }
        current.ran = true;
        if let Some(share) = current.share_mut(worker)
            && share.state == ShareState::Starting
        {
            share.state = ShareState::Running;
        }
        self.run_if_whole(now_ms, key);
    }

    /// Notes the end of a task.
    pub(crate) fn task_ended(
        &mut self,
        now_ms: u64,
        gang: &GangId,
        worker: &WorkerId,
        task: u32,
        end: TaskEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.pool.position(worker) else { return };
        let Some(key) = self.find(gang) else {
            self.orphan_task_ended(gang, worker, task);
            return;
        };
        let current = self.gang_mut(key);
        if !current.was_told_to_start() {
            current.leaves = current.leaves.or(Some(StopReason::Lost));
            return;
        }
        self.adopt_ended(key, worker, task);
        let Some(share) = self.gang_mut(key).share_mut(worker) else { return };
        if !share.end_task(task) {
            return;
        }
        if end == TaskEnd::Succeeded
            && let Some(position) = share.tasks.iter().position(|cell| cell.task == task)
        {
            share.succeeded |= 1 << position;
            self.pool.worker_mut(worker).failed_jobs.clear();
        }
        let current = self.gang_mut(key);
        match end {
            TaskEnd::Succeeded | TaskEnd::Failed => current.ran = true,
            TaskEnd::Stopped | TaskEnd::Lost => current.in_doubt = true,
            TaskEnd::Refused => {}
        }
        self.run_if_whole(now_ms, key);
        self.after_task(now_ms, key, worker, end, out);
    }

    fn after_task(
        &mut self,
        now_ms: u64,
        key: JobKey,
        worker: u32,
        end: TaskEnd,
        out: &mut Vec<Output>,
    ) {
        let why = match end {
            TaskEnd::Succeeded => None,
            TaskEnd::Failed => Some(StopReason::Failed(worker)),
            TaskEnd::Refused => Some(StopReason::Refused),
            TaskEnd::Stopped | TaskEnd::Lost => Some(StopReason::Lost),
        };
        self.end_share_if_ended(key, worker);
        if let Some(why) = why {
            self.stop_gang(now_ms, key, why, out);
        }
        self.finish_if_ended(now_ms, key, out);
    }

    /// Frees the cells of a share when all its tasks ended.
    pub(crate) fn end_share_if_ended(&mut self, key: JobKey, worker: u32) {
        let Some(share) = self.gang_mut(key).share_mut(worker) else { return };
        if share.all_tasks_ended() && share.state != ShareState::Ended {
            share.state = ShareState::Ended;
            self.free_share(key, worker);
        }
    }
}

/// Returns what some tasks of a job hold.
pub(crate) fn holding(job: &Job, tasks: &[TaskCell]) -> Holding {
    let count = tasks.len() as u32;
    Holding {
        job: job.key,
        mask: tasks.iter().fold(0, |all, cell| all | cell.accelerator_mask),
        cores: count * job.demand.task.cores,
        memory_mb: u64::from(count) * job.demand.task.memory_mb,
        organisation: job.rights.organisation,
        class: job.rights.class,
        reclaimable: job.rights.reclaimable,
        weight: job.demand.accelerators(),
    }
}
