//! Chooses workers for the tasks that are ready.

use super::Planner;
use super::evict::Victim;
use super::message::{Decision, Now, Output, StartOrder};
use super::pool::{Allocation, Candidate, Horizon, Wanted};
use super::state::{Job, Occurrence, Placement, StartPhase, Task};
use crate::prelude::*;
use crate::workflow::{TaskId, TaskPhase};

/// How long tasks of ordinary priority wait for the rack that holds their data.
const DATA_RACK_WAIT_MS: u64 = 3_000;
/// How long a gang of ordinary priority waits for room in one rack.
const SAME_RACK_WAIT_MS: u64 = 8_000;
/// How long urgent tasks wait for the rack that holds their data.
const URGENT_WAIT_MS: u64 = 300;
/// The priority that may take room from others.
const URGENT: u8 = 0;

/// A step whose tasks may start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReadyStep {
    priority: u8,
    exceeds_guarantee: bool,
    order: u64,
    occurrence: u32,
    step: usize,
    job: JobId,
}

impl Planner {
    /// Starts what can start, in the order of priority and age.
    pub(super) fn place_all(&mut self, now: Now, out: &mut Vec<Output>) {
        self.begin_occurrences(now);
        let ready = self.ready_steps(now);
        if ready.is_empty() {
            return;
        }
        let mut pool = self.pool(now);
        let mut has_reservation = false;
        for step in ready {
            let priority = step.priority;
            let placed = self.place_step(now, &step, &mut pool, out);
            if !placed && !has_reservation && priority <= 1 {
                has_reservation = self.reserve(&step, &mut pool);
            }
        }
    }

    /// Creates the tasks of occurrences that are due.
    fn begin_occurrences(&mut self, now: Now) {
        for job in self.jobs.values_mut().filter(|job| job.result.is_none()) {
            let spec = &job.record.spec;
            let next = job.occurrences.keys().next_back().map_or(0, |last| last + 1);
            for number in next..spec.occurrences() {
                if spec.due_ms(number) > now.wall_ms {
                    break;
                }
                let tasks = vec![Task::default(); spec.tasks_per_occurrence()];
                let occurrence = Occurrence { tasks, ..Occurrence::default() };
                job.occurrences.insert(number, occurrence);
            }
        }
    }

    fn ready_steps(&mut self, now: Now) -> Vec<ReadyStep> {
        let mut ready = Vec::new();
        let over_guarantee = self.organisations_over_guarantee();
        for (id, job) in &mut self.jobs {
            if job.result.is_some() {
                continue;
            }
            let steps = job.record.spec.steps.len();
            let ranges: Vec<_> = (0..steps).map(|step| job.range(step)).collect();
            for (number, occurrence) in &mut job.occurrences {
                if occurrence.done || occurrence.tasks.is_empty() {
                    continue;
                }
                for step in 0..steps {
                    let spec = &job.record.spec.steps[step];
                    let is_done = |other: &u16| {
                        all_done(&occurrence.tasks[ranges[usize::from(*other)].clone()])
                    };
                    let tasks = &occurrence.tasks[ranges[step].clone()];
                    let mut waiting = tasks.iter().filter(|task| task.is_waiting());
                    let has_waiting = match spec.gang {
                        true => waiting.count() == tasks.len(),
                        false => waiting.next().is_some(),
                    };
                    if !has_waiting || !spec.after.iter().all(is_done) {
                        continue;
                    }
                    occurrence.ready_ms.entry(step).or_insert(now.steady_ms);
                    ready.push(ReadyStep {
                        priority: job.record.priority,
                        exceeds_guarantee: over_guarantee.contains(&job.record.organisation),
                        order: job.order,
                        occurrence: *number,
                        step,
                        job: id.clone(),
                    });
                }
            }
        }
        ready.sort();
        ready
    }

    /// Returns true if all waiting tasks of the step were placed or have room that is being made for them.
    fn place_step(
        &mut self,
        now: Now,
        ready: &ReadyStep,
        pool: &mut [Candidate],
        out: &mut Vec<Output>,
    ) -> bool {
        let job = &self.jobs[&ready.job];
        let wanted = wanted(job, ready, pool);
        let waited_ms = job.occurrences[&ready.occurrence]
            .ready_ms
            .get(&ready.step)
            .map_or(0, |ready_ms| now.steady_ms.saturating_sub(*ready_ms));
        let is_urgent = ready.priority == URGENT;
        let may_leave_rack = is_urgent || waited_ms >= SAME_RACK_WAIT_MS;
        let may_leave_data =
            waited_ms >= if is_urgent { URGENT_WAIT_MS } else { DATA_RACK_WAIT_MS };
        let home = wanted.step.same_rack.then(|| rack_of_step(self, job, ready)).flatten();
        let search = Search { wanted: &wanted, pool, may_leave_rack, may_leave_data, home };
        if let Some(allocation) = search.find(Horizon::Now) {
            let is_whole = wanted.is_whole(&allocation);
            let names = named(&allocation, pool);
            let need = wanted.step.need;
            for (index, tasks) in &allocation {
                pool[*index].take(&need, *tasks);
            }
            self.start_tasks(now, ready, names, waited_ms, out);
            if is_whole || !is_urgent {
                return is_whole;
            }
            return self.place_step(now, ready, pool, out);
        }
        if !is_urgent {
            return false;
        }
        if let Some(allocation) = search.find(Horizon::AfterStops) {
            let need = wanted.step.need;
            for (index, tasks) in &allocation {
                pool[*index].hold_back(&need, *tasks);
            }
            return true;
        }
        now.steady_ms >= self.settled_ms && self.evict_for(now, ready, pool, out)
    }

