//! Settings of `teaselhall-agent`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{
    Result, TrustedPartner, ValidateSettings, check_partners, check_url, decode_frame_key,
    field_error,
};
use crate::bundle::WorkerShape;
use crate::prelude::*;

/// Settings of an agent process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Id of the process, unique among agents.
    pub process: ProcessId,
    /// Data centre in which the agent runs.
    pub data_centre: DataCentreId,
    /// HTTP address for health, metrics, dumps, and the announcement of the endpoint.
    pub http_address: SocketAddr,
    /// TCP addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Base URL of the platform's table and object store.
    pub platform_url: String,
    /// Key that authenticates frames between processes: 32 bytes in hexadecimal.
    pub frame_key: String,
    /// Partners whose signatures are accepted.
    pub partners: Vec<TrustedPartner>,
    /// Role of the agent, with the worker or endpoint that it serves.
    pub beside: AgentRole,
}

/// Role of an agent: it serves a worker or an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum AgentRole {
    /// Agent of a worker.
    Worker {
        /// Id of the worker.
        worker: WorkerId,
        /// Rack of the worker.
        rack: RackId,
        /// Total resources of the worker.
        shape: WorkerShape,
        /// Base URL of the worker's HTTP interface.
        worker_url: String,
        /// UDP address for messages between the members and the leader of the group.
        udp_address: SocketAddr,
        /// Interval of heartbeats in milliseconds.
        #[serde(default = "default_heartbeat_ms")]
        heartbeat_ms: u32,
        /// Lease of a gang on a member in milliseconds.
        #[serde(default = "default_gang_lease_ms")]
        gang_lease_ms: u32,
        /// Lease of the group's leader in milliseconds.
        #[serde(default = "default_leader_lease_ms")]
        leader_lease_ms: u32,
    },
    /// Agent of an endpoint, which announces itself at the agent's HTTP address.
    Endpoint {
        /// Id of the endpoint.
        endpoint: EndpointId,
    },
}

fn default_heartbeat_ms() -> u32 {
    1_000
}

fn default_gang_lease_ms() -> u32 {
    10_000
}

fn default_leader_lease_ms() -> u32 {
    // A new leader must be elected before the leases of the gangs expire, or the failure of a leader ends all gangs.
    5_000
}

impl ValidateSettings for AgentSettings {
    fn check(&self) -> Result<()> {
        check_url("platform_url", &self.platform_url)?;
        decode_frame_key(&self.frame_key)?;
        check_partners(&self.partners)?;
        if self.entries.is_empty() {
            return field_error("entries", "must name at least one entry");
        }
        self.beside.check()
    }
}

impl ValidateSettings for AgentRole {
    fn check(&self) -> Result<()> {
        let Self::Worker {
            worker_url, shape, heartbeat_ms, gang_lease_ms, leader_lease_ms, ..
        } = self
        else {
            return Ok(());
        };
        check_url("worker_url", worker_url)?;
        if shape.cores == 0 || shape.memory_mb == 0 {
            return field_error("shape", "must have at least one core and 1 MB of memory");
        }
        if shape.accelerators > u64::BITS
            || (shape.accelerators > 0 && !shape.accelerators.is_power_of_two())
        {
            return field_error("shape", "must have no accelerators or a power of two, at most 64");
        }
        if *heartbeat_ms == 0 {
            return field_error("heartbeat_ms", "must be at least 1");
        }
        if *gang_lease_ms < heartbeat_ms.saturating_mul(4) {
            return field_error(
                "gang_lease_ms",
                "must be at least four times heartbeat_ms, so that gangs survive a lost datagram",
            );
        }
        if *leader_lease_ms < 1_000 {
            return field_error("leader_lease_ms", "must be at least 1000");
        }
        if *gang_lease_ms < leader_lease_ms.saturating_mul(2) {
            return field_error(
                "gang_lease_ms",
                "must be at least twice leader_lease_ms, so that gangs survive the failure of a leader",
            );
        }
        Ok(())
    }
}
