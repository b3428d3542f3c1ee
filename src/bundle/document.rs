//! The content of a bundle: the topology, the organisations, and the rules for each kind of work.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A versioned set of rules, which two partners sign before it is rolled out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The version; it only rises.
    pub version: BundleVersion,
    /// The data centres whose capacity the guarantees are proved against.
    pub data_centres: Vec<DataCentre>,
    /// The organisations and their guaranteed shapes.
    pub organisations: Vec<Organisation>,
    /// The rules for each kind of work.
    pub kinds: Vec<KindRule>,
    /// Limits, deadlines and weights that hold for all work.
    pub policy: PolicyRules,
}

/// A data centre and its racks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The data centre.
    pub id: DataCentreId,
    /// The region that holds it.
    pub region: RegionId,
    /// What each worker has.
    pub worker: WorkerShape,
    /// The racks, in the order in which they form capacity groups.
    pub racks: Vec<Rack>,
}

/// What one worker has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerShape {
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Accelerators; a power of two.
    pub accelerators: u32,
}

/// A rack and the number of its workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rack {
    /// The rack.
    pub id: RackId,
    /// The number of its workers.
    pub workers: u32,
}

/// An organisation and its guaranteed shape.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The organisation.
    pub id: OrganisationId,
    /// The guaranteed shape: blocks of adjacent accelerators.
    #[serde(default)]
    pub guarantee: Vec<GuaranteedBlock>,
    /// The most accelerators it may use at once, borrowed ones included; no limit if absent.
    #[serde(default)]
    pub quota_accelerators: Option<u32>,
}

/// Some equal blocks of adjacent accelerators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GuaranteedBlock {
    /// The data centre; admission chooses one if absent.
    #[serde(default)]
    pub data_centre: Option<DataCentreId>,
    /// Accelerators in each block.
    pub accelerators: u32,
    /// How close to each other the accelerators of a block are.
    pub adjacency: Adjacency,
    /// The number of blocks.
    pub count: u32,
}

/// The rules for one kind of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindRule {
    /// The kind of work.
    pub id: KindId,
    /// Its class.
    pub class: Class,
    /// Whether it may use cells that are guaranteed to others while they are idle.
    pub may_borrow: bool,
    /// Whether it may be stopped to give cells back; work that may not be is never placed on cells of others.
    pub preemptible: bool,
}

/// Limits, deadlines and weights that hold for all work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyRules {
    /// The most workers in a capacity group.
    pub group_workers: u32,
    /// The time that a task has to write a checkpoint during reclaim.
    pub reclaim_checkpoint_ms: u64,
    /// The time after which a task that was told to stop is fenced with its worker.
    pub reclaim_stop_ms: u64,
    /// The age at which a waiting job gets a reservation.
    pub reservation_age_ms: u64,
    /// The time over which a returning data centre refills.
    pub return_ramp_ms: u64,
    /// Retries allowed for each thousand requests that succeed.
    pub retry_budget_per_mille: u32,
    /// The most requests or jobs that may wait in each class.
    pub queue_limit_urgent: u32,
    /// The same for normal work.
    pub queue_limit_normal: u32,
    /// The same for batch work.
    pub queue_limit_batch: u32,
    /// What the operators weigh.
    pub weights: Weights,
}

/// How much each measure counts in a placement decision, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Completion time.
    pub completion_per_mille: u32,
    /// Fragmentation.
    pub fragmentation_per_mille: u32,
    /// Work done while a data centre leaves and returns.
    pub work_done_per_mille: u32,
}

impl Bundle {
    /// Returns the capacity group of a rack, or `None` if the bundle does not name the rack.
    ///
    /// Every process computes the same group from the same bundle, so the mapping needs no row in the table.
    pub fn group_of(&self, data_centre: &DataCentreId, rack: &RackId) -> Option<GroupId> {
        self.groups()
            .into_iter()
            .find(|g| &g.data_centre == data_centre && g.racks.contains(rack))
            .map(|g| g.id)
    }

    /// Returns all capacity groups: consecutive whole racks up to the policy's number of workers.
    pub fn groups(&self) -> Vec<Group> {
        self.data_centres.iter().flat_map(|d| d.groups(self.policy.group_workers)).collect()
    }

    /// Returns the rule for a kind of work.
    pub fn kind(&self, kind: &KindId) -> Option<&KindRule> {
        self.kinds.iter().find(|rule| &rule.id == kind)
    }
}

impl DataCentre {
    pub(super) fn groups(&self, group_workers: u32) -> Vec<Group> {
        let mut groups: Vec<Group> = Vec::new();
        for rack in &self.racks {
            match groups.last_mut() {
                Some(group) if group.workers + rack.workers <= group_workers => {
                    group.workers += rack.workers;
                    group.racks.push(rack.id.clone());
                }
                _ => groups.push(Group {
                    id: GroupId::from(format!("{}.{}", self.id, groups.len())),
                    data_centre: self.id.clone(),
                    racks: vec![rack.id.clone()],
                    workers: rack.workers,
                }),
            }
        }
        groups
    }
}

/// A capacity group: some whole racks of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The group.
    pub id: GroupId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its racks.
    pub racks: Vec<RackId>,
    /// The number of its workers.
    pub workers: u32,
}
