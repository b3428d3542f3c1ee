//! Workers of a group, and the gangs that hold their cells.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::mask::low_bits;
use crate::prelude::*;
use crate::scheduler::WorkerSpec;

/// Identifier of a job within one scheduler; a job that arrived later has a higher key.
pub type JobKey = u64;

/// State of a worker, which decides whether it may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// The worker accepts work.
    Up,
    /// Failures were attributed to the worker, and it is being probed.
    Quarantined,
    /// The worker did not follow an instruction of the scheduler; its agent ends all tasks.
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
    /// Cells guaranteed to the gang's own organisation or to no organisation.
    Spare,
    /// All cells; the gang is stopped when the organisation to which they are guaranteed needs them.
    Any,
}

/// Cells that the tasks of a gang hold on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// Job of the gang.
    pub job: JobKey,
    /// Mask of the accelerators.
    pub mask: u64,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Organisation of the job, as an index of the scheduler.
    pub organisation: u32,
    /// Class of the job.
    pub class: Class,
    /// Whether the gang may be stopped to give its cells back.
    pub reclaimable: bool,
    /// Number of accelerators of the whole gang, whose work is all lost when the gang is stopped.
    pub weight: u32,
}

/// Worker of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Name, rack and resources that the agent announced.
    pub spec: WorkerSpec,
    /// Index of the rack.
    pub rack: u32,
    /// State of the worker.
    pub state: WorkerState,
    /// Time in ms until which the worker gets no new work because its agent refused some.
    pub avoid_until_ms: u64,
    /// Distinct jobs that have failed on the worker since a task last succeeded there.
    pub failed_jobs: Vec<JobKey>,
    /// Number of times that the worker was quarantined.
    pub quarantines: u32,
    /// Time in ms of the next probe while the worker is quarantined.
    pub probe_at_ms: u64,
    /// Time in ms at which all tasks of a fenced worker have ended at the latest.
    pub fenced_until_ms: u64,
    /// Cells held by gangs.
    pub holdings: Vec<Holding>,
    /// Cells that gangs will hold as soon as other gangs have released them.
    pub claims: Vec<Holding>,
    /// Mask of the accelerators that no gang holds.
    pub free: u64,
    /// Mask of the accelerators that are claimed by gangs whose plan is fixed.
    pub claimed: u64,
    /// Number of cores claimed by such gangs.
    pub claimed_cores: u32,
    /// Memory claimed by such gangs, in mebibytes.
    pub claimed_memory_mb: u64,
    /// Mask of the accelerators that are reserved for a job that has waited long.
    pub reserved: u64,
    /// Number of cores that no gang holds.
    pub free_cores: u32,
    /// Memory that no gang holds, in mebibytes.
    pub free_memory_mb: u64,
    /// Index of an organisation and mask of accelerators guaranteed to it, for each block.
    pub bound: Vec<(u32, u64)>,
    /// Mask of the accelerators that are guaranteed to any organisation.
    pub bound_all: u64,
}

impl Worker {
    /// Returns the mask of all accelerators of the worker.
    pub fn all_accelerators(&self) -> u64 {
        low_bits(self.spec.shape.accelerators)
    }

    /// Returns the mask of the accelerators that are guaranteed to an organisation.
    pub fn guaranteed_to(&self, organisation: u32) -> u64 {
        self.bound
            .iter()
            .filter(|(owner, _)| *owner == organisation)
            .fold(0, |all, (_, mask)| all | mask)
    }

    /// Returns the mask of the accelerators that are guaranteed to an organisation and not held or claimed by
    /// non-reclaimable work of other organisations.
    fn unpinned_guarantee(&self, organisation: u32) -> u64 {
        self.guaranteed_to(organisation) & !self.pinned_by_others(organisation)
    }

    /// Returns the mask of the accelerators that a gang of an organisation may use.
    pub fn accessible_mask(&self, organisation: u32, access: CellAccess) -> u64 {
        match access {
            CellAccess::Own => self.guaranteed_to(organisation),
            CellAccess::Spare => {
                self.guaranteed_to(organisation) | (self.all_accelerators() & !self.bound_all)
            }
            CellAccess::Any => self.all_accelerators(),
        }
    }

    /// Returns the mask of the accelerators that are neither held nor claimed.
    pub fn available_mask(&self) -> u64 {
        self.free & !self.claimed
    }

    /// Returns the number of cores that are neither held nor claimed.
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

    /// Returns the cores and memory (mebibytes) that belong to a number of accelerators, in proportion to the totals of
    /// the worker.
    pub fn proportional_resources(&self, accelerators: u32) -> (u32, u64) {
        let shape = self.spec.shape;
        let all = u64::from(shape.accelerators.max(1));
        let part = u64::from(accelerators);
        ((u64::from(shape.cores) * part / all) as u32, shape.memory_mb * part / all)
    }