    fn evict_for(
        &mut self,
        now: Now,
        ready: &ReadyStep,
        pool: &mut [Candidate],
        out: &mut Vec<Output>,
    ) -> bool {
        let job = &self.jobs[&ready.job];
        let wanted = wanted(job, ready, pool);
        let victims = self.victims(now, job, !ready.exceeds_guarantee);
        let Some((allocation, chosen)) = super::evict::choose(&wanted, pool, &victims) else {
            return false;
        };
        let need = wanted.step.need;
        let because = format!("room for urgent job {}", ready.job);
        for victim in chosen {
            let Victim { task, released, .. } = &victims[victim];
            for (worker, resources) in released {
                if let Some(candidate) = pool.iter_mut().find(|one| one.life.worker == *worker) {
                    candidate.soon = candidate.soon.plus(resources);
                }
            }
            let members = self.jobs[&task.job].members(task);
            for member in members {
                self.stop_run(now, &member, &because, out);
            }
        }
        for (index, tasks) in &allocation {
            pool[*index].hold_back(&need, *tasks);
        }
        true
    }

    /// Keeps workers from jobs of lower priority, so that the gang finds room once their present work has ended.
    fn reserve(&self, ready: &ReadyStep, pool: &mut [Candidate]) -> bool {
        let job = &self.jobs[&ready.job];
        let wanted = wanted(job, ready, pool);
        if !wanted.step.gang {
            return false;
        }
        let mut order: Vec<usize> = (0..pool.len())
            .filter(|index| wanted.fits(*index, &pool[*index], Horizon::Empty) > 0)
            .collect();
        order.sort_by_key(|index| std::cmp::Reverse(pool[*index].soon.accelerators));
        let mut left = wanted.tasks;
        for index in order {
            if left == 0 {
                break;
            }
            left = left.saturating_sub(wanted.fits(index, &pool[index], Horizon::Empty));
            pool[index].reserved = true;
        }
        true
    }

    fn start_tasks(
        &mut self,
        now: Now,
        ready: &ReadyStep,
        places: Vec<(crate::workflow::Life, u32)>,
        waited_ms: u64,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get_mut(&ready.job) else {
            return;
        };
        let range = job.range(ready.step);
        let is_gang = job.step(ready.step).gang;
        let Some(occurrence) = job.occurrences.get_mut(&ready.occurrence) else {
            return;
        };
        let gang_run = 1 + occurrence.tasks[range.clone()]
            .iter()
            .map(|task| task.record.run)
            .max()
            .unwrap_or_default();
        let mut waiting = range
            .enumerate()
            .filter(|(_, position)| occurrence.tasks[*position].is_waiting())
            .collect::<Vec<_>>()
            .into_iter();
        let mut started = Vec::new();
        for (life, tasks) in places {
            for (index, position) in waiting.by_ref().take(tasks as usize) {
                let state = &mut occurrence.tasks[position];
                state.record.run = if is_gang { gang_run } else { state.record.run + 1 };
                state.record.phase = TaskPhase::Placed(life.clone());
                state.placement = Some(Placement {
                    life: life.clone(),
                    run: state.record.run,
                    phase: StartPhase::Intended,
                    since_ms: now.steady_ms,
                    stopping_ms: None,
                    percent: 0,
                    progress_ms: now.steady_ms,
                    checkpoint_ms: None,
                });
                let task = TaskId {
                    job: ready.job.clone(),
                    occurrence: ready.occurrence,
                    step: ready.step as u16,
                    index: index as u32,
                };
                started.push((life.worker.clone(), task));
            }
        }
        occurrence.ready_ms.remove(&ready.step);
        self.changed.insert((ready.job.clone(), ready.occurrence));
        for (worker, task) in started {
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.placed.insert(task.clone());
            }
            let Some(order) = self.start_order(&task) else {
                continue;
            };
            out.push(Output::Decision {
                job: task.job.clone(),
                run: Some((task, order.run)),
                what: Decision::Placed,
                because: format!(
                    "worker {worker}, waited {waited_ms} ms, priority {}, directives {}",
                    ready.priority, self.directives.as_of
                ),
            });
            self.effects.push(Output::Start(order));
        }
    }

    pub(super) fn start_order(&self, task: &TaskId) -> Option<StartOrder> {
        let job = self.jobs.get(&task.job)?;
        let state = job.task(task)?;
        let placement = state.placement.as_ref()?;
        Some(StartOrder {
            life: placement.life.clone(),
            task: task.clone(),
            run: placement.run,
            payload: job.record.spec.payload.clone(),
            checkpoint: state.record.checkpoint.clone(),
        })
    }
}

