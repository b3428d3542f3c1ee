//! The workers of a group, and who holds which of their cells.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::mask::low_bits;
use crate::prelude::*;
use crate::scheduler::WorkerSpec;

/// Names a job within one scheduler; a job that arrived later has a higher key.
pub type JobKey = u64;

/// Whether a worker may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// The worker takes work.
    Up,
    /// The worker was found at fault and is being probed.
    Quarantined,
    /// The worker did not obey; its agent ends everything.
    Fenced,
    /// The worker was lost.
    Lost,
}

/// Which cells a gang may use, by the organisation to which they are guaranteed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CellAccess {
    /// Only cells that are guaranteed to the gang's own organisation.
    Own,
    /// Own cells, and those that are guaranteed to nobody.
    Spare,
    /// All cells; the gang gives them back when their organisation wants them.
    Any,
}

/// The cells that a gang's tasks hold on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// The job.
    pub job: JobKey,
    /// The accelerators.
    pub mask: u64,
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// The organisation, as an index of the scheduler.
    pub organisation: u32,
    /// The class of the job.
    pub class: Class,
    /// Whether the gang may be stopped to give its cells back.
    pub reclaimable: bool,
    /// The accelerators of the whole gang, which are all lost when the gang is stopped.
    pub weight: u32,
}

/// One worker of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// What the agent announced.
    pub spec: WorkerSpec,
    /// The index of the rack.
    pub rack: u32,
    /// Whether the worker takes work.
    pub state: WorkerState,
    /// Until when the worker gets no new work because its agent refused some.
    pub avoid_until_ms: u64,
    /// Distinct jobs that failed on the worker since a task last succeeded there.
    pub failed_jobs: Vec<JobKey>,
    /// How often the worker was found at fault.
    pub quarantines: u32,
    /// When the worker is probed next while it is in quarantine.
    pub probe_at_ms: u64,
    /// When all tasks of a fenced worker have certainly ended.
    pub fenced_until_ms: u64,
    /// Who holds cells.
    pub holdings: Vec<Holding>,
    /// Who will hold cells as soon as others have given them back.
    pub claims: Vec<Holding>,
    /// Accelerators that no gang holds.
    pub free: u64,
    /// Accelerators that wait for a gang whose plan is fixed.
    pub claimed: u64,
    /// Cores that wait for such a gang.
    pub claimed_cores: u32,
    /// Memory that waits for such a gang, in mebibytes.
    pub claimed_memory_mb: u64,
    /// Accelerators that are reserved for a job that has waited long.
    pub reserved: u64,
    /// Cores that no gang holds.
    pub free_cores: u32,
    /// Memory that no gang holds, in mebibytes.
    pub free_memory_mb: u64,
    /// Accelerators guaranteed to organisations, by the index of the organisation.
    pub bound: Vec<(u32, u64)>,
    /// Accelerators that are guaranteed to any organisation.
    pub bound_all: u64,
}

impl Worker {
    /// Returns the mask of all accelerators of the worker.
    pub fn all_accelerators(&self) -> u64 {
        low_bits(self.spec.shape.accelerators)
    }

    /// Returns the accelerators that are guaranteed to an organisation.
    pub fn guaranteed_to(&self, organisation: u32) -> u64 {
        self.bound
            .iter()
            .filter(|(owner, _)| *owner == organisation)
            .fold(0, |all, (_, mask)| all | mask)
    }

    /// Returns the accelerators that are guaranteed to an organisation and not held for good by others.
    fn takeable_by(&self, organisation: u32) -> u64 {
        self.guaranteed_to(organisation) & !self.pinned_by_others(organisation)
    }

    /// Returns the accelerators that an organisation's gang may use.
    pub fn accessible_mask(&self, organisation: u32, access: CellAccess) -> u64 {
        match access {
            CellAccess::Own => self.guaranteed_to(organisation),
            CellAccess::Spare => {
                self.guaranteed_to(organisation) | (self.all_accelerators() & !self.bound_all)
            }
            CellAccess::Any => self.all_accelerators(),
        }
    }

    /// Returns the accelerators that are neither held nor claimed.
    pub fn available_mask(&self) -> u64 {
        self.free & !self.claimed
    }

    /// Returns the cores that are neither held nor claimed.
    pub fn available_cores(&self) -> u32 {
        self.free_cores.saturating_sub(self.claimed_cores)
    }

