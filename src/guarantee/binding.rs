//! The cells that are kept for guaranteed blocks while their owners do not use them.
//!
//! The bindings are a witness that all guarantees can be taken at once: each block has its own cells, and these are
//! free, held by the owner, or held by work that can be stopped. A placement that respects the witness needs no proof.
//! When a placement does not fit beside the witness, blocks that their owners do not use are packed anew.

use serde::{Deserialize, Serialize};

use super::pack::{Cells, pack_block};
use crate::placement::{Pool, Worker, WorkerState};
use crate::scheduler::Block;

/// A guaranteed block and the cells that are kept for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundBlock {
    /// The owner, as an index of the scheduler.
    pub organisation: u32,
    /// The block.
    pub block: Block,
    /// The cells; none if workers are missing.
    pub cells: Vec<(u32, u64)>,
    /// Whether the block cannot be taken now because workers are missing.
    ///
    /// Its cells, if it has any, are then kept until the work on them ends.
    pub reduced: bool,
}

/// All guaranteed blocks of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bindings {
    /// The blocks, the largest first.
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

    /// Binds all blocks whose cells are missing or taken, and moves idle blocks where that is needed for it.
    pub fn repair(&mut self, pool: &mut Pool) {
        for index in 0..self.blocks.len() {
            self.blocks[index].reduced = !is_sound(pool, &self.blocks[index]);
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
    /// Returns whether all guarantees still hold and `fits` agrees; if not, nothing is changed.
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
        for all in [false, true] {
            if self.rebind_blocks(pool, organisation, cells, all) && fits(pool) {
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
        all: bool,
    ) -> bool {
        let mut order = Vec::new();
        for (index, block) in self.blocks.iter_mut().enumerate() {
            let own = block.organisation == organisation;
            let moves = all || own || overlap(&block.cells, cells);
            if moves && !block.cells.is_empty() && !in_use(pool, block) {
                block.cells.clear();
                order.push(index);
            }
        }
        self.publish(pool);
        // The work uses its organisation's own guarantee where it can, so that less is left to pack.
        order.sort_by_key(|index| self.blocks[*index].organisation != organisation);
        order.into_iter().all(|index| {
            let block = &self.blocks[index];
            let own = block.organisation == organisation;
            let taken = |worker: &Worker| mask_on(pool, worker, cells);
            let usable = |worker: &Worker| free_for(worker, block.organisation);
            let inside =
                own.then(|| pack_block(pool, &block.block, |w| usable(w) & taken(w))).flatten();
            let found = inside.or_else(|| {
                pack_block(pool, &block.block, |w| {
                    usable(w) & if own { u64::MAX } else { !taken(w) }
                })
            });
            found.map(|found| self.bind(pool, index, found)).is_some()
        })
    }

    /// Returns whether any block lacks cells that can be taken.
    pub fn is_reduced(&self) -> bool {
        self.blocks.iter().any(|block| block.reduced)
    }

    /// Returns the cells of blocks that their owners do not use at all, by the position of the worker.
    pub fn idle_masks(&self, pool: &Pool) -> Vec<u64> {
        let mut masks = vec![0; pool.workers.len()];
        for block in self.blocks.iter().filter(|block| !in_use(pool, block)) {
            for (worker, mask) in &block.cells {
                masks[*worker as usize] |= mask;
            }
        }
        masks
    }

    fn bind_missing(&mut self, pool: &mut Pool) -> bool {
        let mut all = true;
        for index in 0..self.blocks.len() {
            if !self.blocks[index].cells.is_empty() {
                continue;
            }
            match find(pool, &self.blocks[index]) {
                Some(cells) => {
                    self.blocks[index].reduced = false;
                    self.bind(pool, index, cells);
                }
                None => all = false,
            }
        }
        all
    }

    fn unbind_idle(&mut self, pool: &mut Pool) {
        for block in &mut self.blocks {
            if !in_use(pool, block) {
                block.cells.clear();
                block.reduced = true;
            }
        }
        self.publish(pool);
    }

    /// Keeps cells on which work of others still runs for blocks that cannot be taken now.
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

/// Returns whether the cells of a block can be taken by its owner.
pub(crate) fn is_sound(pool: &Pool, block: &BoundBlock) -> bool {
    let usable = |(position, mask): &(u32, u64)| {
        let worker = pool.worker(*position);
        worker.state == WorkerState::Up
            && worker.all_accelerators() & mask == *mask
            && worker.pinned_by_others(block.organisation) & mask == 0
            && worker.can_guarantee(block.organisation, 0)
    };
    !block.cells.is_empty() && block.cells.iter().all(usable)
}

/// Returns whether the owner of a block holds any of its cells.
fn in_use(pool: &Pool, block: &BoundBlock) -> bool {
    block.cells.iter().any(|(position, mask)| {
        let owned = |h: &crate::placement::Holding| {
            h.organisation == block.organisation && h.mask & mask != 0
        };
        let worker = pool.worker(*position);
        worker.holdings.iter().chain(&worker.claims).any(owned)
    })
}

/// Returns the cells of a worker that may be bound to an organisation.
fn free_for(worker: &Worker, organisation: u32) -> u64 {
    if worker.state != WorkerState::Up {
        return 0;
    }
    let usable =
        worker.all_accelerators() & !worker.bound_all & !worker.pinned_by_others(organisation);
    if worker.can_guarantee(organisation, usable.count_ones()) { usable } else { 0 }
}

/// Finds cells for a block, those that its owner already uses first.
fn find(pool: &Pool, block: &BoundBlock) -> Option<Cells> {
    let organisation = block.organisation;
    let held = |worker: &Worker| {
        let own =
            worker.holdings.iter().filter(|h| h.organisation == organisation && !h.reclaimable);
        free_for(worker, organisation) & own.fold(0, |all, h| all | h.mask)
    };
    pack_block(pool, &block.block, held)
        .or_else(|| pack_block(pool, &block.block, |worker| free_for(worker, organisation)))
}
