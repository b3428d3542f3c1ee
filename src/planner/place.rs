//! Assigns ready tasks to workers.

use std::collections::HashSet;

use super::Planner;
use super::evict::Victim;
use super::message::{Decision, Output, PlannerTime, StartOrder, WorkerOrder};
use super::overload::{EvictionRight, StopBalance, StopVerdict};
use super::pool::{Allocation, Candidate, DoubtfulUse, Horizon, PlacementRequest};
use super::queue::{ReadyStep, remaining_step_ms};
use super::scope::Scope;
use super::speed::SpeedPreference;
use super::state::{Job, Placement, StartPhase, Task};
use crate::prelude::*;
use crate::workflow::{Resources, TaskId, TaskPhase};

/// Time for which non-urgent tasks wait for free resources in the rack that holds their data.
const DATA_RACK_WAIT_MS: u64 = 3_000;
/// Time for which non-urgent tasks wait for free resources in one rack, as a multiple of their estimated run time.
/// Tasks that are spread over racks take three times as long, so waiting for twice their run time costs the same.
const SAME_RACK_WAIT_FACTOR: u64 = 2;
/// Minimum and maximum of the wait for one rack, since estimates are inaccurate.
const SAME_RACK_WAIT_MS: std::ops::RangeInclusive<u64> = 3_000..=15_000;
/// Divisor of the estimated run time that gives the time for which urgent tasks wait for free resources in one rack or
/// near their data. Elsewhere they take three times as long, which misses the objective of their queue: 1.5 times the
/// work.
const URGENT_WAIT_DIVISOR: u64 = 2;
/// Minimum and maximum of the wait of urgent tasks. Urgent jobs within a guarantee start within 2.7 s, and stops take
/// up to 0.9 s.
const URGENT_WAIT_MS: std::ops::RangeInclusive<u64> = 300..=1_200;
/// Time after which urgent tasks use doubtful workers rather than wait for others. Urgent jobs within a guarantee start
/// within 2.7 s.
const URGENT_DOUBTFUL_WAIT_MS: u64 = 1_200;
/// The same for gangs and last attempts of other jobs. Workers that have recovered are trusted again within some seconds.
const DOUBTFUL_WAIT_MS: u64 = 3_000;
/// Lowest priority of gangs for which workers are reserved.
const MAX_RESERVING_PRIORITY: u8 = 1;
/// Priority of jobs for which attempts of other jobs may be stopped.
const URGENT_PRIORITY: u8 = 0;

/// Requirements that alone determine whether a step without rack, data or spread constraints can be placed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DemandShape {
    service: String,
    need: Resources,
    required_label: Option<String>,
    gang_tasks: Option<u32>,
    may_use_reserved: bool,
    doubtful_use: DoubtfulUse,
}

impl Planner {
    /// Starts as many ready tasks as possible, in the order of [`ReadyStep`].
    pub(super) fn place_all(&mut self, now: PlannerTime, out: &mut Vec<Output>) {
        let ready = self.ready_steps(now);
        if ready.is_empty() {
            return;
        }
        let mut pool = self.pool(now);
        let mut reserved_ms = None;
        let mut unplaceable: HashSet<DemandShape> = HashSet::new();
        let mut urgent_waits = false;
        for step in ready {
            let priority = step.priority;
            let is_paused = priority != URGENT_PRIORITY && step.pauses_until_ms > now.steady_ms;
            if urgent_waits && is_paused {
                continue;
            }
            let shape = self.demand_shape(now, &step, &pool, reserved_ms);
            // Free resources only shrink during a pass, so a step of the same shape cannot be placed either.
            if shape.as_ref().is_some_and(|shape| unplaceable.contains(shape)) {
                continue;
            }
            let placed = self.place_step(now, &step, &mut pool, out);
            if !placed {
                unplaceable.extend(shape);
                urgent_waits |= priority == URGENT_PRIORITY;
            }
            if !placed && reserved_ms.is_none() && priority <= MAX_RESERVING_PRIORITY {
                reserved_ms = self.reserve(now, &step, &mut pool);
            }
        }
    }

