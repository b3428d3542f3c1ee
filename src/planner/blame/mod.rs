//! Decides whether a worker or a job is to blame for failed and stalled attempts, and which workers get only probes.
//!
//! [`Record`] and [`attribute`] are functions of values that the planner passes in; [`trust`] applies them to the
//! planner's state. See docs/design/blame.md.

mod attribution;
mod record;
mod trust;

pub(super) use record::{Record, WorkerStanding};

#[cfg(test)]
pub(super) use attribution::{Suspect, attribute};
