//! The packing of one guaranteed block into cells.

use crate::placement::{Pool, Worker, aligned_blocks, find_block};
use crate::prelude::*;
use crate::scheduler::Block;

/// Accelerators on workers, by the position of the worker.
pub(crate) type Cells = Vec<(u32, u64)>;

/// A worker and the accelerators of it that a block may take.
#[derive(Clone, Copy)]
struct Part {
    worker: u32,
    usable: u64,
    whole: bool,
}

/// Chooses cells for a block, or returns `None` if it does not fit.
///
/// `usable` says which accelerators of a worker the block may take. Best fit: workers and racks with the least room
/// are taken first.
pub fn pack_block<F>(pool: &Pool, block: &Block, usable: F) -> Option<Vec<(u32, u64)>>
where
    F: Fn(&Worker) -> u64,
{
    let parts = |rack: usize| -> Vec<Part> {
        let part = |worker: &u32| {
            let entry = pool.worker(*worker);
            let usable = usable(entry);
            Part { worker: *worker, usable, whole: usable == entry.all_accelerators() }
        };
        pool.rack(rack).iter().map(part).filter(|part| part.usable != 0).collect()
    };
    let racks: Vec<Vec<Part>> = (0..pool.rack_count()).map(parts).collect();
    let size = pool.workers.iter().map(|worker| worker.spec.shape.accelerators).max()?;
    match block.adjacency {
        Adjacency::Worker if block.accelerators > size => None,
        Adjacency::Worker => tightest(&racks.concat(), block.accelerators).map(|cell| vec![cell]),
        Adjacency::Rack => racks
            .iter()
            .filter_map(|rack| Some((room(rack), in_parts(rack, block.accelerators, size)?)))
            .min_by_key(|(room, _)| *room)
            .map(|(_, cells)| cells),
        Adjacency::DataCentre => {
            let mut order: Vec<&Vec<Part>> = racks.iter().collect();
            order.sort_by_key(|rack| room(rack));
            let all: Vec<Part> = order.into_iter().flatten().copied().collect();
            in_parts(&all, block.accelerators, size)
        }
    }
}

fn room(parts: &[Part]) -> u32 {
    parts.iter().map(|part| part.usable.count_ones()).sum()
}

/// Takes whole workers, and a part of one more for the remainder.
fn in_parts(parts: &[Part], accelerators: u32, size: u32) -> Option<Cells> {
    let whole = (accelerators / size) as usize;
    let rest = accelerators % size;
    let mut cells: Cells = parts
        .iter()
        .filter(|part| part.whole)
        .take(whole)
        .map(|part| (part.worker, part.usable))
        .collect();
    if cells.len() < whole || cells.iter().any(|(_, mask)| mask.count_ones() != size) {
        return None;
    }
    if rest > 0 {
        let taken = |part: &&Part| !cells.iter().any(|(worker, _)| *worker == part.worker);
        let left: Vec<Part> = parts.iter().filter(taken).copied().collect();
        cells.push(tightest(&left, rest)?);
    }
    Some(cells)
}

/// Takes accelerators of the worker with the least room.
fn tightest(parts: &[Part], accelerators: u32) -> Option<(u32, u64)> {
    let fits = |part: &&Part| aligned_blocks(part.usable, accelerators) > 0;
    let part = parts.iter().filter(fits).min_by_key(|part| part.usable.count_ones())?;
    Some((part.worker, find_block(part.usable, part.usable, accelerators)?))
}
