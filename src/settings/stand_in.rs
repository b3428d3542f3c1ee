//! Settings of `teaselhall-stand-in`, the stand-in of the platform for development and tests.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Result, ValidateSettings, check_url, field};
use crate::bundle::WorkerShape;
use crate::prelude::*;

/// Settings of the platform stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandInSettings {
    /// The address of the table, the object store and the workers.
    pub http_address: SocketAddr,
    /// The workers.
    #[serde(default)]
    pub workers: Vec<WorkerSettings>,
    /// The endpoints.
    #[serde(default)]
    pub endpoints: Vec<EndpointSettings>,
    /// The lag of usage reports.
    #[serde(default = "default_usage_lag_ms")]
    pub usage_lag_ms: u64,
}

/// One worker of the stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSettings {
    /// The worker.
    pub id: WorkerId,
    /// What it has. It starts what it is given, whether that fits or not.
    pub shape: WorkerShape,
}

/// One endpoint of the stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// The endpoint.
    pub id: EndpointId,
    /// The address at which it answers.
    pub http_address: SocketAddr,
    /// The base URL of the agent beside it, to which it announces itself.
    pub agent_url: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// The time that it takes for a request which names none.
    #[serde(default)]
    pub work_ms: u64,
}

fn default_usage_lag_ms() -> u64 {
    5_000
}

impl ValidateSettings for StandInSettings {
    fn check(&self) -> Result<()> {
        for (index, worker) in self.workers.iter().enumerate() {
            if self.workers[..index].iter().any(|other| other.id == worker.id) {
                return field("workers", &format!("name {:?} twice", worker.id.as_str()));
            }
        }
        for endpoint in &self.endpoints {
            check_url("agent_url", &endpoint.agent_url)?;
            if endpoint.slots == 0 || endpoint.connections == 0 {
                return field("endpoints", "must have slots and connections");
            }
        }
        Ok(())
    }
}