    /// Returns the memory that is neither held nor claimed, in mebibytes.
    pub fn available_memory_mb(&self) -> u64 {
        self.free_memory_mb.saturating_sub(self.claimed_memory_mb)
    }

    /// Returns whether the worker may get new work.
    pub fn takes_work(&self, now_ms: u64) -> bool {
        self.state == WorkerState::Up && self.avoid_until_ms <= now_ms
    }

    /// Returns the cores and the memory that go with accelerators, in proportion to the worker's.
    pub fn proportional_resources(&self, accelerators: u32) -> (u32, u64) {
        let shape = self.spec.shape;
        let all = u64::from(shape.accelerators.max(1));
        let part = u64::from(accelerators);
        ((u64::from(shape.cores) * part / all) as u32, shape.memory_mb * part / all)
    }

    /// Returns the cores and memory that work of an organisation must leave to the guarantees of others.
    pub fn kept_for_others(&self, organisation: u32) -> (u32, u64) {
        let owners = self.bound.iter().enumerate().filter(|(index, (owner, _))| {
            *owner != organisation
                && !self.bound[..*index].iter().any(|(earlier, _)| earlier == owner)
        });
        owners.fold((0, 0), |sum, (_, (owner, _))| {
            let (cores, memory_mb) =
                self.proportional_resources(self.takeable_by(*owner).count_ones());
            let (used_cores, used_mb) = self.pinned_size(|other| other == *owner);
            (sum.0 + cores.saturating_sub(used_cores), sum.1 + memory_mb.saturating_sub(used_mb))
        })
    }

    /// Returns the cores and memory of an organisation's own guarantee that its work does not use yet.
    pub fn unused_guarantee(&self, organisation: u32) -> (u32, u64) {
        let (cores, memory_mb) =
            self.proportional_resources(self.takeable_by(organisation).count_ones());
        let (used_cores, used_mb) = self.pinned_size(|other| other == organisation);
        (cores.saturating_sub(used_cores), memory_mb.saturating_sub(used_mb))
    }

    /// Returns whether `accelerators` more can be kept for an organisation, with the cores and memory that go with them.
    pub fn can_guarantee(&self, organisation: u32, accelerators: u32) -> bool {
        let (cores, memory_mb) =
            self.proportional_resources(accelerators + self.takeable_by(organisation).count_ones());
        let (kept_cores, kept_mb) = self.kept_for_others(organisation);
        let (used_cores, used_mb) = self.pinned_size(|other| other != organisation);
        let shape = self.spec.shape;
        cores + kept_cores + used_cores <= shape.cores
            && memory_mb + kept_mb + used_mb <= shape.memory_mb
    }

    /// Returns the cores and memory that non-reclaimable work of some organisations holds.
    pub fn pinned_size<F>(&self, of: F) -> (u32, u64)
    where
        F: Fn(u32) -> bool,
    {
        let pinned = self.pinned().filter(|h| of(h.organisation));
        pinned.fold((0, 0), |sum, h| (sum.0 + h.cores, sum.1 + h.memory_mb))
    }

    /// Returns the accelerators held by gangs of other organisations that cannot be made to give them back.
    pub fn pinned_by_others(&self, organisation: u32) -> u64 {
        let foreign = self.pinned().filter(|h| h.organisation != organisation);
        foreign.fold(0, |all, h| all | h.mask)
    }

    /// Returns what is held or claimed by gangs that cannot be made to give it back.
    fn pinned(&self) -> impl Iterator<Item = &Holding> {
        self.holdings.iter().chain(&self.claims).filter(|h| !h.reclaimable)
    }
}

/// The workers of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The workers, in the order in which they announced themselves.
    pub workers: Vec<Worker>,
    /// The position of each worker.
    index: BTreeMap<WorkerId, u32>,
    /// The racks; the members of each are in the order of their names.
    racks: Vec<RackMembers>,
}

/// A rack and the positions of its workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RackMembers {
    rack: RackId,
    members: Vec<u32>,
}

impl Pool {
    /// Returns the position of a worker.
    pub fn position(&self, id: &WorkerId) -> Option<u32> {
        self.index.get(id).copied()
    }

    /// Returns a worker by its position.
    pub fn worker(&self, position: u32) -> &Worker {
        &self.workers[position as usize]
    }

    /// Returns a worker by its position, to change it.
    pub fn worker_mut(&mut self, position: u32) -> &mut Worker {
        &mut self.workers[position as usize]
    }

