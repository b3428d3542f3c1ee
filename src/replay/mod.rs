//! Replays sessions against the scheduler under a virtual clock. See docs/sessions.md.

mod agent;
mod compare;
mod error;
mod event_queue;
mod faults;
mod generate;
mod measure;
mod packing;
mod property;
mod report;
mod session;
mod users;
mod world;

use std::path::Path;

pub use compare::{Comparison, compare};
pub use error::{Error, Result};
pub use generate::{Disturbance, GeneratorConfig, generate, urgent_alone};
pub use measure::{Completion, LARGE_ACCELERATORS, Measures};
pub use property::{Property, PropertyViolation};
pub use report::{CommandOutput, Report};
pub use session::{ActualOutcome, Behaviour, Event, Session, TableMode, TimedEvent};
pub use users::User;

use crate::scheduler::Policy;

/// Replays a session: the same session, policy and seed give the same report.
///
/// # Errors
///
/// [`Error`] if the session names an object that does not exist or its bundle cannot be admitted. A violated property
/// is not an error; the report lists it.
pub fn run(session: &Session, policy: Policy, seed: u64) -> Result<Report> {
    let outcome = world::World::new(session, policy, seed).run()?;
    Ok(Report {
        session: session.name.clone(),
        policy: serde_json::json!(policy).as_str().unwrap_or_default().to_owned(),
        seed,
        steps: outcome.steps,
        transcript: outcome.transcript,
        measures: outcome.measures,
        broken: outcome.violations,
    })
}

/// Runs `teaselhall replay FILE [--policy NAME] [--seed N] [--json]`; the policy is `product` and the seed 1 if absent.
///
/// # Errors
///
/// [`Error`] if the file, a line of it or the policy's name is not valid.
pub fn command(file: &Path, policy: Option<&str>, seed: Option<u64>) -> Result<CommandOutput> {
    let name = policy.unwrap_or("product");
    let policy: Policy =
        name.parse().map_err(|_| error::Error::Policy { name: name.to_owned() })?;
    let report = run(&Session::read(file)?, policy, seed.unwrap_or(1))?;
    Ok(CommandOutput {
        text: report.to_string(),
        json: serde_json::json!(report).to_string(),
        broken: report.broken.first().cloned(),
    })
}

#[cfg(test)]
mod tests;
