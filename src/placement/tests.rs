//! Tests of the choice of cells.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

use super::*;
use crate::bundle::WorkerShape;
use crate::prelude::*;
use crate::scheduler::WorkerSpec;

/// Returns two racks of three workers with eight accelerators each, of which the given masks are free.
fn pool(free: [u64; 6]) -> Pool {
    let mut pool = Pool::default();
    for (number, free) in free.into_iter().enumerate() {
        let position = pool.announce(&WorkerSpec {
            id: WorkerId::from(format!("w{number}")),
            rack: RackId::from(format!("r{}", number / 3)),
            shape: WorkerShape { cores: 32, memory_mb: 1_024, accelerators: 8 },
        });
        let holding = Holding {
            job: 1,
            mask: !free & 0xff,
            cores: 0,
            memory_mb: 0,
            organisation: 0,
            class: Class::Normal,
            reclaimable: false,
            weight: 8,
        };
        pool.hold(position, holding);
    }
    pool
}

fn place(
    pool: &Pool,
    tasks: u32,
    accelerators: u32,
    adjacency: Adjacency,
) -> Option<Vec<(u32, u64)>> {
    let task = TaskSpec { cores: 1, memory_mb: 1, accelerators };
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let offer = |_: u32, w: &Worker| {
        Some(Candidate {
            mask: w.available_mask(),
            cores: w.available_cores(),
            memory_mb: w.available_memory_mb(),
            cost: 0,
        })
    };
    let plan = choose(
        pool,
        &Demand { tasks, task, adjacency },
        Policy::Product,
        None,
        &mut random,
        offer,
    )?;
    let mask = |cells: &[crate::scheduler::TaskCell]| {
        cells.iter().fold(0, |all, c| all | c.accelerator_mask)
    };
    Some(plan.iter().map(|(worker, cells)| (*worker, mask(cells))).collect())
}

/// Guards against blocks that straddle a buddy boundary, or that split a larger free block while a smaller one fits.
#[test_case(0b1111_0110, 2, Some(0b0000_0000); "an unaligned pair is not a block")]
#[test_case(0b1111_0011, 2, Some(0b0000_0011); "the pair whose buddy is taken is chosen first")]
#[test_case(0b1111_1111, 3, Some(0b0000_0111); "three lie in a block of four")]
#[test_case(0b0111_0111, 4, None; "four need an aligned block")]
fn chosen_block_is_aligned_and_keeps_larger_blocks_whole(
    free: u64,
    size: u32,
    expected: Option<u64>,
) {
    let block = find_block(free, free, size);

    match expected {
        Some(0) => assert_eq!(block.map(|mask| mask & 0b0000_0110), Some(0)),
        other => assert_eq!(block, other),
    }
}

/// Guards against fragmentation: small gangs must not be placed on wholly free workers while partly used ones fit.
#[test]
fn small_gang_is_placed_on_the_worker_with_the_least_free_accelerators() {
    let pool = pool([0xff, 0xff, 0x0f, 0xff, 0xff, 0x03]);

    assert_eq!(place(&pool, 1, 2, Adjacency::Worker), Some(vec![(5, 0x03)]));
    assert_eq!(place(&pool, 1, 4, Adjacency::Worker), Some(vec![(2, 0x0f)]));
}

/// Guards against gangs that are spread over racks, or not placed, although one rack has room.
#[test]
fn gang_is_placed_in_the_fullest_rack_with_room_for_it() {
    let pool = pool([0xff, 0xff, 0xff, 0xff, 0xff, 0x00]);

    let rack = place(&pool, 2, 8, Adjacency::Rack);
    let too_wide = place(&pool, 4, 8, Adjacency::Rack);
    let across = place(&pool, 4, 8, Adjacency::DataCentre);

    assert_eq!(rack, Some(vec![(3, 0xff), (4, 0xff)]));
    assert_eq!(too_wide, None);
    assert_eq!(across.map(|cells| cells.len()), Some(4));
}

/// Guards against placement by accelerators alone: a worker also starts tasks that exceed its cores or memory.
#[test]
fn cores_and_memory_limit_the_tasks_of_a_worker() {
    let offer = Candidate { mask: 0xff, cores: 10, memory_mb: 100, cost: 0 };
    let demand = |cores, memory_mb, accelerators| Demand {
        tasks: 8,
        task: TaskSpec { cores, memory_mb, accelerators },
        adjacency: Adjacency::Worker,
    };

    assert_eq!(demand(3, 1, 1).slots(&offer), 3);
    assert_eq!(demand(1, 40, 1).slots(&offer), 2);
    assert_eq!(demand(0, 0, 0).slots(&offer), 8);
}

/// Guards against a policy name that is valid in serialised settings but is rejected by the parser.
#[test]
fn policies_parse_from_their_serialised_names() {
    for policy in [Policy::Product, Policy::FirstComeFirstFit, Policy::RandomFit] {
        let name = serde_json::to_value(policy).expect("a policy is serialisable");

        assert_eq!(name.as_str().map(str::parse), Some(Ok(policy)));
    }
    assert!("best".parse::<Policy>().is_err());
}
