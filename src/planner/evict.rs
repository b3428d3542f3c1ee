//! Chooses attempts to stop so that an urgent step can be placed.

use std::collections::{BTreeMap, BTreeSet};

use super::Planner;
use super::message::PlannerTime;
use super::overload::{EvictionRight, StopTerms};
use super::pool::{Allocation, Candidate, Horizon, PlacementRequest};
use super::scope::Scope;
use super::state::Job;
use super::stop_cost::{RunningOccurrence, weight};
use crate::prelude::*;
use crate::workflow::{Resources, TaskId};

/// Lost work that each stopped attempt counts at least, in milliseconds, so that few large victims are preferred to
/// many small ones.
const MIN_STOP_COST_MS: u64 = 200;

/// Attempt, or all attempts of a gang, that may be stopped.
#[derive(Clone, Debug)]
pub(super) struct Victim {
    /// Task of the attempt, or one member of the gang.
    pub task: TaskId,
    /// Work that the stop loses, in thousandths of core-milliseconds, with a higher weight for urgent jobs. With
    /// [`super::CostSettings`], the value of that work.
    pub cost: u64,
    /// Value that the occurrence loses because it ends later, whatever the number of its attempts that are stopped; 0
    /// without [`super::CostSettings`].
    pub delay_cost: u64,
    /// Terms of the stop, with [`super::CostSettings`].
    pub terms: Option<StopTerms>,
    /// Resources that the stop frees, by worker.
    pub released: BTreeMap<WorkerId, Resources>,
}

impl Victim {
    /// Returns the cost of the stop if attempts of these occurrences are stopped as well.
    fn added_cost(&self, delayed: &BTreeSet<(&JobId, u32)>) -> u64 {
        match delayed.contains(&(&self.task.job, self.task.occurrence)) {
            true => self.cost,
            false => self.cost.saturating_add(self.delay_cost),
        }
    }
}

impl Planner {
    /// Returns the organisations whose urgent jobs need more accelerators than their guarantee.
    pub(super) fn organisations_over_guarantee(&self) -> BTreeSet<OrganisationId> {
        let mut needed: BTreeMap<&OrganisationId, u32> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.record.priority == 0 && job.result.is_none() {
                *needed.entry(&job.record.organisation).or_default() +=
                    job.record.first_step_accelerators();
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

    /// Records that a task is stopped for an urgent job.
    pub(super) fn record_eviction(&mut self, now: PlannerTime, task: &TaskId) {
        if let Some(state) = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task)) {
            state.evictions += 1;
            state.evicted_ms = now.steady_ms;
        }
    }

