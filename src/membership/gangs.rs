//! Which members hold parts of which gangs.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::scheduler::RunningShare;

/// The parts of gangs on the members of a group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct GangParts {
    gangs: Vec<KnownGang>,
    /// Gangs that were partial when the members had answered a new leader; their leases are never renewed.
    partial: BTreeSet<GangId>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct KnownGang {
    id: GangId,
    /// The members that hold parts, each with the tasks that it told a new leader.
    parts: BTreeMap<WorkerId, Vec<u32>>,
    /// The number of tasks of the whole gang, while the answers to a new leader are collected.
    all_tasks: Option<u32>,
}

impl GangParts {
    /// Notes a part of a gang that this leader starts or adopts.
    pub(super) fn add(&mut self, gang: &GangId, worker: &WorkerId) {
        self.entry(gang).parts.entry(worker.clone()).or_default();
    }

    /// Notes a part of a gang that a member told a new leader.
    pub(super) fn add_told(&mut self, worker: &WorkerId, share: &RunningShare) {
        let gang = self.entry(&share.gang);
        gang.all_tasks = Some(share.job.tasks);
        let tasks = share.tasks.iter().map(|cell| cell.task).collect();
        gang.parts.insert(worker.clone(), tasks);
    }

    /// Ends the collection: gangs of which a part is missing are never renewed.
    pub(super) fn close_told(&mut self) {
        let (whole, partial): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.gangs).into_iter().partition(KnownGang::is_whole);
        self.gangs = whole;
        self.partial.extend(partial.into_iter().map(|gang| gang.id));
        self.gangs.iter_mut().for_each(|gang| gang.all_tasks = None);
    }

    pub(super) fn remove(&mut self, gang: &GangId) {
        self.gangs.retain(|known| &known.id != gang);
        self.partial.remove(gang);
    }

    /// Forgets the parts on a member that was lost.
    pub(super) fn remove_worker(&mut self, worker: &WorkerId) {
        for gang in &mut self.gangs {
            gang.parts.remove(worker);
        }
        self.gangs.retain(|gang| !gang.parts.is_empty());
    }

    /// Returns the gangs whose lease a member's answer must not renew: those that miss a part, and those with a part
    /// on a member whose lease lapsed.
    pub(super) fn withheld<L>(&self, worker: &WorkerId, is_lapsed: L) -> Vec<GangId>
    where
        L: Fn(&WorkerId) -> bool,
    {
        let here = self.gangs.iter().filter(|gang| gang.parts.contains_key(worker));
        let broken = here.filter(|gang| !gang.is_whole() || gang.parts.keys().any(&is_lapsed));
        broken.map(|gang| gang.id.clone()).chain(self.partial.iter().cloned()).collect()
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

    fn entry(&mut self, id: &GangId) -> &mut KnownGang {
        let position = self.gangs.iter().position(|gang| &gang.id == id).unwrap_or_else(|| {
            let parts = BTreeMap::new();
            self.gangs.push(KnownGang { id: id.clone(), parts, all_tasks: None });
            self.gangs.len() - 1
        });
        &mut self.gangs[position]
    }
}

impl KnownGang {
    fn is_whole(&self) -> bool {
        let told: usize = self.parts.values().map(Vec::len).sum();
        self.all_tasks.is_none_or(|all| told as u64 == u64::from(all))
    }
}
