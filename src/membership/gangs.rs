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
    /// Gangs that lack a part: one that no member told a new leader, or one on a member that was lost. Their leases are
    /// never renewed again.
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

    /// Forgets a part whose tasks ended.
    pub(super) fn remove_part(&mut self, gang: &GangId, worker: &WorkerId) {
        for known in self.gangs.iter_mut().filter(|known| &known.id == gang) {
            known.parts.remove(worker);
        }
        self.gangs.retain(|gang| !gang.parts.is_empty());
    }

    /// Forgets the parts on a member that was lost, which makes their gangs partial.
    pub(super) fn remove_worker(&mut self, worker: &WorkerId) {
        for gang in &mut self.gangs {
            if gang.parts.remove(worker).is_some() && !gang.parts.is_empty() {
                self.partial.insert(gang.id.clone());
            }
        }
        self.gangs.retain(|gang| !gang.parts.is_empty());
    }

    /// Returns the gangs whose lease a member's answer must not renew: those that lack a part, and those with a part on
    /// a member that is in doubt.
    pub(super) fn withheld<D>(&self, worker: &WorkerId, in_doubt: D) -> Vec<GangId>
    where
        D: Fn(&WorkerId) -> bool,
    {
        let here = self.gangs.iter().filter(|gang| gang.parts.contains_key(worker));
        let broken = here.filter(|gang| !gang.is_whole() || gang.parts.keys().any(&in_doubt));
        let doubtful: BTreeSet<&GangId> = broken.map(|gang| &gang.id).collect();
        doubtful.into_iter().chain(&self.partial).cloned().collect()
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
