//! Decisions about waiting work while there is more work than room. They have neither input nor output: each is a
//! function of values that the planner passes in, and names the load pattern that it answers. See
//! docs/platform-deployment.md.

mod cost;
mod eviction;
mod guarantee;
mod outlook;
#[cfg(test)]
mod tests;

pub use cost::CostSettings;
pub(crate) use cost::OccurrenceValue;
pub(super) use cost::{StopBalance, StopLoss, StopTerms, StopVerdict};
pub(super) use eviction::{EvictionRight, restart_pause_ms};
pub(super) use guarantee::{UrgentJob, within_guarantee};
pub(crate) use outlook::JobTimes;
pub(super) use outlook::Outlook;
