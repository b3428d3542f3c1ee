//! Errors of sessions and their replay.

use snafu::Snafu;

use crate::prelude::*;

/// Error of reading or replaying a session.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The session file cannot be read.
    #[snafu(display("cannot read session {name}: {source}"))]
    Read {
        /// Path or name of the session file.
        name: String,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// A line of the session is not a valid input.
    #[snafu(display("{name}:{line}: {source}"))]
    Line {
        /// Path or name of the session file.
        name: String,
        /// Line number, from 1.
        line: usize,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The time of a line is lower than that of the line before.
    #[snafu(display("{name}:{line}: at_ms is lower than on the line before"))]
    Order {
        /// Path or name of the session file.
        name: String,
        /// Line number, from 1.
        line: usize,
    },
    /// The bundle of a session cannot be admitted.
    #[snafu(display("at {at_ms} ms: the bundle is refused: {reason}"))]
    Bundle {
        /// Time in the session, in milliseconds.
        at_ms: u64,
        /// Reason for which the bundle was refused.
        reason: String,
    },
    /// A line refers to a worker, rack, group or data centre that no bundle or earlier line defines.
    #[snafu(display("at {at_ms} ms: {what} {id:?} is not defined by a bundle or an earlier line"))]
    NotKnown {
        /// Time in the session, in milliseconds.
        at_ms: u64,
        /// Kind of the object, such as `worker`.
        what: &'static str,
        /// Identifier of the object.
        id: String,
    },
    /// A job id was used by an earlier line.
    #[snafu(display("at {at_ms} ms: job {job} was submitted before"))]
    DuplicateJob {
        /// Time in the session, in milliseconds.
        at_ms: u64,
        /// Identifier of the job.
        job: JobId,
    },
    /// No placement policy has the given name.
    #[snafu(display(
        "policy {name:?} does not exist; use product, first_come_first_fit or random_fit"
    ))]
    Policy {
        /// Name of the policy as given.
        name: String,
    },
}

/// Result of functions that read or replay sessions.
pub type Result<T, E = Error> = std::result::Result<T, E>;
