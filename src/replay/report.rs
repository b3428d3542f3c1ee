//! What a replay reports, as text and as JSON.

use std::fmt::{self, Display, Formatter};

use serde::Serialize;

use super::measure::Measures;
use super::property::PropertyViolation;

/// The result of a replay.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The session.
    pub session: String,
    /// The placement policy.
    pub policy: String,
    /// The seed of the network's delays and of the decisions.
    pub seed: u64,
    /// The number of inputs that the schedulers handled.
    pub steps: u64,
    /// What happened, one line each.
    pub transcript: Vec<String>,
    /// What was measured.
    pub measures: Measures,
    /// The promises that were broken.
    pub broken: Vec<PropertyViolation>,
}

/// What the command line prints, and whether it must fail.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutput {
    /// The report as text.
    pub text: String,
    /// The report as one line of JSON.
    pub json: String,
    /// The first promise that was broken.
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
