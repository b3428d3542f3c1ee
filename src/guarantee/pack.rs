//! Packs one guaranteed block into cells.

use crate::placement::{Pool, Worker, aligned_blocks, find_block};
use crate::prelude::*;
use crate::scheduler::Block;

/// Position of each worker and mask of its accelerators.
pub(crate) type Cells = Vec<(u32, u64)>;

/// Worker and the mask of its accelerators that a block may use.
#[derive(Clone, Copy)]
struct UsableWorker {
    worker: u32,
    usable: u64,
    is_whole: bool,
}

/// Chooses cells for a block, or returns `None` if it does not fit.
///
/// `usable` returns the mask of the accelerators of a worker that the block may use. Best fit: workers and racks with
/// the fewest usable accelerators are chosen first.
pub fn pack_block<F>(pool: &Pool, block: &Block, usable: F) -> Option<Vec<(u32, u64)>>
where
    F: Fn(&Worker) -> u64,
{
    let workers = |rack: usize| -> Vec<UsableWorker> {
        let entry_of = |worker: &u32| {
            let entry = pool.worker(*worker);
            let usable = usable(entry);
            UsableWorker { worker: *worker, usable, is_whole: usable == entry.all_accelerators() }
        };
        pool.rack(rack).iter().map(entry_of).filter(|entry| entry.usable != 0).collect()
    };
    let racks: Vec<Vec<UsableWorker>> = (0..pool.rack_count()).map(workers).collect();
    let size = pool.workers.iter().map(|worker| worker.spec.shape.accelerators).max()?;
    match block.adjacency {
        Adjacency::Worker if block.accelerators > size => None,
        Adjacency::Worker => best_fit(&racks.concat(), block.accelerators).map(|cell| vec![cell]),
        Adjacency::Rack => racks
            .iter()
            .filter_map(|rack| {
                Some((usable_count(rack), pack_workers(rack, block.accelerators, size)?))
            })
            .min_by_key(|(count, _)| *count)
            .map(|(_, cells)| cells),
        Adjacency::DataCentre => {
            let mut order: Vec<&Vec<UsableWorker>> = racks.iter().collect();
            order.sort_by_key(|rack| usable_count(rack));
            let all: Vec<UsableWorker> = order.into_iter().flatten().copied().collect();
            pack_workers(&all, block.accelerators, size)
        }
    }
}

/// Returns the number of usable accelerators of workers.
fn usable_count(workers: &[UsableWorker]) -> u32 {
    workers.iter().map(|entry| entry.usable.count_ones()).sum()
}

/// Chooses whole workers, and a part of one more for the remainder. `size` is the number of accelerators of a worker.
fn pack_workers(workers: &[UsableWorker], accelerators: u32, size: u32) -> Option<Cells> {
    let whole = (accelerators / size) as usize;
    let rest = accelerators % size;
    let mut cells: Cells = workers
        .iter()
        .filter(|entry| entry.is_whole)
        .take(whole)
        .map(|entry| (entry.worker, entry.usable))
        .collect();
    if cells.len() < whole || cells.iter().any(|(_, mask)| mask.count_ones() != size) {
        return None;
    }
    if rest > 0 {
        let is_unused =
            |entry: &&UsableWorker| !cells.iter().any(|(worker, _)| *worker == entry.worker);
        let unused_workers: Vec<UsableWorker> = workers.iter().filter(is_unused).copied().collect();
        cells.push(best_fit(&unused_workers, rest)?);
    }
    Some(cells)
}

/// Chooses accelerators of the worker with the fewest usable ones among those that fit.
fn best_fit(workers: &[UsableWorker], accelerators: u32) -> Option<(u32, u64)> {
    let fits = |entry: &&UsableWorker| aligned_blocks(entry.usable, accelerators) > 0;
    let entry = workers.iter().filter(fits).min_by_key(|entry| entry.usable.count_ones())?;
    Some((entry.worker, find_block(entry.usable, entry.usable, accelerators)?))
}
