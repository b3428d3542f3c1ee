//! The agent beside a worker: what it reserves, starts, keeps alive and ends. See docs/design.md, section 3.

mod agent;
mod fit;
mod gang;
mod message;
mod serve;
mod task;
#[cfg(test)]
mod tests;

pub(crate) use agent::PROBE_TASK;
pub use agent::WorkerAgent;
pub use message::{
    Input, ListedTask, Output, TaskStart, TaskState, WorkerAnswer, WorkerCall, WorkerConfig,
};
pub use task::TaskName;

/// The longest time between two [`Input::Tick`], in milliseconds.
pub const TICK_MS: u64 = 100;
