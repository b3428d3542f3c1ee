//! The packing of one guaranteed block into cells.

use crate::placement::{Pool, Worker, aligned_blocks, find_block};
use crate::prelude::*;
use crate::scheduler::Block;

/// Accelerators on workers, by the position of the worker.
pub(crate) type Cells = Vec<(u32, u64)>;

/// A worker and the accelerators of it that a block may take.
#[derive(Clone, Copy)]
struct UsableWorker {
    worker: u32,
    usable: u64,
    is_whole: bool,
}

/// Chooses cells for a block, or returns `None` if it does not fit.
///
/// `usable` says which accelerators of a worker the block may take. Best fit: workers and racks with the least room
/// are taken first.
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
        Adjacency::Worker => tightest(&racks.concat(), block.accelerators).map(|cell| vec![cell]),
        Adjacency::Rack => racks
            .iter()
            .filter_map(|rack| Some((room(rack), pack_workers(rack, block.accelerators, size)?)))
            .min_by_key(|(room, _)| *room)
            .map(|(_, cells)| cells),
        Adjacency::DataCentre => {
            let mut order: Vec<&Vec<UsableWorker>> = racks.iter().collect();
            order.sort_by_key(|rack| room(rack));
            let all: Vec<UsableWorker> = order.into_iter().flatten().copied().collect();
            pack_workers(&all, block.accelerators, size)
        }
    }
}

fn room(workers: &[UsableWorker]) -> u32 {
    workers.iter().map(|entry| entry.usable.count_ones()).sum()
}

/// Takes whole workers, and a part of one more for the remainder.
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
        let taken =
            |entry: &&UsableWorker| !cells.iter().any(|(worker, _)| *worker == entry.worker);
        let left: Vec<UsableWorker> = workers.iter().filter(taken).copied().collect();
        cells.push(tightest(&left, rest)?);
    }
    Some(cells)
}

/// Takes accelerators of the worker with the least room.
fn tightest(workers: &[UsableWorker], accelerators: u32) -> Option<(u32, u64)> {
    let fits = |entry: &&UsableWorker| aligned_blocks(entry.usable, accelerators) > 0;
    let entry = workers.iter().filter(fits).min_by_key(|entry| entry.usable.count_ones())?;
    Some((entry.worker, find_block(entry.usable, entry.usable, accelerators)?))
}
