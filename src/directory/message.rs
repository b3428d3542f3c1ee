//! Inputs and outputs of the entry's directory of groups.

use serde::{Deserialize, Serialize};

use crate::bundle::Bundle;
use crate::prelude::*;
use crate::request::ConnectionId;
use crate::wire::{DataCentreState, GroupSummary};

/// What happens to the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "input")]
pub enum Input {
    /// A bundle is in force.
    Bundle {
        /// The bundle.
        bundle: Box<Bundle>,
    },
    /// The state of a data centre is known.
    Service {
        /// The data centre.
        data_centre: DataCentreId,
        /// Its state.
        state: DataCentreState,
    },
    /// A leader reported its group.
    Lead {
        /// The leader's connection.
        connection: ConnectionId,
        /// What it reported.
        summary: GroupSummary,
    },
    /// A connection was lost.
    ConnectionLost {
        /// The connection.
        connection: ConnectionId,
    },
    /// A job's row is durable; its leader should know.
    Deliver {
        /// The job.
        job: Box<JobSpec>,
        /// The group that owns it.
        group: GroupId,
    },
    /// A leader confirmed a job.
    JobAccepted {
        /// The job.
        job: JobId,
    },
    /// Callers cancelled jobs.
    Cancel {
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// Time passed.
    Tick,
}

/// What the directory wants done.
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
