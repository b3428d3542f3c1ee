//! Checks whether guaranteed blocks still fit, independently of the scheduler's own check.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::scheduler::{Block, GroupGuarantee};

/// Highest number of placements that a search tries. The guarantees of the two users need fewer than a hundred.
const MAX_PLACEMENTS: u32 = 2_000;

/// The accelerators of a live worker, each with the organisation whose work there cannot be reclaimed, if any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct WorkerCells {
    pub(super) rack: RackId,
    pub(super) fixed: Vec<Option<OrganisationId>>,
}

/// A guaranteed block that must still be placed.
#[derive(Clone, Debug)]
struct BlockRequest<'a> {
    organisation: &'a OrganisationId,
    block: Block,
}

/// Returns whether the unused parts of all guarantees fit at the same time on cells that are free or reclaimable.
///
/// Work of an organisation that cannot be reclaimed counts against its own guarantee in one of two ways, either of
/// which suffices: its cells are used as part of one of the organisation's blocks, or its accelerators are subtracted
/// from the blocks.
pub(super) fn guarantees_fit(workers: &[WorkerCells], guarantees: &[GroupGuarantee]) -> bool {
    let whole = block_requests(guarantees, |guarantee| guarantee.blocks.clone());
    if all_fit(workers, &whole, true) {
        return true;
    }
    [false, true].into_iter().any(|large_first| {
        let rest = block_requests(guarantees, |guarantee| {
            let used = used_by(workers, &guarantee.organisation);
            subtract(guarantee.blocks.clone(), used, large_first)
        });
        all_fit(workers, &rest, false)
    })
}

fn block_requests<F>(guarantees: &[GroupGuarantee], blocks: F) -> Vec<BlockRequest<'_>>
where
    F: Fn(&GroupGuarantee) -> Vec<Block>,
{
    let mut requests: Vec<BlockRequest<'_>> = Vec::new();
    for guarantee in guarantees {
        let organisation = &guarantee.organisation;
        requests.extend(
            blocks(guarantee).into_iter().map(|block| BlockRequest { organisation, block }),
        );
    }
    // Blocks with the strictest adjacency, and among them the largest, come first, because they have the fewest places.
    requests.sort_by_key(|r| (r.block.adjacency, u32::MAX - r.block.accelerators));
    requests
}

fn used_by(workers: &[WorkerCells], organisation: &OrganisationId) -> u32 {
    let cells = workers.iter().flat_map(|worker| &worker.fixed);
    cells.filter(|cell| cell.as_ref() == Some(organisation)).count() as u32
}

/// Subtracts accelerators in use from the blocks, one block after the other, and removes blocks without a remainder.
fn subtract(mut blocks: Vec<Block>, mut used: u32, large_first: bool) -> Vec<Block> {
    blocks.sort_by_key(|block| block.accelerators);
    if large_first {
        blocks.reverse();
    }
    for block in &mut blocks {
        let part = block.accelerators.min(used);
        used -= part;
        block.accelerators -= part;
    }
    blocks.retain(|block| block.accelerators > 0);
    blocks
}

fn all_fit(workers: &[WorkerCells], requests: &[BlockRequest<'_>], use_own_cells: bool) -> bool {
    let mut placements = 0;
    can_place(workers, requests, use_own_cells, &mut placements)
}

/// Returns whether all blocks can be placed. Tries each placement of the first block and recurses for the others.
fn can_place(
    workers: &[WorkerCells],
    requests: &[BlockRequest<'_>],
    use_own_cells: bool,
    placements: &mut u32,
) -> bool {
    let Some((first, rest)) = requests.split_first() else { return true };
    *placements += 1;
    if *placements > MAX_PLACEMENTS {
        // An aborted search must not report a violation.
        return true;
    }
    let choices = match first.block.adjacency {
        Adjacency::Worker => worker_choices(workers, first, use_own_cells),
        Adjacency::Rack => rack_choices(workers, first, use_own_cells),
        Adjacency::DataCentre => occupy_cells(workers, first, use_own_cells, |_| true)
            .map(|after| vec![after])
            .unwrap_or_default(),
    };
    choices.into_iter().any(|after| can_place(&after, rest, use_own_cells, placements))
}

fn is_usable(
    cell: &Option<OrganisationId>,
    request: &BlockRequest<'_>,
    use_own_cells: bool,
) -> bool {
    cell.is_none() || use_own_cells && cell.as_ref() == Some(request.organisation)
}

/// Returns the mark of a cell that a placed block occupies. The empty name belongs to no organisation.
fn occupied() -> Option<OrganisationId> {
    Some(OrganisationId::default())
}

/// Returns the workers after placing the block on each possible aligned range of cells of one worker. Identical workers
/// are tried once.
fn worker_choices(
    workers: &[WorkerCells],
    request: &BlockRequest<'_>,
    use_own_cells: bool,
) -> Vec<Vec<WorkerCells>> {
    let size = aligned_size(request.block.accelerators);
    let mut choices: Vec<Vec<WorkerCells>> = Vec::new();
    let mut seen: Vec<&WorkerCells> = Vec::new();
    for (index, worker) in workers.iter().enumerate() {
        if seen.contains(&worker) {
            continue;
        }
        seen.push(worker);
        for start in (0..worker.fixed.len().saturating_sub(size - 1)).step_by(size) {
            let cells = &worker.fixed[start..start + size];
            if cells.iter().all(|cell| is_usable(cell, request, use_own_cells)) {
                let mut after = workers.to_vec();
                after[index].fixed[start..start + size].fill(occupied());
                choices.push(after);
            }
        }
    }
    choices
}

/// Returns the number of cells to place for a block, rounded down to a power of two. Only the remainder of a block
/// after subtraction is not a power of two; beside the organisation's own work, no job can have a larger shape.
fn aligned_size(accelerators: u32) -> usize {
    let size = accelerators.max(1) as usize;
    if size.is_power_of_two() { size } else { size.next_power_of_two() / 2 }
}

fn rack_choices(
    workers: &[WorkerCells],
    request: &BlockRequest<'_>,
    use_own_cells: bool,
) -> Vec<Vec<WorkerCells>> {
    let mut racks: BTreeMap<&RackId, ()> = BTreeMap::new();
    racks.extend(workers.iter().map(|worker| (&worker.rack, ())));
    let choices = racks
        .keys()
        .map(|rack| occupy_cells(workers, request, use_own_cells, |w| &&w.rack == rack));
    choices.flatten().collect()
}

/// Occupies usable cells of the eligible workers, those of the organisation first. Returns `None` if there are too few.
fn occupy_cells<F>(
    workers: &[WorkerCells],
    request: &BlockRequest<'_>,
    use_own_cells: bool,
    is_eligible: F,
) -> Option<Vec<WorkerCells>>
where
    F: Fn(&WorkerCells) -> bool,
{
    let mut after = workers.to_vec();
    let mut missing = request.block.accelerators;
    for own_pass in [true, false] {
        let cells =
            after.iter_mut().filter(|worker| is_eligible(worker)).flat_map(|w| &mut w.fixed);
        for cell in cells {
            if missing > 0 && is_usable(cell, request, use_own_cells) && cell.is_some() == own_pass
            {
                *cell = occupied();
                missing -= 1;
            }
        }
    }
    (missing == 0).then_some(after)
}
