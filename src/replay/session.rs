//! The session format: timed inputs as JSON lines. docs/sessions.md describes it.

use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use snafu::ResultExt;

use super::error::{Error, LineSnafu, ReadSnafu, Result};
use super::users::User;
use crate::bundle::{Bundle, WorkerShape};
use crate::prelude::*;

/// A session: what happens to the pool, in the order of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Session {
    /// The name, for messages.
    pub name: String,
    /// The inputs, in the order of their times.
    pub inputs: Vec<TimedEvent>,
}

/// One line of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TimedEvent {
    /// The time since the start of the session, in milliseconds.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub event: Event,
}

/// What happens to the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// The bundle of one of the two users of docs/design.md comes into force.
    User {
        /// The user.
        user: User,
    },
    /// A bundle comes into force.
    Bundle {
        /// The bundle.
        bundle: Box<Bundle>,
    },
    /// All workers that the bundle names join.
    Workers {
        /// Only those of this data centre.
        #[serde(default)]
        data_centre: Option<DataCentreId>,
        /// How they really behave.
        #[serde(default)]
        behaviour: Behaviour,
    },
    /// One worker joins.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// Its data centre.
        data_centre: DataCentreId,
        /// Its rack.
        rack: RackId,
        /// What it has.
        shape: WorkerShape,
        /// How it really behaves.
        #[serde(default)]
        behaviour: Behaviour,
    },
    /// A worker behaves differently from now on.
    Behaviour {
        /// The worker.
        worker: WorkerId,
        /// How it really behaves.
        behaviour: Behaviour,
    },
    /// A caller submits a job.
    Submit {
        /// The job.
        job: Box<JobSpec>,
        /// What the job really does.
        real: ActualOutcome,
        /// The number of jobs; with more than one, `-1`, `-2` and so on are appended to the id.
        #[serde(default = "one")]
        copies: u32,
        /// The group; the entry chooses one if absent.
        #[serde(default)]
        group: Option<GroupId>,
    },
    /// Callers cancel jobs.
    Cancel {
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// A usage report of a job's tasks arrives, beside those that workers send by themselves.
    Usage {
        /// The job.
        job: JobId,
        /// Cores of one task, in thousandths.
        cores_per_mille: u32,
        /// Memory of one task in mebibytes.
        memory_mb: u64,
    },
    /// A worker's VM fails, and its tasks with it.
    WorkerFails {
        /// The worker.
        worker: WorkerId,
    },
    /// A failed worker's VM is replaced.
    WorkerReturns {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker is cut off from its leader; its tasks run on until their lease ends.
    WorkerSilent {
        /// The worker.
        worker: WorkerId,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// Operators take a data centre out of service.
    DataCentreOut {
        /// The data centre.
        data_centre: DataCentreId,
    },
    /// Operators bring a data centre back.
    DataCentreIn {
        /// The data centre.
        data_centre: DataCentreId,
    },
    /// The leader of a group crashes; another agent takes over after the lease.
    LeaderCrash {
        /// The group.
        group: GroupId,
    },
    /// The leader of a group is paused; if the pause outlasts the lease, another agent takes over.
    LeaderPause {
        /// The group.
        group: GroupId,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// The table changes its behaviour.
    Table {
        /// How it behaves from now on.
        mode: TableMode,
    },
    /// The session ends here, even if jobs still wait or run.
    End {},
}

/// How a worker really behaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Every task that starts here fails.
    pub fails_everything: bool,
    /// Tasks go on running after a request to stop; only a fence ends them.
    pub ignores_stop: bool,
    /// The time from the request to start until the tasks run, in milliseconds.
    pub start_ms: u64,
    /// The time that a checkpoint takes, in milliseconds.
    pub checkpoint_ms: u64,
    /// The time from the request to stop until the tasks have ended, in milliseconds.
    pub stop_ms: u64,
    /// The lag of usage reports, in milliseconds.
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

/// What a job really does, whatever its caller declares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActualOutcome {
    /// The run time, in milliseconds.
    pub run_ms: u64,
    /// Whether its tasks fail on every worker, at the end of the run time.
    #[serde(default)]
    pub fails: bool,
    /// Memory that one task uses, in mebibytes; the declared amount if absent.
    #[serde(default)]
    pub memory_mb: Option<u64>,
}

/// How the table behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableMode {
    /// It answers after a few milliseconds.
    #[default]
    Up,
    /// It answers nothing and applies nothing.
    Down,
    /// It answers after half a second or more.
    Slow,
    /// It applies writes, but the first answer to each is lost.
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
    /// [`Error::Line`] with name and line if a line is not valid or times do not rise.
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

    /// Writes the session in its own format.
    pub fn to_lines(&self) -> String {
        let lines = self.inputs.iter().map(|input| serde_json::json!(input).to_string());
        lines.map(|line| line + "\n").collect()
    }
}

/// Takes `at_ms` out first, because serde cannot refuse unknown fields beside a flattened part.
fn parse_line(line: &str) -> std::result::Result<TimedEvent, serde_json::Error> {
    let mut fields: Map<String, Value> = serde_json::from_str(line)?;
    let at_ms = fields.remove("at_ms").unwrap_or_default();
    let at_ms = u64::deserialize(at_ms).map_err(|error| {
        serde::de::Error::custom(format!("at_ms must be a number of milliseconds: {error}"))
    })?;
    let event = Event::deserialize(Value::Object(fields))?;
    Ok(TimedEvent { at_ms, event })
}
