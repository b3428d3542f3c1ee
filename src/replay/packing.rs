//! Whether guaranteed blocks still fit, computed apart from the scheduler's own proof.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::scheduler::{Block, GroupGuarantee};

/// The most placements that a search tries; the guarantees of the two users need fewer than a hundred.
const MAX_TRIES: u32 = 2_000;

/// A live worker and the organisation that holds each accelerator by work that cannot be reclaimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Cells {
    pub(super) rack: RackId,
    pub(super) fixed: Vec<Option<OrganisationId>>,
}

/// A block that must still be placed.
#[derive(Clone, Debug)]
struct Wanted<'a> {
    organisation: &'a OrganisationId,
    block: Block,
}

/// Returns whether the part of each guarantee that its organisation does not use itself fits on cells that are free or
/// reclaimable, all at once.
///
/// An organisation's own fixed work may count in two ways, and either suffices: its cells may be part of one of its
/// blocks, or its accelerators are subtracted from its blocks.
pub(super) fn guarantees_fit(workers: &[Cells], guarantees: &[GroupGuarantee]) -> bool {
    let whole = wanted(guarantees, |guarantee| guarantee.blocks.clone());
    if fits(workers, &whole, true) {
        return true;
    }
    [false, true].into_iter().any(|large_first| {
        let rest = wanted(guarantees, |guarantee| {
            let used = used_by(workers, &guarantee.organisation);
            subtract(guarantee.blocks.clone(), used, large_first)
        });
        fits(workers, &rest, false)
    })
}

fn wanted<F>(guarantees: &[GroupGuarantee], blocks: F) -> Vec<Wanted<'_>>
where
    F: Fn(&GroupGuarantee) -> Vec<Block>,
{
    let mut wanted: Vec<Wanted<'_>> = Vec::new();
    for guarantee in guarantees {
        let organisation = &guarantee.organisation;
        wanted.extend(blocks(guarantee).into_iter().map(|block| Wanted { organisation, block }));
    }
    // Tight adjacency first, and large blocks first, because they have the fewest places.
    wanted.sort_by_key(|w| (w.block.adjacency, u32::MAX - w.block.accelerators));
    wanted
}

fn used_by(workers: &[Cells], organisation: &OrganisationId) -> u32 {
    let cells = workers.iter().flat_map(|worker| &worker.fixed);
    cells.filter(|cell| cell.as_ref() == Some(organisation)).count() as u32
}

/// Subtracts accelerators in use from blocks, one block after the other.
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

fn fits(workers: &[Cells], wanted: &[Wanted<'_>], own_cells: bool) -> bool {
    let mut tries = 0;
    place(workers, wanted, own_cells, &mut tries)
}

/// Places the first wanted block in each possible way and the others after it.
fn place(workers: &[Cells], wanted: &[Wanted<'_>], own: bool, tries: &mut u32) -> bool {
    let Some((first, rest)) = wanted.split_first() else { return true };
    *tries += 1;
    if *tries > MAX_TRIES {
        // An undecided search must not report a broken promise.
        return true;
    }
    let choices = match first.block.adjacency {
        Adjacency::Worker => worker_choices(workers, first, own),
        Adjacency::Rack => rack_choices(workers, first, own),
        Adjacency::DataCentre => {
            take(workers, first, own, |_| true).map(|after| vec![after]).unwrap_or_default()
        }
    };
    choices.into_iter().any(|after| place(&after, rest, own, tries))
}

fn usable(cell: &Option<OrganisationId>, wanted: &Wanted<'_>, own: bool) -> bool {
    cell.is_none() || own && cell.as_ref() == Some(wanted.organisation)
}

/// Marks a cell as taken by a block; the empty name belongs to no organisation.
fn taken() -> Option<OrganisationId> {
    Some(OrganisationId::default())
}

/// Returns the states after each aligned run of cells on one worker; workers in the same state are tried once.
fn worker_choices(workers: &[Cells], wanted: &Wanted<'_>, own: bool) -> Vec<Vec<Cells>> {
    let size = aligned_size(wanted.block.accelerators);
    let mut choices: Vec<Vec<Cells>> = Vec::new();
    let mut seen: Vec<&Cells> = Vec::new();
    for (index, worker) in workers.iter().enumerate() {
        if seen.contains(&worker) {
            continue;
        }
        seen.push(worker);
        for start in (0..worker.fixed.len().saturating_sub(size - 1)).step_by(size) {
            let run = &worker.fixed[start..start + size];
            if run.iter().all(|cell| usable(cell, wanted, own)) {
                let mut after = workers.to_vec();
                after[index].fixed[start..start + size].fill(taken());
                choices.push(after);
            }
        }
    }
    choices
}

/// A part of a block, after its organisation's own use was subtracted, need not be a power of two; it counts as the
/// next lower one, because larger parts are no shape that a job can have beside the organisation's own work.
fn aligned_size(accelerators: u32) -> usize {
    let size = accelerators.max(1) as usize;
    if size.is_power_of_two() { size } else { size.next_power_of_two() / 2 }
}

fn rack_choices(workers: &[Cells], wanted: &Wanted<'_>, own: bool) -> Vec<Vec<Cells>> {
    let mut racks: BTreeMap<&RackId, ()> = BTreeMap::new();
    racks.extend(workers.iter().map(|worker| (&worker.rack, ())));
    let choices = racks.keys().map(|rack| take(workers, wanted, own, |w| &&w.rack == rack));
    choices.flatten().collect()
}

/// Takes any usable cells of some workers, the organisation's own first.
fn take<F>(workers: &[Cells], wanted: &Wanted<'_>, own: bool, on: F) -> Option<Vec<Cells>>
where
    F: Fn(&Cells) -> bool,
{
    let mut after = workers.to_vec();
    let mut missing = wanted.block.accelerators;
    for only_own in [true, false] {
        let cells = after.iter_mut().filter(|worker| on(worker)).flat_map(|w| &mut w.fixed);
        for cell in cells {
            if missing > 0 && usable(cell, wanted, own) && cell.is_some() == only_own {
                *cell = taken();
                missing -= 1;
            }
        }
    }
    (missing == 0).then_some(after)
}
