//! Agent of a worker: reserves cells, and starts, keeps alive and stops tasks. See docs/design.md, section 3.

mod agent;
mod fit;
mod gang;
mod leader_messages;
mod message;
mod task;
#[cfg(test)]
mod tests;

pub(crate) use agent::PROBE_TASK;
pub use agent::WorkerAgent;
pub use message::{
    Input, ListedTask, Output, TaskStart, TaskState, WorkerAnswer, WorkerCall, WorkerConfig,
};
pub use task::TaskName;

/// Maximum time between two [`Input::Tick`], in milliseconds.
pub const TICK_MS: u64 = 100;
