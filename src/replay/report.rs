//! The report of a replay, as text and as JSON.

use std::fmt::{self, Display, Formatter};

use serde::Serialize;

use super::measure::Measures;
use super::property::PropertyViolation;

/// The result of a replay.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the session.
    pub session: String,
    /// Name of the placement policy.
    pub policy: String,
    /// Seed of the simulated network delays and of the scheduler's random numbers.
    pub seed: u64,
    /// Number of inputs that the schedulers handled.
    pub steps: u64,
    /// Transcript lines, in the order of events.
    pub transcript: Vec<String>,
    /// Measures of the session.
    pub measures: Measures,
    /// Violations of properties.
    pub broken: Vec<PropertyViolation>,
}

/// Output of the `replay` command.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutput {
    /// Report as text.
    pub text: String,
    /// Report as one line of JSON.
    pub json: String,
    /// First violation; if present, the command fails.
    pub broken: Option<PropertyViolation>,
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "session {}, policy {}, seed {}", self.session, self.policy, self.seed)?;
        for line in &self.transcript {
            writeln!(f, "{line}")?;
        }
        self.measures.fmt(f)?;
        for broken in &self.broken {
            let PropertyViolation { promise, at_ms, step, detail } = broken;
            writeln!(f, "BROKEN {promise}: {detail} (step {step}, {at_ms} ms)")?;
        }
        if self.broken.is_empty() {
            writeln!(f, "no broken promise in {} steps", self.steps)?;
        }
        Ok(())
    }
}

impl Display for Measures {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (class, times) in &self.completion {
            if times.jobs > 0 {
                writeln!(
                    f,
                    "completion {class}: {} jobs, p50 {} ms (bound {}), p99 {} ms (bound {})",
                    times.jobs, times.p50_ms, times.bound_p50_ms, times.p99_ms, times.bound_p99_ms
                )?;
            }
        }
        writeln!(f, "fragmentation: {:.3} (bound 0)", self.fragmentation)?;
        if let Some(share) = self.work_done {
            writeln!(f, "work done during a data centre change: {share:.3} (bound 1)")?;
        }
        writeln!(f, "finish: {} ms (bound {})", self.finish_ms, self.finish_bound_ms)?;
        let ended: Vec<String> =
            self.ended.iter().map(|(end, jobs)| format!("{jobs} {end}")).collect();
        writeln!(
            f,
            "jobs: {} accepted, {} refused; ended: {}",
            self.accepted,
            self.refused,
            ended.join(", ")
        )
    }
}
