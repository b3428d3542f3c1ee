//! Errors of sessions and their replay.

use snafu::Snafu;

use crate::prelude::*;

/// Why a session cannot be replayed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("cannot read session {name}: {source}"))]
    Read {
        /// The file.
        name: String,
        /// Why.
        source: std::io::Error,
    },
    /// A line is not a valid input.
    #[snafu(display("{name}:{line}: {source}"))]
    Line {
        /// The file.
        name: String,
        /// The line, from 1.
        line: usize,
        /// Why.
        source: serde_json::Error,
    },
    /// Times must not fall.
    #[snafu(display("{name}:{line}: at_ms is lower than on the line before"))]
    Order {
        /// The file.
        name: String,
        /// The line, from 1.
        line: usize,
    },
    /// The bundle cannot be admitted.
    #[snafu(display("at {at_ms} ms: the bundle is refused: {reason}"))]
    Bundle {
        /// The time in the session.
        at_ms: u64,
        /// Why.
        reason: String,
    },
    /// A worker, rack or group that no bundle or earlier line names.
    #[snafu(display("at {at_ms} ms: {what} {id:?} is not known"))]
    NotKnown {
        /// The time in the session.
        at_ms: u64,
        /// The kind of thing.
        what: &'static str,
        /// The identifier.
        id: String,
    },
    /// A job id that was used before.
    #[snafu(display("at {at_ms} ms: job {job} was submitted before"))]
    DuplicateJob {
        /// The time in the session.
        at_ms: u64,
        /// The job.
        job: JobId,
    },
    /// The policy has no such name.
    #[snafu(display(
        "policy {name:?} does not exist; use product, first_come_first_fit or random_fit"
    ))]
    Policy {
        /// The name.
        name: String,
    },
}

/// The result of this layer.
pub type Result<T, E = Error> = std::result::Result<T, E>;
