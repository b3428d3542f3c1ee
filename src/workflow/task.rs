//! Identifiers of tasks and of incarnations of workers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

use crate::prelude::*;

/// Identifier of a task: its job, the occurrence of the job, the step, and the number of the task in the step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Job of the task.
    pub job: JobId,
    /// Number of the occurrence of the job, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u16,
    /// Number of the task in its step, from 0.
    pub index: u32,
}

/// Error of parsing a [`TaskId`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not the identifier of a task; expected JOB.OCCURRENCE.STEP.INDEX"))]
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

/// One incarnation of a worker. Attempts that an earlier incarnation ran no longer exist.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// Worker, named after the machine on which its agent runs.
    pub worker: WorkerId,
    /// Time at which the incarnation began, in milliseconds since 1970 by the worker's clock.
    pub born_ms: u64,
}
