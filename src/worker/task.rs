//! Names of tasks at the worker's interface.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Name of a task at the worker, written as `job#attempt/index`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[display("{gang}/{task}")]
pub struct TaskName {
    /// Gang of the task.
    pub gang: GangId,
    /// Index of the task in its gang.
    pub task: u32,
}

impl FromStr for TaskName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| format!("{text:?} is not a task name such as \"job#1/0\""))
    }
}

fn parse(text: &str) -> Option<TaskName> {
    let (gang, task) = text.rsplit_once('/')?;
    let (job, number) = gang.rsplit_once('#')?;
    let gang = GangId { job: JobId::from(job), number: number.parse().ok()? };
    Some(TaskName { gang, task: task.parse().ok()? })
}
