//! Settings of `teaselhall-stand-in`, which replaces the platform for development and tests.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Result, ValidateSettings, check_url, field_error};
use crate::bundle::WorkerShape;
use crate::prelude::*;

/// Settings of the platform stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandInSettings {
    /// HTTP address of the table, the object store and the workers.
    pub http_address: SocketAddr,
    /// Simulated workers.
    #[serde(default)]
    pub workers: Vec<WorkerSettings>,
    /// Simulated endpoints.
    #[serde(default)]
    pub endpoints: Vec<EndpointSettings>,
    /// Lag of usage reports in milliseconds.
    #[serde(default = "default_usage_lag_ms")]
    pub usage_lag_ms: u64,
}

/// Settings of one worker of the stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSettings {
    /// Id of the worker.
    pub id: WorkerId,
    /// Total resources of the worker. The stand-in starts every task, even one that does not fit.
    pub shape: WorkerShape,
}

/// Settings of one endpoint of the stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// HTTP address at which the endpoint serves requests.
    pub http_address: SocketAddr,
    /// Base URL of its agent, to which the endpoint announces itself.
    pub agent_url: String,
    /// Largest number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Largest number of connections that the endpoint accepts.
    pub connections: u32,
    /// Default processing time in milliseconds, for requests that specify none.
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
                return field_error(
                    "workers",
                    &format!("contains worker {:?} twice", worker.id.as_str()),
                );
            }
        }
        for endpoint in &self.endpoints {
            check_url("agent_url", &endpoint.agent_url)?;
            if endpoint.slots == 0 || endpoint.connections == 0 {
                return field_error(
                    "endpoints",
                    "must each have at least one slot and one connection",
                );
            }
        }
        Ok(())
    }
}
