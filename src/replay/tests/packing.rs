//! Tests of the search for placements of guaranteed blocks, which checks property P1.

use test_case::test_case;

use crate::prelude::*;
use crate::replay::packing::{WorkerCells, guarantees_fit};
use crate::scheduler::{Block, GroupGuarantee};

/// Parses workers such as `r1:..aa`: the rack, then one character per accelerator, `.` if it is free or reclaimable,
/// else the organisation whose work there cannot be reclaimed.
fn workers(text: &str) -> Vec<WorkerCells> {
    let workers = text.split_whitespace().map(|worker| worker.split_once(':').unwrap());
    workers
        .map(|(rack, cells)| WorkerCells {
            rack: rack.into(),
            fixed: cells.chars().map(|c| (c != '.').then(|| c.to_string().into())).collect(),
        })
        .collect()
}

fn guarantee(organisation: &str, blocks: &[(u32, Adjacency)]) -> GroupGuarantee {
    let blocks = blocks.iter().map(|&(accelerators, adjacency)| Block { accelerators, adjacency });
    GroupGuarantee {
        organisation: organisation.into(),
        blocks: blocks.collect(),
        quota_accelerators: None,
    }
}

#[test_case("r1:........", true; "empty worker")]
#[test_case("r1:...x....", false; "one cell of another in each half")]
#[test_case("r1:....xxxx r1:........", true; "second worker")]
#[test_case("r1:..xx..xx r1:xx..xx..", false; "enough cells but not adjacent")]
fn worker_block_fits_only_on_adjacent_cells_of_one_worker(cells: &str, expected: bool) {
    // Guards against a check that only counts free cells and misses fragmentation.
    let guarantees = [guarantee("a", &[(8, Adjacency::Worker)])];

    let fits = guarantees_fit(&workers(cells), &guarantees);

    assert_eq!(fits, expected);
}

#[test_case("r1:.... r2:....", false; "two racks")]
#[test_case("r1:.... r1:....", true; "one rack")]
fn rack_block_fits_only_in_one_rack(cells: &str, expected: bool) {
    // Guards against a check that adds up the free cells of several racks.
    let guarantees = [guarantee("a", &[(8, Adjacency::Rack)])];

    let fits = guarantees_fit(&workers(cells), &guarantees);

    assert_eq!(fits, expected);
}

#[test]
fn guarantees_of_two_organisations_must_fit_at_the_same_time() {
    // Guards against a check that places the blocks of each organisation separately on the same cells.
    let guarantees =
        [guarantee("a", &[(4, Adjacency::Worker)]), guarantee("b", &[(4, Adjacency::Worker)])];

    assert!(guarantees_fit(&workers("r1:........"), &guarantees));
    assert!(!guarantees_fit(&workers("r1:xxxx...."), &guarantees));
}

#[test_case("r1:aaaaaaaa", true; "own work in its own block")]
#[test_case("r1:aa....bb r1:........", true; "own work and work of another")]
#[test_case("r1:a..b..b. r1:xxxxxxxx", false; "work of another in both halves")]
fn work_of_an_organisation_counts_against_its_own_guarantee(cells: &str, expected: bool) {
    // Guards against a check that reports an organisation's own work as a loss of its guarantee.
    let guarantees = [guarantee("a", &[(8, Adjacency::Worker)])];

    let fits = guarantees_fit(&workers(cells), &guarantees);

    assert_eq!(fits, expected);
}
