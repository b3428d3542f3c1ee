//! Tests of admission and packing.

use proptest::prelude::*;
use test_case::test_case;

use super::*;
use crate::bundle::{
    Bundle, DataCentre, GuaranteedBlock, Organisation, PolicyRules, Rack, Weights, WorkerShape,
};
use crate::prelude::*;

fn block(accelerators: u32, adjacency: Adjacency, count: u32) -> GuaranteedBlock {
    GuaranteedBlock { data_centre: None, accelerators, adjacency, count }
}

fn organisation(
    id: &str,
    guarantee: Vec<GuaranteedBlock>,
    quota_accelerators: Option<u32>,
) -> Organisation {
    Organisation { id: OrganisationId::from(id), guarantee, quota_accelerators }
}

/// Returns a bundle of two data centres of two racks with three workers each, as the first users have them: 96
/// accelerators.
fn bundle(organisations: Vec<Organisation>) -> Bundle {
    let centre = |id: &str| DataCentre {
        id: DataCentreId::from(id),
        region: RegionId::from("north"),
        worker: WorkerShape { cores: 32, memory_mb: 131_072, accelerators: 8 },
        racks: (0..2)
            .map(|n| Rack { id: RackId::from(format!("{id}-r{n}")), workers: 3 })
            .collect(),
    };
    Bundle {
        version: BundleVersion(3),
        data_centres: vec![centre("east"), centre("west")],
        organisations,
        kinds: Vec::new(),
        policy: PolicyRules {
            group_workers: 128,
            reclaim_checkpoint_ms: 1_000,
            reclaim_stop_ms: 500,
            reservation_age_ms: 60_000,
            return_ramp_ms: 10_000,
            retry_budget_per_mille: 100,
            queue_limit_urgent: 100,
            queue_limit_normal: 100,
            queue_limit_batch: 100,
            weights: Weights {
                completion_per_mille: 1,
                fragmentation_per_mille: 1,
                work_done_per_mille: 1,
            },
        },
    }
}

/// Guards against admitted blocks that no group gets, and against shares of a quota that do not add up to it.
#[test]
fn admitted_blocks_and_quotas_are_divided_completely_among_the_groups() {
    let guarantee = vec![block(24, Adjacency::Rack, 2), block(4, Adjacency::Worker, 3)];
    let bundle =
        bundle(vec![organisation("a", guarantee, Some(70)), organisation("b", Vec::new(), None)]);

    let admission = admit(&bundle).expect("the shapes fit");

    let rules: Vec<_> =
        bundle.groups().iter().filter_map(|g| admission.group_rules(&g.id)).collect();
    let of_a =
        || rules.iter().flat_map(|r| &r.guarantees).filter(|g| g.organisation.as_str() == "a");
    let blocks: u32 = of_a().flat_map(|g| &g.blocks).map(|b| b.accelerators).sum();
    let quota: u32 = of_a().filter_map(|g| g.quota_accelerators).sum();
    assert_eq!((rules.len(), blocks, quota), (2, 60, 70));
    assert_eq!(admission.group_rules(&GroupId::from("nowhere")), None);
}

/// Guards against signing a bundle whose guarantees cannot be met, and against errors that do not name the block.
#[test_case(vec![block(16, Adjacency::Worker, 1)], "no worker has the 16 accelerators"; "larger than a worker")]
#[test_case(vec![block(32, Adjacency::Rack, 1)], "no rack has the 32 accelerators"; "larger than a rack")]
#[test_case(vec![block(24, Adjacency::Rack, 4), block(1, Adjacency::Worker, 1)], "does not fit"; "one too many")]
#[test_case(vec![block(16, Adjacency::Rack, 5)], "does not fit"; "enough accelerators but too few racks")]
#[test_case(vec![block(1, Adjacency::Worker, u32::MAX)], "does not fit"; "an absurd count")]
#[test_case(vec![block(0, Adjacency::Worker, 1)], "without accelerators"; "an empty block")]
fn bundle_with_a_block_that_does_not_fit_is_refused_with_an_error_that_names_it(
    guarantee: Vec<GuaranteedBlock>,
    message: &str,
) {
    let bundle = bundle(vec![organisation("a", guarantee, None)]);

    let error = admit(&bundle).expect_err("the shapes do not fit");

    assert!(error.to_string().contains(message), "{error}");
    assert!(error.to_string().contains("organisation a"), "{error}");
}

/// Guards against a guarantee that its owner cannot use because its quota is smaller.
#[test]
fn bundle_with_a_quota_below_the_guarantee_is_refused() {
    let bundle = bundle(vec![organisation("a", vec![block(8, Adjacency::Worker, 2)], Some(8))]);

    let error = admit(&bundle).expect_err("the quota is too small");

    assert_eq!(
        error.to_string(),
        "organisation a is guaranteed 16 accelerators, but its quota is 8"
    );
}

proptest! {
    /// Guards against refusing blocks within a worker that fit by count: packed in falling order, blocks whose sizes
    /// are powers of two always fit.
    #[test]
    fn blocks_of_powers_of_two_fit_up_to_the_last_accelerator(sizes in prop::collection::vec(0_u32..4, 1..60)) {
        let mut remaining = 96;
        let mut guarantee = Vec::new();
        for size in sizes.into_iter().map(|level| 1 << level) {
            if size <= remaining {
                remaining -= size;
                guarantee.push(block(size, Adjacency::Worker, 1));
            }
        }
        guarantee.push(block(1, Adjacency::Worker, remaining));

        let admitted = admit(&bundle(vec![organisation("a", guarantee, None)]));

        prop_assert!(admitted.is_ok(), "{admitted:?}");
    }
}
