//! Admission of a bundle: checks that all its guaranteed blocks fit at the same time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::pack::pack_block;
use crate::bundle::{Bundle, Group, KindRule, PolicyRules, WorkerShape};
use crate::placement::{Pool, Worker};
use crate::prelude::*;
use crate::scheduler::{Block, GroupGuarantee, GroupRules, GroupTopology, WorkerSpec};

/// Reason for which the guarantees of a bundle are not admitted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A block names a data centre that the bundle does not contain.
    #[snafu(display(
        "organisation {organisation} is guaranteed accelerators in {data_centre}, which does not exist"
    ))]
    UnknownDataCentre {
        /// Owner of the block.
        organisation: OrganisationId,
        /// Data centre that the block names.
        data_centre: DataCentreId,
    },
    /// A block has no accelerators.
    #[snafu(display("organisation {organisation} is guaranteed a block without accelerators"))]
    EmptyBlock {
        /// Owner of the block.
        organisation: OrganisationId,
    },
    /// A block is larger than every worker, rack or group, depending on its adjacency.
    #[snafu(display(
        "no {adjacency} has the {accelerators} accelerators that are guaranteed to organisation {organisation}"
    ))]
    TooLarge {
        /// Owner of the block.
        organisation: OrganisationId,
        /// Number of accelerators of the block.
        accelerators: u32,
        /// How close to each other the accelerators must be.
        adjacency: Adjacency,
    },
    /// The blocks of the bundle do not all fit at the same time.
    #[snafu(display(
        "the block of {accelerators} accelerators ({adjacency}) of organisation {organisation} does not fit beside the \
         other guarantees"
    ))]
    DoesNotFit {
        /// Owner of the block.
        organisation: OrganisationId,
        /// Number of accelerators of the block.
        accelerators: u32,
        /// How close to each other the accelerators must be.
        adjacency: Adjacency,
    },
    /// An organisation is guaranteed more accelerators than its quota allows.
    #[snafu(display(
        "organisation {organisation} is guaranteed {guaranteed} accelerators, but its quota is {quota}"
    ))]
    OverQuota {
        /// Owner of the guarantee and of the quota.
        organisation: OrganisationId,
        /// Number of accelerators of all its blocks.
        guaranteed: u64,
        /// Quota of the organisation in accelerators.
        quota: u32,
    },
}

/// Result of a successful admission: the blocks assigned to each group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Admission {
    version: BundleVersion,
    groups: BTreeMap<GroupId, GroupAssignment>,
    kinds: Vec<KindRule>,
    policy: PolicyRules,
}

impl Admission {
    /// Returns the rules of a group, or `None` if the bundle has no such group.
    pub fn group_rules(&self, group: &GroupId) -> Option<GroupRules> {
        let GroupAssignment { topology, guarantees } = self.groups.get(group)?.clone();
        Some(GroupRules {
            version: self.version,
            topology,
            guarantees,
            kinds: self.kinds.clone(),
            policy: self.policy.clone(),
        })
    }
}

/// Topology of a group and the guarantees assigned to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct GroupAssignment {
    topology: GroupTopology,
    guarantees: Vec<GroupGuarantee>,
}

/// Block that has yet to be assigned to a group.
#[derive(Clone, Copy)]
struct RequestedBlock<'a> {
    organisation: u32,
    data_centre: Option<&'a DataCentreId>,
    block: Block,
}

/// Group with empty workers, into which blocks are packed.
struct Space {
    group: Group,
    topology: GroupTopology,
    pool: Pool,
    /// Number of accelerators that no block holds yet. Recounting them for each block made admission quadratic: 1.1 s
    /// for 22,000 workers.
    unassigned: u32,
    blocks: Vec<(u32, Block)>,
}

/// Order in which groups are tried for a block.
#[derive(Clone, Copy)]
enum Preference {
    /// Groups with the most unassigned accelerators first, which spreads guarantees evenly.
    MostRoom,
    /// Groups with the fewest unassigned accelerators first, which leaves other groups whole for large blocks.
    LeastRoom,
}

