//! Free resources of the workers during one placement pass.

use super::Planner;
use super::blame::WorkerStanding;
use super::message::PlannerTime;
use super::speed::{SpeedClass, SpeedPreference};
use super::state::{Job, Worker};
use crate::prelude::*;
use crate::workflow::{Resources, StepSpec, TaskId, WorkerIncarnation};

/// Worker that may get work.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub incarnation: WorkerIncarnation,
    pub service: String,
    pub rack: Option<RackId>,
    pub labels: Vec<String>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Resources that are free now.
    pub free: Resources,
    /// Resources that are free once all ordered stops have completed, minus those claimed for tasks that wait for
    /// stops.
    pub free_after_stops: Resources,
    /// Resources without those of attempts that have no end.
    pub capacity_after_work: Resources,
    /// Expected time in milliseconds until a gang for which the worker is reserved can start. Later steps of the pass use
    /// the worker only if their tasks end within this time.
    pub reserved_ms: Option<u64>,
    /// Attempts failed on the worker recently or are slow, or the worker is suspect.
    pub is_unreliable: bool,
    /// An attempt or a gang with a member on the worker recently made no progress or was too slow.
    pub is_suspect: bool,
    pub speed_class: SpeedClass,
    /// The worker is probably at fault for what fails or stalls on it.
    pub is_doubtful: bool,
    /// Number of tasks that may start on the worker as a probe, if it is doubtful.
    pub probes: u32,
    /// An attempt recently ran well on the worker.
    pub is_proven: bool,
}

/// How a step may use doubtful workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) enum DoubtfulUse {
    /// Not at all.
    #[default]
    Excluded,
    /// For one task at a time.
    Probe,
    /// Like other workers, but last, and only those whose last incident is a while ago.
    Recovering,
    /// Like other workers, but last.
    Allowed,
}

/// Resources that count as available in a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Horizon {
    /// Resources that are free now and that no waiting task has claimed.
    Now,
    /// Resources that are free once all ordered stops have completed.
    AfterStops,
    /// Resources that are free once all work that ends has ended.
    AfterWork,
    /// All resources, including those in use.
    Empty,
}

impl Candidate {
    fn available_at(&self, horizon: Horizon) -> Resources {
        match horizon {
            Horizon::Now => self.free.min(&self.free_after_stops),
            Horizon::AfterStops => self.free_after_stops,
            Horizon::AfterWork => self.capacity_after_work,
            Horizon::Empty => self.capacity,
        }
    }

    /// Claims resources for tasks that start now.
    pub fn claim(&mut self, need: &Resources, tasks: u32) {
        for _ in 0..tasks {
            self.free = self.free.saturating_sub(need);
            self.free_after_stops = self.free_after_stops.saturating_sub(need);
        }
        self.probes = self.probes.saturating_sub(tasks);
    }

    /// Claims resources for tasks that start once ordered stops have completed.
    pub fn claim_after_stops(&mut self, need: &Resources, tasks: u32) {
        for _ in 0..tasks {
            self.free_after_stops = self.free_after_stops.saturating_sub(need);
        }
    }
}

/// Pairs of the index of a candidate and the number of tasks on it.
pub(super) type Allocation = Vec<(usize, u32)>;

/// Tasks of a step that need an allocation.
#[derive(Clone, Debug)]
pub(super) struct PlacementRequest<'a> {
    pub service: &'a str,
    pub step: &'a StepSpec,
    pub tasks: u32,
    /// Number of tasks of the step that are already on each candidate.
    pub present: Vec<u32>,
    /// Workers on which waiting tasks of the step last failed or stalled.
    pub avoid: Vec<WorkerId>,
    /// Preference for workers of a speed class.
    pub speed: SpeedPreference,
    pub doubtful_use: DoubtfulUse,
    /// Workers on which an attempt recently ran well are preferred to others.
    pub prefers_proven: bool,
}

