//! Names of tasks and of the incarnations of workers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

use crate::prelude::*;

/// Names a task: its job, the occurrence of the job, the step and the number in the step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The occurrence, counted from 0.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
    /// The number of the task in its step, counted from 0.
    pub index: u32,
}

/// A text that names no task.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not the name of a task: JOB.OCCURRENCE.STEP.INDEX is expected"))]
pub struct TaskIdError {
    text: String,
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = TaskIdError;

    fn from_str(text: &str) -> Result<Self, TaskIdError> {
        let parse = || {
            let mut parts = text.rsplitn(4, '.');
            let index = parts.next()?.parse().ok()?;
            let step = parts.next()?.parse().ok()?;
            let occurrence = parts.next()?.parse().ok()?;
            let job = JobId::from(parts.next()?);
            Some(Self { job, occurrence, step, index })
        };
        parse().context(TaskIdSnafu { text })
    }
}

/// One incarnation of a worker: what an earlier incarnation ran is gone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// The worker, named by the machine that its agent runs on.
    pub worker: WorkerId,
    /// When the incarnation began, in milliseconds since 1970 by the worker's clock.
    pub born_ms: u64,
}