    /// Returns the demand shape of a step, or `None` if its placement also depends on racks, its data, its tasks on
    /// other workers, or evictions. `reserved_ms` is the duration of the reservation, if there is one.
    fn demand_shape(
        &self,
        now: PlannerTime,
        ready: &ReadyStep,
        pool: &[Candidate],
        reserved_ms: Option<u64>,
    ) -> Option<DemandShape> {
        let job = &self.jobs[&ready.job];
        let step = job.step(ready.step);
        let is_simple = ready.priority != URGENT_PRIORITY
            && !step.same_rack
            && step.data_rack.is_none()
            && step.max_per_worker == 0;
        is_simple.then(|| DemandShape {
            service: job.record.service.clone(),
            need: step.need,
            required_label: step.required_label.clone(),
            gang_tasks: step.gang.then_some(step.tasks),
            may_use_reserved: reserved_ms.is_none_or(|reserved_ms| step.ends_within(reserved_ms)),
            doubtful_use: doubtful_use(job, ready, pool, waited_ms(now, job, ready)),
        })
    }

    /// Places the waiting tasks of a step. Returns whether all of them were placed or wait for stops that are in
    /// progress.
    fn place_step(
        &mut self,
        now: PlannerTime,
        ready: &ReadyStep,
        pool: &mut [Candidate],
        out: &mut Vec<Output>,
    ) -> bool {
        let job = &self.jobs[&ready.job];
        let waited_ms = waited_ms(now, job, ready);
        let speed = self.speed_preference(now, ready);
        let mut request = PlacementRequest { speed, ..placement_request(job, ready, pool) };
        if ready.priority == URGENT_PRIORITY {
            return self.place_urgent_step(now, ready, pool, waited_ms, out);
        }
        let rack_wait_ms = request
            .step
            .estimate_ms
            .saturating_mul(SAME_RACK_WAIT_FACTOR)
            .clamp(*SAME_RACK_WAIT_MS.start(), *SAME_RACK_WAIT_MS.end());
        let has_settled = self.has_settled(now);
        let scope = Scope {
            may_leave_rack: has_settled && waited_ms >= rack_wait_ms,
            may_leave_data: has_settled && waited_ms >= DATA_RACK_WAIT_MS,
            has_settled,
            current_rack: rack_of_step(self, job, ready),
        };
        let doubtful_use = doubtful_use(job, ready, pool, waited_ms);
        if !request.step.gang {
            request.doubtful_use = doubtful_use;
        }
        let mut found = scope.find(&request, pool, Horizon::Now);
        if found.is_none() && request.doubtful_use != doubtful_use {
            request.doubtful_use = doubtful_use;
            found = scope.find(&request, pool, Horizon::Now);
        }
        let Some(allocation) = found else {
            return false;
        };
        let is_complete = request.is_complete(&allocation);
        self.start_tasks(now, ready, pool, &allocation, waited_ms, out);
        is_complete
    }

    /// Places an urgent step, and stops attempts of other jobs for it if necessary. Stops that keep it in one rack and
    /// near its data are preferred to a placement elsewhere, where it would be slow. Returns whether all waiting tasks
    /// of the step were placed or wait for stops that are in progress.
    fn place_urgent_step(
        &mut self,
        now: PlannerTime,
        ready: &ReadyStep,
        pool: &mut [Candidate],
        waited_ms: u64,
        out: &mut Vec<Output>,
    ) -> bool {
        let speed = self.speed_preference(now, ready);
        // A slow worker makes the job late, so it is the last resort.
        let speeds = match speed {
            SpeedPreference::UsualOnly => &[speed, SpeedPreference::UsualFirst][..],
            SpeedPreference::Any | SpeedPreference::UsualFirst | SpeedPreference::SlowFirst => {
                &[speed][..]
            }
        };
        let stages = [false, true]
            .into_iter()
            .flat_map(|may_leave| speeds.iter().map(move |speed| (may_leave, *speed)));
        for (may_leave, speed) in stages {
            let job = &self.jobs[&ready.job];
            let request = PlacementRequest { speed, ..placement_request(job, ready, pool) };
            let wait_ms = (request.step.estimate_ms / URGENT_WAIT_DIVISOR)
                .clamp(*URGENT_WAIT_MS.start(), *URGENT_WAIT_MS.end());
            let has_settled = self.has_settled(now);
            if may_leave && (waited_ms < wait_ms || !has_settled) {
                return false;
            }
            let current_rack = rack_of_step(self, job, ready);
            let scope = Scope {
                may_leave_rack: may_leave,
                may_leave_data: may_leave,
                has_settled,
                current_rack,
            };
            if let Some(allocation) = scope.find(&request, pool, Horizon::Now) {
                let is_complete = request.is_complete(&allocation);
                self.start_tasks(now, ready, pool, &allocation, waited_ms, out);
                return is_complete || self.place_urgent_step(now, ready, pool, waited_ms, out);
            }
            if let Some(allocation) = scope.find(&request, pool, Horizon::AfterStops) {
                claim_after_stops(pool, &request, &allocation);
                return true;
            }
            let may_evict = has_settled
                && ready.eviction_right != EvictionRight::Wait
                && !(ready.exceeds_guarantee && self.was_withheld(now, ready));
            if may_evict && self.evict_for(now, ready, &scope, speed, pool, out) {
                return true;
            }
        }
        self.place_on_doubtful(now, ready, pool, waited_ms, out)
    }

