//! Leader of a capacity group: connects the scheduler with the group's members and with the table.
//!
//! See docs/design.md, section 3. The module performs no I/O; src/agent/leader.rs connects it to sockets and the table.

mod answers;
mod change;
mod change_queue;
mod message;
mod orders;
mod shares;
mod state;
#[cfg(test)]
mod tests;

pub use change::{EpochContext, JobChange, JobChangeResult, change_job};
pub use message::{IndexEntry, Input, LeaderConfig, Output};
pub use state::Leader;

/// Maximum time between two [`Input::Tick`], in milliseconds.
pub const TICK_MS: u64 = 100;