    /// Returns the attempts that an urgent job may stop, according to its [`EvictionRight`]. `outage_ms` is the time for
    /// which it uses their resources.
    pub(super) fn victims(
        &self,
        now: PlannerTime,
        urgent: &Job,
        right: EvictionRight,
        outage_ms: u64,
    ) -> Vec<Victim> {
        let over_guarantee = self.organisations_over_guarantee();
        let may_stop = |job: &Job| {
            job.record.priority > urgent.record.priority
                || (right == EvictionRight::Reclaim
                    && job.record.organisation != urgent.record.organisation
                    && over_guarantee.contains(&job.record.organisation))
        };
        let mut victims = Vec::new();
        for (id, job) in &self.jobs {
            if job.result.is_some() || !may_stop(job) {
                continue;
            }
            let mut seen_gangs = BTreeSet::new();
            let mut running: BTreeMap<u32, RunningOccurrence> = BTreeMap::new();
            for task in super::end::placed_tasks(id, job) {
                if job.step(task.step.into()).gang
                    && !seen_gangs.insert((task.occurrence, task.step))
                {
                    continue;
                }
                let evictions = job.task(&task).map_or(0, |state| state.evictions);
                if !right.may_stop_again(evictions) {
                    continue;
                }
                let Some(mut victim) = victim(now, job, &task) else {
                    continue;
                };
                if let Some(settings) = &self.settings.cost {
                    let running = running
                        .entry(task.occurrence)
                        .or_insert_with(|| RunningOccurrence::new(self, now, job, task.occurrence));
                    let terms = running.terms(now, job, &task);
                    let loss = terms.loss(settings, outage_ms, 0);
                    victim.cost = loss.work;
                    victim.delay_cost = loss.delay;
                    victim.terms = Some(terms);
                }
                victims.push(victim);
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
        *entry = entry.saturating_add(&step.need);
        // The stop of a checkpointable task writes a checkpoint, so no work is lost.
        let unsaved_ms = match step.checkpointable {
            true => 0,
            false => now.steady_ms.saturating_sub(placement.since_ms),
        };
        lost_ms += unsaved_ms + MIN_STOP_COST_MS;
    }
    // Urgent work costs more, so that it is stopped last.
    let priority_weight = if job.record.priority == 0 { 4 } else { 1 };
    let cost = lost_ms * weight(&step.need) * priority_weight;
    Some(Victim { task: task.clone(), cost, delay_cost: 0, terms: None, released })
}

/// Chooses victims of low total cost whose stops make the step fit. Returns the allocation and the indices of the
/// victims, or `None` if the step does not fit even when all of them are stopped.
pub(super) fn choose_victims(
    request: &PlacementRequest<'_>,
    scope: &Scope,
    pool: &[Candidate],
    victims: &[Victim],
) -> Option<(Allocation, Vec<usize>)> {
    let sets = scope.candidate_sets(request, pool);
    let choices = sets.iter().filter_map(|set| choose_victims_among(request, pool, victims, set));
    let best = choices.min_by_key(|(cost, ..)| *cost);
    best.map(|(_, allocation, chosen)| (allocation, chosen))
}

fn choose_victims_among(
    request: &PlacementRequest<'_>,
    pool: &[Candidate],
    victims: &[Victim],
    set: &[usize],
) -> Option<(u64, Allocation, Vec<usize>)> {
    let incarnations: Vec<_> = set.iter().map(|index| &pool[*index].incarnation).collect();
    let allowed = |candidate: &Candidate| incarnations.contains(&&candidate.incarnation);
    let mut scratch = pool.to_vec();
    let mut chosen: Vec<usize> = Vec::new();
    let mut cost = 0;
    loop {
        let allocation = request.allocate(&scratch, Horizon::AfterStops, allowed);
        if request.is_complete(&allocation) {
            return Some((cost, allocation, chosen));
        }
        let (more_cost, more) = cheapest_victims(request, &scratch, victims, &chosen, allowed)?;
        for victim in &more {
            release_victim(&mut scratch, &victims[*victim]);
        }
        cost += more_cost;
        chosen.extend(more);
    }
}

/// Adds the resources of a victim to those that are free once the ordered stops have completed.
pub(super) fn release_victim(pool: &mut [Candidate], victim: &Victim) {
    for (worker, resources) in &victim.released {
        if let Some(candidate) =
            pool.iter_mut().find(|candidate| candidate.incarnation.worker == *worker)
        {
            candidate.free_after_stops = candidate.free_after_stops.saturating_add(resources);
        }
    }
}

/// Finds the worker on which fitting at least one more task costs the least. Returns that cost and the victims.
fn cheapest_victims<F>(
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
    let delayed: BTreeSet<(&JobId, u32)> =
        chosen.iter().map(|victim| occurrence_of(&victims[*victim])).collect();
    for (index, candidate) in pool.iter().enumerate() {
        if !allowed(candidate) {
            continue;
        }
        let worker = &candidate.incarnation.worker;
        let mut local_victims: Vec<usize> = (0..victims.len())
            .filter(|victim| !chosen.contains(victim))
            .filter(|victim| victims[*victim].released.contains_key(worker))
            .collect();
        local_victims.sort_by_key(|victim| victims[*victim].added_cost(&delayed));
        let before = request.fits(index, candidate, Horizon::AfterStops);
        let mut trial = candidate.clone();
        let (mut cost, mut used) = (0, Vec::new());
        let mut delayed = delayed.clone();
        for victim in local_victims {
            trial.free_after_stops =
                trial.free_after_stops.saturating_add(&victims[victim].released[worker]);
            cost += victims[victim].added_cost(&delayed);
            delayed.insert(occurrence_of(&victims[victim]));
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

fn occurrence_of(victim: &Victim) -> (&JobId, u32) {
    (&victim.task.job, victim.task.occurrence)
}
