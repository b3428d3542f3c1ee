//! Specification of a job by a client: steps of equal tasks, their resources and their order.

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 64;
/// Maximum number of tasks of one occurrence of a job. It keeps the changes of an occurrence within one transaction of the
/// platform's store ([`super::MAX_PART_BYTES`]).
pub const MAX_TASKS: usize = 1_024;
/// Maximum number of occurrences of a scheduled job.
pub const MAX_OCCURRENCES: u32 = 10_000;

/// Processor time, memory and accelerators that a worker has or that a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cores_milli: u32,
    /// Memory in mebibytes.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether `other` fits into these resources.
    pub fn can_hold(&self, other: &Self) -> bool {
        self.cores_milli >= other.cores_milli
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// Returns how many times `need` fits into these resources; `u32::MAX` if all its resources are 0.
    pub fn fit_count(&self, need: &Self) -> u32 {
        let ratio = |available: u32, needed: u32| available.checked_div(needed).unwrap_or(u32::MAX);
        ratio(self.cores_milli, need.cores_milli)
            .min(ratio(self.memory_mb, need.memory_mb))
            .min(ratio(self.accelerators, need.accelerators))
    }

    /// Returns the sum of both, with each resource limited to `u32::MAX`.
    #[must_use]
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.saturating_add(other.cores_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns these resources less `other`, with each resource limited to 0 from below.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.saturating_sub(other.cores_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the minimum of both, resource by resource.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.min(other.cores_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }
}

/// A step of a job: equal tasks that become ready at the same time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// Number of tasks of the step.
    pub tasks: u32,
    /// Resources of each task.
    pub need: Resources,
    /// Estimate by the client of the run time of a task, in milliseconds; it may be far from the actual run time.
    pub estimate_ms: u64,
    /// Numbers, from 0, of earlier steps whose tasks must all be done before this step starts.
    pub after: Vec<u16>,
    /// Whether the tasks make progress only while all of them run.
    pub gang: bool,
    /// Whether the tasks are slow unless all of them run in one rack.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub required_label: Option<String>,
    /// Rack that holds the data; the tasks are slow in other racks.
    pub data_rack: Option<String>,
    /// Maximum number of tasks of the step that one worker runs at a time; 0 means no limit.
    pub max_per_worker: u32,
    /// Whether several attempts of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks save checkpoints of their progress.
    pub checkpointable: bool,
    /// Whether the tasks are restarted after each end until the job is cancelled.
    pub long_running: bool,
}

/// Schedule of the occurrences of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Time at which the first occurrence is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// Time between the due times of two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub occurrences: u32,
}

/// A job as a client submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkflowSpec {
    /// Payload that is passed unchanged to each task.
    pub payload: String,
    /// Steps of the job.
    pub steps: Vec<StepSpec>,
    /// Schedule of the steps; without one, they run once and at once.
    pub schedule: Option<Schedule>,
}

/// Reason why a job is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// A size is 0 or exceeds its limit.
    #[snafu(display("{what} must be between 1 and {limit}, not {given}"))]
    Size {
        /// Name of the size.
        what: &'static str,
        /// Maximum value of the size.
        limit: u64,
        /// Value of the size in the specification.
        given: u64,
    },
    /// A step depends on itself or on a later step.
    #[snafu(display("step {step} may depend only on earlier steps, not on step {after}"))]
    Order {
        /// Number of the step, from 0.
        step: usize,
        /// Number of the step on which it depends, from 0.
        after: u16,
    },
}

impl WorkflowSpec {
    /// Checks the sizes of the job and the order of its steps.
    ///
    /// # Errors
    ///
    /// [`SpecError`] for the first size or dependency that is not valid.
    pub fn check(&self) -> Result<(), SpecError> {
        check_size("the number of steps", self.steps.len() as u64, MAX_STEPS as u64)?;
        for (number, step) in self.steps.iter().enumerate() {
            check_size("the number of tasks of a step", step.tasks.into(), MAX_TASKS as u64)?;
            for after in &step.after {
                ensure!(usize::from(*after) < number, OrderSnafu { step: number, after: *after });
            }
        }
        check_size("the number of tasks", self.tasks_per_occurrence() as u64, MAX_TASKS as u64)?;
        let occurrences = self.occurrences();
        check_size("the number of occurrences", occurrences.into(), MAX_OCCURRENCES.into())
    }

    /// Returns the number of tasks of one occurrence.
    pub fn tasks_per_occurrence(&self) -> usize {
        self.steps.iter().map(|step| step.tasks as usize).sum()
    }

    /// Returns the number of occurrences of the job; 1 for a job that is not scheduled.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns the time at which an occurrence is due, in milliseconds since 1970; 0 for a job that is not scheduled.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.schedule.map_or(0, |schedule| {
            let offset = schedule.interval_ms.saturating_mul(occurrence.into());
            schedule.first_due_ms.saturating_add(offset)
        })
    }

    /// Returns the duration of the longest chain of dependent steps, from the duration of each step in milliseconds.
    pub fn longest_chain_ms<F>(&self, duration_ms: F) -> u64
    where
        F: Fn(usize) -> u64,
    {
        let mut ends_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let begins_ms = step.after.iter().map(|earlier| ends_ms[usize::from(*earlier)]).max();
            ends_ms.push(begins_ms.unwrap_or_default().saturating_add(duration_ms(number)));
        }
        ends_ms.into_iter().max().unwrap_or_default()
    }

    /// Returns whether any task of the job runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

fn check_size(what: &'static str, given: u64, limit: u64) -> Result<(), SpecError> {
    ensure!((1..=limit).contains(&given), SizeSnafu { what, limit, given });
    Ok(())
}
