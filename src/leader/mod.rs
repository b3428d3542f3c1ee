//! What the leader of a capacity group does: it joins the scheduler to the members and to the table.
//!
//! See docs/design.md, section 3. The slice is pure; src/agent/leader.rs gives it sockets and the table.

mod answers;
mod change;
mod changes;
mod message;
mod orders;
mod shares;
mod state;
#[cfg(test)]
mod tests;

pub use change::{EpochContext, JobChange, JobChangeResult, change_job};
pub use message::{IndexEntry, Input, LeaderConfig, Output};
pub use state::Leader;

/// The longest time between two [`Input::Tick`], in milliseconds.
pub const TICK_MS: u64 = 100;