    /// Places an urgent step for which neither free resources nor stops on trusted workers suffice, also on doubtful ones.
    /// Returns whether all its tasks were placed.
    fn place_on_doubtful(
        &mut self,
        now: PlannerTime,
        ready: &ReadyStep,
        pool: &mut [Candidate],
        waited_ms: u64,
        out: &mut Vec<Output>,
    ) -> bool {
        let job = &self.jobs[&ready.job];
        let doubtful_use = doubtful_use(job, ready, pool, waited_ms);
        if doubtful_use == DoubtfulUse::Excluded {
            return false;
        }
        let request = PlacementRequest { doubtful_use, ..placement_request(job, ready, pool) };
        let scope = Scope {
            may_leave_rack: true,
            may_leave_data: true,
            has_settled: self.has_settled(now),
            current_rack: rack_of_step(self, job, ready),
        };
        let Some(allocation) = scope.find(&request, pool, Horizon::Now) else {
            return false;
        };
        let is_complete = request.is_complete(&allocation);
        self.start_tasks(now, ready, pool, &allocation, waited_ms, out);
        is_complete
    }

    fn evict_for(
        &mut self,
        now: PlannerTime,
        ready: &ReadyStep,
        scope: &Scope,
        speed: SpeedPreference,
        pool: &mut [Candidate],
        out: &mut Vec<Output>,
    ) -> bool {
        let job = &self.jobs[&ready.job];
        let request = PlacementRequest { speed, ..placement_request(job, ready, pool) };
        let outage_ms = request.step.estimate_ms;
        let victims = self.victims(now, job, ready.eviction_right, outage_ms);
        let Some((allocation, chosen)) =
            super::evict::choose_victims(&request, scope, pool, &victims)
        else {
            return false;
        };
        let chosen_victims: Vec<&Victim> = chosen.iter().map(|victim| &victims[*victim]).collect();
        let balance = self.stop_balance(now, ready, pool, &allocation, &chosen_victims);
        let verdict = balance.map(|balance| balance.verdict).filter(|_| ready.exceeds_guarantee);
        match verdict {
            None | Some(StopVerdict::Stop) => {}
            Some(StopVerdict::Await { in_ms }) => {
                // Other work must not take the rest of these resources meanwhile.
                claim_after_stops(pool, &request, &allocation);
                let text = format!("attempts end or write a checkpoint in {in_ms} ms");
                let because = stop_reason(text, balance, chosen.len());
                self.record_stop_refusal(now, ready, (Decision::StopAwaited, because), out);
                return true;
            }
            Some(StopVerdict::Withhold) => {
                let because = stop_reason("the loss is too high".to_owned(), balance, chosen.len());
                self.record_stop_refusal(now, ready, (Decision::StopWithheld, because), out);
                return false;
            }
        }
        for victim in &chosen {
            super::evict::release_victim(pool, &victims[*victim]);
        }
        claim_after_stops(pool, &request, &allocation);
        let text = format!("room for urgent job {}", ready.job);
        let because = stop_reason(text, balance, chosen.len());
        for victim in chosen {
            let task = &victims[victim].task;
            for member in self.jobs[&task.job].members(task) {
                self.record_eviction(now, &member);
                self.stop_attempt(now, &member, &because, out);
            }
        }
        true
    }

