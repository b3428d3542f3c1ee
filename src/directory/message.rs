//! Inputs and outputs of the entry's directory of groups.

use serde::{Deserialize, Serialize};

use crate::bundle::Bundle;
use crate::prelude::*;
use crate::request::ConnectionId;
use crate::wire::{DataCentreState, GroupSummary};

/// Inputs of [`super::GroupDirectory::handle`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "input")]
pub enum Input {
    /// A bundle became active.
    Bundle {
        /// The bundle.
        bundle: Box<Bundle>,
    },
    /// The state of a data centre was received.
    #[serde(rename = "service")]
    DataCentreState {
        /// The data centre.
        data_centre: DataCentreId,
        /// The state of the data centre.
        state: DataCentreState,
    },
    /// A leader reported its group.
    #[serde(rename = "lead")]
    LeaderReport {
        /// The leader's connection.
        connection: ConnectionId,
        /// The leader's summary of its group.
        summary: GroupSummary,
    },
    /// A connection was lost.
    ConnectionLost {
        /// The connection.
        connection: ConnectionId,
    },
    /// A job's row is durable, so the job is to be sent to the leader of its group.
    Deliver {
        /// The job.
        job: Box<JobSpec>,
        /// The group that owns it.
        group: GroupId,
    },
    /// A leader confirmed that it received a job.
    JobAccepted {
        /// The job.
        job: JobId,
    },
    /// Callers cancelled jobs.
    Cancel {
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// Resends the jobs that are due.
    Tick,
}

/// Actions that the caller of [`super::GroupDirectory::handle`] performs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "output")]
pub enum Output {
    /// Send a job to a leader.
    SendJob {
        /// The leader's connection.
        connection: ConnectionId,
        /// The job.
        job: Box<JobSpec>,
    },
    /// Send cancellations to a leader.
    SendCancel {
        /// The leader's connection.
        connection: ConnectionId,
        /// The jobs.
        jobs: Vec<JobId>,
    },
}
