//! The scheduler of one capacity group: queue, gangs, reclaim and blame. See docs/design.md, section 4.

mod message;

pub use message::{
    Block, GroupGuarantee, GroupRules, Input, Output, ReserveResult, RunningShare, Share, TICK_MS,
    TaskCell, TaskEnd, WorkerSpec, WriteResult,
};