    /// Returns the number of racks.
    pub fn rack_count(&self) -> usize {
        self.racks.len()
    }

    /// Returns the positions of the workers of a rack, in the order of their names.
    pub fn rack(&self, rack: usize) -> &[u32] {
        &self.racks[rack].members
    }

    /// Adds a worker, or updates what it announced, and returns its position.
    ///
    /// Cells that are held stay held.
    pub fn announce(&mut self, spec: &WorkerSpec) -> u32 {
        if let Some(position) = self.position(&spec.id) {
            self.update(position, spec);
            return position;
        }
        let position = self.workers.len() as u32;
        let rack = self.rack_index(&spec.rack);
        self.workers.push(Worker {
            spec: spec.clone(),
            rack,
            state: WorkerState::Up,
            avoid_until_ms: 0,
            failed_jobs: Vec::new(),
            quarantines: 0,
            probe_at_ms: 0,
            fenced_until_ms: 0,
            holdings: Vec::new(),
            claims: Vec::new(),
            free: low_bits(spec.shape.accelerators),
            claimed: 0,
            claimed_cores: 0,
            claimed_memory_mb: 0,
            reserved: 0,
            free_cores: spec.shape.cores,
            free_memory_mb: spec.shape.memory_mb,
            bound: Vec::new(),
            bound_all: 0,
        });
        self.index.insert(spec.id.clone(), position);
        self.add_to_rack(rack, position);
        position
    }

    fn update(&mut self, position: u32, spec: &WorkerSpec) {
        let rack = self.rack_index(&spec.rack);
        let old_rack = self.worker(position).rack;
        if rack != old_rack {
            self.racks[old_rack as usize].members.retain(|member| *member != position);
            self.add_to_rack(rack, position);
        }
        let worker = self.worker_mut(position);
        worker.rack = rack;
        worker.spec = spec.clone();
        recount(worker);
    }

    fn add_to_rack(&mut self, rack: u32, position: u32) {
        let id = &self.workers[position as usize].spec.id;
        let members = &mut self.racks[rack as usize].members;
        let place = members.partition_point(|other| &self.workers[*other as usize].spec.id < id);
        members.insert(place, position);
    }

    fn rack_index(&mut self, rack: &RackId) -> u32 {
        if let Some(found) = self.racks.iter().position(|r| &r.rack == rack) {
            return found as u32;
        }
        self.racks.push(RackMembers { rack: rack.clone(), members: Vec::new() });
        (self.racks.len() - 1) as u32
    }

    /// Gives cells of a worker to a gang.
    pub fn hold(&mut self, position: u32, holding: Holding) {
        let worker = self.worker_mut(position);
        worker.holdings.push(holding);
        recount(worker);
    }

    /// Keeps cells of a worker for a gang until others have given them back.
    pub fn claim(&mut self, position: u32, claim: Holding) {
        let worker = self.worker_mut(position);
        worker.claims.push(claim);
        recount(worker);
    }

    /// Drops the claims of a gang on a worker.
    pub fn drop_claim(&mut self, position: u32, job: JobKey) {
        let worker = self.worker_mut(position);
        worker.claims.retain(|claim| claim.job != job);
        recount(worker);
    }

    /// Takes all cells on a worker back from a gang.
    pub fn release(&mut self, position: u32, job: JobKey) {
        let worker = self.worker_mut(position);
        worker.holdings.retain(|holding| holding.job != job);
        recount(worker);
    }
}

/// Computes what is free on a worker from what is held.
fn recount(worker: &mut Worker) {
    let held = worker.holdings.iter().fold(0, |all, holding| all | holding.mask);
    let cores: u32 = worker.holdings.iter().map(|holding| holding.cores).sum();
    let memory_mb: u64 = worker.holdings.iter().map(|holding| holding.memory_mb).sum();
    worker.free = worker.all_accelerators() & !held;
    worker.claimed = worker.claims.iter().fold(0, |all, claim| all | claim.mask);
    worker.claimed_cores = worker.claims.iter().map(|claim| claim.cores).sum();
    worker.claimed_memory_mb = worker.claims.iter().map(|claim| claim.memory_mb).sum();
    worker.free_cores = worker.spec.shape.cores.saturating_sub(cores);
    worker.free_memory_mb = worker.spec.shape.memory_mb.saturating_sub(memory_mb);
}