    fn start_tasks(
        &mut self,
        now: PlannerTime,
        ready: &ReadyStep,
        pool: &mut [Candidate],
        allocation: &Allocation,
        waited_ms: u64,
        out: &mut Vec<Output>,
    ) {
        let need = self.jobs[&ready.job].step(ready.step).need;
        let mut assignments = Vec::new();
        for (index, tasks) in allocation {
            pool[*index].claim(&need, *tasks);
            assignments.push((pool[*index].incarnation.clone(), *tasks));
        }
        let Some(job) = self.jobs.get_mut(&ready.job) else {
            return;
        };
        let range = job.range(ready.step);
        let is_gang = job.step(ready.step).gang;
        let Some(occurrence) = job.occurrences.get_mut(&ready.occurrence) else {
            return;
        };
        let gang_attempt = 1 + occurrence.tasks[range.clone()]
            .iter()
            .map(|task| task.record.attempt)
            .max()
            .unwrap_or_default();
        let mut waiting = range
            .enumerate()
            .filter(|(_, position)| occurrence.tasks[*position].is_waiting())
            .collect::<Vec<_>>()
            .into_iter();
        let mut started = Vec::new();
        for (incarnation, tasks) in assignments {
            for (index, position) in waiting.by_ref().take(tasks as usize) {
                let state = &mut occurrence.tasks[position];
                state.record.attempt =
                    if is_gang { gang_attempt } else { state.record.attempt + 1 };
                state.record.phase = TaskPhase::Placed(incarnation.clone());
                state.placement = Some(Placement {
                    incarnation: incarnation.clone(),
                    attempt: state.record.attempt,
                    phase: StartPhase::Intended,
                    is_start_settled: false,
                    is_order_repeated: false,
                    since_ms: now.steady_ms,
                    stopping_ms: None,
                    percent: 0,
                    progress_ms: now.steady_ms,
                    started_ms: now.steady_ms,
                    checkpoint_at_start: state.record.checkpoint.clone(),
                });
                let task = TaskId {
                    job: ready.job.clone(),
                    occurrence: ready.occurrence,
                    step: ready.step as u16,
                    index: index as u32,
                };
                started.push((incarnation.worker.clone(), task));
            }
        }
        occurrence.ready_ms.remove(&ready.step);
        // A leader of an earlier version recognises an occurrence that has begun by its first part alone.
        self.mark_part_changed(&ready.job, ready.occurrence, 0);
        for (worker, task) in started {
            self.mark_changed(&task);
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.placed.insert(task.clone());
            }
            let Some(order) = self.start_order(&task) else {
                continue;
            };
            out.push(Output::Decision {
                job: task.job.clone(),
                attempt: Some((task, order.attempt)),
                what: Decision::Placed,
                because: format!(
                    "worker {worker}, waited {waited_ms} ms, priority {}, {}, directives {}",
                    ready.priority, ready.outlook, self.directives.as_of
                ),
            });
            self.effects.push(Output::Order(WorkerOrder::Start(order)));
        }
    }

    /// Returns the preference of a step for workers of a speed class, if those of its service differ enough.
    fn speed_preference(&self, now: PlannerTime, ready: &ReadyStep) -> SpeedPreference {
        let job = &self.jobs[&ready.job];
        let Some(split) = self.speed_split(&job.record.service) else {
            return SpeedPreference::Any;
        };
        let is_urgent = ready.priority == URGENT_PRIORITY;
        let remaining_ms = remaining_step_ms(job, ready.occurrence);
        let Some(times) = self.job_times(now, job, ready.occurrence, remaining_ms) else {
            return SpeedPreference::SlowFirst;
        };
        SpeedPreference::of(is_urgent, split.slow_factor(), &times)
    }

    pub(super) fn start_order(&self, task: &TaskId) -> Option<StartOrder> {
        let job = self.jobs.get(&task.job)?;
        let state = job.task(task)?;
        let placement = state.placement.as_ref()?;
        Some(StartOrder {
            incarnation: placement.incarnation.clone(),
            task: task.clone(),
            attempt: placement.attempt,
            payload: job.record.spec.payload.clone(),
            checkpoint: state.record.checkpoint.clone(),
        })
    }
}

fn claim_after_stops(
    pool: &mut [Candidate],
    request: &PlacementRequest<'_>,
    allocation: &Allocation,
) {
    for (index, tasks) in allocation {
        pool[*index].claim_after_stops(&request.step.need, *tasks);
    }
}

