//! Tests of the packing search behind promise P1.

use test_case::test_case;

use crate::prelude::*;
use crate::replay::packing::{Cells, guarantees_fit};
use crate::scheduler::{Block, GroupGuarantee};

/// One letter per accelerator: `.` free or reclaimable, else the organisation whose work stays. Racks are `r1:` parts.
fn workers(text: &str) -> Vec<Cells> {
    let workers = text.split_whitespace().map(|worker| worker.split_once(':').unwrap());
    workers
        .map(|(rack, cells)| Cells {
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
fn a_worker_block_needs_adjacent_cells(cells: &str, expected: bool) {
    // Guards against a check that counts free cells only and never notices fragmentation.
    let guarantees = [guarantee("a", &[(8, Adjacency::Worker)])];

    let fits = guarantees_fit(&workers(cells), &guarantees);

    assert_eq!(fits, expected);
}

#[test_case("r1:.... r2:....", false; "two racks")]
#[test_case("r1:.... r1:....", true; "one rack")]
fn a_rack_block_stays_in_one_rack(cells: &str, expected: bool) {
    // Guards against a check that adds up the cells of several racks.
    let guarantees = [guarantee("a", &[(8, Adjacency::Rack)])];

    let fits = guarantees_fit(&workers(cells), &guarantees);

    assert_eq!(fits, expected);
}

#[test]
fn all_guarantees_must_fit_at_once() {
    // Guards against a check that looks at one organisation after the other.
    let guarantees =
        [guarantee("a", &[(4, Adjacency::Worker)]), guarantee("b", &[(4, Adjacency::Worker)])];

    assert!(guarantees_fit(&workers("r1:........"), &guarantees));
    assert!(!guarantees_fit(&workers("r1:xxxx...."), &guarantees));
}

#[test_case("r1:aaaaaaaa", true; "own work in its own block")]
#[test_case("r1:aa....bb r1:........", true; "own work and work of another")]
#[test_case("r1:a..b..b. r1:xxxxxxxx", false; "work of another in both halves")]
fn own_work_uses_up_the_own_guarantee(cells: &str, expected: bool) {
    // Guards against counting an organisation's own work as a loss of its guarantee.
    let guarantees = [guarantee("a", &[(8, Adjacency::Worker)])];

    let fits = guarantees_fit(&workers(cells), &guarantees);

    assert_eq!(fits, expected);
}
