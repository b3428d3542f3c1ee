//! What is free on the workers during one pass of placement.

use super::Planner;
use super::message::PlannerTime;
use super::state::Job;
use crate::prelude::*;
use crate::workflow::{Resources, StepSpec, WorkerIncarnation};

/// A worker that may get work.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub incarnation: WorkerIncarnation,
    pub service: String,
    pub rack: Option<RackId>,
    pub labels: Vec<String>,
    pub room: Resources,
    /// What nothing uses now.
    pub free: Resources,
    /// What nothing uses once all stops that were ordered have ended.
    pub soon: Resources,
    /// Jobs of lower priority get nothing here, so that a large gang finds room.
    pub reserved: bool,
    /// Runs failed here lately, or are slow.
    pub is_doubtful: bool,
    /// A gang that had a member here stood still.
    pub is_suspect: bool,
}

/// Where to look for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Horizon {
    /// Room that can be used now and that nobody waits for.
    Now,
    /// Room that is free once all ordered stops have ended.
    AfterStops,
    /// All room, whatever uses it.
    Empty,
}

impl Candidate {
    fn room_at(&self, horizon: Horizon) -> Resources {
        match horizon {
            Horizon::Now if self.reserved => Resources::default(),
            Horizon::Now => self.free.least(&self.soon),
            Horizon::AfterStops => self.soon,
            Horizon::Empty => self.room,
        }
    }

    /// Takes room for tasks; what is missing now has to come from stops.
    pub fn take(&mut self, need: &Resources, tasks: u32) {
        for _ in 0..tasks {
            self.free = self.free.minus(need);
            self.soon = self.soon.minus(need);
        }
    }

    /// Keeps room free for tasks that start after stops.
    pub fn hold_back(&mut self, need: &Resources, tasks: u32) {
        for _ in 0..tasks {
            self.soon = self.soon.minus(need);
        }
    }
}

/// The number of tasks for each of some candidates, by index.
pub(super) type Allocation = Vec<(usize, u32)>;

/// What an allocation is for.
#[derive(Clone, Debug)]
pub(super) struct PlacementRequest<'a> {
    pub service: &'a str,
    pub step: &'a StepSpec,
    pub tasks: u32,
    /// The number of tasks of the step on each candidate.
    pub present: Vec<u32>,
    /// The workers where tasks of the step failed last.
    pub avoid: Vec<WorkerId>,
}

impl PlacementRequest<'_> {
    /// Returns how many of the tasks a candidate can take.
    pub fn fits(&self, index: usize, candidate: &Candidate, horizon: Horizon) -> u32 {
        let has_label = |label: &String| candidate.labels.contains(label);
        if candidate.service != self.service
            || !self.step.required_label.as_ref().is_none_or(has_label)
        {
            return 0;
        }
        let limit = match self.step.max_per_worker {
            0 => u32::MAX,
            limit => limit.saturating_sub(self.present[index]),
        };
        candidate.room_at(horizon).times(&self.step.need).min(limit).min(self.tasks)
    }

    /// Returns whether a candidate is in the rack that holds the data, if any does.
    pub fn is_near_data(&self, candidate: &Candidate) -> bool {
        self.step
            .data_rack
            .as_deref()
            .is_none_or(|rack| candidate.rack.as_ref().is_some_and(|own| own.as_str() == rack))
    }

    /// Distributes the tasks over the candidates that `allowed` names: near the data first, then where they leave the
    /// least room, so that large blocks stay whole. Returns as many as fit.
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
            let is_avoided = self.avoid.contains(&candidate.incarnation.worker);
            let too_small = *fits < self.tasks;
            let room = candidate.room_at(horizon);
            (
                !self.is_near_data(candidate),
                is_avoided || candidate.is_doubtful,
                too_small && self.step.gang,
                room.accelerators,
                room.cores_milli,
            )
        });
        let mut left = self.tasks;
        let mut allocation = Allocation::new();
        for (index, fits) in order {
            let tasks = fits.min(left);
            if tasks == 0 {
                break;
            }
            allocation.push((index, tasks));
            left -= tasks;
        }
        allocation
    }

    /// Returns whether an allocation holds all tasks.
    pub fn is_whole(&self, allocation: &Allocation) -> bool {
        allocation.iter().map(|(_, tasks)| tasks).sum::<u32>() >= self.tasks
    }
}

impl Planner {
    /// Returns the workers that may get work, and what is free on them.
    pub(super) fn pool(&self, now: PlannerTime) -> Vec<Candidate> {
        let mut pool = Vec::new();
        for worker in self.workers.values() {
            let Some(report) = &worker.report else {
                continue;
            };
            let is_usable = worker.connected
                && worker.synced
                && worker.foreign.is_empty()
                && self.takes_starts(&report.incarnation.worker)
                && now.steady_ms >= worker.resting_until_ms;
            if !is_usable {
                continue;
            }
            let (mut used, mut stopping) = (Resources::default(), Resources::default());
            for task in &worker.placed {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let need = job.step(task.step.into()).need;
                used = used.plus(&need);
                if is_ending(job, task) {
                    stopping = stopping.plus(&need);
                }
            }
            let free = report.room.minus(&used);
            pool.push(Candidate {
                incarnation: report.incarnation.clone(),
                service: report.service.clone(),
                rack: report.rack.clone(),
                labels: report.labels.clone(),
                room: report.room,
                free,
                soon: free.plus(&stopping),
                reserved: false,
                is_doubtful: !worker.failed_jobs.is_empty()
                    || now.steady_ms < worker.suspect_until_ms
                    || worker.slowness.is_slow(now.steady_ms),
                is_suspect: now.steady_ms < worker.suspect_until_ms,
            });
        }
        // A gang can suspect a whole small deployment; then the suspects only come last.
        let suspects = pool.iter().filter(|candidate| candidate.is_suspect).count();
        if suspects <= pool.len() / 2 {
            pool.retain(|candidate| !candidate.is_suspect);
        }
        pool
    }
}

/// Returns whether a placed attempt ends soon: it was told to stop, or its gang is done.
fn is_ending(job: &Job, task: &crate::workflow::TaskId) -> bool {
    job.task(task).is_some_and(|state| {
        state.is_done()
            || state.placement.as_ref().is_some_and(|placement| placement.stopping_ms.is_some())
    })
}