fn all_done(tasks: &[Task]) -> bool {
    tasks.iter().all(Task::is_done)
}

fn named(allocation: &Allocation, pool: &[Candidate]) -> Vec<(crate::workflow::Life, u32)> {
    allocation.iter().map(|(index, tasks)| (pool[*index].life.clone(), *tasks)).collect()
}

/// Returns what a step needs.
fn wanted<'a>(job: &'a Job, ready: &ReadyStep, pool: &[Candidate]) -> Wanted<'a> {
    let step = job.step(ready.step);
    let tasks = &job.occurrences[&ready.occurrence].tasks[job.range(ready.step)];
    let placed_on = |worker: &WorkerId| {
        let on =
            |task: &&Task| task.placement.as_ref().is_some_and(|one| one.life.worker == *worker);
        tasks.iter().filter(on).count() as u32
    };
    let present = match step.max_per_worker {
        0 => vec![0; pool.len()],
        _ => pool.iter().map(|candidate| placed_on(&candidate.life.worker)).collect(),
    };
    let waiting = tasks.iter().filter(|task| task.is_waiting());
    Wanted {
        service: &job.record.service,
        step,
        tasks: waiting.clone().count() as u32,
        present,
        avoid: waiting.filter_map(|task| task.avoid.clone()).collect(),
    }
}

/// Returns the rack where tasks of a step run already.
fn rack_of_step(planner: &Planner, job: &Job, ready: &ReadyStep) -> Option<RackId> {
    let tasks = &job.occurrences[&ready.occurrence].tasks[job.range(ready.step)];
    let placement = tasks.iter().find_map(|task| task.placement.as_ref())?;
    planner.workers.get(&placement.life.worker)?.report.as_ref()?.rack.clone()
}

/// A search for room for one step.
struct Search<'a> {
    wanted: &'a Wanted<'a>,
    pool: &'a [Candidate],
    may_leave_rack: bool,
    may_leave_data: bool,
    home: Option<RackId>,
}

impl Search<'_> {
    /// Finds room for all tasks of a gang, or for any task of another step.
    fn find(&self, horizon: Horizon) -> Option<Allocation> {
        let wanted = self.wanted;
        if wanted.step.same_rack {
            if let Some(allocation) = self.find_in_one_rack(horizon) {
                return Some(allocation);
            }
            if !self.may_leave_rack && self.some_rack_is_large_enough() {
                return None;
            }
        }
        if let Some(rack) = &wanted.step.data_rack {
            let near = |one: &Candidate| one.rack.as_ref().is_some_and(|own| own.as_str() == rack);
            let allocation = wanted.allocate(self.pool, horizon, near);
            if self.is_enough(&allocation) {
                return Some(allocation);
            }
            let rack_has_room = !wanted.allocate(self.pool, Horizon::Empty, near).is_empty();
            if !self.may_leave_data && rack_has_room {
                return None;
            }
        }
        let allocation = wanted.allocate(self.pool, horizon, |_| true);
        self.is_enough(&allocation).then_some(allocation)
    }

    fn is_enough(&self, allocation: &Allocation) -> bool {
        match self.wanted.step.gang {
            true => self.wanted.is_whole(allocation),
            false => !allocation.is_empty(),
        }
    }

    fn racks(&self) -> Vec<&RackId> {
        let mut racks: Vec<&RackId> =
            self.pool.iter().filter_map(|one| one.rack.as_ref()).collect();
        racks.sort();
        racks.dedup();
        racks
    }

    /// Finds the rack that holds the data or, among those with room for all tasks, has the least left.
    fn find_in_one_rack(&self, horizon: Horizon) -> Option<Allocation> {
        let data_rack = self.wanted.step.data_rack.as_deref();
        self.racks()
            .into_iter()
            .filter(|rack| self.home.as_ref().is_none_or(|home| home == *rack))
            .map(|rack| {
                let is_here = |one: &Candidate| one.rack.as_ref() == Some(rack);
                (rack, self.wanted.allocate(self.pool, horizon, is_here))
            })
            .filter(|(_, allocation)| self.wanted.is_whole(allocation))
            .min_by_key(|(rack, allocation)| {
                let free: u32 =
                    allocation.iter().map(|(index, _)| self.pool[*index].soon.accelerators).sum();
                (data_rack.is_some_and(|data| data != rack.as_str()), free)
            })
            .map(|(_, allocation)| allocation)
    }

    fn some_rack_is_large_enough(&self) -> bool {
        self.racks().into_iter().any(|rack| {
            let is_here = |one: &Candidate| one.rack.as_ref() == Some(rack);
            self.wanted.is_whole(&self.wanted.allocate(self.pool, Horizon::Empty, is_here))
        })
    }
}
