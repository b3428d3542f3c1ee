//! Limits the workers on which the tasks of a step may run: those of one rack, those near its data, or all.

use super::pool::{Allocation, Candidate, Horizon, PlacementRequest};
use super::speed::SpeedScope;
use crate::prelude::*;

/// Limits of a search for free resources.
#[derive(Clone, Debug)]
pub(super) struct Scope {
    /// Tasks that belong in one rack may be spread over racks, even if one rack has the capacity for them.
    pub may_leave_rack: bool,
    /// Tasks may run outside the rack of their data, even if that rack has the capacity for them.
    pub may_leave_data: bool,
    /// The workers have had time to report. Before that, workers with enough capacity may be missing in the candidates.
    pub has_settled: bool,
    /// Rack in which tasks of the step are already placed.
    pub current_rack: Option<RackId>,
}

impl Scope {
    /// Returns an allocation of all tasks of a gang, or of at least one task of another step.
    pub fn find(
        &self,
        request: &PlacementRequest<'_>,
        pool: &[Candidate],
        horizon: Horizon,
    ) -> Option<Allocation> {
        let scopes = request.speed.scopes();
        if request.step.same_rack {
            let in_rack = |scope| self.find_rack(request, pool, horizon, scope);
            if let Some(allocation) = scopes.iter().copied().find_map(in_rack) {
                return Some(allocation);
            }
            if self.stays_in_rack(request, pool) {
                return None;
            }
        }
        if request.step.data_rack.is_some() {
            let near = |candidate: &Candidate| request.is_near_data(candidate);
            let allocation = request.allocate(pool, horizon, near);
            if is_sufficient(request, &allocation) {
                return Some(allocation);
            }
            if self.stays_near_data(request, pool) {
                return None;
            }
        }
        // The tasks of other steps than gangs run independently of each other, so they may be on workers of both classes.
        let last_scope = scopes.last().copied().unwrap_or(SpeedScope::All);
        let scopes = if request.step.gang { scopes } else { &[last_scope] };
        scopes.iter().copied().find_map(|scope| {
            let is_in_scope = |candidate: &Candidate| scope.contains(candidate.speed_class);
            let allocation = request.allocate(pool, horizon, is_in_scope);
            is_sufficient(request, &allocation).then_some(allocation)
        })
    }

    /// Returns the sets of candidates within one of which the step has to be placed, as indices: each rack, the rack of
    /// its data, or all candidates.
    pub fn candidate_sets(
        &self,
        request: &PlacementRequest<'_>,
        pool: &[Candidate],
    ) -> Vec<Vec<usize>> {
        let may_use = |candidate: &Candidate| {
            request.speed.scopes().iter().any(|scope| scope.contains(candidate.speed_class))
        };
        let indices = |keep: &dyn Fn(&Candidate) -> bool| -> Vec<usize> {
            let is_kept = |index: &usize| may_use(&pool[*index]) && keep(&pool[*index]);
            (0..pool.len()).filter(is_kept).collect()
        };
        if request.step.same_rack && self.stays_in_rack(request, pool) {
            let racks = self.racks(pool).into_iter();
            return racks
                .map(|rack| indices(&|candidate| candidate.rack.as_ref() == Some(rack)))
                .collect();
        }
        if request.step.data_rack.is_some() && self.stays_near_data(request, pool) {
            return vec![indices(&|candidate| request.is_near_data(candidate))];
        }
        vec![indices(&|_| true)]
    }

    /// Returns an allocation of all tasks for each set of candidates on which they fit.
    pub fn complete_allocations(
        &self,
        request: &PlacementRequest<'_>,
        pool: &[Candidate],
        horizon: Horizon,
    ) -> Vec<Allocation> {
        let sets = self.candidate_sets(request, pool);
        let allocate = |set: &Vec<usize>| {
            let incarnations: Vec<_> = set.iter().map(|index| &pool[*index].incarnation).collect();
            request
                .allocate(pool, horizon, |candidate| incarnations.contains(&&candidate.incarnation))
        };
        sets.iter().map(allocate).filter(|allocation| request.is_complete(allocation)).collect()
    }

    fn stays_in_rack(&self, request: &PlacementRequest<'_>, pool: &[Candidate]) -> bool {
        let is_possible =
            || self.find_rack(request, pool, Horizon::Empty, SpeedScope::All).is_some();
        !self.may_leave_rack && (!self.has_settled || is_possible())
    }

    fn stays_near_data(&self, request: &PlacementRequest<'_>, pool: &[Candidate]) -> bool {
        let near = |candidate: &Candidate| request.is_near_data(candidate);
        let is_possible = || !request.allocate(pool, Horizon::Empty, near).is_empty();
        !self.may_leave_data && (!self.has_settled || is_possible())
    }

    fn racks<'a>(&self, pool: &'a [Candidate]) -> Vec<&'a RackId> {
        let mut racks: Vec<&RackId> =
            pool.iter().filter_map(|candidate| candidate.rack.as_ref()).collect();
        racks.sort();
        racks.dedup();
        racks.retain(|rack| {
            self.current_rack.as_ref().is_none_or(|current_rack| current_rack == *rack)
        });
        racks
    }

    /// Returns an allocation in a rack in which all tasks fit. Prefers the rack that holds the data, then the rack with
    /// the fewest unreliable workers, then that with the fewest free accelerators.
    fn find_rack(
        &self,
        request: &PlacementRequest<'_>,
        pool: &[Candidate],
        horizon: Horizon,
        scope: SpeedScope,
    ) -> Option<Allocation> {
        let data_rack = request.step.data_rack.as_deref();
        self.racks(pool)
            .into_iter()
            .map(|rack| {
                let is_in_rack = |candidate: &Candidate| {
                    candidate.rack.as_ref() == Some(rack) && scope.contains(candidate.speed_class)
                };
                (rack, request.allocate(pool, horizon, is_in_rack))
            })
            .filter(|(_, allocation)| request.is_complete(allocation))
            .min_by_key(|(rack, allocation)| {
                let doubtful =
                    allocation.iter().filter(|(index, _)| request.is_risky(&pool[*index])).count();
                let free: u32 = allocation
                    .iter()
                    .map(|(index, _)| pool[*index].free_after_stops.accelerators)
                    .sum();
                (data_rack.is_some_and(|data| data != rack.as_str()), doubtful, free)
            })
            .map(|(_, allocation)| allocation)
    }
}

fn is_sufficient(request: &PlacementRequest<'_>, allocation: &Allocation) -> bool {
    match request.step.gang {
        true => request.is_complete(allocation),
        false => !allocation.is_empty(),
    }
}
