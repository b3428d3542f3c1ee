//! Cells of the workers of a group, and the choice of cells for a gang. See docs/design.md, section 4.

mod choose;
mod mask;
mod pool;

pub use choose::{Candidate, Demand, Plan, Policy, choose};
pub use mask::{aligned_blocks, find_block};
pub use pool::{CellAccess, Holding, JobKey, Pool, Worker, WorkerState};

#[cfg(test)]
mod tests;