/// Checks that all guarantees of a bundle fit at the same time, and assigns every block to a group.
///
/// Blocks that span workers are packed first, each kind in falling order of size; first evenly over the groups and, if
/// that fails, tightly. An admitted bundle is guaranteed to fit. The heuristic may refuse a bundle that fills racks to
/// the last worker, although a packing exists.
///
/// # Errors
///
/// Returns an [`Error`] that names the organisation, and the block or quota that is invalid or does not fit.
pub fn admit(bundle: &Bundle) -> Result<Admission, Error> {
    let requested = requested_blocks(bundle)?;
    check_quotas(bundle)?;
    let spaces = pack_all(bundle, &requested, Preference::MostRoom)
        .or_else(|_| pack_all(bundle, &requested, Preference::LeastRoom))?;
    let quotas = split_quotas(bundle, &spaces);
    let groups = spaces
        .iter()
        .enumerate()
        .map(|(index, space)| {
            let guarantees = guarantees(bundle, space, &quotas, index);
            (
                space.group.id.clone(),
                GroupAssignment { topology: space.topology.clone(), guarantees },
            )
        })
        .collect();
    let (kinds, policy) = (bundle.kinds.clone(), bundle.policy.clone());
    Ok(Admission { version: bundle.version, groups, kinds, policy })
}

fn requested_blocks(bundle: &Bundle) -> Result<Vec<RequestedBlock<'_>>, Error> {
    let mut requested = Vec::new();
    let racks = bundle.data_centres.iter().flat_map(|d| d.racks.iter().map(move |rack| (d, rack)));
    let capacity: u64 =
        racks.map(|(d, rack)| u64::from(d.worker.accelerators) * u64::from(rack.workers)).sum();
    for (index, organisation) in bundle.organisations.iter().enumerate() {
        for blocks in &organisation.guarantee {
            if blocks.accelerators == 0 {
                return EmptyBlockSnafu { organisation: organisation.id.clone() }.fail();
            }
            if let Some(data_centre) = &blocks.data_centre
                && !bundle.data_centres.iter().any(|d| &d.id == data_centre)
            {
                let organisation = organisation.id.clone();
                let data_centre = data_centre.clone();
                return UnknownDataCentreSnafu { organisation, data_centre }.fail();
            }
            let requested_accelerators = u64::from(blocks.accelerators) * u64::from(blocks.count);
            if requested_accelerators > capacity {
                let (organisation, accelerators) = (organisation.id.clone(), blocks.accelerators);
                return DoesNotFitSnafu { organisation, accelerators, adjacency: blocks.adjacency }
                    .fail();
            }
            let block = Block { accelerators: blocks.accelerators, adjacency: blocks.adjacency };
            let data_centre = blocks.data_centre.as_ref();
            let requested_block = RequestedBlock { organisation: index as u32, data_centre, block };
            requested.extend(std::iter::repeat_n(requested_block, blocks.count as usize));
        }
    }
    let is_worker_block = |w: &RequestedBlock<'_>| w.block.adjacency == Adjacency::Worker;
    requested.sort_by_key(|w| {
        (is_worker_block(w), std::cmp::Reverse(w.block.accelerators), w.data_centre.is_none())
    });
    Ok(requested)
}

fn check_quotas(bundle: &Bundle) -> Result<(), Error> {
    for organisation in &bundle.organisations {
        let blocks = organisation.guarantee.iter();
        let guaranteed =
            blocks.map(|b| u64::from(b.accelerators) * u64::from(b.count)).sum::<u64>();
        if let Some(quota) = organisation.quota_accelerators
            && guaranteed > u64::from(quota)
        {
            return OverQuotaSnafu { organisation: organisation.id.clone(), guaranteed, quota }
                .fail();
        }
    }
    Ok(())
}