impl PlacementRequest<'_> {
    /// Returns how many of the tasks fit on a candidate.
    pub fn fits(&self, index: usize, candidate: &Candidate, horizon: Horizon) -> u32 {
        let has_label = |label: &String| candidate.labels.contains(label);
        let is_reserved = horizon == Horizon::Now
            && candidate.reserved_ms.is_some_and(|reserved_ms| !self.step.ends_within(reserved_ms));
        if is_reserved
            || candidate.service != self.service
            || !self.step.required_label.as_ref().is_none_or(has_label)
        {
            return 0;
        }
        let limit = match self.step.max_per_worker {
            0 => u32::MAX,
            limit => limit.saturating_sub(self.present[index]),
        };
        let limit = limit.min(self.doubtful_limit(candidate, horizon));
        candidate.available_at(horizon).fit_count(&self.step.need).min(limit).min(self.tasks)
    }

    /// Returns how many tasks may start on a candidate in view of its standing. Doubt passes within seconds, so it does not
    /// reduce the total resources.
    fn doubtful_limit(&self, candidate: &Candidate, horizon: Horizon) -> u32 {
        match self.doubtful_use {
            _ if !candidate.is_doubtful || horizon == Horizon::Empty => u32::MAX,
            DoubtfulUse::Excluded => 0,
            DoubtfulUse::Probe => candidate.probes,
            DoubtfulUse::Recovering if candidate.probes == 0 => 0,
            DoubtfulUse::Recovering => u32::MAX,
            DoubtfulUse::Allowed => u32::MAX,
        }
    }

    /// Returns whether a candidate is chosen only if others do not suffice.
    pub fn is_risky(&self, candidate: &Candidate) -> bool {
        candidate.is_unreliable || (self.prefers_proven && !candidate.is_proven)
    }

    /// Returns the class of a candidate in the order of choice: usual, not proven, unreliable, doubtful.
    fn risk_class(&self, candidate: &Candidate) -> u8 {
        let is_avoided = self.avoid.contains(&candidate.incarnation.worker);
        match (candidate.is_doubtful, is_avoided || candidate.is_unreliable) {
            (true, _) => 3,
            (false, true) => 2,
            (false, false) => u8::from(self.is_risky(candidate)),
        }
    }

    /// Returns whether a candidate is in the rack that holds the data. Returns true if the step has no such rack.
    pub fn is_near_data(&self, candidate: &Candidate) -> bool {
        self.step.data_rack.as_deref().is_none_or(|rack| {
            candidate.rack.as_ref().is_some_and(|candidate_rack| candidate_rack.as_str() == rack)
        })
    }

    /// Distributes the tasks over the candidates that `allowed` accepts: those near the data first, then reliable ones,
    /// then those with the least available resources, which preserves large free blocks. The allocation holds as many
    /// tasks as fit.
    pub fn allocate<F>(&self, pool: &[Candidate], horizon: Horizon, allowed: F) -> Allocation
    where
        F: Fn(&Candidate) -> bool,
    {
        let mut order: Vec<(usize, u32)> = pool
            .iter()
            .enumerate()
            .filter(|(_, candidate)| allowed(candidate))
            .map(|(index, candidate)| (index, self.fits(index, candidate, horizon)))
            .filter(|(_, fits)| *fits > 0)
            .collect();
        order.sort_by_key(|(index, fits)| {
            let candidate = &pool[*index];
            let too_small = *fits < self.tasks;
            let available = candidate.available_at(horizon);
            (
                !self.is_near_data(candidate),
                self.risk_class(candidate),
                self.speed.rank(candidate.speed_class),
                too_small && self.step.gang,
                available.accelerators,
                available.cores_milli,
            )
        });
        let mut remaining = self.tasks;
        let mut allocation = Allocation::new();
        for (index, fits) in order {
            let tasks = fits.min(remaining);
            if tasks == 0 {
                break;
            }
            allocation.push((index, tasks));
            remaining -= tasks;
        }
        allocation
    }

    /// Returns whether an allocation holds all tasks of the request.
    pub fn is_complete(&self, allocation: &Allocation) -> bool {
        allocation.iter().map(|(_, tasks)| tasks).sum::<u32>() >= self.tasks
    }
}

impl Planner {
    /// Returns the workers that may get work, with their free resources.
    pub(super) fn pool(&self, now: PlannerTime) -> Vec<Candidate> {
        let mut pool = Vec::new();
        for worker in self.workers.values() {
            let Some(report) = &worker.report else {
                continue;
            };
            let is_usable = worker.connected
                && worker.has_recent_list(now.steady_ms)
                && worker.foreign.is_empty()
                && self.accepts_starts(&report.incarnation.worker)
                && now.steady_ms >= worker.backoff_until_ms;
            if !is_usable {
                continue;
            }
            let mut used = Resources::default();
            let mut stopping = Resources::default();
            let mut without_end = Resources::default();
            for task in &worker.placed {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let step = job.step(task.step.into());
                used = used.saturating_add(&step.need);
                if is_ending(job, task) {
                    stopping = stopping.saturating_add(&step.need);
                } else if step.long_running {
                    without_end = without_end.saturating_add(&step.need);
                }
            }
            let free = report.room.saturating_sub(&used);
            let is_doubtful = worker.record.standing == WorkerStanding::Doubtful;
            pool.push(Candidate {
                incarnation: report.incarnation.clone(),
                service: report.service.clone(),
                rack: report.rack.clone(),
                labels: report.labels.clone(),
                capacity: report.room,
                free,
                free_after_stops: free.saturating_add(&stopping),
                capacity_after_work: report.room.saturating_sub(&without_end),
                reserved_ms: None,
                is_unreliable: worker.record.is_against_worker()
                    || !worker.failed_jobs.is_empty()
                    || now.steady_ms < worker.suspect_until_ms
                    || worker.slowness.is_slow(now.steady_ms),
                is_suspect: now.steady_ms < worker.suspect_until_ms,
                speed_class: self.speed_class(&report.service, &report.incarnation),
                is_doubtful,
                probes: self.probes(now, worker),
                is_proven: worker.record.is_proven(now.steady_ms),
            });
        }
        // A stalled gang can make all workers of a small deployment suspect. If more than half are, they are only
        // chosen last.
        let suspects = pool.iter().filter(|candidate| candidate.is_suspect).count();
        if suspects <= pool.len() / 2 {
            pool.retain(|candidate| !candidate.is_suspect);
        }
        pool
    }

    /// Returns the number of tasks that may start on a doubtful worker: one, a while after the last incident, and if none
    /// has been placed on it since it became doubtful.
    fn probes(&self, now: PlannerTime, worker: &Worker) -> u32 {
        let placement = |task: &TaskId| self.jobs.get(&task.job)?.task(task)?.placement.as_ref();
        let mut placements = worker.placed.iter().filter_map(placement);
        let has_probe =
            placements.any(|placement| placement.since_ms > worker.record.standing_since_ms);
        u32::from(!has_probe && worker.record.may_probe(now.steady_ms))
    }
}

/// Returns whether a placed attempt is about to end: its stop was ordered, or its task is done.
fn is_ending(job: &Job, task: &TaskId) -> bool {
    job.task(task).is_some_and(|state| {
        state.is_done()
            || state.placement.as_ref().is_some_and(|placement| placement.stopping_ms.is_some())
    })
}
