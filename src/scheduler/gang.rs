//! Stages of a gang from its planned cells to the end of its last task: reserve, intent, start, end.

use rand::Rng;

use super::jobs::{Gang, GangShare, Job, Rights, ShareState, Stage, StopReason};
use super::message::{Output, ReserveResult, ShareRequest, TaskCell, TaskEnd, WriteResult};
use super::state::{OrphanShare, Scheduler};
use crate::placement::{Holding, JobKey, Plan};
use crate::prelude::*;

/// Time limit for the answer of agents to a reservation, in milliseconds.
///
/// Urgent work must start within 2,500 ms even after one retry.
pub(crate) const RESERVE_TIMEOUT_MS: u64 = 800;
/// Time limit for the start of reserved tasks, in milliseconds.
const START_TIMEOUT_MS: u64 = 5_000;
/// Time for which a worker gets no new work after its agent refused a reservation, in milliseconds.
const REFUSAL_BACKOFF_MS: u64 = 1_000;
/// Time that the release of a reservation may take to reach the agent, in milliseconds.
const RELEASE_DELAY_MS: u64 = 200;
/// Delay before the next attempt of a job after one that did not start, in milliseconds.
const RETRY_DELAY_MS: u64 = 200;
/// Number of consecutive conflicting intents after which the job's row is considered owned by another writer.
const MAX_CONSECUTIVE_CONFLICTS: u32 = 3;

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
        let rights = self.rights(spec).unwrap_or_else(|| self.default_rights(spec));
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
        self.end_if_unrepeatable(now_ms, key, out);
        if self.jobs.contains_key(&key) {
            self.try_new(now_ms, key, random, out);
        }
    }

    /// Returns the rights of a job that is submitted before the first bundle, which replaces them.
    fn default_rights(&mut self, spec: &JobSpec) -> Rights {
        let organisation = self.organisation(&spec.organisation);
        Rights { organisation, class: Class::Normal, borrows: false, reclaimable: false }
    }

    /// Creates a gang on free cells and requests their reservation.
    pub(crate) fn begin(&mut self, now_ms: u64, key: JobKey, plan: Plan, out: &mut Vec<Output>) {
        self.form_gang(now_ms, key, plan, Stage::Reserving, now_ms + RESERVE_TIMEOUT_MS);
        self.reserve_shares(key, out);
    }

    /// Removes a job from the queue and creates a gang for it with the planned cells.
    pub(crate) fn form_gang(
        &mut self,
        now_ms: u64,
        key: JobKey,
        plan: Plan,
        stage: Stage,
        deadline_ms: u64,
    ) {
        self.remove_from_queue(key);
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
            stop_reason: None,
            backfill,
            for_urgent: false,
        });
        self.active.insert(key);
    }

    /// Marks the cells of a gang as held and requests their reservation from the agents.
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

    /// Marks the cells of all shares that have not ended as held by the job.
    pub(crate) fn hold_shares(&mut self, key: JobKey) {
        let job = &self.jobs[&key];
        let Some(gang) = &job.gang else { return };
        let rights = job.rights;
        let unended = gang.shares.iter().filter(|share| share.state != ShareState::Ended);
        let holdings: Vec<(u32, Holding)> =
            unended.map(|share| (share.worker, holding(job, &share.tasks))).collect();
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

    /// Returns the job of a gang, or `None` if the gang is not the job's current attempt.
    pub(crate) fn find(&self, gang: &GangId) -> Option<JobKey> {
        let key = *self.keys.get(&gang.job)?;
        let current = self.jobs.get(&key)?.gang.as_ref()?;
        (&current.id == gang).then_some(key)
    }

    pub(crate) fn gang_mut(&mut self, key: JobKey) -> &mut Gang {
        self.job_mut(key).gang.as_mut().expect("an active job has a gang")
    }

    /// Records an agent's answer to a reservation, and requests the intent when all shares are held.
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
                self.pool.worker_mut(worker).avoid_until_ms = now_ms + REFUSAL_BACKOFF_MS;
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

    /// Starts a gang whose intent is durable, or gives up the attempt.
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
            WriteResult::Durable => match self.gang_mut(key).stop_reason {
                Some(stop_reason) => self.give_up(now_ms, key, stop_reason, true, out),
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
        gang.deadline_ms = now_ms + START_TIMEOUT_MS;
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

    /// Gives up an attempt whose intent conflicted with another writer's change of the job's row.
    fn conflict(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Output>) {
        let stop_reason = self.gang_mut(key).stop_reason.unwrap_or(StopReason::Refused);
        self.job_mut(key).conflicts += 1;
        if self.jobs[&key].conflicts < MAX_CONSECUTIVE_CONFLICTS
            || stop_reason == StopReason::Cancelled
        {
            self.give_up(now_ms, key, stop_reason, false, out);
            return;
        }
        // Another writer owns the row, so this scheduler must not write its end. If the row is still open, a scan of
        // the table submits the job again.
        self.release_all(now_ms, key, out);
        self.active.remove(&key);
        if let Some(job) = self.jobs.remove(&key) {
            self.keys.remove(&job.spec.id);
        }
    }

    /// Releases all reservations or claims of a gang to which no start was sent.
    pub(crate) fn release_all(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Output>) {
        let gang = self.gang_mut(key).clone();
        if gang.stage == Stage::Claiming {
            self.drop_claim(key);
            return;
        }
        for share in &gang.shares {
            self.free_share(key, share.worker);
            self.hold_until_released(
                now_ms,
                &gang.id,
                share.worker,
                holding(&self.jobs[&key], &share.tasks),
            );
            out.push(Output::Release {
                gang: gang.id.clone(),
                worker: self.worker_id(share.worker),
            });
        }
    }

    /// Keeps released cells held for as long as the release may take to reach the agent.
    ///
    /// The agent refuses a reservation that overtakes the release of the same cells. Without the delay, two jobs could
    /// cause each other's refusals indefinitely.
    fn hold_until_released(
        &mut self,
        now_ms: u64,
        gang: &GangId,
        worker: u32,
        mut holding: Holding,
    ) {
        let key = self.new_key();
        holding.job = key;
        holding.class = Class::Batch;
        holding.reclaimable = true;
        self.pool.hold(worker, holding);
        let (gang, deadline_ms) = (gang.clone(), now_ms + RELEASE_DELAY_MS);
        self.orphans.push(OrphanShare {
            key,
            gang,
            worker,
            tasks: Vec::new(),
            ended: 0,
            deadline_ms,
        });
    }

    /// Ends an attempt for which no start was sent, and ends its job or returns it to the queue.
    ///
    /// `durable` states whether the intent was written.
    pub(crate) fn give_up(
        &mut self,
        now_ms: u64,
        key: JobKey,
        stop_reason: StopReason,
        durable: bool,
        out: &mut Vec<Output>,
    ) {
        self.release_all(now_ms, key, out);
        self.active.remove(&key);
        let job = self.job_mut(key);
        let gang = job.gang.take().expect("an active job has a gang");
        let (is_repeatable, saved_ms) = (job.is_repeatable(), job.saved_ms);
        if stop_reason == StopReason::Cancelled {
            self.end_cancelled(key, out);
        } else if durable && !is_repeatable {
            let reason = "the start was given up before any task was started, and the job may not be repeated";
            self.end_job(key, JobEnd::NotRun { reason: reason.to_owned() }, out);
        } else {
            if durable {
                out.push(Output::WriteQueued { gang: gang.id, saved_ms });
            }
            self.return_to_queue(key, now_ms + RETRY_DELAY_MS);
        }
    }

    /// Returns a job whose attempt ended to the queue, with its original arrival time.
    pub(crate) fn return_to_queue(&mut self, key: JobKey, retry_at_ms: u64) {
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

    /// Records that the tasks of a gang on one worker are running.
    pub(crate) fn started(&mut self, now_ms: u64, gang: &GangId, worker: &WorkerId) {
        let (Some(key), Some(worker)) = (self.find(gang), self.pool.position(worker)) else {
            return;
        };
        let current = self.gang_mut(key);
        if !current.start_was_sent() {
            return;
        }
        current.ran = true;
        if let Some(share) = current.share_mut(worker)
            && share.state == ShareState::Starting
        {
            share.state = ShareState::Running;
        }
        self.set_running_if_complete(now_ms, key);
    }

    /// Records the end of a task, and stops or finishes its gang accordingly.
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
        if !current.start_was_sent() {
            current.stop_reason = current.stop_reason.or(Some(StopReason::Lost));
            return;
        }
        self.add_ended_task(key, worker, task);
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
        self.set_running_if_complete(now_ms, key);
        self.handle_task_end(now_ms, key, worker, end, out);
    }

    fn handle_task_end(
        &mut self,
        now_ms: u64,
        key: JobKey,
        worker: u32,
        end: TaskEnd,
        out: &mut Vec<Output>,
    ) {
        let stop_reason = match end {
            TaskEnd::Succeeded => None,
            TaskEnd::Failed => Some(StopReason::Failed(worker)),
            TaskEnd::Refused => Some(StopReason::Refused),
            TaskEnd::Stopped | TaskEnd::Lost => Some(StopReason::Lost),
        };
        self.end_share_if_ended(key, worker);
        if let Some(stop_reason) = stop_reason {
            self.stop_gang(now_ms, key, stop_reason, out);
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

/// Returns the holding of some tasks of a job on one worker.
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
