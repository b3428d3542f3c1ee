//! Parts of gangs by member.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::scheduler::RunningShare;

/// Parts of gangs on the members of a group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct GangParts {
    gangs: Vec<TrackedGang>,
    /// Gangs with a missing part: one that no member reported to a new leader, or one on a member that was lost. Their
    /// leases are never renewed again.
    partial: BTreeSet<GangId>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct TrackedGang {
    id: GangId,
    /// Members that hold parts, each with the tasks that it reported to a new leader.
    parts: BTreeMap<WorkerId, Vec<u32>>,
    /// Number of tasks of the whole gang while a new leader collects the joins of its members; `None` afterwards.
    all_tasks: Option<u32>,
}

impl GangParts {
    /// Records a part of a gang that this leader starts or adopts.
    pub(super) fn add(&mut self, gang: &GangId, worker: &WorkerId) {
        self.entry(gang).parts.entry(worker.clone()).or_default();
    }

    /// Records a part of a gang that a member reported to a new leader.
    pub(super) fn add_reported(&mut self, worker: &WorkerId, share: &RunningShare) {
        let gang = self.entry(&share.gang);
        gang.all_tasks = Some(share.job.tasks);
        let tasks = share.tasks.iter().map(|cell| cell.task).collect();
        gang.parts.insert(worker.clone(), tasks);
    }

    /// Ends the collection of joins: gangs with a part that no member reported become partial, so they are never
    /// renewed.
    pub(super) fn mark_incomplete_gangs(&mut self) {
        let (whole, partial): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.gangs).into_iter().partition(TrackedGang::is_whole);
        self.gangs = whole;
        self.partial.extend(partial.into_iter().map(|gang| gang.id));
        self.gangs.iter_mut().for_each(|gang| gang.all_tasks = None);
    }

    pub(super) fn remove(&mut self, gang: &GangId) {
        self.gangs.retain(|tracked| &tracked.id != gang);
        self.partial.remove(gang);
    }

    /// Removes a part whose tasks ended.
    pub(super) fn remove_part(&mut self, gang: &GangId, worker: &WorkerId) {
        for tracked in self.gangs.iter_mut().filter(|tracked| &tracked.id == gang) {
            tracked.parts.remove(worker);
        }
        self.gangs.retain(|gang| !gang.parts.is_empty());
    }

    /// Removes the parts on a member that was lost, which makes their gangs partial.
    pub(super) fn remove_worker(&mut self, worker: &WorkerId) {
        for gang in &mut self.gangs {
            if gang.parts.remove(worker).is_some() && !gang.parts.is_empty() {
                self.partial.insert(gang.id.clone());
            }
        }
        self.gangs.retain(|gang| !gang.parts.is_empty());
    }

    /// Returns the gangs whose lease an acknowledgement to a member must not renew: those with a missing part, and
    /// those with a part on a member for which `may_lapse` returns true.
    pub(super) fn withheld<D>(&self, worker: &WorkerId, may_lapse: D) -> Vec<GangId>
    where
        D: Fn(&WorkerId) -> bool,
    {
        let here = self.gangs.iter().filter(|gang| gang.parts.contains_key(worker));
        let at_risk = here.filter(|gang| !gang.is_whole() || gang.parts.keys().any(&may_lapse));
        let withheld: BTreeSet<&GangId> = at_risk.map(|gang| &gang.id).collect();
        withheld.into_iter().chain(&self.partial).cloned().collect()
    }

    /// Returns the gangs with a part on a member, and the members that hold their other parts.
    pub(super) fn other_parts(&self, worker: &WorkerId) -> Vec<(GangId, WorkerId)> {
        let here = self.gangs.iter().filter(|gang| gang.parts.contains_key(worker));
        here.flat_map(|gang| {
            let others = gang.parts.keys().filter(|other| *other != worker);
            others.map(|other| (gang.id.clone(), other.clone()))
        })
        .collect()
    }

    fn entry(&mut self, id: &GangId) -> &mut TrackedGang {
        let position = self.gangs.iter().position(|gang| &gang.id == id).unwrap_or_else(|| {
            let parts = BTreeMap::new();
            self.gangs.push(TrackedGang { id: id.clone(), parts, all_tasks: None });
            self.gangs.len() - 1
        });
        &mut self.gangs[position]
    }
}

impl TrackedGang {
    fn is_whole(&self) -> bool {
        let reported_tasks: usize = self.parts.values().map(Vec::len).sum();
        self.all_tasks.is_none_or(|all| reported_tasks as u64 == u64::from(all))
    }
}