    /// Returns the cores and memory (mebibytes) that work of an organisation must leave to the guarantees
    /// of other organisations.
    pub fn kept_for_others(&self, organisation: u32) -> (u32, u64) {
        let owners = self.bound.iter().enumerate().filter(|(index, (owner, _))| {
            *owner != organisation
                && !self.bound[..*index].iter().any(|(earlier, _)| earlier == owner)
        });
        owners.fold((0, 0), |sum, (_, (owner, _))| {
            let (cores, memory_mb) =
                self.proportional_resources(self.unpinned_guarantee(*owner).count_ones());
            let (used_cores, used_mb) = self.pinned_size(|other| other == *owner);
            (sum.0 + cores.saturating_sub(used_cores), sum.1 + memory_mb.saturating_sub(used_mb))
        })
    }

    /// Returns the cores and memory (mebibytes) of an organisation's guarantee that its non-reclaimable work does not
    /// use.
    pub fn unused_guarantee(&self, organisation: u32) -> (u32, u64) {
        let (cores, memory_mb) =
            self.proportional_resources(self.unpinned_guarantee(organisation).count_ones());
        let (used_cores, used_mb) = self.pinned_size(|other| other == organisation);
        (cores.saturating_sub(used_cores), memory_mb.saturating_sub(used_mb))
    }

    /// Returns whether `accelerators` more can be guaranteed to an organisation, with their proportional cores and
    /// memory.
    pub fn can_guarantee(&self, organisation: u32, accelerators: u32) -> bool {
        let (cores, memory_mb) = self.proportional_resources(
            accelerators + self.unpinned_guarantee(organisation).count_ones(),
        );
        let (kept_cores, kept_mb) = self.kept_for_others(organisation);
        let (used_cores, used_mb) = self.pinned_size(|other| other != organisation);
        let shape = self.spec.shape;
        cores + kept_cores + used_cores <= shape.cores
            && memory_mb + kept_mb + used_mb <= shape.memory_mb
    }

    /// Returns the cores and memory (mebibytes) that non-reclaimable work holds or claims, for organisations that match
    /// `of`.
    pub fn pinned_size<F>(&self, of: F) -> (u32, u64)
    where
        F: Fn(u32) -> bool,
    {
        let pinned = self.pinned().filter(|h| of(h.organisation));
        pinned.fold((0, 0), |sum, h| (sum.0 + h.cores, sum.1 + h.memory_mb))
    }

    /// Returns the mask of the accelerators that non-reclaimable gangs of other organisations hold or claim.
    pub fn pinned_by_others(&self, organisation: u32) -> u64 {
        let foreign = self.pinned().filter(|h| h.organisation != organisation);
        foreign.fold(0, |all, h| all | h.mask)
    }

    /// Returns the holdings and claims of non-reclaimable gangs.
    fn pinned(&self) -> impl Iterator<Item = &Holding> {
        self.holdings.iter().chain(&self.claims).filter(|h| !h.reclaimable)
    }
}

/// Workers of a group, indexed by name and rack.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Workers, in the order in which they were first announced; their positions never change.
    pub workers: Vec<Worker>,
    /// Position of each worker in `workers`.
    index: BTreeMap<WorkerId, u32>,
    /// Racks; the members of each are in the order of their names.
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

    /// Returns a mutable reference to a worker by its position.
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

    /// Adds a worker, or updates its announced specification, and returns its position.
    ///
    /// Holdings and claims on the worker are kept.
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
        update_totals(worker);
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

    /// Records that a gang holds cells of a worker.
    pub fn hold(&mut self, position: u32, holding: Holding) {
        let worker = self.worker_mut(position);
        worker.holdings.push(holding);
        update_totals(worker);
    }

    /// Records the claim of a gang on cells of a worker that other gangs have yet to release.
    pub fn claim(&mut self, position: u32, claim: Holding) {
        let worker = self.worker_mut(position);
        worker.claims.push(claim);
        update_totals(worker);
    }

    /// Drops the claims of a gang on a worker.
    pub fn drop_claim(&mut self, position: u32, job: JobKey) {
        let worker = self.worker_mut(position);
        worker.claims.retain(|claim| claim.job != job);
        update_totals(worker);
    }

    /// Releases all cells that a gang holds on a worker.
    pub fn release(&mut self, position: u32, job: JobKey) {
        let worker = self.worker_mut(position);
        worker.holdings.retain(|holding| holding.job != job);
        update_totals(worker);
    }
}

/// Recomputes the free and the claimed resources of a worker from its holdings and claims.
fn update_totals(worker: &mut Worker) {
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
