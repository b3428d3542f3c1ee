//! Where the tasks of a step may run together: in one rack, near their data, or anywhere.

use super::pool::{Allocation, Candidate, Horizon, PlacementRequest};
use crate::prelude::*;

/// The limits of a search for room.
#[derive(Clone, Debug)]
pub(super) struct Scope {
    /// Tasks that belong in one rack may be spread, even if a rack is large enough.
    pub may_leave_rack: bool,
    /// Tasks may run far from their data, even if its rack is large enough.
    pub may_leave_data: bool,
    /// The workers have had time to report; before that, one that is large enough may not be among the candidates yet.
    pub has_settled: bool,
    /// The rack where tasks of the step run already.
    pub home: Option<RackId>,
}

impl Scope {
    /// Finds room for all tasks of a gang, or for any task of another step.
    pub fn find(
        &self,
        request: &PlacementRequest<'_>,
        pool: &[Candidate],
        horizon: Horizon,
    ) -> Option<Allocation> {
        if request.step.same_rack {
            if let Some(allocation) = self.find_rack(request, pool, horizon) {
                return Some(allocation);
            }
            if self.stays_in_rack(request, pool) {
                return None;
            }
        }
        if request.step.data_rack.is_some() {
            let near = |one: &Candidate| request.is_near_data(one);
            let allocation = request.allocate(pool, horizon, near);
            if is_enough(request, &allocation) {
                return Some(allocation);
            }
            if self.stays_near_data(request, pool) {
                return None;
            }
        }
        let allocation = request.allocate(pool, horizon, |_| true);
        is_enough(request, &allocation).then_some(allocation)
    }

    /// Returns the sets of candidates among which a step has to find room: each rack, the rack of its data, or all.
    pub fn candidate_sets(
        &self,
        request: &PlacementRequest<'_>,
        pool: &[Candidate],
    ) -> Vec<Vec<usize>> {
        let indices = |keep: &dyn Fn(&Candidate) -> bool| -> Vec<usize> {
            (0..pool.len()).filter(|index| keep(&pool[*index])).collect()
        };
        if request.step.same_rack && self.stays_in_rack(request, pool) {
            let racks = self.racks(pool).into_iter();
            return racks.map(|rack| indices(&|one| one.rack.as_ref() == Some(rack))).collect();
        }
        if request.step.data_rack.is_some() && self.stays_near_data(request, pool) {
            return vec![indices(&|one| request.is_near_data(one))];
        }
        vec![indices(&|_| true)]
    }

    /// Returns an allocation of all tasks for each set of candidates that has room.
    pub fn whole_allocations(
        &self,
        request: &PlacementRequest<'_>,
        pool: &[Candidate],
        horizon: Horizon,
    ) -> Vec<Allocation> {
        let sets = self.candidate_sets(request, pool);
        let allocate = |set: &Vec<usize>| {
            let incarnations: Vec<_> = set.iter().map(|index| &pool[*index].incarnation).collect();
            request.allocate(pool, horizon, |one| incarnations.contains(&&one.incarnation))
        };
        sets.iter().map(allocate).filter(|allocation| request.is_whole(allocation)).collect()
    }

    fn stays_in_rack(&self, request: &PlacementRequest<'_>, pool: &[Candidate]) -> bool {
        let is_possible = || self.find_rack(request, pool, Horizon::Empty).is_some();
        !self.may_leave_rack && (!self.has_settled || is_possible())
    }

    fn stays_near_data(&self, request: &PlacementRequest<'_>, pool: &[Candidate]) -> bool {
        let near = |one: &Candidate| request.is_near_data(one);
        let is_possible = || !request.allocate(pool, Horizon::Empty, near).is_empty();
        !self.may_leave_data && (!self.has_settled || is_possible())
    }

    fn racks<'a>(&self, pool: &'a [Candidate]) -> Vec<&'a RackId> {
        let mut racks: Vec<&RackId> = pool.iter().filter_map(|one| one.rack.as_ref()).collect();
        racks.sort();
        racks.dedup();
        racks.retain(|rack| self.home.as_ref().is_none_or(|home| home == *rack));
        racks
    }

    /// Finds the rack that holds the data or, among those with room for all tasks, has the least left.
    fn find_rack(
        &self,
        request: &PlacementRequest<'_>,
        pool: &[Candidate],
        horizon: Horizon,
    ) -> Option<Allocation> {
        let data_rack = request.step.data_rack.as_deref();
        self.racks(pool)
            .into_iter()
            .map(|rack| {
                let is_here = |one: &Candidate| one.rack.as_ref() == Some(rack);
                (rack, request.allocate(pool, horizon, is_here))
            })
            .filter(|(_, allocation)| request.is_whole(allocation))
            .min_by_key(|(rack, allocation)| {
                let doubtful =
                    allocation.iter().filter(|(index, _)| pool[*index].is_doubtful).count();
                let free: u32 =
                    allocation.iter().map(|(index, _)| pool[*index].soon.accelerators).sum();
                (data_rack.is_some_and(|data| data != rack.as_str()), doubtful, free)
            })
            .map(|(_, allocation)| allocation)
    }
}

fn is_enough(request: &PlacementRequest<'_>, allocation: &Allocation) -> bool {
    match request.step.gang {
        true => request.is_whole(allocation),
        false => !allocation.is_empty(),
    }
}
