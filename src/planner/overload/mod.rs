//! Decisions about waiting work while there is more work than room. They have neither input nor output: each is a
//! function of values that the planner passes in, and names the load pattern that it answers. See
//! docs/platform-deployment.md.

mod eviction;
mod guarantee;
mod outlook;
#[cfg(test)]
mod tests;

pub(super) use eviction::{EvictionRight, restart_pause_ms};
pub(super) use guarantee::{UrgentJob, within_guarantee};
pub(super) use outlook::{JobTimes, Outlook};
