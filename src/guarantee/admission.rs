//! The proof that all guaranteed shapes of a bundle fit at once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::pack::pack_block;
use crate::bundle::{Bundle, Group, KindRule, PolicyRules, WorkerShape};
use crate::placement::{Pool, Worker};
use crate::prelude::*;
use crate::scheduler::{Block, GroupGuarantee, GroupRules, GroupTopology, WorkerSpec};

/// Why a bundle's guarantees are not admitted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A block names a data centre that the bundle does not have.
    #[snafu(display(
        "organisation {organisation} is guaranteed accelerators in {data_centre}, which does not exist"
    ))]
    UnknownDataCentre {
        /// The owner of the block.
        organisation: OrganisationId,
        /// The data centre.
        data_centre: DataCentreId,
    },
    /// A block has no accelerators.
    #[snafu(display("organisation {organisation} is guaranteed a block without accelerators"))]
    EmptyBlock {
        /// The owner of the block.
        organisation: OrganisationId,
    },
    /// A block is larger than any worker, rack or group.
    #[snafu(display(
        "no {adjacency} has the {accelerators} accelerators that are guaranteed to organisation {organisation}"
    ))]
    TooLarge {
        /// The owner of the block.
        organisation: OrganisationId,
        /// The accelerators of the block.
        accelerators: u32,
        /// How close to each other they must be.
        adjacency: Adjacency,
    },
    /// The blocks do not fit beside each other.
    #[snafu(display(
        "the block of {accelerators} accelerators ({adjacency}) of organisation {organisation} does not fit beside the \
         other guarantees"
    ))]
    DoesNotFit {
        /// The owner of the block.
        organisation: OrganisationId,
        /// The accelerators of the block.
        accelerators: u32,
        /// How close to each other they must be.
        adjacency: Adjacency,
    },
    /// An organisation is guaranteed more than its quota lets it use.
    #[snafu(display(
        "organisation {organisation} is guaranteed {guaranteed} accelerators, but its quota is {quota}"
    ))]
    OverQuota {
        /// The organisation.
        organisation: OrganisationId,
        /// The accelerators of all its blocks.
        guaranteed: u64,
        /// Its quota.
        quota: u32,
    },
}

/// The proof that all guarantees fit at once: the group of each block.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Admission {
    version: BundleVersion,
    groups: BTreeMap<GroupId, GroupPart>,
    kinds: Vec<KindRule>,
    policy: PolicyRules,
}

impl Admission {
    /// Returns the rules of a group, or `None` if the bundle has no such group.
    pub fn group_rules(&self, group: &GroupId) -> Option<GroupRules> {
        let GroupPart { topology, guarantees } = self.groups.get(group)?.clone();
        Some(GroupRules {
            version: self.version,
            topology,
            guarantees,
            kinds: self.kinds.clone(),
            policy: self.policy.clone(),
        })
    }
}

/// What admission assigned to one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct GroupPart {
    topology: GroupTopology,
    guarantees: Vec<GroupGuarantee>,
}

/// A block that is to be assigned to a group.
#[derive(Clone, Copy)]
struct RequestedBlock<'a> {
    organisation: u32,
    data_centre: Option<&'a DataCentreId>,
    block: Block,
}

/// A group with empty workers, into which blocks are packed.
struct Space {
    group: Group,
    topology: GroupTopology,
    pool: Pool,
    /// Accelerators that no block holds yet. Counting them anew for each block made admission quadratic: 1.1 s for
    /// 22,000 workers.
    room: u32,
    blocks: Vec<(u32, Block)>,
}

/// Which of several groups that have room gets a block.
#[derive(Clone, Copy)]
enum Preference {
    /// The group with the most room, which spreads guarantees evenly.
    MostRoom,
    /// The group with the least room, which keeps large blocks whole.
    LeastRoom,
}

