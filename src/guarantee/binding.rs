//! Bindings of guaranteed blocks to cells, which are kept for them while their owners do not use them.
//!
//! The bindings show that all guarantees can be used at the same time: each block has its own cells, and these are
//! free, held by the owner, or held by work that can be stopped. A placement that keeps off the bound cells needs no
//! further check. When a placement needs bound cells, blocks that their owners do not use are packed again around it.

use serde::{Deserialize, Serialize};

use super::pack::{Cells, pack_block};
use crate::placement::{Pool, Worker, WorkerState};
use crate::scheduler::Block;

/// Guaranteed block and the cells that are kept for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundBlock {
    /// Owner of the block, as an index of the scheduler.
    pub organisation: u32,
    /// Size and adjacency of the block.
    pub block: Block,
    /// Position of each worker and mask of its cells; empty if too few workers are available.
    pub cells: Vec<(u32, u64)>,
    /// Whether the owner cannot use the block now because too few workers are available.
    ///
    /// Cells of a reduced block, if it has any, are kept until the work of other organisations on them ends.
    pub reduced: bool,
}

/// Guaranteed blocks of a group and their cells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bindings {
    /// Blocks that may span workers, then those within a worker; each kind in falling order of size.
    pub blocks: Vec<BoundBlock>,
}

impl Bindings {
    /// Replaces all blocks; those that were bound before and still exist keep their cells.
    pub fn replace(&mut self, pool: &mut Pool, blocks: Vec<(u32, Block)>) {
        let mut old = std::mem::take(&mut self.blocks);
        for (organisation, block) in blocks {
            let same = |b: &BoundBlock| b.organisation == organisation && b.block == block;
            let kept = match old.iter().position(same) {
                Some(index) => old.swap_remove(index),
                None => BoundBlock { organisation, block, cells: Vec::new(), reduced: true },
            };
            self.blocks.push(kept);
        }
        self.blocks.sort_by_key(|b| {
            (
                b.block.adjacency == crate::job::Adjacency::Worker,
                std::cmp::Reverse(b.block.accelerators),
            )
        });
        self.repair(pool);
    }

    /// Binds all blocks whose cells are missing or unusable, and moves idle blocks if they do not fit otherwise.
    pub fn repair(&mut self, pool: &mut Pool) {
        for index in 0..self.blocks.len() {
            self.blocks[index].reduced = !is_usable_by_owner(pool, &self.blocks[index]);
            if self.blocks[index].reduced {
                self.blocks[index].cells.clear();
            }
        }
        self.publish(pool);
        if self.bind_missing(pool) {
            return;
        }
        let before = self.blocks.clone();
        self.unbind_idle(pool);
        if !self.bind_missing(pool) {
            self.blocks = before;
            self.publish(pool);
            self.claim_missing(pool);
        }
    }

    /// Moves idle blocks away from cells that non-reclaimable work of an organisation is about to hold.
    ///
    /// Returns whether all moved blocks were bound again and `fits` returned true; if not, nothing is changed.
    pub fn make_room<F>(
        &mut self,
        pool: &mut Pool,
        organisation: u32,
        cells: &[(u32, u64)],
        fits: F,
    ) -> bool
    where
        F: Fn(&Pool) -> bool,
    {
        let before = self.blocks.clone();
        // Moving only the blocks in the way is cheaper; moving all idle blocks finds room where blocks must swap.
        for move_all in [false, true] {
            if self.rebind_blocks(pool, organisation, cells, move_all) && fits(pool) {
                return true;
            }
            self.blocks.clone_from(&before);
        }
        self.publish(pool);
        false
    }

    fn rebind_blocks(
        &mut self,
        pool: &mut Pool,
        organisation: u32,
        cells: &[(u32, u64)],
        move_all: bool,
    ) -> bool {
        let mut order = Vec::new();
        for (index, block) in self.blocks.iter_mut().enumerate() {
            let is_own = block.organisation == organisation;
            let moves = move_all || is_own || overlap(&block.cells, cells);
            if moves && !block.cells.is_empty() && !in_use(pool, block) {
                block.cells.clear();
                order.push(index);
            }
        }
        self.publish(pool);
        // Blocks of the work's own organisation are bound first, to the cells of the work where possible: the work then
        // uses its own guarantee, and fewer cells are needed elsewhere.
        order.sort_by_key(|index| self.blocks[*index].organisation != organisation);
        order.into_iter().all(|index| {
            let block = &self.blocks[index];
            let is_own = block.organisation == organisation;
            let requested = |worker: &Worker| mask_on(pool, worker, cells);
            let usable = |worker: &Worker| bindable_mask(worker, block.organisation);
            let within_cells = is_own
                .then(|| pack_block(pool, &block.block, |w| usable(w) & requested(w)))
                .flatten();
            let found = within_cells.or_else(|| {
                pack_block(pool, &block.block, |w| {
                    usable(w) & if is_own { u64::MAX } else { !requested(w) }
                })
            });
            found.map(|found| self.bind(pool, index, found)).is_some()
        })
    }

    /// Returns whether any block has no cells that its owner can use now.
    pub fn is_reduced(&self) -> bool {
        self.blocks.iter().any(|block| block.reduced)
    }

