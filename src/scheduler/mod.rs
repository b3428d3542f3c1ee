//! Scheduler of one capacity group: queue, gangs, reclaim and failure attribution. See docs/design.md, section 4.

mod attribution;
mod feasible;
mod finish;
mod gang;
mod jobs;
mod message;
mod place;
mod queue;
mod reclaim;
mod reserve;
mod run_statistics;
mod search;
mod state;
mod view;
mod workers;

pub use jobs::{Stage, WaitReason};
pub use message::{
    Block, GroupGuarantee, GroupRules, GroupTopology, Input, MAX_TICK_INTERVAL_MS, Output,
    ReserveResult, RunningShare, ShareRequest, TaskCell, TaskEnd, WorkerSpec, WriteResult,
};
pub use state::{GANG_LEASE_BOUND_MS, Scheduler};
pub use view::{CapacitySummary, JobView, Violation};

pub use crate::placement::Policy;

#[cfg(test)]
mod tests;