/// Proves that all guarantees of a bundle fit at once, and assigns every block to a group.
///
/// Blocks are packed in falling order of size, first evenly over the groups and, if that fails, tightly. A bundle that
/// is admitted fits for certain; a bundle that fills racks to the last worker may be refused although it would fit.
///
/// # Errors
///
/// The [`Error`] names the organisation and the block that does not fit.
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
            (space.group.id.clone(), GroupPart { topology: space.topology.clone(), guarantees })
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
                && !bundle.data_centres.iter().any(|known| &known.id == data_centre)
            {
                let organisation = organisation.id.clone();
                let data_centre = data_centre.clone();
                return UnknownDataCentreSnafu { organisation, data_centre }.fail();
            }
            let asked = u64::from(blocks.accelerators) * u64::from(blocks.count);
            if asked > capacity {
                let (organisation, accelerators) = (organisation.id.clone(), blocks.accelerators);
                return DoesNotFitSnafu { organisation, accelerators, adjacency: blocks.adjacency }
                    .fail();
            }
            let block = Block { accelerators: blocks.accelerators, adjacency: blocks.adjacency };
            let data_centre = blocks.data_centre.as_ref();
            let one = RequestedBlock { organisation: index as u32, data_centre, block };
            requested.extend(std::iter::repeat_n(one, blocks.count as usize));
        }
    }
    let parts_last = |w: &RequestedBlock<'_>| w.block.adjacency == Adjacency::Worker;
    requested.sort_by_key(|w| {
        (parts_last(w), std::cmp::Reverse(w.block.accelerators), w.data_centre.is_none())
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
        bundle.groups().into_iter().map(|group| space(bundle, group)).collect();
    for one in requested {
        let mut order: Vec<usize> = (0..spaces.len())
            .filter(|i| one.data_centre.is_none_or(|d| d == &spaces[*i].group.data_centre))
            .collect();
        match preference {
            Preference::MostRoom => order.sort_by_key(|i| std::cmp::Reverse(spaces[*i].room)),
            Preference::LeastRoom => order.sort_by_key(|i| spaces[*i].room),
        }
        if !order.into_iter().any(|index| spaces[index].take(one)) {
            return Err(does_not_fit(bundle, one));
        }
    }
    Ok(spaces)
}

fn does_not_fit(bundle: &Bundle, one: &RequestedBlock<'_>) -> Error {
    let organisation = bundle.organisations[one.organisation as usize].id.clone();
    let Block { accelerators, adjacency } = one.block;
    let mut empty = bundle.groups().into_iter().map(|group| space(bundle, group));
    let fits_alone = empty.any(|mut space| {
        one.data_centre.is_none_or(|d| d == &space.group.data_centre) && space.take(one)
    });
    match fits_alone {
        true => Error::DoesNotFit { organisation, accelerators, adjacency },
        false => Error::TooLarge { organisation, accelerators, adjacency },
    }
}

fn space(bundle: &Bundle, group: Group) -> Space {
    let home = bundle.data_centres.iter().find(|d| d.id == group.data_centre);
    let worker = home.map_or(WorkerShape { cores: 0, memory_mb: 0, accelerators: 0 }, |d| d.worker);
    let racks = home.iter().flat_map(|d| &d.racks).filter(|rack| group.racks.contains(&rack.id));
    let topology = GroupTopology { worker, racks: racks.cloned().collect() };
    let pool = topology.empty_pool();
    let room = pool.workers.iter().map(|worker| worker.all_accelerators().count_ones()).sum();
    Space { group, pool, topology, room, blocks: Vec::new() }
}

impl GroupTopology {
    /// Returns a pool of all workers of the group, on which nothing runs.
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
    fn take(&mut self, one: &RequestedBlock<'_>) -> bool {
        let available = |worker: &Worker| worker.all_accelerators() & !worker.bound_all;
        let Some(cells) = pack_block(&self.pool, &one.block, available) else { return false };
        for (worker, mask) in cells {
            self.pool.worker_mut(worker).bound_all |= mask;
            self.room -= mask.count_ones();
        }
        self.blocks.push((one.organisation, one.block));
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
    let of = |index: usize| GroupGuarantee {
        organisation: bundle.organisations[index].id.clone(),
        blocks: space
            .blocks
            .iter()
            .filter(|(o, _)| *o as usize == index)
            .map(|(_, b)| *b)
            .collect(),
        quota_accelerators: quotas[index][group],
    };
    (0..bundle.organisations.len()).map(of).collect()
}

/// Divides each quota among the groups, so that no group needs to know what is used in the others.
///
/// Each group gets what is guaranteed there; the rest is dealt out in units of whole workers, so that no group gets a
/// share that is too small for a task.
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