    /// Returns the mask of the cells of unused blocks, by the position of the worker.
    pub fn idle_masks(&self, pool: &Pool) -> Vec<u64> {
        let mut masks = vec![0; pool.workers.len()];
        for block in self.blocks.iter().filter(|block| !in_use(pool, block)) {
            for (worker, mask) in &block.cells {
                masks[*worker as usize] |= mask;
            }
        }
        masks
    }

    /// Binds all blocks that have no cells, and returns whether all of them fit.
    fn bind_missing(&mut self, pool: &mut Pool) -> bool {
        let mut all_bound = true;
        for index in 0..self.blocks.len() {
            if !self.blocks[index].cells.is_empty() {
                continue;
            }
            match find_cells(pool, &self.blocks[index]) {
                Some(cells) => {
                    self.blocks[index].reduced = false;
                    self.bind(pool, index, cells);
                }
                None => all_bound = false,
            }
        }
        all_bound
    }

    /// Unbinds all blocks that their owners do not use.
    fn unbind_idle(&mut self, pool: &mut Pool) {
        for block in &mut self.blocks {
            if !in_use(pool, block) {
                block.cells.clear();
                block.reduced = true;
            }
        }
        self.publish(pool);
    }

    /// Binds blocks that do not fit to cells on which work of other organisations still runs, so that the blocks get
    /// these cells when that work ends.
    fn claim_missing(&mut self, pool: &mut Pool) {
        for index in 0..self.blocks.len() {
            if !self.blocks[index].cells.is_empty() {
                continue;
            }
            self.blocks[index].reduced = true;
            let usable = |worker: &Worker| match worker.state {
                WorkerState::Up => worker.all_accelerators() & !worker.bound_all,
                _ => 0,
            };
            if let Some(cells) = pack_block(pool, &self.blocks[index].block, usable) {
                self.bind(pool, index, cells);
            }
        }
    }

    fn bind(&mut self, pool: &mut Pool, index: usize, cells: Cells) {
        let organisation = self.blocks[index].organisation;
        for (worker, mask) in &cells {
            let entry = pool.worker_mut(*worker);
            entry.bound.push((organisation, *mask));
            entry.bound_all |= mask;
        }
        self.blocks[index].cells = cells;
    }

    /// Writes the cells of all blocks into the workers.
    fn publish(&self, pool: &mut Pool) {
        for worker in &mut pool.workers {
            worker.bound.clear();
            worker.bound_all = 0;
        }
        for block in &self.blocks {
            for (worker, mask) in &block.cells {
                let entry = pool.worker_mut(*worker);
                entry.bound.push((block.organisation, *mask));
                entry.bound_all |= mask;
            }
        }
    }
}

fn overlap(a: &[(u32, u64)], b: &[(u32, u64)]) -> bool {
    a.iter()
        .any(|(worker, mask)| b.iter().any(|(other, cells)| other == worker && mask & cells != 0))
}

fn mask_on(pool: &Pool, worker: &Worker, cells: &[(u32, u64)]) -> u64 {
    let here =
        cells.iter().filter(|(position, _)| pool.worker(*position).spec.id == worker.spec.id);
    here.fold(0, |all, (_, mask)| all | mask)
}

/// Returns whether the owner of a block can use all its cells now.
pub(crate) fn is_usable_by_owner(pool: &Pool, block: &BoundBlock) -> bool {
    let usable = |(position, mask): &(u32, u64)| {
        let worker = pool.worker(*position);
        worker.state == WorkerState::Up
            && worker.all_accelerators() & mask == *mask
            && worker.pinned_by_others(block.organisation) & mask == 0
            && worker.can_guarantee(block.organisation, 0)
    };
    !block.cells.is_empty() && block.cells.iter().all(usable)
}

/// Returns whether the owner of a block holds or claims any of its cells.
fn in_use(pool: &Pool, block: &BoundBlock) -> bool {
    block.cells.iter().any(|(position, mask)| {
        let owned = |h: &crate::placement::Holding| {
            h.organisation == block.organisation && h.mask & mask != 0
        };
        let worker = pool.worker(*position);
        worker.holdings.iter().chain(&worker.claims).any(owned)
    })
}

/// Returns the mask of the cells of a worker that can be bound to an organisation.
fn bindable_mask(worker: &Worker, organisation: u32) -> u64 {
    if worker.state != WorkerState::Up {
        return 0;
    }
    let usable =
        worker.all_accelerators() & !worker.bound_all & !worker.pinned_by_others(organisation);
    if worker.can_guarantee(organisation, usable.count_ones()) { usable } else { 0 }
}

/// Returns cells for a block, preferably cells that its owner already uses.
fn find_cells(pool: &Pool, block: &BoundBlock) -> Option<Cells> {
    let organisation = block.organisation;
    let held = |worker: &Worker| {
        let owned =
            worker.holdings.iter().filter(|h| h.organisation == organisation && !h.reclaimable);
        bindable_mask(worker, organisation) & owned.fold(0, |all, h| all | h.mask)
    };
    pack_block(pool, &block.block, held)
        .or_else(|| pack_block(pool, &block.block, |worker| bindable_mask(worker, organisation)))
}