/// Returns a reason for the log that names the balance of the stops.
fn stop_reason(reason: String, balance: Option<StopBalance>, stops: usize) -> String {
    match balance {
        Some(StopBalance { gain, loss, .. }) => {
            let (gain, loss) = (gain / 1_000, loss / 1_000);
            format!("{reason}: {stops} stops gain {gain} and lose {loss} thousandths")
        }
        None => reason,
    }
}

/// Returns how long the waiting tasks of a step could have started already.
fn waited_ms(now: PlannerTime, job: &Job, ready: &ReadyStep) -> u64 {
    let ready_ms = job.occurrences[&ready.occurrence].ready_ms.get(&ready.step);
    ready_ms.map_or(0, |ready_ms| now.steady_ms.saturating_sub(*ready_ms))
}

/// Returns how a step may use doubtful workers. Gangs, urgent tasks and tasks that would fail their job with one more
/// failure use them only after a wait. Single tasks never use them freely: a worker that fails at once is free again at
/// once, and would use up the attempts of all waiting tasks.
fn doubtful_use(job: &Job, ready: &ReadyStep, pool: &[Candidate], waited_ms: u64) -> DoubtfulUse {
    if !has_doubtful(pool, &job.record.service) {
        return DoubtfulUse::Excluded;
    }
    let step = job.step(ready.step);
    if ready.priority == URGENT_PRIORITY {
        return match waited_ms >= URGENT_DOUBTFUL_WAIT_MS {
            true => DoubtfulUse::Allowed,
            false => DoubtfulUse::Excluded,
        };
    }
    let tasks = &job.occurrences[&ready.occurrence].tasks[job.range(ready.step)];
    let is_last_attempt = |task: &Task| task.record.failures + 1 >= job.record.attempts;
    let has_last_attempt = tasks.iter().any(|task| task.is_waiting() && is_last_attempt(task));
    let has_waited = waited_ms >= DOUBTFUL_WAIT_MS;
    match (step.gang, has_waited) {
        (true, true) => DoubtfulUse::Recovering,
        (true, false) => DoubtfulUse::Excluded,
        (false, false) if has_last_attempt && !step.long_running => DoubtfulUse::Excluded,
        (false, _) => DoubtfulUse::Probe,
    }
}

fn has_doubtful(pool: &[Candidate], service: &str) -> bool {
    pool.iter().any(|candidate| candidate.is_doubtful && candidate.service == service)
}

/// Returns the placement request for the waiting tasks of a step.
pub(super) fn placement_request<'a>(
    job: &'a Job,
    ready: &ReadyStep,
    pool: &[Candidate],
) -> PlacementRequest<'a> {
    let step = job.step(ready.step);
    let tasks = &job.occurrences[&ready.occurrence].tasks[job.range(ready.step)];
    let placed_on = |worker: &WorkerId| {
        let is_on_worker = |task: &&Task| {
            task.placement.as_ref().is_some_and(|placement| placement.incarnation.worker == *worker)
        };
        tasks.iter().filter(is_on_worker).count() as u32
    };
    let present = match step.max_per_worker {
        0 => vec![0; pool.len()],
        _ => pool.iter().map(|candidate| placed_on(&candidate.incarnation.worker)).collect(),
    };
    let waiting = tasks.iter().filter(|task| task.is_waiting());
    PlacementRequest {
        service: &job.record.service,
        step,
        tasks: waiting.clone().count() as u32,
        present,
        prefers_proven: (step.gang || waiting.clone().any(|task| task.record.failures > 0))
            && has_doubtful(pool, &job.record.service),
        avoid: waiting.filter_map(|task| task.avoid.clone()).collect(),
        speed: SpeedPreference::Any,
        doubtful_use: DoubtfulUse::Excluded,
    }
}

/// Returns the rack in which tasks of a step are already placed.
fn rack_of_step(planner: &Planner, job: &Job, ready: &ReadyStep) -> Option<RackId> {
    let tasks = &job.occurrences[&ready.occurrence].tasks[job.range(ready.step)];
    let placement = tasks.iter().find_map(|task| task.placement.as_ref())?;
    planner.workers.get(&placement.incarnation.worker)?.report.as_ref()?.rack.clone()
}
