//! What a client asks for: steps of equal tasks, their needs and their order.

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// The most steps of a job.
pub const MAX_STEPS: usize = 64;
/// The most tasks of one occurrence of a job, so that its durable record stays below the platform's row size of 64 KiB.
pub const MAX_TASKS: usize = 1_024;
/// The most times that a scheduled job runs.
pub const MAX_OCCURRENCES: u32 = 10_000;

/// Processor, memory and accelerators of a worker, or what one task takes of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cores_milli: u32,
    /// Memory in mebibytes.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether `other` fits into these resources.
    pub fn holds(&self, other: &Self) -> bool {
        self.cores_milli >= other.cores_milli
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// Returns how many times `need` fits; `u32::MAX` if it needs nothing.
    pub fn times(&self, need: &Self) -> u32 {
        let ratio = |have: u32, want: u32| have.checked_div(want).unwrap_or(u32::MAX);
        ratio(self.cores_milli, need.cores_milli)
            .min(ratio(self.memory_mb, need.memory_mb))
            .min(ratio(self.accelerators, need.accelerators))
    }

    /// Adds other resources.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.saturating_add(other.cores_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts other resources; what is missing counts as none left.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.saturating_sub(other.cores_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the smaller of each resource.
    #[must_use]
    pub fn least(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.min(other.cores_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }
}

/// A step: equal tasks that become ready together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// The number of tasks.
    pub tasks: u32,
    /// What each task takes.
    pub need: Resources,
    /// The client's estimate of the run time of a task, which may be far off.
    pub estimate_ms: u64,
    /// Earlier steps, counted from 0, whose tasks must all be done first.
    pub after: Vec<u16>,
    /// The tasks work only while all of them run.
    pub gang: bool,
    /// The tasks are slow unless all of them run in one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub required_label: Option<String>,
    /// The rack that holds the data; the tasks are slow elsewhere.
    pub data_rack: Option<String>,
    /// The most tasks of the step that one worker may run at a time; 0 is no limit.
    pub max_per_worker: u32,
    /// Copies of a task may run at the same time.
    pub speculative: bool,
    /// The tasks save their progress.
    pub checkpointable: bool,
    /// The tasks run until the job is cancelled, however often they end.
    pub long_running: bool,
}

/// When the occurrences of a scheduled job are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// The time between two occurrences.
    pub interval_ms: u64,
    /// The number of occurrences.
    pub occurrences: u32,
}

/// A job as a client submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkflowSpec {
    /// Handed to each task as it is.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the steps run, if more than once or later than now.
    pub schedule: Option<Schedule>,
}

/// Why a job is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// A size is out of bounds.
    #[snafu(display("{what} must be between 1 and {limit}, not {given}"))]
    Size {
        /// What has the size.
        what: &'static str,
        /// The largest size.
        limit: u64,
        /// The size that was given.
        given: u64,
    },
    /// A step waits for itself or for a later step.
    #[snafu(display("step {step} must wait only for earlier steps, not for step {after}"))]
    Order {
        /// The step.
        step: usize,
        /// The step that it waits for.
        after: u16,
    },
}

impl WorkflowSpec {
    /// Checks sizes and the order of steps.
    ///
    /// # Errors
    ///
    /// [`SpecError`] that names the first field at fault.
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

    /// Returns how often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns when an occurrence is due, in milliseconds since 1970; 0 for a job that is not scheduled.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.schedule.map_or(0, |schedule| {
            let offset = schedule.interval_ms.saturating_mul(occurrence.into());
            schedule.first_due_ms.saturating_add(offset)
        })
    }

    /// Returns whether a task of the job runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

fn check_size(what: &'static str, given: u64, limit: u64) -> Result<(), SpecError> {
    ensure!((1..=limit).contains(&given), SizeSnafu { what, limit, given });
    Ok(())
}