fn pack_all(
    bundle: &Bundle,
    requested: &[RequestedBlock<'_>],
    preference: Preference,
) -> Result<Vec<Space>, Error> {
    let mut spaces: Vec<Space> =
        bundle.groups().into_iter().map(|group| empty_space(bundle, group)).collect();
    for requested in requested {
        let mut order: Vec<usize> = (0..spaces.len())
            .filter(|i| requested.data_centre.is_none_or(|d| d == &spaces[*i].group.data_centre))
            .collect();
        match preference {
            Preference::MostRoom => order.sort_by_key(|i| std::cmp::Reverse(spaces[*i].unassigned)),
            Preference::LeastRoom => order.sort_by_key(|i| spaces[*i].unassigned),
        }
        if !order.into_iter().any(|index| spaces[index].try_pack(requested)) {
            return Err(does_not_fit(bundle, requested));
        }
    }
    Ok(spaces)
}

fn does_not_fit(bundle: &Bundle, requested: &RequestedBlock<'_>) -> Error {
    let organisation = bundle.organisations[requested.organisation as usize].id.clone();
    let Block { accelerators, adjacency } = requested.block;
    let mut empty = bundle.groups().into_iter().map(|group| empty_space(bundle, group));
    let fits_alone = empty.any(|mut space| {
        requested.data_centre.is_none_or(|d| d == &space.group.data_centre)
            && space.try_pack(requested)
    });
    match fits_alone {
        true => Error::DoesNotFit { organisation, accelerators, adjacency },
        false => Error::TooLarge { organisation, accelerators, adjacency },
    }
}

fn empty_space(bundle: &Bundle, group: Group) -> Space {
    let data_centre = bundle.data_centres.iter().find(|d| d.id == group.data_centre);
    let worker =
        data_centre.map_or(WorkerShape { cores: 0, memory_mb: 0, accelerators: 0 }, |d| d.worker);
    let racks =
        data_centre.iter().flat_map(|d| &d.racks).filter(|rack| group.racks.contains(&rack.id));
    let topology = GroupTopology { worker, racks: racks.cloned().collect() };
    let pool = topology.empty_pool();
    let unassigned = pool.workers.iter().map(|worker| worker.all_accelerators().count_ones()).sum();
    Space { group, pool, topology, unassigned, blocks: Vec::new() }
}

impl GroupTopology {
    /// Returns a pool of all workers of the group without holdings, claims or bindings.
    pub(crate) fn empty_pool(&self) -> Pool {
        let mut pool = Pool::default();
        for rack in &self.racks {
            for number in 0..rack.workers {
                let id = WorkerId::from(format!("{}-{number:05}", rack.id));
                pool.announce(&WorkerSpec { id, rack: rack.id.clone(), shape: self.worker });
            }
        }
        pool
    }
}

impl Space {
    /// Packs a block into the group if it fits, and returns whether it did.
    fn try_pack(&mut self, requested: &RequestedBlock<'_>) -> bool {
        let available = |worker: &Worker| worker.all_accelerators() & !worker.bound_all;
        let Some(cells) = pack_block(&self.pool, &requested.block, available) else { return false };
        for (worker, mask) in cells {
            self.pool.worker_mut(worker).bound_all |= mask;
            self.unassigned -= mask.count_ones();
        }
        self.blocks.push((requested.organisation, requested.block));
        true
    }

    fn guaranteed(&self, organisation: u32) -> u32 {
        self.blocks.iter().filter(|(o, _)| *o == organisation).map(|(_, b)| b.accelerators).sum()
    }

    fn accelerators(&self) -> u32 {
        self.pool.workers.iter().map(|worker| worker.spec.shape.accelerators).sum()
    }
}

fn guarantees(
    bundle: &Bundle,
    space: &Space,
    quotas: &[Vec<Option<u32>>],
    group: usize,
) -> Vec<GroupGuarantee> {
    let guarantee_of = |index: usize| GroupGuarantee {
        organisation: bundle.organisations[index].id.clone(),
        blocks: space
            .blocks
            .iter()
            .filter(|(o, _)| *o as usize == index)
            .map(|(_, b)| *b)
            .collect(),
        quota_accelerators: quotas[index][group],
    };
    (0..bundle.organisations.len()).map(guarantee_of).collect()
}

/// Divides each quota among the groups, so that each group can enforce its share without data on other groups.
///
/// Each group gets a share for the blocks assigned to it. The rest is distributed in units of whole workers, so that no
/// share is too small for a task.
fn split_quotas(bundle: &Bundle, spaces: &[Space]) -> Vec<Vec<Option<u32>>> {
    let split = |index: usize| -> Vec<Option<u32>> {
        let Some(quota) = bundle.organisations[index].quota_accelerators else {
            return vec![None; spaces.len()];
        };
        let mut shares: Vec<u32> = spaces.iter().map(|s| s.guaranteed(index as u32)).collect();
        let mut rest = quota - shares.iter().sum::<u32>();
        while rest > 0 {
            let fullness = |i: &usize| {
                (u64::from(shares[*i]) << 32) / u64::from(spaces[*i].accelerators().max(1))
            };
            let Some(emptiest) = (0..spaces.len()).min_by_key(fullness) else { break };
            let unit =
                spaces[emptiest].pool.workers.first().map_or(rest, |w| w.spec.shape.accelerators);
            let share = unit.min(rest).max(1);
            shares[emptiest] += share;
            rest -= share;
        }
        shares.into_iter().map(Some).collect()
    };
    (0..bundle.organisations.len()).map(split).collect()
}
