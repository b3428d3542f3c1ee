//! Content of a bundle: topology, organisations, and the rules for each kind of work.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Versioned set of rules, which two partners sign before it is rolled out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Version of the bundle; each bundle that is rolled out has a higher one than the bundle before.
    pub version: BundleVersion,
    /// Data centres, into whose capacity the guarantees of all organisations must fit.
    pub data_centres: Vec<DataCentre>,
    /// Organisations and their guaranteed shapes.
    pub organisations: Vec<Organisation>,
    /// Rules for each kind of work.
    pub kinds: Vec<KindRule>,
    /// Limits, deadlines and weights that apply to all work.
    pub policy: PolicyRules,
}

/// A data centre and its racks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Identifier of the data centre.
    pub id: DataCentreId,
    /// Region of the data centre.
    pub region: RegionId,
    /// Resources of each worker of the data centre.
    pub worker: WorkerShape,
    /// Racks, in the order in which they form capacity groups.
    pub racks: Vec<Rack>,
}

/// Resources of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerShape {
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Number of accelerators; a power of two.
    pub accelerators: u32,
}

/// A rack and the number of its workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rack {
    /// Identifier of the rack.
    pub id: RackId,
    /// Number of workers in the rack.
    pub workers: u32,
}

/// An organisation and its guaranteed shape.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Identifier of the organisation.
    pub id: OrganisationId,
    /// Guaranteed shape: blocks of adjacent accelerators.
    #[serde(default)]
    pub guarantee: Vec<GuaranteedBlock>,
    /// Maximum number of accelerators in use at once, including borrowed ones; no limit if absent.
    #[serde(default)]
    pub quota_accelerators: Option<u32>,
}

/// A number of equal blocks of adjacent accelerators, guaranteed to an organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GuaranteedBlock {
    /// Data centre of the blocks; admission chooses one if absent.
    #[serde(default)]
    pub data_centre: Option<DataCentreId>,
    /// Number of accelerators in each block.
    pub accelerators: u32,
    /// Unit that holds all accelerators of a block: one worker, one rack or one capacity group.
    pub adjacency: Adjacency,
    /// Number of blocks.
    pub count: u32,
}

/// Rules for one kind of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindRule {
    /// Identifier of the kind of work.
    pub id: KindId,
    /// Class of the kind of work, by which queues are ordered first.
    pub class: Class,
    /// Whether the work may use idle cells that are guaranteed to other organisations.
    pub may_borrow: bool,
    /// Whether the work may be stopped to return borrowed cells. Work that may not be stopped is never placed on cells
    /// that are guaranteed to other organisations.
    pub preemptible: bool,
}

/// Limits, deadlines and weights that apply to all work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyRules {
    /// Maximum number of workers in a capacity group.
    pub group_workers: u32,
    /// Time that a task has to write a checkpoint during a reclaim, in milliseconds.
    pub reclaim_checkpoint_ms: u64,
    /// Time after which a worker is fenced if a task on it has not stopped on request, in milliseconds.
    pub reclaim_stop_ms: u64,
    /// Age at which a waiting job gets a reservation, in milliseconds.
    pub reservation_age_ms: u64,
    /// Time over which the load of a returning data centre is ramped up, in milliseconds.
    pub return_ramp_ms: u64,
    /// Number of retries allowed for each thousand requests that succeed.
    pub retry_budget_per_mille: u32,
    /// Maximum number of requests or jobs that may wait in class urgent.
    pub queue_limit_urgent: u32,
    /// Maximum number of requests or jobs that may wait in class normal.
    pub queue_limit_normal: u32,
    /// Maximum number of requests or jobs that may wait in class batch.
    pub queue_limit_batch: u32,
    /// Weights of the measures that a placement decision compares.
    pub weights: Weights,
}

/// Weight of each measure in a placement decision, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of the completion time.
    pub completion_per_mille: u32,
    /// Weight of fragmentation.
    pub fragmentation_per_mille: u32,
    /// Weight of the work done while a data centre is taken out of service and brought back.
    pub work_done_per_mille: u32,
}

impl Bundle {
    /// Returns the capacity group of a rack, or `None` if the bundle does not name the rack.
    ///
    /// Every process computes the same group from the same bundle, so the mapping is not stored in the table.
    pub fn group_of(&self, data_centre: &DataCentreId, rack: &RackId) -> Option<GroupId> {
        self.groups()
            .into_iter()
            .find(|g| &g.data_centre == data_centre && g.racks.contains(rack))
            .map(|g| g.id)
    }

    /// Returns all capacity groups: consecutive whole racks with up to [`PolicyRules::group_workers`] workers together.
    pub fn groups(&self) -> Vec<Group> {
        self.data_centres.iter().flat_map(|d| d.groups(self.policy.group_workers)).collect()
    }

    /// Returns the rules for a kind of work, or `None` if the bundle does not name the kind.
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

/// A capacity group: consecutive whole racks of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Identifier of the group.
    pub id: GroupId,
    /// Data centre of the group.
    pub data_centre: DataCentreId,
    /// Racks of the group.
    pub racks: Vec<RackId>,
    /// Number of workers in all racks of the group.
    pub workers: u32,
}
