//! The cells of a group and the choice of cells for a gang. See docs/design.md, section 4.

mod choose;
mod mask;
mod pool;

pub use choose::{Candidate, Demand, Plan, Policy, choose};
pub use mask::{aligned_blocks, take_block};
pub use pool::{Holding, JobKey, Pool, Reach, Worker, WorkerState};

#[cfg(test)]
mod tests;
