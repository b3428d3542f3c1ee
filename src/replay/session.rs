//! The session format: timed inputs as JSON lines. docs/sessions.md describes it.

use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use snafu::ResultExt;

use super::error::{Error, LineSnafu, ReadSnafu, Result};
use super::users::User;
use crate::bundle::{Bundle, WorkerShape};
use crate::prelude::*;

/// A session: the timed inputs that a replay applies to the pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Session {
    /// Name of the session, for messages and reports.
    pub name: String,
    /// Inputs, ordered by time.
    pub inputs: Vec<TimedEvent>,
}

/// One line of a session: an event and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TimedEvent {
    /// Time since the start of the session, in milliseconds.
    pub at_ms: u64,
    /// Event applied at that time.
    #[serde(flatten)]
    pub event: Event,
}

/// An input event of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// The bundle of one of the two users of docs/design.md becomes active.
    User {
        /// User whose bundle becomes active.
        user: User,
    },
    /// A bundle becomes active.
    Bundle {
        /// Bundle that becomes active.
        bundle: Box<Bundle>,
    },
    /// All workers that the bundle names join.
    Workers {
        /// Data centre whose workers join; all data centres if absent.
        #[serde(default)]
        data_centre: Option<DataCentreId>,
        /// Simulated behaviour of the workers.
        #[serde(default)]
        behaviour: Behaviour,
    },
    /// One worker joins.
    Worker {
        /// Identifier of the worker.
        worker: WorkerId,
        /// Data centre of the worker.
        data_centre: DataCentreId,
        /// Rack of the worker.
        rack: RackId,
        /// Total resources of the worker.
        shape: WorkerShape,
        /// Simulated behaviour of the worker.
        #[serde(default)]
        behaviour: Behaviour,
    },
    /// The simulated behaviour of a worker changes.
    Behaviour {
        /// Identifier of the worker.
        worker: WorkerId,
        /// Simulated behaviour of the worker.
        behaviour: Behaviour,
    },
    /// A caller submits a job.
    Submit {
        /// Specification of the job as submitted.
        job: Box<JobSpec>,
        /// Actual run time, result and memory use of the job.
        real: ActualOutcome,
        /// Number of jobs; with more than one, `-1`, `-2` and so on are appended to the id.
        #[serde(default = "one")]
        copies: u32,
        /// Group that receives the job; the entry chooses one if absent.
        #[serde(default)]
        group: Option<GroupId>,
    },
    /// Callers cancel jobs.
    Cancel {
        /// Identifiers of the jobs.
        jobs: Vec<JobId>,
    },
    /// A usage report for a job's tasks arrives, in addition to those that the workers send.
    Usage {
        /// Identifier of the job.
        job: JobId,
        /// Cores used by one task, in thousandths.
        cores_per_mille: u32,
        /// Memory used by one task, in mebibytes.
        memory_mb: u64,
    },
    /// The VM of a worker fails, which ends its tasks.
    WorkerFails {
        /// Identifier of the worker.
        worker: WorkerId,
    },
    /// The VM of a failed worker is replaced.
    WorkerReturns {
        /// Identifier of the worker.
        worker: WorkerId,
    },
    /// A worker loses contact with its leader; its tasks continue until their lease expires.
    WorkerSilent {
        /// Identifier of the worker.
        worker: WorkerId,
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// Operators take a data centre out of service.
    DataCentreOut {
        /// Identifier of the data centre.
        data_centre: DataCentreId,
    },
    /// Operators return a data centre to service.
    DataCentreIn {
        /// Identifier of the data centre.
        data_centre: DataCentreId,
    },
    /// The leader of a group crashes; another agent takes over after the leader's lease expired.
    LeaderCrash {
        /// Identifier of the group.
        group: GroupId,
    },
    /// The leader of a group is paused; if the pause outlasts the lease, another agent takes over.
    LeaderPause {
        /// Identifier of the group.
        group: GroupId,
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// The simulated behaviour of the table changes.
    Table {
        /// Behaviour of the table from this time on.
        mode: TableMode,
    },
    /// The session ends, even if jobs are still queued or running.
    End {},
}

/// Simulated behaviour of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Whether every task that starts on the worker fails.
    pub fails_everything: bool,
    /// Whether tasks continue after a request to stop; only a fence ends them.
    pub ignores_stop: bool,
    /// Time from the request to start until the tasks run, in milliseconds.
    pub start_ms: u64,
    /// Duration of a checkpoint, in milliseconds.
    pub checkpoint_ms: u64,
    /// Time from the request to stop until the tasks have ended, in milliseconds.
    pub stop_ms: u64,
    /// Delay of usage reports, in milliseconds.
    pub usage_lag_ms: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            fails_everything: false,
            ignores_stop: false,
            start_ms: 20,
            checkpoint_ms: 300,
            stop_ms: 100,
            usage_lag_ms: 5_000,
        }
    }
}

/// Actual run time, result and memory use of a job, independent of what its caller declared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActualOutcome {
    /// Run time, in milliseconds.
    pub run_ms: u64,
    /// Whether the job's tasks fail on every worker, at the end of the run time.
    #[serde(default)]
    pub fails: bool,
    /// Memory used by one task, in mebibytes; the declared amount if absent.
    #[serde(default)]
    pub memory_mb: Option<u64>,
}

/// Simulated behaviour of the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableMode {
    /// The table answers after a few milliseconds.
    #[default]
    Up,
    /// The table neither answers requests nor applies writes.
    Down,
    /// The table answers after half a second or more.
    Slow,
    /// The table applies writes, but the first answer to each is lost.
    LosesAnswers,
}

fn one() -> u32 {
    1
}

impl Session {
    /// Reads a session from a file.
    ///
    /// # Errors
    ///
    /// [`Error::Read`] if the file cannot be read, [`Error::Line`] with file and line if a line is not valid.
    pub fn read(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).context(ReadSnafu { name: name.clone() })?;
        Self::parse(&name, &text)
    }

    /// Parses the text of a session. Empty lines and lines that begin with `#` are skipped.
    ///
    /// # Errors
    ///
    /// [`Error::Line`] with name and line if a line is not valid, [`Error::Order`] if a time is lower than on the line
    /// before.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let mut inputs: Vec<TimedEvent> = Vec::new();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() || line.starts_with('#') {
                continue;
            }
            let input = parse_line(line).context(LineSnafu { name, line: index + 1 })?;
            if inputs.last().is_some_and(|last| last.at_ms > input.at_ms) {
                return Err(Error::Order { name: name.to_owned(), line: index + 1 });
            }
            inputs.push(input);
        }
        Ok(Self { name: name.to_owned(), inputs })
    }

    /// Formats the session as JSON lines that [`Session::parse`] reads.
    pub fn to_lines(&self) -> String {
        let lines = self.inputs.iter().map(|input| serde_json::json!(input).to_string());
        lines.map(|line| line + "\n").collect()
    }
}

/// Parses one line. `at_ms` is removed first, because serde cannot refuse unknown fields beside a flattened field.
fn parse_line(line: &str) -> std::result::Result<TimedEvent, serde_json::Error> {
    let mut fields: Map<String, Value> = serde_json::from_str(line)?;
    let at_ms = fields.remove("at_ms").unwrap_or_default();
    let at_ms = u64::deserialize(at_ms).map_err(|error| {
        serde::de::Error::custom(format!("at_ms must be a number of milliseconds: {error}"))
    })?;
    let event = Event::deserialize(Value::Object(fields))?;
    Ok(TimedEvent { at_ms, event })
}
