//! Chooses attempts to stop, so that an urgent step finds room.

use std::collections::{BTreeMap, BTreeSet};

use super::Planner;
use super::message::PlannerTime;
use super::pool::{Allocation, Candidate, Horizon, PlacementRequest};
use super::scope::Scope;
use super::state::Job;
use crate::prelude::*;
use crate::workflow::{Resources, TaskId};

/// The processor time that counts as much as an accelerator, in thousandths of a core.
const ACCELERATOR_CORES_MILLI: u64 = 8_000;
/// The part of a second of work that a stop costs at least, so that few large victims come before many small ones.
const LEAST_LOSS_MS: u64 = 200;

/// An attempt, or all attempts of a gang, that may be stopped.
#[derive(Clone, Debug)]
pub(super) struct Victim {
    /// The task, or one member of the gang.
    pub task: TaskId,
    /// The work that is lost, in thousandths of core-milliseconds.
    pub cost: u64,
    /// What each worker gets back.
    pub released: BTreeMap<WorkerId, Resources>,
}

impl Planner {
    /// Returns the organisations whose urgent jobs need more than is guaranteed.
    pub(super) fn organisations_over_guarantee(&self) -> BTreeSet<OrganisationId> {
        let mut needed: BTreeMap<&OrganisationId, u32> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.record.priority == 0 && job.result.is_none() {
                *needed.entry(&job.record.organisation).or_default() +=
                    job.first_step_accelerators();
            }
        }
        let guarantee = |organisation: &OrganisationId| {
            self.directives.rules.as_ref().map_or(0, |rules| rules.guarantee_of(organisation))
        };
        needed
            .into_iter()
            .filter(|(organisation, needed)| *needed > guarantee(organisation))
            .map(|(organisation, _)| organisation.clone())
            .collect()
    }

    /// Returns what an urgent job may stop: work of lower priority, and for a job within its organisation's guarantee
    /// also urgent work of organisations that exceed theirs.
    pub(super) fn victims(
        &self,
        now: PlannerTime,
        urgent: &Job,
        within_guarantee: bool,
    ) -> Vec<Victim> {
        let over_guarantee = self.organisations_over_guarantee();
        let may_stop = |job: &Job| {
            job.record.priority > urgent.record.priority
                || (within_guarantee
                    && job.record.organisation != urgent.record.organisation
                    && over_guarantee.contains(&job.record.organisation))
        };
        let mut victims = Vec::new();
        for (id, job) in &self.jobs {
            if job.result.is_some() || !may_stop(job) {
                continue;
            }
            let mut seen_gangs = BTreeSet::new();
            for task in super::end::placed_tasks(id, job) {
                if job.step(task.step.into()).gang
                    && !seen_gangs.insert((task.occurrence, task.step))
                {
                    continue;
                }
                victims.extend(victim(now, job, &task));
            }
        }
        victims
    }
}

fn victim(now: PlannerTime, job: &Job, task: &TaskId) -> Option<Victim> {
    let step = job.step(task.step.into());
    let mut released: BTreeMap<WorkerId, Resources> = BTreeMap::new();
    let mut lost_ms = 0;
    for member in job.members(task) {
        let state = job.task(&member)?;
        let Some(placement) = state.placement.as_ref() else {
            continue;
        };
        if state.is_done() || placement.stopping_ms.is_some() {
            return None;
        }
        let entry = released.entry(placement.incarnation.worker.clone()).or_default();
        *entry = entry.plus(&step.need);
        // A checkpoint is made at the stop.
        let unsaved_ms = match step.checkpointable {
            true => 0,
            false => now.steady_ms.saturating_sub(placement.since_ms),
        };
        lost_ms += unsaved_ms + LEAST_LOSS_MS;
    }
    let weight = u64::from(step.need.cores_milli)
        + u64::from(step.need.accelerators) * ACCELERATOR_CORES_MILLI;
    // Work of higher priority is the last to be stopped.
    let priority_weight = if job.record.priority == 0 { 4 } else { 1 };
    Some(Victim { task: task.clone(), cost: lost_ms * weight * priority_weight, released })
}

/// Chooses victims of low cost until the step fits. Returns the allocation and the indices of the victims.
pub(super) fn choose(
    request: &PlacementRequest<'_>,
    scope: &Scope,
    pool: &[Candidate],
    victims: &[Victim],
) -> Option<(Allocation, Vec<usize>)> {
    let sets = scope.candidate_sets(request, pool);
    let choices = sets.iter().filter_map(|set| choose_among(request, pool, victims, set));
    let best = choices.min_by_key(|(cost, ..)| *cost);
    best.map(|(_, allocation, chosen)| (allocation, chosen))
}

fn choose_among(
    request: &PlacementRequest<'_>,
    pool: &[Candidate],
    victims: &[Victim],
    set: &[usize],
) -> Option<(u64, Allocation, Vec<usize>)> {
    let incarnations: Vec<_> = set.iter().map(|index| &pool[*index].incarnation).collect();
    let allowed = |one: &Candidate| incarnations.contains(&&one.incarnation);
    let mut scratch = pool.to_vec();
    let mut chosen: Vec<usize> = Vec::new();
    let mut cost = 0;
    loop {
        let allocation = request.allocate(&scratch, Horizon::AfterStops, allowed);
        if request.is_whole(&allocation) {
            return Some((cost, allocation, chosen));
        }
        let (more_cost, more) = cheapest_step(request, &scratch, victims, &chosen, allowed)?;
        for victim in &more {
            release(&mut scratch, &victims[*victim]);
        }
        cost += more_cost;
        chosen.extend(more);
    }
}

/// Counts what a victim uses as free soon.
pub(super) fn release(pool: &mut [Candidate], victim: &Victim) {
    for (worker, resources) in &victim.released {
        if let Some(candidate) = pool.iter_mut().find(|one| one.incarnation.worker == *worker) {
            candidate.soon = candidate.soon.plus(resources);
        }
    }
}

/// Finds the worker on which room for one more task costs the least, and the victims that make it.
fn cheapest_step<F>(
    request: &PlacementRequest<'_>,
    pool: &[Candidate],
    victims: &[Victim],
    chosen: &[usize],
    allowed: F,
) -> Option<(u64, Vec<usize>)>
where
    F: Fn(&Candidate) -> bool,
{
    let mut best: Option<(u64, Vec<usize>)> = None;
    for (index, candidate) in pool.iter().enumerate() {
        if !allowed(candidate) {
            continue;
        }
        let worker = &candidate.incarnation.worker;
        let mut here: Vec<usize> = (0..victims.len())
            .filter(|victim| !chosen.contains(victim))
            .filter(|victim| victims[*victim].released.contains_key(worker))
            .collect();
        here.sort_by_key(|victim| victims[*victim].cost);
        let before = request.fits(index, candidate, Horizon::AfterStops);
        let mut trial = candidate.clone();
        let (mut cost, mut used) = (0, Vec::new());
        for victim in here {
            trial.soon = trial.soon.plus(&victims[victim].released[worker]);
            cost += victims[victim].cost;
            used.push(victim);
            if request.fits(index, &trial, Horizon::AfterStops) > before {
                if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                    best = Some((cost, used));
                }
                break;
            }
        }
    }
    best
}
